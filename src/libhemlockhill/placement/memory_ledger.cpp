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

void EndpointLedger::bound(const OrderId &order, TimePoint arrivesUntil)
{
    const auto found = m_charges.find(order);
    if (found == m_charges.end()) {
        return;
    }
    TimePoint &known = found->second.arrivesUntil;
    known = known == TimePoint::max() ? arrivesUntil : std::max(known, arrivesUntil);
}

void EndpointLedger::release(const OrderId &order)
{
    m_charges.erase(order);
}

// Accepts another incarnation, and the absence of an item, only if the figures are certainly more recent than the last report of the
// present incarnation.
void EndpointLedger::report(const EndpointReport &report)
{
    if (m_lastReport && report.askedAt < *m_lastReport) {
        return;
    }
    if (m_lastReport && report.incarnation != m_incarnation) {
        if (report.askedAt - m_bounds.reportLag <= *m_lastReport) {
            return;
        }
        m_contents.clear();
        m_used = Bytes{};
    }
    m_incarnation = report.incarnation;
    m_lastReport = report.askedAt;
    m_reportedLimit = report.memoryTotal;
    const auto listed = listedItems(report);
    noteContents(listed, report.askedAt);
    noteUsed(report.memoryUsed, report.askedAt);
    noteObserved(listed, report.askedAt);
}

void EndpointLedger::noteContents(const std::map<MemoryItem, Bytes> &listed, TimePoint askedAt)
{
    for (const auto &[item, bytes] : listed) {
        LedgerContent &content = m_contents[item];
        content.bytes = std::max(content.bytes, bytes);
        content.lastSeen = askedAt;
    }
    std::erase_if(m_contents, [&](const auto &entry) { return askedAt - m_bounds.reportLag > entry.second.lastSeen; });
}

void EndpointLedger::noteUsed(Bytes used, TimePoint askedAt)
{
    if (used >= m_used || askedAt - m_bounds.reportLag > m_usedSeen) {
        m_used = used;
        m_usedSeen = askedAt;
    }
}

void EndpointLedger::noteObserved(const std::map<MemoryItem, Bytes> &listed, TimePoint askedAt)
{
    for (auto &[id, charge] : m_charges) {
        const bool young = askedAt - m_bounds.reportLag > charge.since;
        if (charge.order.action == OrderAction::Load && young && charge.order.incarnation == m_incarnation
            && listed.contains(charge.order.item)) {
            charge.observed = true;
            Bytes &bytes = m_contents.at(charge.order.item).bytes;
            bytes = std::max(bytes, charge.order.bytes);
        }
    }
}

// Engines that check incarnations refuse orders for a former incarnation, and lose the loads that it had started.
bool EndpointLedger::fencedOff(const Order &order) const
{
    return m_fencing == FencingMode::Checked && m_lastReport && order.incarnation != m_incarnation;
}

bool EndpointLedger::reportedAfter(TimePoint instant) const
{
    return instant != TimePoint::max() && m_lastReport && *m_lastReport - m_bounds.reportLag > instant;
}

OrderFate EndpointLedger::fate(const OrderId &order) const
{
    const auto found = m_charges.find(order);
    if (found == m_charges.end()) {
        return OrderFate::Expired;
    }
    const LedgerCharge &charge = found->second;
    if (fencedOff(charge.order)) {
        return OrderFate::RestartedAway;
    }
    const bool sameIncarnation = charge.order.incarnation == m_incarnation;
    const bool arrived = m_fencing == FencingMode::Checked || reportedAfter(charge.arrivesUntil);
    if (charge.order.action == OrderAction::Evict) {
        if (arrived && sameIncarnation && m_lastReport && !m_contents.contains(charge.order.item)) {
            return OrderFate::Observed;
        }
        return reportedAfter(charge.arrivesUntil) ? OrderFate::Expired : OrderFate::MayAct;
    }
    if (arrived && sameIncarnation && charge.observed) {
        return OrderFate::Observed;
    }
    const bool ended = charge.arrivesUntil != TimePoint::max() && reportedAfter(charge.arrivesUntil + m_bounds.loadTime);
    return ended ? OrderFate::Expired : OrderFate::MayAct;
}

bool EndpointLedger::countsBesideContents(const LedgerCharge &charge) const
{
    if (charge.order.action != OrderAction::Load) {
        return false;
    }
    const bool inContents = charge.observed && charge.order.incarnation == m_incarnation;
    return !inContents && fate(charge.order.id) == OrderFate::MayAct;
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
        if (countsBesideContents(charge)) {
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
