// In-memory log of one voter.
#include "consensus/replicated_log.h"

#include <algorithm>

namespace Hemlockhill
{

ReplicatedLog::ReplicatedLog(LogIndex base, Term baseTerm, VoterMembership membership)
{
    reset(base, baseTerm, std::move(membership));
}

Term ReplicatedLog::lastTerm() const
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term;
}

std::optional<Term> ReplicatedLog::termAt(LogIndex index) const
{
    if (index == m_base) {
        return m_baseTerm;
    }
    if (index < m_base || index > lastIndex()) {
        return std::nullopt;
    }
    return at(index).term;
}

const LogEntry &ReplicatedLog::at(LogIndex index) const
{
    return m_entries.at(index.value - m_base.value - 1);
}

LogIndex ReplicatedLog::firstOfTerm(LogIndex index) const
{
    const Term term = at(index).term;
    const auto first =
        std::partition_point(m_entries.begin(), m_entries.end(), [term](const LogEntry &entry) { return entry.term < term; });
    return first->index;
}

std::vector<LogEntry> ReplicatedLog::slice(LogIndex from, std::size_t maxEntries, std::size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (LogIndex index = from; index <= lastIndex() && entries.size() < maxEntries; index += LogIndex{1}) {
        const LogEntry &entry = at(index);
        bytes += entry.payload.size();
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

void ReplicatedLog::append(LogEntry entry)
{
    if (entry.kind == EntryKind::Membership) {
        m_memberships.push_back(IndexedMembership{entry.index, decodeMembership(entry.payload)});
    }
    m_entries.push_back(std::move(entry));
}

void ReplicatedLog::truncateFrom(LogIndex index)
{
    while (lastIndex() >= index) {
        m_entries.pop_back();
    }
    while (m_memberships.back().index >= index) {
        m_memberships.pop_back();
    }
}

void ReplicatedLog::dropUpTo(LogIndex index)
{
    while (m_base < index) {
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
        m_base += LogIndex{1};
    }
    while (m_memberships.size() > 1 && m_memberships[1].index <= m_base) {
        m_memberships.pop_front();
    }
}

void ReplicatedLog::reset(LogIndex base, Term baseTerm, VoterMembership membership)
{
    m_base = base;
    m_baseTerm = baseTerm;
    m_entries.clear();
    m_memberships.assign(1, IndexedMembership{base, std::move(membership)});
}

const VoterMembership &ReplicatedLog::membershipAt(LogIndex index) const
{
    auto found = m_memberships.rbegin();
    while (found != std::prev(m_memberships.rend()) && found->index > index) {
        ++found;
    }
    return found->membership;
}

} // namespace Hemlockhill
