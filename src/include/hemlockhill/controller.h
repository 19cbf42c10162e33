// A controller: hosts the consensus core, the replicated state and, while it leads, the register of leases. Lives on the control
// duty's loop.
#pragma once

#include "hemlockhill/consensus.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/peer_messages.h"
#include "hemlockhill/replicated_state.h"
#include "hemlockhill/serving_lease.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/state_follower.h"
#include "hemlockhill/storage_duty.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Hemlockhill
{

// What the controller needs from the control duty.
struct ControllerHooks {
    std::function<void(const VmId &to, ConsensusBatch batch)> sendConsensus;
    // Asks another controller who it is; the answer comes back through onIdentity.
    std::function<void(const VmId &to)> askIdentity;
    std::function<void(ConsensusActions actions)> store;
    std::function<void(VoterMembership membership)> adopt;
    // This controller leads from this term on, or no longer leads.
    std::function<void(std::optional<Term> term)> leadershipChanged;
    // A command was applied to the replicated state.
    std::function<void(const ReplicatedCommand &command)> applied;
    // The replicated state was replaced as a whole.
    std::function<void()> restored;
};

// The VM whose controller has that identity.
VmId vmOf(const VoterId &voter);

using SubmitAnswer = std::function<void(SubmitReply reply)>;
using FollowAnswer = std::function<void(FollowReply reply)>;

class Controller
{
public:
    Controller(const Settings &settings, Metrics &metrics, ControllerHooks hooks);
    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    void onStorage(StorageEvent event, TimePoint now);
    void onConsensus(const ConsensusBatch &batch, TimePoint now);
    void onIdentity(const VmId &from, const IdentityReply &reply, TimePoint now);
    IdentityReply identity() const;

    // Answers at once when the node is behind or this is no leader, else when something changes or the hold time is over.
    void follow(const VmId &node, const FollowRequest &request, FollowAnswer answer, TimePoint now);
    // Answers once the command's outcome is known; an accepted command of operators only once it is in force everywhere.
    void submit(const std::string &payload, SubmitAnswer answer, TimePoint now);

    // Another controller may be called from now on. Only the controllers of the settings can begin a group.
    void addPeer(const PeerSettings &peer);
    // What followers receive beside the declared state: the endpoints as the leader knows them. Without effect unless it leads.
    void publishDirectory(const EndpointsById &endpoints, TimePoint now);

    // To be called every heartbeat or more often.
    void tick(TimePoint now);
    // Hands leadership over. True once this controller does not lead.
    bool resign(TimePoint now);

    bool leads(TimePoint now) const;
    // The nodes that have followed this leader lately.
    std::vector<VmId> followers(TimePoint now) const;
    // The VM of the leader that this controller knows of; empty when unknown.
    VmId leader() const;
    const Consensus *consensus() const { return m_consensus ? &*m_consensus : nullptr; }
    const LeaseRegister *leases() const { return m_leases ? &*m_leases : nullptr; }
    const ReplicatedState &state() const { return m_state; }

private:
    // A submitted command whose log entry is not committed yet.
    struct Proposed {
        Term term;
        SubmitAnswer answer;
    };

    // An accepted command that is not yet in force everywhere.
    struct Accepted {
        Revision revision;
        std::string outcome;
        SubmitAnswer answer;
        TimePoint giveUpAt;
    };

    struct HeldFollow {
        VmId node;
        FollowRequest request;
        FollowAnswer answer;
        TimePoint answerAt;
    };

    VoterId voterId(const VoterId &folder) const;
    void begin(const VoterMembership &membership, TimePoint now);
    void considerBeginning(TimePoint now);
    void perform(TimePoint now);
    void send(std::vector<Envelope> envelopes);
    void restore(const ConsensusSnapshot &snapshot);
    void refreshQuarantine();
    void apply(const LogEntry &entry, TimePoint now);
    void settle(const LogEntry &entry, const std::string &outcome, TimePoint now);
    void followRole(TimePoint now);
    void abandonProposals();
    void answerInForce(TimePoint now);
    void answerHeldFollows(TimePoint now, bool all);
    FollowReply followReply(const FollowRequest &request, TimePoint now) const;
    void maintainMembership(TimePoint now);
    void changeMembership(MembershipChangeKind kind, const VoterId &voter, TimePoint now);
    std::optional<VoterId> silentVoter(const VoterMembership &membership, TimePoint now) const;
    bool asksIdentity(TimePoint now) const;
    std::vector<VmId> controllers() const;
    void compactIfLong();
    const std::string &packedDeployment() const;
    void reportGauges(TimePoint now);

    Settings m_settings;
    Metrics &m_metrics;
    ControllerHooks m_hooks;
    LeaseTimes m_times;
    std::set<VmId> m_nodes;

    // Known once the folder is open.
    VoterId m_self;
    RestoredState m_restored;
    bool m_open = false;
    std::optional<VoterMembership> m_initialMembership;
    std::optional<Consensus> m_consensus;

    // The latest word of each other controller.
    std::map<VmId, IdentityReply> m_identities;
    std::map<VmId, TimePoint> m_identityHeardAt;
    // The controllers that the settings name; they begin the group together.
    std::vector<PeerSettings> m_founders;
    bool m_mayBegin = true;
    TimePoint m_leadsSince;
    TimePoint m_identitiesAskedAt;

    ReplicatedState m_state;
    // The present document as followers receive it, packed once for all of them.
    mutable DeploymentVersion m_packedVersion;
    mutable std::string m_packedDeployment;
    StateHistory m_history;
    // The record of suspected requests as nodes receive it.
    std::string m_quarantine;
    StateDigest m_quarantineDigest;
    std::map<VmId, TimePoint> m_followedAt;
    // Present while this controller leads.
    std::optional<DirectoryHistory> m_directory;
    LogIndex m_applied;
    LogIndex m_compacted;
    std::optional<LeaseRegister> m_leases;
    std::map<LogIndex, Proposed> m_proposed;
    std::vector<Accepted> m_accepted;
    std::vector<HeldFollow> m_heldFollows;
};

} // namespace Hemlockhill
