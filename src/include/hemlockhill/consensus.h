// Consensus among the controllers: a replicated log based on Raft, as a deterministic state machine without I/O.
//
// The host passes in the time, messages and proposals, and executes the returned actions. A message that depends on stored data is
// returned only after the host has reported, through persisted(), that the data is synced to disk.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/world.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// Identity of one data folder. A folder that is recreated after a loss gets a new identity.
using VoterId = Id<struct VoterTag>;
using Term = Quantity<struct TermTag>;
// Position in the log. The first entry has index 1; index 0 denotes the position before it.
using LogIndex = Quantity<struct LogIndexTag>;
// Sequence number of a batch of actions that must be persisted.
using PersistedMark = Quantity<struct PersistedMarkTag>;

// Payload of a log entry: Command holds bytes of the host, Membership an encoded VoterMembership, and Noop, the first entry of each
// leader's term, nothing.
enum class EntryKind : std::uint8_t { Command, Membership, Noop };

// One entry of the replicated log.
struct LogEntry {
    Term term;
    LogIndex index;
    EntryKind kind = EntryKind::Command;
    std::string payload;

    bool operator==(const LogEntry &) const = default;
};

// State besides the log that a voter must keep across restarts. An empty votedFor means that it has not voted in this term.
struct HardState {
    Term term;
    VoterId votedFor;

    bool operator==(const HardState &) const = default;
};

// Members of the group. Learners receive the log but do not vote.
struct VoterMembership {
    std::set<VoterId> voters;
    std::set<VoterId> learners;

    bool operator==(const VoterMembership &) const = default;
};

// Encodes a membership as the payload of a Membership entry.
std::string encodeMembership(const VoterMembership &membership);

// Decodes a membership written by encodeMembership(). Throws DecodeError if the text is invalid.
VoterMembership decodeMembership(std::string_view text);

// The host's state after applying every entry up to index.
struct ConsensusSnapshot {
    LogIndex index;
    Term term;
    VoterMembership membership;
    std::string data;

    bool operator==(const ConsensusSnapshot &) const = default;
};

// Asks whether the receiver would vote for the sender in this term. Sent before the sender increments its own term.
struct PreVoteRequest {
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
};

// term is the requested term if granted, otherwise the voter's current term.
struct PreVoteReply {
    Term term;
    bool granted = false;
};

// leadershipTransfer is set if the current leader requested this election and has given up its lease; the voter then does not wait for
// the election timeout.
struct VoteRequest {
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    bool leadershipTransfer = false;
};

struct VoteReply {
    Term term;
    bool granted = false;
};

// Entries that follow previousIndex, none in a heartbeat. sentAt is a time of the leader's clock that the reply returns unchanged.
struct AppendRequest {
    Term term;
    LogIndex previousIndex;
    Term previousTerm;
    LogIndex commitIndex;
    std::vector<LogEntry> entries;
    TimePoint sentAt;
};

// If accepted, index is the last entry known to match the leader's log; otherwise the leader should retry from the entry after index. The
// refusal of a request of an earlier term has no send time and index 0.
struct AppendReply {
    Term term;
    bool accepted = false;
    LogIndex previousIndex;
    LogIndex index;
    TimePoint sentAt;
};

// One chunk of a snapshot, at this byte offset.
struct SnapshotRequest {
    Term term;
    LogIndex index;
    Term snapshotTerm;
    VoterMembership membership;
    std::uint64_t offset = 0;
    std::string bytes;
    bool last = false;
};

// nextOffset is the number of bytes received so far; installed means that the complete snapshot is on disk.
struct SnapshotReply {
    Term term;
    LogIndex index;
    std::uint64_t nextOffset = 0;
    bool installed = false;
};

// The leader of this term requests the receiver to start an election immediately.
struct TimeoutNow {
    Term term;
};

using ConsensusMessage = std::
    variant<PreVoteRequest, PreVoteReply, VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, SnapshotReply, TimeoutNow>;

// A message with its sender and receiver.
struct Envelope {
    VoterId from;
    VoterId to;
    ConsensusMessage message;
};

// Timeouts and limits of one voter. All voters of a group must have the same electionTimeout and clockRateBoundPercent.
struct ConsensusSettings {
    VoterId self;
    Duration heartbeat = std::chrono::milliseconds(100);
    // A voter that has received a message from a leader within this time does not vote for another candidate. It starts an election
    // after a random time between one and two election timeouts without a leader.
    Duration electionTimeout = std::chrono::milliseconds(1000);
    // Maximum deviation of a voter's clock rate from real time, in percent. Leases are shortened accordingly.
    unsigned clockRateBoundPercent = 10;
    // Maximum size of one AppendRequest.
    std::size_t maxBatchEntries = 256;
    std::size_t maxBatchBytes = 1U << 20U;
    // Maximum number of entries sent to one follower but not yet acknowledged.
    std::size_t maxInFlightEntries = 2048;
    // Maximum number of uncommitted entries in the leader's log; further proposals are refused as QueueFull.
    std::size_t maxUncommittedEntries = 16384;
    std::size_t snapshotChunkBytes = 256U << 10U;
    // Maximum number of entries before a snapshot that stay in memory, so that followers that lag slightly need no snapshot, and their
    // maximum size in bytes.
    std::size_t retainedEntries = 1024;
    std::size_t retainedBytes = 4U << 20U;
    // A learner may be promoted when it lags by at most this many entries.
    std::size_t promotionLag = 64;
};

// State read from storage at startup, and the membership to use if the log contains none.
struct RestoredState {
    HardState hardState;
    std::optional<ConsensusSnapshot> snapshot;
    std::vector<LogEntry> entries;
    VoterMembership initialMembership;
};

enum class VoterRole { Follower, PreCandidate, Candidate, Leader, Learner };

