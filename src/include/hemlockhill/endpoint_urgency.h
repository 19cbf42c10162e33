// The urgency of a request for the batch of its endpoint. Without I/O or state.
#pragma once

#include "hemlockhill/queue_policy.h"

#include <cstdint>

namespace Hemlockhill
{

// The least urgent value; 0 is the most urgent.
inline constexpr std::uint32_t LeastUrgency = 9;

// Returns the urgency of a request that is dispatched now. The order of two requests is that of their ranks, as far as ten values tell:
// three priorities of workspaces, three of routes in each, and one step for requests that have missed their target or are far from it.
std::uint32_t endpointUrgency(const WaitingRank &rank, TimePoint now);

} // namespace Hemlockhill
