// This node's part in the group of controllers: a controller when it has a data folder, and otherwise a follower of the leader.
//
// Hosts the controller, its storage and the calls between nodes on the loop of its owner. The group may be open: a node then knows a
// few seeds and learns of the others from whoever answers.
#pragma once

#include "hemlockhill/controller.h"
#include "hemlockhill/deployment.h"
#include "hemlockhill/duty.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/peer_duty.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/storage_duty.h"
#include "hemlockhill/timer_service.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Hemlockhill
{

// Called on the owner's loop.
struct GroupMemberHooks {
    // A document with a higher version than any before is committed.
    std::function<void(const DeploymentDocument &document)> deployment;
    // A follower received what has changed in the leader's directory of endpoints.
    std::function<void(const EndpointsById &endpoints)> directory;
    // The nodes that follow the same leader, this one included, have changed.
    std::function<void(const std::vector<VmId> &followers)> followers;
    // This node leads from that term on, or no longer leads.
    std::function<void(std::optional<Term> term)> leadership;
    // The leader received a follower's figures.
    std::function<void(const VmId &from, const std::string &figures)> figures;
    // The figures that a follower tells the leader.
    std::function<std::string()> ownFigures;
};

class GroupMember
{
public:
    using SubmitDone = std::function<void(std::optional<Refusal> refusal)>;

    GroupMember(boost::asio::io_context &loop, const Settings &settings, TimerService &timers, Metrics &metrics, GroupMemberHooks hooks);
    ~GroupMember();
    GroupMember(const GroupMember &) = delete;
    GroupMember &operator=(const GroupMember &) = delete;

    // Throws EnvironmentError when the peers' address cannot be bound.
    void start();
    void stop();

    // Replicates a document; done without a refusal once it, or one with a higher version, is committed. Only the leader can.
    void submit(const DeploymentDocument &document, SubmitDone done);
    // The newest committed document, when this node is sure that there is no newer one.
    std::optional<DeploymentDocument> newestDocument() const;
    bool leads() const;
    // The leader that this node knows of; empty when unknown.
    VmId leader() const;
    // Gives followers the endpoints as the leader knows them.
    void publishDirectory(const EndpointsById &endpoints);
    // The nodes that follow this leader, or, on a follower, the same leader.
    std::size_t followers() const;
    // Tells the leader this follower's figures now rather than with the next regular report.
    void reportFigures();
    // When a leader last answered this follower.
    TimePoint leaderHeardAt() const { return m_leaderHeardAt; }
    // The next answer of the leader brings its directory whole.
    void forgetDirectory() { m_directory.invalidate(); }
    // A controller that the settings name now.
    void addSeed(const VmId &vm) { learnPeer(vm, false); }
    // Hands leadership over. True once this node does not lead.
    bool resign();

private:
    ControllerHooks controllerHooks();
    void onPeerEvent(PeerEvent &&event);
    void onCall(const IncomingCall &call);
    void onAnswer(const PeerCallAnswered &answer);
    void onFailed(const PeerCallFailed &failure);
    void onFollowReply(const VmId &from, const FollowReply &reply);
    void takeDocument(const FollowReply &reply);
    void takeDirectory(const FollowReply &reply);
    FollowRequest followRequest() const;
    void callFollow();
    void followNext();
    void learnPeer(const VmId &vm, bool front);
    CallId startCall(const VmId &to, PeerRequest request);
    void answerCall(IncomingId incoming, PeerReply reply);
    void takeDocument(const DeploymentDocument &document);

    boost::asio::io_context &m_loop;
    Settings m_settings;
    TimerService &m_timers;
    Metrics &m_metrics;
    GroupMemberHooks m_hooks;
    std::unique_ptr<Controller> m_controller;
    std::unique_ptr<StorageDuty> m_storage;
    Mailbox<StorageEvent> m_storageEvents;
    Mailbox<PeerEvent> m_peerEvents;
    PeerDuty m_peers;
    std::set<VmId> m_knownPeers;
    // Controllers that a follower may ask, the one to ask next first.
    std::deque<VmId> m_candidates;
    VmId m_leader;
    TimePoint m_leaderHeardAt;
    DeploymentVersion m_inForce;
    DirectoryReplica m_directory;
    std::vector<VmId> m_followers;
    // The regular follow call that is under way; calls of reportFigures() are not waited for.
    std::optional<CallId> m_followCall;
    std::uint64_t m_lastCall = 0;
};

} // namespace Hemlockhill