std::string_view toText(VoterRole role);

// Whether a voter may rely on no other leader being elected, and if not, why. TermNotCommitted: no entry of the leader's term is committed
// yet. Transferring: the leader has asked its successor to start an election. Expired: no quorum has answered lately enough.
enum class LeaseState { NotLeading, TermNotCommitted, Transferring, Expired, Held };

// Position of an accepted proposal. The proposal is committed if the entry committed at this index has this term; an entry of another
// term means that the proposal was lost.
struct Proposal {
    Term term;
    LogIndex index;

    bool operator==(const Proposal &) const = default;
};

// When a read of the leader's state began: the leader's term, and the time that its latest requests before the read bear.
struct ReadMark {
    Term term;
    TimePoint sentAt;
};

enum class MembershipChangeKind { AddLearner, PromoteLearner, Remove };

std::string_view toText(MembershipChangeKind kind);

struct MembershipChange {
    MembershipChangeKind kind = MembershipChangeKind::AddLearner;
    VoterId voter;
};

// Actions for the host, to be executed in the order of the members.
struct ConsensusActions {
    // Set if the batch contains data to persist. The host passes it to persisted() once this batch and all earlier ones are synced.
    std::optional<PersistedMark> mark;
    std::optional<HardState> hardState;
    // A snapshot to persist. With discardLog it replaces the complete stored log, otherwise only the entries up to its index.
    std::shared_ptr<const ConsensusSnapshot> snapshot;
    bool discardLog = false;
    // Stored entries from this index on must be removed before append is written.
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> append;
    // Messages to send now. All data that they depend on is synced.
    std::vector<Envelope> messages;
    // A snapshot that replaces the host's state before the committed entries are applied.
    std::shared_ptr<const ConsensusSnapshot> restore;
    // Newly committed entries of all kinds, in log order and without gaps.
    std::vector<LogEntry> committed;

    bool empty() const;
};

// One voter or learner of the group. Not thread-safe.
class Consensus
{
public:
    Consensus(ConsensusSettings settings, RestoredState restored, std::uint64_t seed, TimePoint now);
    ~Consensus();
    Consensus(Consensus &&) noexcept;
    Consensus &operator=(Consensus &&) noexcept;

    // Processes timeouts of elections, heartbeats and leadership. Must be called at nextDeadline() or earlier.
    void tick(TimePoint now);

    // Processes a message from another member. Messages addressed to another voter are ignored.
    void receive(const Envelope &envelope, TimePoint now);

    // Appends a command to the leader's log. Refused as NotLeader, as NoQuorum if no quorum has answered within an election timeout, or
    // as QueueFull.
    std::variant<Proposal, Refusal> propose(std::string payload, TimePoint now);

    // Adds, promotes or removes one member. Refused for the reasons of propose(), and as ChangeInProgress while an earlier change or the
    // first entry of the term is uncommitted, LearnerBehind if the learner has not caught up, ObjectInUse if the leader would remove
    // itself, AlreadyDeclared or UnknownObject if there is nothing to change, and NoQuorum if too few of the new voters respond.
    std::variant<Proposal, Refusal> proposeMembership(const MembershipChange &change, TimePoint now);

    // Transfers leadership to the live voter with the most complete log, to one of the avoided voters only if no other is live. Proposals
    // are refused from then on. If the successor does not take over within an election timeout, this voter becomes a follower. Returns
    // false if this voter does not lead or no successor is available.
    bool transferLeadership(TimePoint now, const std::set<VoterId> &avoided = {});

    // Begins a read of the committed state, for which requests are sent to all members with the next actions. Returns empty if this voter
    // does not lead or no entry of its term is committed yet.
    std::optional<ReadMark> beginRead(TimePoint now);
    // True if this voter still leads and a quorum has answered requests that were sent after the read began. No other leader had been
    // elected then, so the committed state includes all that was committed before the read. Does not rely on any clock.
    bool isReadConfirmed(const ReadMark &read) const;

    // Replaces the log up to a committed index by a snapshot of the host's state at that index. Ignored if the last snapshot has this
    // index or a later one. Throws Error if the index has not been returned as committed.
    void compact(LogIndex upTo, std::string snapshotData);

    // Reports that the batch with this mark and all earlier ones are synced to disk.
    void persisted(const PersistedMark &mark);

    // Returns the actions that have become due since the last call.
    ConsensusActions takeActions(TimePoint now);

    const VoterId &self() const;
    VoterRole role() const;
    Term term() const;
    // Leader of the current term, if known.
    std::optional<VoterId> leader() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    // Latest membership in the log, whether committed or not.
    const VoterMembership &membership() const;
    // Whether that membership is committed.
    bool isMembershipCommitted() const;

    // True if this voter leads, no other leader can be elected before the lease ends, and an entry of its term is committed. Its committed
    // state is then the latest.
    bool leaseHeld(TimePoint now) const;
    LeaseState leaseState(TimePoint now) const;
    // End of the lease unless it is renewed. Empty without a lease, TimePoint::max() for the only voter of a group.
    std::optional<TimePoint> leaseEnd() const;

    // Last entry known to be on the member's disk. Empty if this voter does not lead or the member is unknown.
    std::optional<LogIndex> matchIndex(const VoterId &member) const;
    // Send time of the latest request of this term that the member has answered. Empty if there is none or this voter does not lead.
    std::optional<TimePoint> answeredAt(const VoterId &member) const;
    // True if this voter leads and the learner is up to date enough to be promoted.
    bool caughtUp(const VoterId &learner, TimePoint now) const;

    // Time at which tick() is due next; TimePoint::max() for a learner.
    TimePoint nextDeadline() const;

private:
    class Core;
    std::unique_ptr<Core> m_core;
};

} // namespace Hemlockhill
