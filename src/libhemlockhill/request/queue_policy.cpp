// Waiting times of routed requests, derived from the targets of their routes.
#include "hemlockhill/queue_policy.h"

#include <algorithm>
#include <map>

namespace Hemlockhill
{

namespace
{

// Minimum time from dispatching a request to an idle endpoint until the first byte of the response reaches the caller.
constexpr Duration MinimumFirstByteTime = std::chrono::milliseconds(130);
// The caller of a stream disconnects when no event arrives for the longest of a fixed time, a multiple of the latency target, and a
// multiple of the event gap target.
constexpr Duration MinimumStreamTimeout = std::chrono::seconds(2);
constexpr int LatencyTargetFactor = 4;
constexpr int EventGapFactor = 8;
// Allows for callers that come back at the end of their time, and for the lag of the list of endpoints.
constexpr Duration ResumptionMargin = std::chrono::seconds(5);
// Time reserved within that limit for a busy endpoint to produce its first event.
constexpr Duration FirstEventReserve = std::chrono::milliseconds(500);
// Fraction of the caller's timeout that an unstreamed request may spend in the queue. The rest leaves time for a retry after a
// refusal.
constexpr double UnstreamedQueueRatio = 0.4;
// Fraction of a long caller timeout after which a stream is refused, because a refusal is then more useful than further waiting.
constexpr double StreamQueueRatio = 0.25;
// Maximum fraction of a latency target that is reserved for the endpoint's answer: a call with a short target would count as late on
// arrival if the whole minimum were reserved.
constexpr int AnswerReserveDivisor = 4;

} // namespace

Duration callerStreamTimeout(const Route &route)
{
    return std::max({MinimumStreamTimeout, route.latencyTarget * LatencyTargetFactor, route.eventGapTarget * EventGapFactor});
}

Duration maximumQueueWait(const Route &route, Duration callerTimeout)
{
    if (route.kind != RouteKind::Streaming) {
        return std::chrono::duration_cast<Duration>(callerTimeout * UnstreamedQueueRatio);
    }
    const auto queueTime = std::max(route.latencyTarget, std::chrono::duration_cast<Duration>(callerTimeout * StreamQueueRatio));
    return std::min(callerStreamTimeout(route) - FirstEventReserve, queueTime);
}

Duration streamLifetime(const Route &route)
{
    return route.timeout + ResumptionMargin;
}

Duration dispatchTimeout(const Route &route, Duration callerTimeout)
{
    if (route.kind != RouteKind::Streaming) {
        return callerTimeout;
    }
    return std::min(callerTimeout, callerStreamTimeout(route) - MinimumFirstByteTime);
}

TimePoint latestDispatch(const Route &route, TimePoint arrivedAt, TimePoint silentSince, TimePoint deadline)
{
    return std::min(deadline, silentSince + dispatchTimeout(route, std::chrono::duration_cast<Duration>(deadline - arrivedAt)));
}

TimePoint targetDispatch(const Route &route, TimePoint arrivedAt, TimePoint latestDispatch)
{
    const Duration reserve = std::min(MinimumFirstByteTime, route.latencyTarget / AnswerReserveDivisor);
    return std::min(latestDispatch, arrivedAt + route.latencyTarget - reserve);
}

WaitingRank rankAt(TimePoint now, const Route &route, const WaitingRequest &request)
{
    const TimePoint target = targetDispatch(route, request.arrivedAt, request.latestDispatch);
    const bool isByTarget = request.order == DispatchOrder::ByTarget;
    // The target is one for the first event, which the rest of a stream has behind it.
    const bool isLate = isByTarget && (request.isRestOfStream || now > target);
    return {request.workspacePriority,
            route.priority,
            !request.isRestOfStream,
            isLate,
            isByTarget && !isLate ? target : request.latestDispatch,
            request.arrivedAt};
}

std::map<ServiceId, Duration> shortestTargets(const Deployment &deployment)
{
    std::map<ServiceId, Duration> targets;
    for (const Route &route : deployment.routes) {
        for (const WeightedService &weighted : route.weightedServices) {
            if (!deployment.services.contains(weighted.service)) {
                continue;
            }
            const auto [target, isNew] = targets.emplace(weighted.service, route.latencyTarget);
            target->second = std::min(target->second, route.latencyTarget);
        }
    }
    return targets;
}

std::set<DispatchClass> classesOfMixedTargets(const Deployment &deployment)
{
    std::map<DispatchClass, Duration> targets;
    std::set<DispatchClass> mixed;
    for (const Route &route : deployment.routes) {
        for (const WeightedService &weighted : route.weightedServices) {
            const DispatchClass dispatchClass{weighted.service, route.priority};
            const auto [known, isNew] = targets.emplace(dispatchClass, route.latencyTarget);
            if (!isNew && known->second != route.latencyTarget) {
                mixed.insert(dispatchClass);
            }
        }
    }
    return mixed;
}

} // namespace Hemlockhill
