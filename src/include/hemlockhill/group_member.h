// Membership of a node in the control plane: a controller if it has a data folder, otherwise a follower of the leading controller.
//
// Runs the controller, its storage and the calls between nodes on the owner's event loop. In an open group a node is configured with a
// few seed controllers and discovers the others from replies.
#pragma once

#include "hemlockhill/controller.h"
#include "hemlockhill/deployment.h"
#include "hemlockhill/event_loop_thread.h"
#include "hemlockhill/leader_search.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/peer_thread.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/storage_thread.h"
#include "hemlockhill/timer_service.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hemlockhill
{

// Called on the owner's loop.
struct GroupMemberHooks {
    // A document with a higher version than any earlier one was committed.
    std::function<void(const DeploymentDocument &document)> deploymentCommitted;
    // The leader has confirmed that no document was newer at the given time than the last one passed to deploymentCommitted.
    std::function<void(BootTimePoint at)> deploymentConfirmed;
    // A follower received changes to the leader's endpoint directory. The directory agrees with the endpoint list that was requested at
    // listedAt.
    std::function<void(const EndpointsById &endpoints, TimePoint listedAt)> directoryChanged;
    // The leader's directory has not changed, and agrees with a more recent endpoint list.
    std::function<void(TimePoint listedAt)> directoryConfirmed;
    // The set of nodes that follow the same leader, including this one, has changed.
    std::function<void(const std::vector<VmId> &followers)> followersChanged;
    // This node became the leader in this term, or stopped leading if empty.
    std::function<void(std::optional<Term> term)> leadershipChanged;
    // The leader received a follower's statistics.
    std::function<void(const VmId &from, const std::string &figures)> figuresReceived;
    // Returns the statistics that a follower sends to the leader.
    std::function<std::string()> collectFigures;
    // Returns the shards of quotas that this node claims; empty if its deployment has no limited workspaces. Optional.
    std::function<std::optional<QuotaClaim>()> quotaClaim = {};
    // The leader has answered a claim that was sent at the given time. Optional.
    std::function<void(const QuotaClaim &claim, const QuotaLeases &leases, BootTimePoint sentAt)> quotaLeased = {};
};

// Outcome of a read of the newest document: the document, unless there is an obstacle.
struct DocumentRead {
    ReadStatus status;
    std::optional<DeploymentDocument> document;
};

class GroupMember
{
public:
    using ReadDone = std::function<void(DocumentRead read)>;
    using SubmitDone = std::function<void(std::optional<Refusal> refusal)>;

    GroupMember(boost::asio::io_context &loop, const Settings &settings, TimerService &timers, Metrics &metrics, GroupMemberHooks hooks);
    ~GroupMember();
    GroupMember(const GroupMember &) = delete;
    GroupMember &operator=(const GroupMember &) = delete;

    // Throws EnvironmentError if the peer address cannot be bound.
    void start();
    void stop();

    // Replicates a document. Calls done without a refusal once this document or one with a higher version is committed. Refused as
    // NotLeader on any other node than the leader.
    void submit(const DeploymentDocument &document, SubmitDone done);
    // Reads the newest committed document. Only the leader returns one, and only if no newer one can have been acknowledged before this
    // call.
    void readNewestDocument(const ReadDone &done);
    bool leads() const;
    // Role and lease of this node, the known leader, and what keeps this node from leading.
    ReadStatus readStatus() const;
    // Known leader; empty if unknown.
    VmId leader() const;
    // When this node has found its present leader, or the last one it had.
    TimePoint leaderFoundAt() const { return m_leaderFoundAt; }
    // Sets the endpoint directory that followers receive. It agrees with the endpoint list that was requested at listedAt. No effect unless
    // this node leads.
    void publishDirectory(const EndpointsById &endpoints, TimePoint listedAt);
    // Number of nodes that follow this leader or, on a follower, the same leader.
    std::size_t followers() const;
    // Sends this follower's statistics to the leader immediately instead of with the next follow request.
    void reportFigures();
    // The settings name these seed controllers now.
    void setSeeds(const std::vector<VmId> &seeds);
    // Prepares the end of this process: see Controller::leave(). To be called repeatedly until it returns true.
    bool leave();

private:
    struct PendingFollowCall {
        VmId to;
        TimePoint sentAt;
        BootTimePoint sentAtBoot;
        std::optional<QuotaClaim> quotaClaim;
    };

    ControllerHooks controllerHooks();
    // Called on the peer thread. Returns false when the queue of events is full.
    bool keepPeerEvent(PeerEvent event);
    void onPeerEvent(PeerEvent &&event);
    void onCall(const IncomingCall &call);
    void onAnswer(const PeerCallAnswered &answer);
    void onFailed(const PeerCallFailed &failure);
    // Handles follow calls as failed whose outcome must have been lost, so that no lost event leaves this node without a leader.
    void failOverdueFollowCalls();
    void onFollowReply(const VmId &from, const FollowReply &reply, const PendingFollowCall &call);
    // Returns whether no document in the reply is left out.
    bool applyDocument(const FollowReply &reply);
    void applyDirectoryChanges(const FollowReply &reply, TimePoint sentAt);
    // Sends a follow request and records it.
    CallId startFollowCall(const VmId &to, FollowRequest request);
    // The request to the leader, with this node's statistics; a node that may not be the leader is asked without them.
    FollowRequest requestToLeader() const;
    FollowRequest followRequest() const;
    // Starts to search the leader, after it has been lost or at the start.
    void searchLeader();
    void continueSearch();
    // Asks a node whether it leads, or who does.
    void ask(const VmId &vm);
    // In an open group, where a VM's id is its IP address and all nodes listen on the same port, enables calls to a node that is not in the
    // settings.
    void learnPeer(const VmId &vm, bool isController);
    CallId startCall(const VmId &to, PeerRequest request);
    void answerCall(IncomingId incoming, PeerReply reply);
    void applyDocument(const DeploymentDocument &document);

    boost::asio::io_context &m_loop;
    Settings m_settings;
    TimerService &m_timers;
    Metrics &m_metrics;
    GroupMemberHooks m_hooks;
    std::unique_ptr<Controller> m_controller;
    std::unique_ptr<StorageThread> m_storage;
    Mailbox<StorageEvent> m_storageEvents;
    Mailbox<PeerEvent> m_peerEvents;
    PeerThread m_peers;
    std::set<VmId> m_knownPeers;
    // The leader that a follower follows; empty while it searches.
    VmId m_leader;
    TimePoint m_leaderFoundAt;
    LeaderSearch m_search;
    TimePoint m_searchingSince;
    bool m_searchScheduled = false;
    DeploymentVersion m_deploymentVersion;
    DirectoryReplica m_directory;
    std::vector<VmId> m_followers;
    StateDigest m_followersDigest;
    // Pending long-poll follow call to the leader.
    std::optional<CallId> m_followCall;
    // All pending follow calls, including those of reportFigures() and of searches.
    std::map<CallId, PendingFollowCall> m_followCalls;
    // Arrival of the last reply of the leader that is followed, or was until now.
    TimePoint m_leaderRepliedAt;
    // Times at which the pending identity calls were sent.
    std::map<CallId, TimePoint> m_identityCallsSentAt;
    std::uint64_t m_lastCall = 0;
};

} // namespace Hemlockhill
