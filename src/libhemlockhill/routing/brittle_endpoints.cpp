// Quotas of concurrent requests at brittle endpoints.
#include "hemlockhill/brittle_endpoints.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Hemlockhill
{

namespace
{

// While this many requests per other node fit in addition to those that run, a node may exceed its quota.
constexpr double SlackPerNode = 2;

} // namespace

BrittleEndpoints::BrittleEndpoints(VmId self, BrittleEndpointLimits limits)
    : m_self(std::move(self))
    , m_limits(limits)
{
}

BrittleEndpoints::Record &BrittleEndpoints::recordOf(const LiveEndpoint &endpoint, TimePoint now)
{
    const auto [found, isNew] = m_records.try_emplace(endpoint.id);
    if (isNew) {
        found->second.service = endpoint.service;
        const ServiceRecord &service = m_services[endpoint.service];
        const double initial = endpoint.slots * m_limits.initialRatio;
        found->second.bound = std::max(1.0, std::min(initial, service.boundAfterRejection.value_or(initial)));
        found->second.changedAt = now;
        found->second.rejectionLimit = service.rejectionLimit;
    }
    return found->second;
}

void BrittleEndpoints::onAnswer(const LiveEndpoint &endpoint, std::optional<std::uint32_t> rejectionLimit, TimePoint now)
{
    if (!rejectionLimit) {
        const auto known = m_records.find(endpoint.id);
        if (known != m_records.end()) {
            known->second.isBrittle = false;
        }
        return;
    }
    ServiceRecord &service = m_services[endpoint.service];
    const bool isFirstOfService = now - service.declaredAt >= m_limits.serviceMemory;
    service.declaredAt = now;
    service.rejectionLimit = *rejectionLimit;
    Record &record = recordOf(endpoint, now);
    // The endpoints that serve when their service becomes brittle go on with all their slots.
    if (isFirstOfService || record.isBrittle == false) {
        record.bound = endpoint.slots;
    }
    record.isBrittle = true;
    record.rejectionLimit = *rejectionLimit;
}

void BrittleEndpoints::onRejected(const EndpointId &endpoint, TimePoint now)
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end()) {
        return;
    }
    Record &record = found->second;
    record.rejections.insert(now);
    record.rejections.erase(record.rejections.begin(), record.rejections.lower_bound(now - m_limits.rejectionWindow));
    record.bound = std::max(1.0, std::floor(record.bound * m_limits.rejectionFactor));
    record.changedAt = now;
    m_services[record.service].boundAfterRejection = record.bound;
}

void BrittleEndpoints::onDirectory(const EndpointsById &endpoints)
{
    std::erase_if(m_records, [&](const auto &entry) { return !endpoints.contains(entry.first); });
}

bool BrittleEndpoints::isBrittle(const LiveEndpoint &endpoint, TimePoint now) const
{
    const auto found = m_records.find(endpoint.id);
    if (found != m_records.end() && found->second.isBrittle) {
        return *found->second.isBrittle;
    }
    const auto service = m_services.find(endpoint.service);
    return service != m_services.end() && now - service->second.declaredAt < m_limits.serviceMemory;
}

double BrittleEndpoints::boundAt(const Record &record, std::uint32_t slots, TimePoint now) const
{
    const double periods = std::chrono::duration<double>(now - record.changedAt) / std::chrono::duration<double>(m_limits.risePeriod);
    return std::min<double>(slots, record.bound + std::floor(periods));
}

std::set<VmId> BrittleEndpoints::activeNodes(TimePoint now) const
{
    std::set<VmId> nodes = m_alwaysActive;
    nodes.insert(m_self);
    for (const auto &[node, at] : m_nodes) {
        if (now - at < m_limits.nodeMemory) {
            nodes.insert(node);
        }
    }
    return nodes;
}

// Divides the bound equally. The remainder goes to the nodes with the lowest hashes, which differ from endpoint to endpoint.
std::uint32_t BrittleEndpoints::quota(const EndpointId &endpoint, std::uint32_t bound, TimePoint now) const
{
    const auto hashOf = [&endpoint](const VmId &node) {
        const std::string key = endpoint.value + ' ' + node.value;
        return XXH3_64bits(key.data(), key.size());
    };
    const std::set<VmId> nodes = activeNodes(now);
    const auto count = static_cast<std::uint32_t>(nodes.size());
    const auto own = hashOf(m_self);
    const auto lower = std::count_if(nodes.begin(), nodes.end(), [&](const VmId &node) { return hashOf(node) < own; });
    return bound / count + (lower < bound % count ? 1 : 0);
}

bool BrittleEndpoints::accepts(const LiveEndpoint &endpoint, std::uint32_t own, double load, TimePoint now)
{
    Record &record = recordOf(endpoint, now);
    record.rejections.erase(record.rejections.begin(), record.rejections.lower_bound(now - m_limits.rejectionWindow));
    if (!record.rejections.empty() && 2 * record.rejections.size() >= record.rejectionLimit) {
        return false;
    }
    const double bound = boundAt(record, endpoint.slots, now);
    if (load >= bound) {
        return false;
    }
    const double slack = SlackPerNode * static_cast<double>(activeNodes(now).size() - 1);
    return load + slack < bound || own < quota(endpoint.id, static_cast<std::uint32_t>(bound), now);
}

} // namespace Hemlockhill
