// Expected durations of streams.
#include "hemlockhill/stream_duration.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Cost of a stream that takes all of its caller's time, in requests per slot: a short stream goes to the less loaded endpoint, a long one
// to the faster.
constexpr double WholeTimeCost = 0.6;

} // namespace

Duration streamDuration(const StreamDemand &demand, Duration eventInterval)
{
    return std::chrono::duration_cast<Duration>(eventInterval * demand.events);
}

bool exceedsDeadline(const StreamDemand &demand, Duration eventInterval)
{
    return streamDuration(demand, eventInterval) > demand.timeLeft;
}

double streamDurationCost(const StreamDemand &demand, Duration eventInterval)
{
    const Duration duration = streamDuration(demand, eventInterval);
    if (duration <= Duration(0) || demand.timeLeft <= Duration(0)) {
        return 0;
    }
    const double ratio = std::chrono::duration<double>(duration) / std::chrono::duration<double>(demand.timeLeft);
    return WholeTimeCost * std::min(ratio, 1.0);
}

Duration typicalEventInterval(const std::vector<const LiveEndpoint *> &endpoints)
{
    std::vector<Duration> known;
    for (const LiveEndpoint *endpoint : endpoints) {
        if (endpoint->eventInterval > Duration(0)) {
            known.push_back(endpoint->eventInterval);
        }
    }
    if (known.empty()) {
        return Duration(0);
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

} // namespace Hemlockhill
