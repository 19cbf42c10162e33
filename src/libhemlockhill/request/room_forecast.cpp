// Mean times of slots, and times at which refused callers return.
#include "hemlockhill/room_forecast.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Callers that return earlier find the same queue.
constexpr Duration MinimumDelay = std::chrono::milliseconds(200);
// Part of the caller's time left within which it returns, and of that the part after which no caller is told to return at the earliest, so
// that they are spread even when there will be no room in time.
constexpr int TimeLeftDivisor = 3;
constexpr double LatestStart = 0.6;
constexpr double SpreadRatio = 0.5;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

SlotTimes::SlotTimes(SlotTimeLimits limits)
    : m_limits(limits)
{
}

void SlotTimes::onServed(const LoadSubject &subject, Duration held)
{
    if (m_means.size() >= m_limits.subjects && !m_means.contains(subject)) {
        m_means.clear();
    }
    Mean &mean = m_means[subject];
    ++mean.samples;
    // The first requests count alike, so that the average does not depend on the very first one.
    const double weight = std::max(m_limits.weight, 1.0 / mean.samples);
    mean.seconds += weight * (std::chrono::duration<double>(held).count() - mean.seconds);
}

Duration SlotTimes::meanTime(const LoadSubject &subject) const
{
    const auto found = m_means.find(subject);
    if (found == m_means.end() || found->second.samples < m_limits.samples) {
        return Duration(0);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(found->second.seconds));
}

RequestRate SlotTimes::releaseRate(const LoadSubject &subject, double slots) const
{
    const double seconds = std::chrono::duration<double>(meanTime(subject)).count();
    return RequestRate{seconds <= 0 ? 0 : slots / seconds};
}

Duration returnDelay(Duration roomIn, Duration timeLeft, double fraction)
{
    const Duration latest = std::max(MinimumDelay, timeLeft / TimeLeftDivisor);
    const Duration earliest = std::max(MinimumDelay, std::min(roomIn, scaled(latest, LatestStart)));
    const Duration spread = std::min(latest - std::min(latest, earliest), std::max(MinimumDelay, scaled(earliest, SpreadRatio)));
    return std::min(latest, earliest + scaled(spread, fraction));
}

} // namespace Hemlockhill
