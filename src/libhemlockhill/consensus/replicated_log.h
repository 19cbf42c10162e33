// In-memory log of one voter and the memberships that it contains.
#pragma once

#include "hemlockhill/consensus.h"

#include <deque>
#include <optional>
#include <vector>

namespace Hemlockhill
{

// Log entries after a base entry. The base is committed and only its index and term are kept.
class ReplicatedLog
{
public:
    ReplicatedLog(LogIndex base, Term baseTerm, VoterMembership membership);

    LogIndex baseIndex() const { return m_base; }
    LogIndex lastIndex() const { return LogIndex{m_base.value + m_entries.size()}; }
    Term lastTerm() const;
    // Empty before the base and after the last entry.
    std::optional<Term> termAt(LogIndex index) const;
    // The index must be greater than baseIndex() and at most lastIndex().
    const LogEntry &at(LogIndex index) const;
    // First index after the base with the same term as the entry at index.
    LogIndex firstOfTerm(LogIndex index) const;

    // Entries from an index on, up to the limits. Contains at least one entry, if there is any, even if it exceeds maxBytes.
    std::vector<LogEntry> slice(LogIndex from, std::size_t maxEntries, std::size_t maxBytes) const;

    void append(LogEntry entry);
    void truncateFrom(LogIndex index);
    // Removes the entries up to index, which becomes the base.
    void dropUpTo(LogIndex index);
    // Removes all entries and sets a new base.
    void reset(LogIndex base, Term baseTerm, VoterMembership membership);

    const VoterMembership &membership() const { return m_memberships.back().membership; }
    // Index of the entry with the latest membership.
    LogIndex membershipIndex() const { return m_memberships.back().index; }
    // Membership in force at an index that is not before the base.
    const VoterMembership &membershipAt(LogIndex index) const;

private:
    struct IndexedMembership {
        LogIndex index;
        VoterMembership membership;
    };

    LogIndex m_base;
    Term m_baseTerm;
    std::deque<LogEntry> m_entries;
    // Sorted by index. The first one is in force at the base.
    std::deque<IndexedMembership> m_memberships;
};

} // namespace Hemlockhill
