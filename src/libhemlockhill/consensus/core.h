// State of one voter and its protocol: elections, replication, snapshots and persistence.
#pragma once

#include "consensus/replicated_log.h"
#include "consensus/role_machine.h"
#include "hemlockhill/consensus.h"

#include <boost/random/mersenne_twister.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hemlockhill
{

// Replication state of one other member, as known to the leader.
struct MemberProgress {
    // Last entry known to be on the member's disk.
    LogIndex match;
    // Next entry to send.
    LogIndex next;
    // While it is unknown whether the member's log matches up to next, only one request at a time is sent.
    bool probing = true;
    bool awaitingReply = false;
    // Send time, by the leader's clock, of the latest request that the member has answered in this term.
    std::optional<TimePoint> answeredSentAt;
    // Set while the member needs entries that the log no longer contains.
    std::shared_ptr<const ConsensusSnapshot> snapshot;
    std::uint64_t snapshotOffset = 0;
    TimePoint chunkSentAt;
};

// A pending transfer of leadership.
struct LeadershipTransfer {
    VoterId successor;
    TimePoint deadline;
    // TimeoutNow was sent to the successor.
    bool requested = false;
};

// A snapshot that is being received.
struct IncomingSnapshot {
    Term leaderTerm;
    ConsensusSnapshot snapshot;
};

class Consensus::Core
{
public:
    Core(ConsensusSettings settings, RestoredState restored, std::uint64_t seed, TimePoint now);

    void tick(TimePoint now);
    void receive(const Envelope &envelope, TimePoint now);
    std::variant<Proposal, Refusal> propose(std::string payload, TimePoint now);
    std::variant<Proposal, Refusal> proposeMembership(const MembershipChange &change, TimePoint now);
    bool transferLeadership(TimePoint now, const std::set<VoterId> &avoided);
    std::optional<ReadMark> beginRead(TimePoint now);
    bool isReadConfirmed(const ReadMark &read) const;
    void compact(LogIndex upTo, std::string snapshotData);
    void persisted(PersistedMark mark);
    ConsensusActions takeActions(TimePoint now);

    const ConsensusSettings &settings() const { return m_settings; }
    const ReplicatedLog &log() const { return m_log; }
    VoterRole role() const { return m_role.role(); }
    Term term() const { return m_hardState.term; }
    const std::optional<VoterId> &leader() const { return m_leader; }
    LogIndex commitIndex() const { return m_commitIndex; }
    LeaseState leaseState(TimePoint now) const;
    std::optional<TimePoint> leaseEnd() const;
    std::optional<LogIndex> matchIndex(const VoterId &member) const;
    std::optional<TimePoint> answeredAt(const VoterId &member) const;
    bool caughtUp(const VoterId &learner, TimePoint now) const;
    TimePoint nextDeadline() const;

private:
    // A batch of actions that the host has not yet reported as persisted, and the last log entry that it makes durable.
    struct PendingMark {
        PersistedMark mark;
        LogIndex lastIndex;
    };

    // A message to send once the batch with this mark is persisted.
    struct DeferredMessage {
        PersistedMark mark;
        Envelope envelope;
    };

    // Elections (election.cpp).
    void enteredRole(VoterRole role);
    void startPreVote();
    void startElection();
    void startLeading();
    void adoptTerm(Term term);
    void recordPreVote(const VoterId &voter);
    void recordVote(const VoterId &voter);
    // The term and the vote in it have been synced, and the messages that depend on them are about to be sent.
    void termBecameDurable();
    void resetElectionTimer();
    bool hasRecentLeader() const;
    TimePoint leaderForgottenAt() const;
    bool isUpToDate(LogIndex lastIndex, Term lastTerm) const;
    void handle(const VoterId &from, const PreVoteRequest &request);
    void handle(const VoterId &from, const PreVoteReply &reply);
    void handle(const VoterId &from, const VoteRequest &request);
    void handle(const VoterId &from, const VoteReply &reply);
    void handle(const VoterId &from, const TimeoutNow &request);

    // Following (following.cpp).
    bool acceptLeader(const VoterId &from, Term term);
    void handle(const VoterId &from, const AppendRequest &request);
    AppendReply appendEntries(const AppendRequest &request);
    void storeEntry(const LogEntry &entry);
    void handle(const VoterId &from, const SnapshotRequest &request);
    void installSnapshot(ConsensusSnapshot snapshot);

    // Leading (leading.cpp).
    void handle(const VoterId &from, const AppendReply &reply);
    void handle(const VoterId &from, const SnapshotReply &reply);
    std::optional<Refusal> proposalRefusal() const;
    std::variant<Proposal, Refusal> appendAsLeader(EntryKind kind, std::string payload);
    std::optional<Refusal> membershipChangeRefusal(const MembershipChange &change) const;
    // True if the member has answered a request sent within the last election timeout.
    bool isAlive(const VoterId &member, TimePoint now) const;
    bool hasLiveQuorum(const VoterMembership &membership) const;
    void advanceCommit();
    void replicate(TimePoint now);
    void sendTo(const VoterId &member, MemberProgress &progress, TimePoint now, bool heartbeat);
    void sendChunk(const VoterId &member, MemberProgress &progress, TimePoint now);
    void sendEntries(const VoterId &member, MemberProgress &progress, std::vector<LogEntry> entries);
    void sendHeartbeat(const VoterId &member, const MemberProgress &progress);
    void applyLatestMembership();
    void continueTransfer();
    void checkQuorum();
    // What rules out a lease, whatever a quorum has answered; empty if nothing does.
    std::optional<LeaseState> leaseObstacle() const;
    // Returns the latest time up to which a quorum is known to have followed this leader. self is the time assumed for this voter, fallback
    // the time assumed for voters that have not answered.
    TimePoint quorumAnsweredAt(TimePoint self, TimePoint fallback) const;

    // Persistence and messages (core.cpp).
    void setHardState(HardState hardState);
    bool isTermDurable() const;
    bool hasUnwritten() const;
    PersistedMark nextSyncMark() const;
    void sendNow(const VoterId &to, ConsensusMessage message);
    void sendAfterSync(const VoterId &to, ConsensusMessage message);
    void releaseDeferred();
    void truncateLog(LogIndex from);
    LogIndex lastDropped(LogIndex upTo) const;
    std::size_t quorum() const { return m_log.membership().voters.size() / 2 + 1; }
    bool isVoter(const VoterId &member) const { return m_log.membership().voters.count(member) > 0; }
    void advanceTime(TimePoint now);

    ConsensusSettings m_settings;
    boost::random::mt19937_64 m_random;
    TimePoint m_now;

    HardState m_hardState;
    ReplicatedLog m_log;
    std::shared_ptr<const ConsensusSnapshot> m_snapshot;
    LogIndex m_commitIndex;
    // Committed entries up to this index have been returned to the host.
    LogIndex m_returnedIndex;

    std::optional<VoterId> m_leader;
    TimePoint m_leaderHeardAt;
    TimePoint m_electionDeadline;
    std::set<VoterId> m_preVotes;
    // Set from the start of an election until a leader of its term is known or a higher term is seen. The votes of the term count even when
    // they arrive after the election timeout, while pre-votes for the next term are requested.
    bool m_standing = false;
    std::set<VoterId> m_votes;
    bool m_transferElection = false;
    std::optional<IncomingSnapshot> m_incoming;

    std::map<VoterId, MemberProgress> m_members;
    TimePoint m_leadingSince;
    TimePoint m_heartbeatDeadline;
    LogIndex m_termStartIndex;
    std::optional<LeadershipTransfer> m_transfer;
    bool m_commitUnannounced = false;
    // A read has begun since requests were last sent.
    bool m_readBegun = false;
    // Time that the latest requests bear. Never decreases, and increases between two reads even while the clock stands still.
    TimePoint m_lastSentAt = TimePoint::min();

    PersistedMark m_lastMark;
    PersistedMark m_persistedMark;
    std::deque<PendingMark> m_pendingMarks;
    LogIndex m_persistedIndex;
    // Entries up to this index have been returned to the host for writing.
    LogIndex m_writtenIndex;
    bool m_hardStateUnwritten = false;
    PersistedMark m_hardStateMark;
    // Until termBecameDurable() has been called for the hard state.
    bool m_termUnsynced = false;
    TimePoint m_hardStateChangedAt;
    bool m_snapshotUnwritten = false;
    bool m_discardLog = false;
    std::optional<LogIndex> m_truncateFrom;
    std::shared_ptr<const ConsensusSnapshot> m_restore;
    std::deque<DeferredMessage> m_deferred;
    std::vector<Envelope> m_ready;

    // Must be the last member: its constructor enters the initial role, which uses the other members.
    RoleMachine m_role;
};

} // namespace Hemlockhill
