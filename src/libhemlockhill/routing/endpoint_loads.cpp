// Notices and reports of the load of endpoints.
#include "hemlockhill/endpoint_loads.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Time after which a notice expires: that of the end may have been lost, or the node may have stopped. Longer than most streams.
constexpr Duration NoticeExpiry = std::chrono::seconds(6);
// For how long a report tells the present load.
constexpr Duration ReportValidity = std::chrono::milliseconds(150);
// For how long a report is a better guess than none.
constexpr Duration ReportExpiry = std::chrono::seconds(2);

Duration ageOf(TimePoint at, TimePoint now)
{
    return std::chrono::duration_cast<Duration>(now - at);
}

} // namespace

void EndpointLoads::onNotice(const VmId &node, const EndpointRequests &count, TimePoint now)
{
    auto &nodes = m_records[count.endpoint].nodes;
    if (count.requests > 0) {
        nodes[node] = {count.requests, now};
    } else {
        nodes.erase(node);
    }
}

void EndpointLoads::onCounts(const VmId &node,
                             const std::vector<EndpointId> &endpoints,
                             const std::vector<EndpointRequests> &counts,
                             TimePoint now)
{
    for (const EndpointId &endpoint : endpoints) {
        if (const auto found = m_records.find(endpoint); found != m_records.end()) {
            found->second.nodes.erase(node);
        }
    }
    for (const EndpointRequests &count : counts) {
        onNotice(node, count, now);
    }
}

void EndpointLoads::onReport(const EndpointRequests &others, TimePoint now)
{
    Record &record = m_records[others.endpoint];
    record.reported = others.requests;
    record.reportedAt = now;
}

OthersLoad EndpointLoads::others(const EndpointId &endpoint, bool hearsAll, TimePoint now) const
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end()) {
        return {0, Duration(0), hearsAll};
    }
    const Record &record = found->second;
    const Duration reportAge = ageOf(record.reportedAt, now);
    if (!hearsAll && record.reportedAt != TimePoint{} && reportAge < ReportExpiry) {
        return {record.reported, reportAge, reportAge < ReportValidity};
    }
    OthersLoad load{0, Duration(0), hearsAll};
    for (const auto &[node, count] : record.nodes) {
        const Duration age = ageOf(count.at, now);
        if (age < NoticeExpiry) {
            load.requests += count.requests;
            load.age = std::max(load.age, age);
        }
    }
    return load;
}

std::uint32_t EndpointLoads::sumWithout(const VmId &node, const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end()) {
        return 0;
    }
    std::uint32_t sum = 0;
    for (const auto &[other, count] : found->second.nodes) {
        sum += other != node && ageOf(count.at, now) < NoticeExpiry ? count.requests : 0;
    }
    return sum;
}

void EndpointLoads::onDirectory(const EndpointsById &endpoints)
{
    std::erase_if(m_records, [&](const auto &entry) { return !endpoints.contains(entry.first); });
}

} // namespace Hemlockhill
