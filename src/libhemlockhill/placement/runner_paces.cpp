// Event intervals of runners, as moving averages.
#include "hemlockhill/runner_paces.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Hemlockhill
{

void RunnerPaces::onReport(const EndpointId &runner, const Incarnation &incarnation, const EventCounts &events, TimePoint now)
{
    Record &record = m_records[runner];
    if (record.incarnation != incarnation) {
        record = Record{incarnation, events, now};
        return;
    }
    const Duration span = now - record.reportedAt;
    if (span < m_limits.minimumSpan) {
        return;
    }
    measure(record, events, span);
    record.events = events;
    record.reportedAt = now;
}

// Requests that have not produced an event by the first report may still be waiting or reading their prompt.
void RunnerPaces::measure(Record &record, const EventCounts &events, Duration span) const
{
    std::vector<std::uint32_t> produced;
    for (const auto &[request, count] : events) {
        const auto before = record.events.find(request);
        if (before != record.events.end() && before->second > 0 && count >= before->second) {
            produced.push_back(count - before->second);
        }
    }
    if (produced.empty()) {
        return;
    }
    const auto middle = produced.begin() + static_cast<std::ptrdiff_t>(produced.size() / 2);
    std::nth_element(produced.begin(), middle, produced.end());
    const double seconds = std::chrono::duration<double>(span).count();
    const double limit = std::chrono::duration<double>(m_limits.maximumInterval).count();
    const double interval = *middle == 0 ? limit : std::min(limit, seconds / *middle);
    const double weight = 1 - std::exp(-seconds / std::chrono::duration<double>(m_limits.timeConstant).count());
    record.measured = record.measured == 0 ? interval : record.measured * std::pow(interval / record.measured, weight);
    const bool differs =
        record.told == 0 || record.measured > record.told * m_limits.tolerance || record.measured * m_limits.tolerance < record.told;
    if (differs) {
        record.told = record.measured;
    }
}

Duration RunnerPaces::eventInterval(const EndpointId &runner) const
{
    const auto found = m_records.find(runner);
    const double seconds = found == m_records.end() ? 0 : found->second.told;
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
}

void RunnerPaces::onListing(const EndpointsById &listing)
{
    std::erase_if(m_records, [&](const auto &entry) { return !listing.contains(entry.first); });
}

} // namespace Hemlockhill
