// How requests wait for room: how long that is of use to their callers, and who goes first. Pure decisions.
//
// Answers the load pattern of bursts beyond what the runners can take: those that can still be answered on time go before those that
// are late already, and whoever would leave before an answer is told to come back while that is still of use.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/world.h"

#include <compare>
#include <cstdint>

namespace Hemlockhill
{

// Whether an answer that begins after this time can no longer meet the route's target.
bool isLate(const Route &route, Duration waited);

// How long the caller of a stream of the route waits for its next event before it leaves.
Duration callerSilence(const Route &route);

// How long a request of the route is worth keeping waiting, from its arrival; its caller waits for the end of the answer that long.
Duration usefulWait(const Route &route, Duration callerPatience);

// The order of waiting requests: lower ones go first.
struct WaitingRank {
    bool late = false;
    std::uint32_t priority = 0;
    TimePoint arrivedAt;

    auto operator<=>(const WaitingRank &) const = default;
};

} // namespace Hemlockhill
