// What endpoints say of their own capacity.
#pragma once

#include "hemlockhill/world.h"

namespace Hemlockhill
{

// Requests per second.
using RequestRate = Quantity<struct RequestRateTag, double>;

// What one answer says of the rate that its endpoint accepts from all nodes together.
enum class RateLimitStatement {
    // The answer does not count, for instance because its value cannot be read.
    Nothing,
    Unlimited,
    Limited
};

// The capacity that an endpoint declares in an answer.
struct DeclaredCapacity {
    RateLimitStatement rateLimit = RateLimitStatement::Nothing;
    // Set when the rate is limited.
    RequestRate rate;

    bool operator==(const DeclaredCapacity &) const = default;
};

} // namespace Hemlockhill
