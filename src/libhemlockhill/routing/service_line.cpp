// Who waits for a subject at which node.
#include "hemlockhill/service_line.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

bool canRun(const LiveEndpoint &endpoint, const LoadSubject &subject)
{
    return endpoint.service == subject.service && (subject.target.model.empty() || endpoint.holds(subject.target));
}

} // namespace

WaitingAtNode describeWaiting(const WaitingRank &mostUrgent, std::uint32_t requests, bool hasYielded, TimePoint now)
{
    WaitingAtNode waiting;
    waiting.workspacePriority = mostUrgent.workspacePriority;
    waiting.priority = mostUrgent.priority;
    waiting.isNew = mostUrgent.isNew;
    waiting.isLate = mostUrgent.isLate;
    waiting.dispatchIn = std::chrono::duration_cast<Duration>(mostUrgent.dispatchBy - now);
    waiting.age = std::chrono::duration_cast<Duration>(now - mostUrgent.arrivedAt);
    waiting.requests = requests;
    waiting.hasYielded = hasYielded;
    return waiting;
}

WaitingRank rankOf(const WaitingAtNode &waiting, TimePoint now)
{
    return {waiting.workspacePriority, waiting.priority, waiting.isNew, waiting.isLate, now + waiting.dispatchIn, now - waiting.age};
}

ServiceLine::ServiceLine(ServiceLineLimits limits)
    : m_limits(limits)
{
}

void ServiceLine::dropExpired(Entries &entries, TimePoint now) const
{
    std::erase_if(entries, [&](const auto &entry) { return now - entry.second.at >= m_limits.validity; });
}

void ServiceLine::onWaiting(const VmId &node, const LoadSubject &subject, const WaitingAtNode &waiting, TimePoint now)
{
    if (m_subjects.size() >= m_limits.subjects) {
        for (auto &[known, entries] : m_subjects) {
            dropExpired(entries, now);
        }
        std::erase_if(m_subjects, [](const auto &entry) { return entry.second.empty(); });
    }
    if (m_subjects.size() >= m_limits.subjects && !m_subjects.contains(subject)) {
        return;
    }
    if (waiting.requests == 0) {
        if (const auto found = m_subjects.find(subject); found != m_subjects.end()) {
            found->second.erase(node);
        }
        return;
    }
    Entry &entry = m_subjects[subject][node];
    entry.mostUrgent = rankOf(waiting, now);
    entry.requests = waiting.requests;
    entry.at = now;
}

WaitingElsewhere ServiceLine::elsewhere(const VmId &node, const LoadSubject &subject, const WaitingRank &rank, TimePoint now)
{
    WaitingElsewhere elsewhere;
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end()) {
        return elsewhere;
    }
    dropExpired(found->second, now);
    for (const auto &[other, entry] : found->second) {
        if (other != node) {
            elsewhere.requests += entry.requests;
            elsewhere.moreUrgent += entry.mostUrgent < rank ? 1 : 0;
        }
    }
    return elsewhere;
}

void ServiceLine::onDispatched(const VmId &node, const LiveEndpoint &endpoint)
{
    for (auto &[subject, entries] : m_subjects) {
        if (canRun(endpoint, subject)) {
            entries.erase(node);
        }
    }
}

std::optional<std::pair<VmId, LoadSubject>> ServiceLine::invite(const LiveEndpoint &endpoint, TimePoint now)
{
    Entry *first = nullptr;
    std::pair<VmId, LoadSubject> invited;
    for (auto &[subject, entries] : m_subjects) {
        if (!canRun(endpoint, subject)) {
            continue;
        }
        dropExpired(entries, now);
        for (auto &[node, entry] : entries) {
            const bool isInvited = now - entry.invitedAt < m_limits.invitationTime;
            if (!isInvited && (first == nullptr || entry.mostUrgent < first->mostUrgent)) {
                first = &entry;
                invited = {node, subject};
            }
        }
    }
    if (first == nullptr) {
        return std::nullopt;
    }
    first->invitedAt = now;
    return invited;
}

LineReports::LineReports(ServiceLineLimits limits)
    : m_limits(limits)
{
}

void LineReports::onReport(const LoadSubject &subject, const WaitingElsewhere &elsewhere, TimePoint now)
{
    if (m_reports.size() >= m_limits.subjects) {
        std::erase_if(m_reports, [&](const auto &entry) { return now - entry.second.at >= m_limits.validity; });
    }
    if (m_reports.size() >= m_limits.subjects && !m_reports.contains(subject)) {
        return;
    }
    m_reports[subject] = {elsewhere, now};
}

WaitingElsewhere LineReports::elsewhere(const LoadSubject &subject, TimePoint now) const
{
    const auto found = m_reports.find(subject);
    const bool isValid = found != m_reports.end() && now - found->second.at < m_limits.validity;
    return isValid ? found->second.elsewhere : WaitingElsewhere{};
}

bool yieldsToOthers(const WaitingElsewhere &elsewhere, double freeSlots)
{
    return elsewhere.moreUrgent > 0 && freeSlots <= elsewhere.moreUrgent;
}

} // namespace Hemlockhill
