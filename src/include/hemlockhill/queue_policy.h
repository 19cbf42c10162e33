// Queueing policy of routed requests: maximum waiting times and the order of dispatch. Without I/O or state.
//
// Designed for bursts that exceed the capacity of the runners: requests that can still meet their latency target are dispatched before
// late ones, and a request that would time out is refused early enough for its caller to retry.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/world.h"

#include <compare>
#include <cstdint>

namespace Hemlockhill
{

// Returns whether a request that has waited this long can no longer meet the route's latency target.
bool isLate(const Route &route, Duration waited);

// Returns the time without an event after which the caller of a stream disconnects.
Duration callerStreamTimeout(const Route &route);

// Returns the maximum queueing time of a request, measured from its arrival. callerTimeout is the time for which its caller waits for
// the end of the response.
Duration maximumQueueWait(const Route &route, Duration callerTimeout);

// Returns the time after the arrival of a request, or after the last event of its stream, from which it is not sent to an endpoint any
// more: its caller has given up by then, or would before anything could arrive.
Duration dispatchTimeout(const Route &route, Duration callerTimeout);

// Returns the time within which a stream began that its caller takes up: callers come back within the route's timeout.
Duration streamLifetime(const Route &route);

// Dispatch order of queued requests. Lower values are dispatched first.
struct WaitingRank {
    bool late = false;
    std::uint32_t priority = 0;
    // False for the rest of a stream: its caller has received a part already, and the endpoints that can continue it may be few.
    bool isNew = true;
    TimePoint arrivedAt;

    auto operator<=>(const WaitingRank &) const = default;
};

} // namespace Hemlockhill
