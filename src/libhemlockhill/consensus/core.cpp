// Restoring from storage, timeouts, message dispatch, persistence, and deferral of messages until their data is synced.
#include "consensus/core.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Time, in election timeouts, after which a leader without messages is forgotten. A voter calls an election by then, if it can.
constexpr int LeaderRetention = 2;

ReplicatedLog emptyLog(const RestoredState &restored)
{
    if (restored.snapshot) {
        return {restored.snapshot->index, restored.snapshot->term, restored.snapshot->membership};
    }
    return {LogIndex{}, Term{}, restored.initialMembership};
}

ReplicatedLog restoredLog(RestoredState &restored)
{
    ReplicatedLog log = emptyLog(restored);
    for (LogEntry &entry : restored.entries) {
        if (entry.index <= log.baseIndex()) {
            continue;
        }
        if (entry.index != log.lastIndex() + LogIndex{1}) {
            throw Error("restored log has a gap before index " + std::to_string(entry.index.value));
        }
        log.append(std::move(entry));
    }
    return log;
}

} // namespace

Consensus::Core::Core(ConsensusSettings settings, RestoredState restored, std::uint64_t seed, TimePoint now)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_now(now)
    , m_hardState(restored.hardState)
    , m_log(restoredLog(restored))
    , m_commitIndex(m_log.baseIndex())
    , m_returnedIndex(m_log.baseIndex())
    // A leader may hold a lease that relies on messages that this voter acknowledged before its restart. Waits for a full election timeout,
    // as if it had just received a message from a leader.
    , m_leaderHeardAt(now)
    , m_persistedIndex(m_log.lastIndex())
    , m_writtenIndex(m_log.lastIndex())
    , m_role(isVoter(m_settings.self) ? VoterRole::Follower : VoterRole::Learner, [this](VoterRole role) { enteredRole(role); })
{
    if (restored.snapshot) {
        m_snapshot = std::make_shared<const ConsensusSnapshot>(std::move(*restored.snapshot));
        m_restore = m_snapshot;
    }
}

void Consensus::Core::advanceTime(TimePoint now)
{
    m_now = std::max(m_now, now);
}

void Consensus::Core::tick(TimePoint now)
{
    advanceTime(now);
    if (role() == VoterRole::Leader) {
        checkQuorum();
        return;
    }
    if (m_leader && m_now >= leaderForgottenAt()) {
        m_leader.reset();
    }
    if (role() == VoterRole::Learner || m_now < m_electionDeadline) {
        return;
    }
    if (m_termUnsynced) {
        // The own vote request, or the vote for another candidate, has not been sent yet.
        resetElectionTimer();
        return;
    }
    m_role.electionTimedOut();
}

void Consensus::Core::receive(const Envelope &envelope, TimePoint now)
{
    advanceTime(now);
    if (envelope.to != m_settings.self || envelope.from == m_settings.self) {
        return;
    }
    std::visit([this, &envelope](const auto &message) { handle(envelope.from, message); }, envelope.message);
}

TimePoint Consensus::Core::leaderForgottenAt() const
{
    return m_leaderHeardAt + LeaderRetention * m_settings.electionTimeout;
}

TimePoint Consensus::Core::nextDeadline() const
{
    if (role() == VoterRole::Learner) {
        return m_leader ? leaderForgottenAt() : TimePoint::max();
    }
    if (role() != VoterRole::Leader) {
        return m_electionDeadline;
    }
    TimePoint deadline = m_heartbeatDeadline;
    if (m_transfer) {
        deadline = std::min(deadline, m_transfer->deadline);
    }
    return deadline;
}

void Consensus::Core::setHardState(HardState hardState)
{
    m_hardState = std::move(hardState);
    m_hardStateUnwritten = true;
    m_hardStateMark = nextSyncMark();
    m_termUnsynced = true;
    m_hardStateChangedAt = m_now;
}

bool Consensus::Core::isTermDurable() const
{
    return m_hardStateMark <= m_persistedMark;
}

bool Consensus::Core::hasUnwritten() const
{
    return m_hardStateUnwritten || m_snapshotUnwritten || m_truncateFrom || m_writtenIndex < m_log.lastIndex();
}

PersistedMark Consensus::Core::nextSyncMark() const
{
    return hasUnwritten() ? m_lastMark + PersistedMark{1} : m_lastMark;
}

