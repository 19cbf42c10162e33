// How long a stream is expected to take at an endpoint. Without I/O or state.
//
// Endpoints of one service may differ in speed by a multiple. A stream that takes longer than its caller waits is lost, and has kept its
// slot for all that time.
#pragma once

#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/world.h"

#include <vector>

namespace Hemlockhill
{

// What a request asks for as a stream.
struct StreamDemand {
    // Events that the caller expects; 0 if this is not known.
    double events = 0;
    // Time until the caller's deadline.
    Duration timeLeft{0};
};

// Expected duration of the stream at an endpoint with this interval between events; zero if either is not known.
Duration streamDuration(const StreamDemand &demand, Duration eventInterval);
// Whether the stream would probably not be complete by the caller's deadline.
bool exceedsDeadline(const StreamDemand &demand, Duration eventInterval);
// Cost of the stream's duration at an endpoint, in requests per slot.
double streamDurationCost(const StreamDemand &demand, Duration eventInterval);
// The interval that is assumed for endpoints whose own is not known: the median of those that are. Zero if none is.
Duration typicalEventInterval(const std::vector<const LiveEndpoint *> &endpoints);

} // namespace Hemlockhill
