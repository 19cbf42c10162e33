// Waiting times of routed requests, derived from the targets of their routes.
#include "hemlockhill/waiting.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Minimum time from dispatching a request to an idle endpoint until the first byte of the response reaches the caller.
constexpr Duration ShortestAnswer = std::chrono::milliseconds(130);
// The caller of a stream disconnects when no event arrives for the longest of a fixed time, a multiple of the latency target, and a
// multiple of the event gap target.
constexpr Duration CallerSilenceLimit = std::chrono::seconds(2);
constexpr int TargetsOfSilence = 4;
constexpr int GapsOfSilence = 8;
// Time reserved within that limit for a busy endpoint to produce its first event.
constexpr Duration SlowAnswer = std::chrono::milliseconds(500);
// Fraction of the caller's timeout that an unstreamed request may spend in the queue. The rest leaves time for a retry after a
// refusal.
constexpr double WaitingPart = 0.4;
// Fraction of a long caller timeout after which a stream is refused, because a refusal is then more useful than further waiting.
constexpr double PatiencePart = 0.25;

} // namespace

bool isLate(const Route &route, Duration waited)
{
    return waited + ShortestAnswer > route.latencyTarget;
}

Duration callerSilence(const Route &route)
{
    return std::max({CallerSilenceLimit, route.latencyTarget * TargetsOfSilence, route.eventGapTarget * GapsOfSilence});
}

Duration usefulWait(const Route &route, Duration callerPatience)
{
    if (route.kind != RouteKind::Streaming) {
        return std::chrono::duration_cast<Duration>(callerPatience * WaitingPart);
    }
    const auto part = std::max(route.latencyTarget, std::chrono::duration_cast<Duration>(callerPatience * PatiencePart));
    return std::min(callerSilence(route) - SlowAnswer, part);
}

} // namespace Hemlockhill
