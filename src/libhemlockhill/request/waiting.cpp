// Patience of callers, as their routes tell it.
#include "hemlockhill/waiting.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// From sending a request to an idle endpoint until the first byte of its answer reaches the caller.
constexpr Duration ShortestAnswer = std::chrono::milliseconds(130);
// Callers of a stream leave when nothing comes for the longest of a time, a multiple of the target, and a multiple of the event gap.
constexpr Duration CallerSilenceLimit = std::chrono::seconds(2);
constexpr int TargetsOfSilence = 4;
constexpr int GapsOfSilence = 8;
// Kept back from that silence: the time that a busy endpoint takes until its first event.
constexpr Duration SlowAnswer = std::chrono::milliseconds(500);
// The part of the time until its deadline that a whole answer may wait: a call that comes back must still find time.
constexpr double WaitingPart = 0.4;
// The part of a long patience after which a refusal is worth more than more waiting.
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
