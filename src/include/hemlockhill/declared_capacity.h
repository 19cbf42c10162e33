// What endpoints say of their own capacity, and the notices by which nodes tell each other.
#pragma once

#include "hemlockhill/world.h"

#include <cstdint>
#include <optional>

namespace Hemlockhill
{

// Requests per second.
using RequestRate = Quantity<struct RequestRateTag, double>;
// Identifies a count that starts at zero.
using CountId = Quantity<struct CountTag>;

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
    // Number of requests that a brittle endpoint bears to reject within a second; it fails if it has to reject more. Empty if it does not
    // say that it is brittle.
    std::optional<std::uint32_t> rejectionLimit;
    // Whether the endpoint is about to stop and wants no new requests.
    bool isLeaving = false;
    // How long the endpoint, which has turned the request away, wants no requests of this node. Empty if it does not say.
    std::optional<Duration> pause;
    // Whether the answer is the endpoint's own, so that what it leaves out does not hold.
    bool isOwn = false;

    bool operator==(const DeclaredCapacity &) const = default;
};

// Tells another node about the rate limit of one endpoint, and how many requests the sender has dispatched under it. The count is
// cumulative, so that a lost notice is made good by the next one, and a repeated one has no effect.
struct RateLimitNotice {
    EndpointId endpoint;
    Incarnation incarnation;
    // Empty when the endpoint no longer limits the rate.
    std::optional<RequestRate> rate;
    // Time since the answer that this is based on: since it arrived or, if it named no limit, since its request was sent.
    Duration age{0};
    // The requests that the sender has dispatched to the endpoint since it began this count.
    CountId count;
    std::uint64_t dispatched = 0;
    // Whether the receiver is to answer with a notice of its own.
    bool wantsReply = false;

    bool operator==(const RateLimitNotice &) const = default;
};

} // namespace Hemlockhill
