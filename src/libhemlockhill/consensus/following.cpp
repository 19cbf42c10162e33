// Follower: receives entries and snapshots from the leader.
#include "consensus/core.h"

#include <algorithm>

namespace Hemlockhill
{

bool Consensus::Core::acceptLeader(const VoterId &from, Term leaderTerm)
{
    if (leaderTerm < term()) {
        return false;
    }
    if (leaderTerm > term()) {
        adoptTerm(leaderTerm);
    } else {
        m_role.stepDown();
    }
    m_leader = from;
    m_leaderHeardAt = m_now;
    resetElectionTimer();
    return true;
}

void Consensus::Core::handle(const VoterId &from, const AppendRequest &request)
{
    if (!acceptLeader(from, request.term)) {
        // Without the send time, which is of an earlier term and must not count as an answer to a request of this term.
        sendAfterSync(from, AppendReply{term(), false, request.previousIndex, LogIndex{}, TimePoint{}});
        return;
    }
    AppendReply reply = appendEntries(request);
    if (!request.entries.empty() || !isTermDurable()) {
        sendAfterSync(from, reply);
        return;
    }
    // Answered without waiting for earlier entries to be synced, or a slow disk would cost the leader its quorum. They are acknowledged
    // by the replies to the requests that carried them.
    if (reply.accepted) {
        reply.index = std::min(reply.index, m_persistedIndex);
    }
    sendNow(from, reply);
}

AppendReply Consensus::Core::appendEntries(const AppendRequest &request)
{
    AppendReply reply{term(), false, request.previousIndex, m_log.lastIndex(), request.sentAt};
    if (request.previousIndex > m_log.lastIndex()) {
        return reply;
    }
    const std::optional<Term> ownTerm = m_log.termAt(request.previousIndex);
    if (ownTerm && *ownTerm != request.previousTerm) {
        // Lets the leader skip all entries of the conflicting term, but no committed entry.
        reply.index = std::max(m_commitIndex, m_log.firstOfTerm(request.previousIndex) - LogIndex{1});
        return reply;
    }
    for (const LogEntry &entry : request.entries) {
        storeEntry(entry);
    }
    applyLatestMembership();
    reply.accepted = true;
    reply.index = request.previousIndex + LogIndex{request.entries.size()};
    m_commitIndex = std::max(m_commitIndex, std::min(request.commitIndex, reply.index));
    return reply;
}

void Consensus::Core::storeEntry(const LogEntry &entry)
{
    if (entry.index <= m_log.baseIndex() || m_log.termAt(entry.index) == entry.term) {
        return;
    }
    if (entry.index <= m_commitIndex) {
        throw Error("received a conflicting entry from the leader for the committed index " + std::to_string(entry.index.value));
    }
    if (entry.index <= m_log.lastIndex()) {
        truncateLog(entry.index);
    }
    m_log.append(entry);
}

void Consensus::Core::handle(const VoterId &from, const SnapshotRequest &request)
{
    if (!acceptLeader(from, request.term)) {
        sendAfterSync(from, SnapshotReply{term(), request.index, 0, false});
        return;
    }
    if (request.index <= m_commitIndex) {
        sendAfterSync(from, SnapshotReply{term(), request.index, 0, true});
        return;
    }
    const bool isSameSnapshot = m_incoming && m_incoming->leaderTerm == request.term && m_incoming->snapshot.index == request.index;
    if (!isSameSnapshot) {
        m_incoming = IncomingSnapshot{request.term, ConsensusSnapshot{request.index, request.snapshotTerm, request.membership, {}}};
    }
    std::string &data = m_incoming->snapshot.data;
    const bool isNextChunk = request.offset == data.size();
    if (isNextChunk) {
        data += request.bytes;
    }
    const SnapshotReply reply{term(), request.index, data.size(), isNextChunk && request.last};
    if (reply.installed) {
        installSnapshot(std::move(m_incoming->snapshot));
        m_incoming.reset();
    }
    sendAfterSync(from, reply);
}

void Consensus::Core::installSnapshot(ConsensusSnapshot snapshot)
{
    m_snapshot = std::make_shared<const ConsensusSnapshot>(std::move(snapshot));
    m_snapshotUnwritten = true;
    m_restore = m_snapshot;
    const LogIndex index = m_snapshot->index;
    if (m_log.termAt(index) == m_snapshot->term) {
        m_log.dropUpTo(index);
    } else {
        m_log.reset(index, m_snapshot->term, m_snapshot->membership);
        m_discardLog = true;
        m_truncateFrom.reset();
        m_pendingMarks.clear();
        m_persistedIndex = LogIndex{};
        m_writtenIndex = index;
    }
    m_writtenIndex = std::max(m_writtenIndex, index);
    m_commitIndex = index;
    m_returnedIndex = index;
    applyLatestMembership();
}

} // namespace Hemlockhill
