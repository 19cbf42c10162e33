// Queue lengths at endpoints.
#include "hemlockhill/endpoint_queueing.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Endpoints reject what exceeds their own queue, which holds a few requests for each slot.
constexpr double MaximumQueueRatio = 1.5;
// Part of the latency target that a request may spend in the endpoint's queue.
constexpr double QueueTimeRatio = 0.5;

} // namespace

double endpointQueueRatio(Duration latencyTarget, Duration slotTime)
{
    if (slotTime <= Duration(0)) {
        return MinimumQueueRatio;
    }
    const double queueTime = QueueTimeRatio * std::chrono::duration<double>(latencyTarget).count();
    return std::clamp(queueTime / std::chrono::duration<double>(slotTime).count(), MinimumQueueRatio, MaximumQueueRatio);
}

} // namespace Hemlockhill
