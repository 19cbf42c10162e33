// Queueing policy of routed requests: maximum waiting times and the order of dispatch. Without I/O or state.
//
// Designed for bursts that exceed the capacity of the runners: the priorities of workspace and route come first, then the requests that can
// still meet their latency target, and a request that would time out is refused early enough for its caller to retry.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/world.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>

namespace Hemlockhill
{

// Returns the time without an event after which the caller of a stream disconnects.
Duration callerStreamTimeout(const Route &route);

// Returns the maximum queueing time of a request, measured from its arrival. callerTimeout is the time for which its caller waits for
// the end of the response.
Duration maximumQueueWait(const Route &route, Duration callerTimeout);

// Returns the time after the arrival of a request, or after the last event of its stream, from which it is not sent to an endpoint any
// more: its caller has given up by then, or would before anything could arrive.
Duration dispatchTimeout(const Route &route, Duration callerTimeout);

// Returns the time from which a request is not sent to an endpoint any more. silentSince is the time of the last event of its stream, or of
// its arrival if there was none.
TimePoint latestDispatch(const Route &route, TimePoint arrivedAt, TimePoint silentSince, TimePoint deadline);

// Returns the time within which a stream began that its caller takes up: callers come back within the route's timeout.
Duration streamLifetime(const Route &route);

// Returns the time until which a request must be dispatched to meet the latency target of its route; never later than latestDispatch.
TimePoint targetDispatch(const Route &route, TimePoint arrivedAt, TimePoint latestDispatch);

// Dispatch order of queued requests at one moment. Lower values are dispatched first.
struct WaitingRank {
    // 0 if the request belongs to no workspace, or to one without a priority.
    std::uint32_t workspacePriority = 0;
    std::uint32_t priority = 0;
    // False for the rest of a stream: its caller has received a part already, and the endpoints that can continue it may be few.
    bool isNew = true;
    // Whether the latency target cannot be met any more, where requests are ordered by it. Otherwise each late request that goes first
    // makes another one late.
    bool isLate = false;
    // Until when the request must be dispatched: to meet its target, or to be of any use to its caller.
    TimePoint dispatchBy;
    TimePoint arrivedAt;

    auto operator<=>(const WaitingRank &) const = default;
};

// What decides among requests of one priority.
enum class DispatchOrder {
    // Who gives up first goes first.
    ByPatience,
    // Who can still meet the latency target goes first, the earliest target first; the others follow by patience.
    ByTarget
};

// Routes of one priority to one service.
struct DispatchClass {
    ServiceId service;
    std::uint32_t priority = 0;

    auto operator<=>(const DispatchClass &) const = default;
};

// Returns the classes whose routes have different latency targets: there the priority does not tell which requests are urgent.
std::set<DispatchClass> classesOfMixedTargets(const Deployment &deployment);

// Returns the shortest latency target of the routes to each service of the deployment.
std::map<ServiceId, Duration> shortestTargets(const Deployment &deployment);

// What the rank of a request is made of.
struct WaitingRequest {
    std::uint32_t workspacePriority = 0;
    bool isRestOfStream = false;
    TimePoint arrivedAt;
    TimePoint latestDispatch;
    DispatchOrder order = DispatchOrder::ByTarget;
};

WaitingRank rankAt(TimePoint now, const Route &route, const WaitingRequest &request);

} // namespace Hemlockhill
