// How many requests may queue at an endpoint. Without I/O or state.
//
// Designed for short calls from many nodes: what a node knows of the free slots of an endpoint is about as old as a call is long, so that
// slots stay idle between two calls while requests wait at the nodes. Requests that queue at the endpoint start when a slot becomes free.
// Those for long streams wait at the nodes, where the most urgent one is dispatched first.
#pragma once

#include "hemlockhill/world.h"

namespace Hemlockhill
{

// Requests queued at an endpoint, as a ratio of its slots: enough to use a freed slot immediately.
inline constexpr double MinimumQueueRatio = 0.12;

// Returns the ratio for requests that have the given latency target and hold a slot for the given time on average: those that queue must
// not wait for more than half of the target. Zero for the time means that it is not known.
double endpointQueueRatio(Duration latencyTarget, Duration slotTime);

} // namespace Hemlockhill
