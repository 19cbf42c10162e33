// The requests that a connection has carried.
#pragma once

#include "hemlockhill/world.h"

#include <cstddef>
#include <vector>

namespace Hemlockhill
{

// Number of requests that a connection carries at most, which bounds the memory of them.
inline constexpr std::size_t CarriedRequestLimit = 256;

// Remembers the ids of the requests that were sent over one connection. Requests without an id are not remembered.
class CarriedRequests
{
public:
    void add(const RequestId &request);
    // True for each id that was added. May be true for others, rarely, since only hashes are kept.
    bool contains(const RequestId &request) const;
    bool isFull() const { return m_hashes.size() >= CarriedRequestLimit; }

private:
    std::vector<std::size_t> m_hashes;
};

} // namespace Hemlockhill