void Consensus::Core::sendNow(const VoterId &to, ConsensusMessage message)
{
    m_ready.push_back(Envelope{m_settings.self, to, std::move(message)});
}

void Consensus::Core::sendAfterSync(const VoterId &to, ConsensusMessage message)
{
    m_deferred.push_back(DeferredMessage{nextSyncMark(), Envelope{m_settings.self, to, std::move(message)}});
}

void Consensus::Core::releaseDeferred()
{
    while (!m_deferred.empty() && m_deferred.front().mark <= m_persistedMark) {
        m_ready.push_back(std::move(m_deferred.front().envelope));
        m_deferred.pop_front();
    }
}

void Consensus::Core::truncateLog(LogIndex from)
{
    const LogIndex kept = from - LogIndex{1};
    m_log.truncateFrom(from);
    if (m_writtenIndex > kept) {
        m_writtenIndex = kept;
        m_truncateFrom = m_truncateFrom ? std::min(*m_truncateFrom, from) : from;
    }
    m_persistedIndex = std::min(m_persistedIndex, kept);
    for (PendingMark &pending : m_pendingMarks) {
        pending.lastIndex = std::min(pending.lastIndex, kept);
    }
}

void Consensus::Core::compact(LogIndex upTo, std::string snapshotData)
{
    if (upTo > m_returnedIndex) {
        throw Error("cannot compact the log beyond the committed entries, at index " + std::to_string(upTo.value));
    }
    if (m_snapshot && upTo <= m_snapshot->index) {
        return;
    }
    ConsensusSnapshot snapshot{upTo, m_log.termAt(upTo).value(), m_log.membershipAt(upTo), std::move(snapshotData)};
    m_snapshot = std::make_shared<const ConsensusSnapshot>(std::move(snapshot));
    m_snapshotUnwritten = true;
    m_log.dropUpTo(lastDropped(upTo));
}

// Last entry that a snapshot of the entries up to an index replaces in memory.
LogIndex Consensus::Core::lastDropped(LogIndex upTo) const
{
    LogIndex last = upTo;
    std::size_t bytes = 0;
    while (last > m_log.baseIndex() && upTo.value - last.value < m_settings.retainedEntries) {
        bytes += m_log.at(last).payload.size();
        if (bytes > m_settings.retainedBytes) {
            break;
        }
        last -= LogIndex{1};
    }
    return last;
}

void Consensus::Core::persisted(PersistedMark mark)
{
    m_persistedMark = std::max(m_persistedMark, mark);
    while (!m_pendingMarks.empty() && m_pendingMarks.front().mark <= mark) {
        m_persistedIndex = std::max(m_persistedIndex, m_pendingMarks.front().lastIndex);
        m_pendingMarks.pop_front();
    }
    if (role() == VoterRole::Leader) {
        advanceCommit();
    }
}

ConsensusActions Consensus::Core::takeActions(TimePoint now)
{
    advanceTime(now);
    if (m_termUnsynced && isTermDurable()) {
        m_termUnsynced = false;
        termBecameDurable();
    }
    if (role() == VoterRole::Leader) {
        replicate(now);
    }
    ConsensusActions actions;
    if (hasUnwritten()) {
        m_lastMark += PersistedMark{1};
        actions.mark = m_lastMark;
        actions.hardState = m_hardStateUnwritten ? std::optional(m_hardState) : std::nullopt;
        actions.snapshot = m_snapshotUnwritten ? m_snapshot : nullptr;
        actions.discardLog = m_discardLog;
        actions.truncateFrom = m_truncateFrom;
        actions.append = m_log.slice(m_writtenIndex + LogIndex{1}, SIZE_MAX, SIZE_MAX);
        m_writtenIndex = m_log.lastIndex();
        m_pendingMarks.push_back(PendingMark{m_lastMark, m_writtenIndex});
        m_hardStateUnwritten = false;
        m_snapshotUnwritten = false;
        m_discardLog = false;
        m_truncateFrom.reset();
    }
    releaseDeferred();
    actions.messages.swap(m_ready);
    actions.restore = std::move(m_restore);
    m_restore = nullptr;
    actions.committed = m_log.slice(m_returnedIndex + LogIndex{1}, m_commitIndex.value - m_returnedIndex.value, SIZE_MAX);
    m_returnedIndex = m_commitIndex;
    return actions;
}

} // namespace Hemlockhill
