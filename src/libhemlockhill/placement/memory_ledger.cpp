// A report is evidence only for the time up to which its figures are certain to be current: the time it was received less the maximum age
// of its figures.
#include "hemlockhill/memory_ledger.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

std::map<MemoryItem, Bytes> listedItems(const EndpointReport &report)
{
    std::map<MemoryItem, Bytes> listed;
    for (const LoadedModel &model : report.models) {
        listed[{model.model, AdapterId{}, model.version}] += model.bytes;
    }
    for (const LoadedAdapter &adapter : report.adapters) {
        listed[{adapter.model, adapter.adapter, adapter.version}] += adapter.bytes;
    }
    return listed;
}

} // namespace

void EndpointLedger::declare(Bytes limit, FencingMode fencing)
{
    m_declaredLimit = limit;
    m_fencing = fencing;
}

void EndpointLedger::charge(const Order &order, TimePoint now)
{
    m_charges.emplace(order.id, LedgerCharge{order, now});
}

void EndpointLedger::setLatestArrival(const OrderId &order, TimePoint latestArrival)
{
    const auto found = m_charges.find(order);
    if (found == m_charges.end()) {
        return;
    }
    TimePoint &known = found->second.latestArrival;
    known = known == TimePoint::max() ? latestArrival : std::max(known, latestArrival);
}

void EndpointLedger::release(const OrderId &order)
{
    m_charges.erase(order);
}

// Accepts another incarnation, and the absence of an item, only if the figures are certainly more recent than the last report of the
// present incarnation.
void EndpointLedger::report(const EndpointReport &report)
{
    if (m_lastReport && report.requestedAt < *m_lastReport) {
        return;
    }
    if (m_lastReport && report.incarnation != m_incarnation) {
        if (report.requestedAt - m_bounds.maxReportAge <= *m_lastReport) {
            return;
        }
        m_contents.clear();
        m_used = Bytes{};
    }
    m_incarnation = report.incarnation;
    m_lastReport = report.requestedAt;
    m_reportedLimit = report.memoryTotal;
    const auto listed = listedItems(report);
    updateContents(listed, report.requestedAt);
    updateUsed(report.memoryUsed, report.requestedAt);
    markObserved(listed, report.requestedAt);
}

void EndpointLedger::updateContents(const std::map<MemoryItem, Bytes> &listed, TimePoint requestedAt)
{
    for (const auto &[item, bytes] : listed) {
        LedgerContent &content = m_contents[item];
        content.bytes = std::max(content.bytes, bytes);
        content.lastSeen = requestedAt;
    }
    std::erase_if(m_contents, [&](const auto &entry) { return requestedAt - m_bounds.maxReportAge > entry.second.lastSeen; });
}

void EndpointLedger::updateUsed(Bytes used, TimePoint requestedAt)
{
    if (used >= m_used || requestedAt - m_bounds.maxReportAge > m_usedSeen) {
        m_used = used;
        m_usedSeen = requestedAt;
    }
}

void EndpointLedger::markObserved(const std::map<MemoryItem, Bytes> &listed, TimePoint requestedAt)
{
    for (auto &[id, charge] : m_charges) {
        const bool isRecent = requestedAt - m_bounds.maxReportAge > charge.since;
        if (charge.order.action == OrderAction::Load && isRecent && charge.order.incarnation == m_incarnation
            && listed.contains(charge.order.item)) {
            charge.observed = true;
            Bytes &bytes = m_contents.at(charge.order.item).bytes;
            bytes = std::max(bytes, charge.order.bytes);
        }
    }
}

// Engines that check incarnations refuse orders for a former incarnation, and lose the loads that it had started.
bool EndpointLedger::lostInRestart(const Order &order) const
{
    return m_fencing == FencingMode::Checked && m_lastReport && order.incarnation != m_incarnation;
}

bool EndpointLedger::reportedAfter(TimePoint instant) const
{
    return instant != TimePoint::max() && m_lastReport && *m_lastReport - m_bounds.maxReportAge > instant;
}

OrderEffect EndpointLedger::effect(const OrderId &order) const
{
    const auto found = m_charges.find(order);
    if (found == m_charges.end()) {
        return OrderEffect::Expired;
    }
    const LedgerCharge &charge = found->second;
    if (lostInRestart(charge.order)) {
        return OrderEffect::LostInRestart;
    }
    const bool sameIncarnation = charge.order.incarnation == m_incarnation;
    const bool arrived = m_fencing == FencingMode::Checked || reportedAfter(charge.latestArrival);
    if (charge.order.action == OrderAction::Evict) {
        if (arrived && sameIncarnation && m_lastReport && !m_contents.contains(charge.order.item)) {
            return OrderEffect::Observed;
        }
        return reportedAfter(charge.latestArrival) ? OrderEffect::Expired : OrderEffect::Possible;
    }
    if (arrived && sameIncarnation && charge.observed) {
        return OrderEffect::Observed;
    }
    const bool ended = charge.latestArrival != TimePoint::max() && reportedAfter(charge.latestArrival + m_bounds.maxLoadTime);
    return ended ? OrderEffect::Expired : OrderEffect::Possible;
}

bool EndpointLedger::chargedInAddition(const LedgerCharge &charge) const
{
    if (charge.order.action != OrderAction::Load) {
        return false;
    }
    const bool inContents = charge.observed && charge.order.incarnation == m_incarnation;
    return !inContents && effect(charge.order.id) == OrderEffect::Possible;
}

Bytes EndpointLedger::limit() const
{
    return m_reportedLimit.value == 0 ? m_declaredLimit : std::min(m_declaredLimit, m_reportedLimit);
}

// A load in progress that the engine already counts as used is charged twice until it is listed, since the unlisted memory might belong to
// something else.
Bytes EndpointLedger::charged() const
{
    Bytes total;
    for (const auto &[item, content] : m_contents) {
        total += content.bytes;
    }
    total = std::max(total, m_used);
    for (const auto &[id, charge] : m_charges) {
        if (chargedInAddition(charge)) {
            total += charge.order.bytes;
        }
    }
    return total;
}

Bytes EndpointLedger::free() const
{
    const Bytes used = charged();
    return used < limit() ? limit() - used : Bytes{};
}

EndpointLedger &MemoryLedger::at(const EndpointId &endpoint, TimePoint now)
{
    return m_endpoints.try_emplace(endpoint, m_bounds, now).first->second;
}

EndpointLedger *MemoryLedger::find(const EndpointId &endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

const EndpointLedger *MemoryLedger::find(const EndpointId &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

} // namespace Hemlockhill
