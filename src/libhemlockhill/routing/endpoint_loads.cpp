// Notices and reports of the load of endpoints.
#include "hemlockhill/endpoint_loads.h"

#include "hemlockhill/endpoint_memory.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Time after which a notice expires: that of the end may have been lost, or the node may have stopped. Longer than most streams.
constexpr Duration NoticeExpiry = std::chrono::seconds(6);
// Interval at which expired notices are looked for.
constexpr Duration ExpiryPeriod = std::chrono::milliseconds(250);
// For how long a report tells the present load.
constexpr Duration ReportValidity = std::chrono::milliseconds(150);
// For how long a report is a better guess than none.
constexpr Duration ReportExpiry = std::chrono::seconds(2);

Duration ageOf(TimePoint at, TimePoint now)
{
    return std::chrono::duration_cast<Duration>(now - at);
}

} // namespace

void EndpointLoads::drop(const EndpointId &endpoint, const NodeCount &count)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end()) {
        found->second.total -= std::min(found->second.total, count.requests);
        found->second.tokens -= std::min(found->second.tokens, count.tokens);
    }
}

void EndpointLoads::dropExpired(TimePoint now)
{
    if (now - m_expiredAt < ExpiryPeriod) {
        return;
    }
    m_expiredAt = now;
    for (auto &[node, counts] : m_nodes) {
        std::erase_if(counts, [&](const auto &entry) {
            const bool isExpired = now - entry.second.at >= NoticeExpiry;
            if (isExpired) {
                drop(entry.first, entry.second);
            }
            return isExpired;
        });
    }
    std::erase_if(m_nodes, [](const auto &entry) { return entry.second.empty(); });
}

void EndpointLoads::onNotice(const VmId &node, const EndpointRequests &count, TimePoint now)
{
    dropExpired(now);
    Counts &counts = m_nodes[node];
    if (const auto known = counts.find(count.endpoint); known != counts.end()) {
        drop(count.endpoint, known->second);
        counts.erase(known);
    }
    if (count.requests > 0) {
        const TokenCount estimate{UndeclaredTokens.value * count.requests};
        const TokenCount tokens = count.tokens == TokenCount{0} ? estimate : count.tokens;
        counts[count.endpoint] = {count.requests, tokens, now};
        Record &record = m_records[count.endpoint];
        record.total += count.requests;
        record.tokens += tokens;
    }
}

void EndpointLoads::onCounts(const VmId &node,
                             const std::function<bool(const EndpointId &endpoint)> &isConcerned,
                             const std::vector<EndpointRequests> &counts,
                             TimePoint now)
{
    if (const auto known = m_nodes.find(node); known != m_nodes.end()) {
        std::erase_if(known->second, [&](const auto &entry) {
            const bool isOutdated = isConcerned(entry.first);
            if (isOutdated) {
                drop(entry.first, entry.second);
            }
            return isOutdated;
        });
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

OthersLoad EndpointLoads::others(const EndpointId &endpoint, bool hearsAll, TimePoint now)
{
    dropExpired(now);
    const auto found = m_records.find(endpoint);
    if (found == m_records.end()) {
        return {0, Duration(0), hearsAll};
    }
    const Record &record = found->second;
    const Duration reportAge = ageOf(record.reportedAt, now);
    if (!hearsAll && record.reportedAt != TimePoint{} && reportAge < ReportExpiry) {
        return {record.reported, reportAge, reportAge < ReportValidity};
    }
    return {record.total, Duration(0), hearsAll};
}

std::uint32_t EndpointLoads::sumWithout(const VmId &node, const EndpointId &endpoint, TimePoint now)
{
    dropExpired(now);
    const auto record = m_records.find(endpoint);
    if (record == m_records.end()) {
        return 0;
    }
    std::uint32_t own = 0;
    if (const auto counts = m_nodes.find(node); counts != m_nodes.end()) {
        const auto found = counts->second.find(endpoint);
        own = found == counts->second.end() ? 0 : found->second.requests;
    }
    return record->second.total - std::min(own, record->second.total);
}

TokenCount EndpointLoads::tokensWithout(const VmId &node, const EndpointId &endpoint, TimePoint now)
{
    dropExpired(now);
    const auto record = m_records.find(endpoint);
    return record == m_records.end() ? TokenCount{0} : record->second.tokens - std::min(record->second.tokens, tokensOf(node, endpoint));
}

TokenCount EndpointLoads::tokensOf(const VmId &node, const EndpointId &endpoint) const
{
    const auto counts = m_nodes.find(node);
    if (counts == m_nodes.end()) {
        return TokenCount{0};
    }
    const auto found = counts->second.find(endpoint);
    return found == counts->second.end() ? TokenCount{0} : found->second.tokens;
}

std::uint32_t EndpointLoads::requestsOf(const VmId &node, const EndpointId &endpoint) const
{
    const auto counts = m_nodes.find(node);
    if (counts == m_nodes.end()) {
        return 0;
    }
    const auto found = counts->second.find(endpoint);
    return found == counts->second.end() ? 0 : found->second.requests;
}

Duration EndpointLoads::oldestNotice(const EndpointId &endpoint, TimePoint now) const
{
    Duration oldest{0};
    for (const auto &[node, counts] : m_nodes) {
        if (const auto found = counts.find(endpoint); found != counts.end()) {
            oldest = std::max(oldest, ageOf(found->second.at, now));
        }
    }
    return oldest;
}

void EndpointLoads::onDirectory(const EndpointsById &endpoints)
{
    std::erase_if(m_records, [&](const auto &entry) { return !endpoints.contains(entry.first); });
    for (auto &[node, counts] : m_nodes) {
        std::erase_if(counts, [&](const auto &entry) { return !endpoints.contains(entry.first); });
    }
}

} // namespace Hemlockhill
