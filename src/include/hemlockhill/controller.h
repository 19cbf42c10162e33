// A controller: runs consensus and the replicated state and, while it leads, grants serving leases to nodes.
#pragma once

#include "hemlockhill/consensus.h"
#include "hemlockhill/membership_repair.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/peer_messages.h"
#include "hemlockhill/quota_shards.h"
#include "hemlockhill/read_status.h"
#include "hemlockhill/replicated_state.h"
#include "hemlockhill/serving_lease.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/state_follower.h"
#include "hemlockhill/storage_thread.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Hemlockhill
{

// Callbacks to the owner of a controller. Called from within the controller's functions.
struct ControllerHooks {
    std::function<void(const VmId &to, ConsensusBatch batch)> sendConsensus;
    // Requests the identity of another controller. The reply is passed to Controller::onIdentity().
    std::function<void(const VmId &to)> requestIdentity;
    // Persists the actions, for the opening of the data folder that they continue. StorageSynced with their mark must follow.
    std::function<void(StorageOpening opening, ConsensusActions actions)> persist;
    // Persists the membership that the group was created with.
    std::function<void(StorageOpening opening, VoterMembership membership)> saveInitialMembership;
    // Tells another controller that this one is about to stop, and asks it to take away its vote if it leads. The reply is passed to
    // Controller::onLeaveReply().
    std::function<void(const VmId &to, LeaveRequest request)> requestLeave;
    // This controller became the leader in this term, or stopped leading if empty.
    std::function<void(std::optional<Term> term)> leadershipChanged;
    // A command was applied to the replicated state.
    std::function<void(const ReplicatedCommand &command)> applied;
    // The replicated state was replaced by a snapshot.
    std::function<void()> restored;
    // Another deployment is current. Called once for all that were committed since the last call, with the newest.
    std::function<void(const DeploymentDocument &document)> deploymentChanged;
    // Returns the time on a clock that also counts while the machine is suspended. If empty, it is never suspended.
    std::function<BootTimePoint()> bootTime = {};
};

// VMs of the controllers that create the group at the first start of the system, or empty if this controller takes no part in that.
std::optional<std::set<VmId>> foundersOf(const Settings &settings);

using SubmitAnswer = std::function<void(SubmitReply reply)>;
using ReadAnswer = std::function<void(const ReadStatus &status)>;
using FollowAnswer = std::function<void(FollowReply reply)>;

// Not thread-safe; all functions must be called on one thread.
class Controller
{
public:
    Controller(const Settings &settings, Metrics &metrics, ControllerHooks hooks);
    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    void onStorage(StorageEvent event, TimePoint now);
    void onConsensus(const ConsensusBatch &batch, TimePoint now);
    // Another controller has replied with its identity to a request that was sent at requestedAt.
    void onIdentity(const VmId &from, const IdentityReply &reply, TimePoint requestedAt, TimePoint now);
    IdentityReply identity() const;
    // Another controller has requested this one's identity. It may just have started, perhaps with a new folder.
    void onIdentityRequested(const VmId &from, TimePoint now);

    // Answers a node's follow request: immediately if the node is out of date or this controller does not lead, otherwise as a long poll,
    // when the state changes or the hold time expires.
    void follow(const VmId &node, const FollowRequest &request, FollowAnswer answer, TimePoint now);
    // Proposes a command and answers with its outcome once it is committed. An accepted operator command is answered once it is in force
    // on every node, or as NoQuorum after 10 s.
    void submit(const std::string &payload, SubmitAnswer answer, TimePoint now);

    // Adds a controller that was discovered at run time. Only controllers in the settings can take part in creating the group.
    void addPeer(const PeerSettings &peer);
    // Sets the endpoint directory that followers receive together with the declared state. It agrees with the endpoint list that was
    // requested at listedAt. No effect unless this controller leads.
    void publishDirectory(const EndpointsById &endpoints, TimePoint listedAt, TimePoint now);

    // Must be called at least once per heartbeat interval.
    void tick(TimePoint now);
    // Starts to transfer leadership to another controller. Returns true if this controller does not lead, or has no successor.
    bool resign(TimePoint now);
    // Prepares the end of this process, after which this controller may never return: transfers leadership and asks the new leader to take
    // its vote away. To be called repeatedly until it returns true: then the vote is gone, or the others need it.
    bool leave(TimePoint now);
    // Another controller is about to stop. Takes its vote away if this controller leads and the others can spare it.
    LeaveReply onLeaveRequested(const LeaveRequest &request, TimePoint now);
    void onLeaveReply(const LeaveReply &reply);

    bool leads(TimePoint now) const;
    // Answers a reader of the replicated state: without an obstacle if the state of this controller, at the time of the answer, includes
    // all that any controller had acknowledged before this call. A leader asks the other voters, for 500 ms at most; others answer at once.
    void confirmRead(const ReadAnswer &answer, TimePoint now);
    // Role, leader and lease of this controller, and what keeps it from leading.
    ReadStatus readStatus(TimePoint now) const;
    // Nodes that have sent a follow request within the last 5 s, as of the last tick.
    const std::vector<VmId> &followers() const { return m_followers; }
    // VM of the known leader; empty if unknown.
    VmId leader() const;
    const Consensus *consensus() const { return m_consensus ? &*m_consensus : nullptr; }
    const LeaseRegister *leases() const { return m_leases ? &*m_leases : nullptr; }
    const ReplicatedState &state() const { return m_state; }

private:
    // A submitted command whose log entry is not yet committed.
    struct PendingProposal {
        Term term;
        SubmitAnswer answer;
    };

    // A read that waits until it is confirmed that this controller still leads. The mark is set once the read has begun.
    struct PendingRead {
        ReadAnswer answer;
        TimePoint deadline;
        std::optional<ReadMark> mark;
    };

    // A committed operator command that is not yet in force on every node.
    struct AcceptedCommand {
        Revision revision;
        std::string outcome;
        SubmitAnswer answer;
        TimePoint deadline;
    };

    // A follow request of a node that is up to date, answered on the next change or at answerAt.
    struct HeldFollow {
        VmId node;
        FollowRequest request;
        FollowAnswer answer;
        TimePoint receivedAt;
        TimePoint answerAt;
    };

    void startConsensus(const VoterMembership &membership, TimePoint now);
    // Joins the group that another controller belongs to, or creates it.
    void tryCreateGroup(TimePoint now);
    std::optional<VoterMembership> knownInitialMembership() const;
    // Membership of the group that this controller may create now, if any.
    std::optional<VoterMembership> newGroup(TimePoint now) const;
    // Executes the actions that consensus has due, with all that follows from them.
    void executeActions(TimePoint now);
    // Sends, persists and applies what consensus returns.
    void performActions(TimePoint now);
    void send(std::vector<Envelope> envelopes);
    void restore(const ConsensusSnapshot &snapshot);
    void refreshQuarantine();
    void apply(const LogEntry &entry, TimePoint now);
    void announceDeployment();
    void completeProposal(const LogEntry &entry, const std::string &outcome, TimePoint now);
    void updateLeadership(TimePoint now);
    void abandonProposals();
    void answerAcceptedCommands(TimePoint now);
    // Answers the reads whose outcome is known, and begins those that wait unless others are in progress.
    void serveReads(TimePoint now);
    void answerReads(TimePoint now);
    bool beginReads(TimePoint now);
    std::optional<ReadObstacle> outcomeOf(const PendingRead &read, TimePoint now) const;
    void answerHeldFollows(TimePoint now, bool all);
    FollowReply followReply(const VmId &node, const FollowRequest &request, TimePoint receivedAt, TimePoint now);
    // Leases shards of quotas to a node that claims some.
    std::optional<QuotaLeases> quotaLeases(const VmId &node, const FollowRequest &request, TimePoint now);
    NodeTime nodeTime(TimePoint now) const;
    // Finds out whether entries may hold leases of shards that a former leader has granted.
    void reviewFormerQuotaLeases(TimePoint now);
    void updateFollowers(TimePoint now);
    // Proposes at most one change of the membership. Returns whether one was proposed.
    bool repairMembership(TimePoint now);
    bool shouldRequestIdentities(TimePoint now) const;
    void requestIdentities(TimePoint now);
    // Tells the other members that this controller is about to stop.
    void requestLeave();
    // Whether a controller is presumably gone for good.
    bool isForgotten(const VmId &vm, TimePoint now) const;
    std::vector<VmId> controllers() const;
    void compactIfNeeded();
    const std::string &packedDeployment() const;
    void reportGauges(TimePoint now);

    Settings m_settings;
    Metrics &m_metrics;
    ControllerHooks m_hooks;
    LeaseTimes m_times;
    std::set<VmId> m_nodes;

    // Valid once the data folder is open.
    VoterId m_self;
    RestoredState m_restored;
    bool m_open = false;
    StorageOpening m_opening;
    std::optional<VoterMembership> m_initialMembership;
    std::optional<Consensus> m_consensus;

    MembershipRepair m_repair;
    // Other controllers in the settings.
    std::vector<PeerSettings> m_seeds;
    // The controllers that create the group, all of which must be blank for that. Empty unless this is one of them.
    std::optional<std::set<VmId>> m_founders;
    TimePoint m_identitiesRequestedAt;
    // When each other controller was last heard of.
    std::map<VmId, TimePoint> m_heardOfAt;

    // Whether this process is about to end, and what the leader has answered to that.
    bool m_leaving = false;
    LeaveOutcome m_leaveOutcome = LeaveOutcome::NotLeader;
    TimePoint m_leaveRequestedAt;

    ReplicatedState m_state;
    // Current deployment document, compressed once for all followers.
    mutable DeploymentVersion m_packedVersion;
    mutable std::string m_packedDeployment;
    StateHistory m_history;
    // Serialized quarantine state that nodes receive.
    std::string m_quarantine;
    StateDigest m_quarantineDigest;
    std::map<VmId, TimePoint> m_followedAt;
    std::vector<VmId> m_followers;
    StateDigest m_followersDigest;
    // Present while this controller leads.
    std::optional<DirectoryHistory> m_directory;
    // Time at which the endpoint list was requested that the directory agrees with.
    TimePoint m_listedAt;
    LogIndex m_applied;
    LogIndex m_compacted;
    // Size of the entries applied since the last snapshot, and of that snapshot.
    std::size_t m_appliedBytes = 0;
    std::size_t m_snapshotBytes = 0;
    DeploymentVersion m_announcedDeployment;
    std::optional<LeaseRegister> m_leases;
    // Present while this controller leads.
    std::optional<QuotaShards> m_quotaShards;
    // Whether this leader has found out if any deployment was declared before it could answer.
    bool m_formerQuotaLeasesReviewed = false;
    std::map<LogIndex, PendingProposal> m_pendingProposals;
    std::vector<AcceptedCommand> m_acceptedCommands;
    std::vector<HeldFollow> m_heldFollows;
    std::vector<PendingRead> m_pendingReads;
};

} // namespace Hemlockhill
