// Membership of a controller or follower in the control plane.
#include "hemlockhill/group_member.h"

#include "hemlockhill/exchange_messages.h"
#include "hemlockhill/log.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t MailboxCapacity = 16'384;
// Number of nodes that a follower asks at once when it has lost the leader, and interval at which it asks another one.
constexpr std::size_t FirstCandidates = 3;
constexpr Duration SearchInterval = std::chrono::milliseconds(150);
// A follow call whose outcome has not arrived after this time has lost it. Connecting and the call itself take up to a second each.
constexpr Duration FollowOutcomeLimit = std::chrono::milliseconds(2500);

std::vector<VmId> seedsOf(const Settings &settings)
{
    std::vector<VmId> seeds;
    for (const PeerSettings &peer : settings.peers.others) {
        if (peer.controller) {
            seeds.push_back(peer.vm);
        }
    }
    return seeds;
}

} // namespace

GroupMember::GroupMember(
    boost::asio::io_context &loop, const Settings &settings, TimerService &timers, Metrics &metrics, GroupMemberHooks hooks)
    : m_loop(loop)
    , m_settings(settings)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_storageEvents(loop, MailboxCapacity, [this](StorageEvent &&event) { m_controller->onStorage(std::move(event), currentTime()); })
    , m_peerEvents(loop, MailboxCapacity, [this](PeerEvent &&event) { onPeerEvent(std::move(event)); })
    , m_peers(settings, metrics, [this](PeerEvent event) { return keepPeerEvent(std::move(event)); })
    , m_search(settings.vm, seedsOf(settings))
{
    for (const PeerSettings &peer : settings.peers.others) {
        m_knownPeers.insert(peer.vm);
    }
    if (settings.dataFolder) {
        m_controller = std::make_unique<Controller>(settings, metrics, controllerHooks());
        m_storage = std::make_unique<StorageThread>(StorageThreadSettings{*settings.dataFolder, foundersOf(settings)},
                                                    metrics,
                                                    [this](StorageEvent event) { m_storageEvents.post(std::move(event)); });
    }
}

GroupMember::~GroupMember()
{
    stop();
}

ControllerHooks GroupMember::controllerHooks()
{
    ControllerHooks hooks;
    hooks.sendConsensus = [this](const VmId &to, ConsensusBatch batch) {
        learnPeer(to, true);
        startCall(to, std::move(batch));
    };
    hooks.requestIdentity = [this](const VmId &to) {
        learnPeer(to, true);
        const TimePoint sentAt = currentTime();
        m_identityCallsSentAt[startCall(to, IdentityRequest{})] = sentAt;
    };
    hooks.requestLeave = [this](const VmId &to, LeaveRequest request) { startCall(to, std::move(request)); };
    hooks.persist = [this](StorageOpening opening, ConsensusActions actions) { m_storage->write(opening, std::move(actions)); };
    hooks.saveInitialMembership = [this](StorageOpening opening, VoterMembership membership) {
        m_storage->saveInitialMembership(opening, std::move(membership));
    };
    hooks.leadershipChanged = [this](std::optional<Term> term) { m_hooks.leadershipChanged(term); };
    hooks.applied = [](const ReplicatedCommand &) {};
    hooks.restored = [] {};
    hooks.deploymentChanged = [this](const DeploymentDocument &document) { applyDocument(document); };
    hooks.bootTime = [] { return BootClock::now(); };
    return hooks;
}

void GroupMember::start()
{
    m_peers.start();
    if (m_controller) {
        m_storage->start();
        m_timers.every(m_settings.control.heartbeat / 2, m_loop, [this] { m_controller->tick(currentTime()); });
    } else {
        searchLeader();
        m_timers.every(SearchInterval, m_loop, [this] { failOverdueFollowCalls(); });
    }
}

void GroupMember::stop()
{
    m_peers.stop();
    if (m_storage) {
        m_storage->stop();
    }
}

void GroupMember::submit(const DeploymentDocument &document, SubmitDone done)
{
    if (!m_controller) {
        done(Refusal{Reason::NotLeader});
        return;
    }
    m_controller->submit(
        encodePayload(ReplicatedMachine::Deployment, encodeCompressed(document)),
        [done = std::move(done)](const SubmitReply &reply) {
            const auto *refusal = std::get_if<Refusal>(&reply.outcome);
            done(refusal != nullptr ? std::optional(*refusal) : std::nullopt);
        },
        currentTime());
}

void GroupMember::readNewestDocument(const ReadDone &done)
{
    if (!m_controller) {
        done({readStatus(), std::nullopt});
        return;
    }
    m_controller->confirmRead(
        [this, done](const ReadStatus &status) {
            DocumentRead read{status, std::nullopt};
            if (status.obstacle == ReadObstacle::None) {
                read.document = m_controller->state().deployment().current();
            }
            done(std::move(read));
        },
        currentTime());
}

bool GroupMember::leads() const
{
    return m_controller && m_controller->leads(currentTime());
}

ReadStatus GroupMember::readStatus() const
{
    if (m_controller) {
        return m_controller->readStatus(currentTime());
    }
    ReadStatus status;
    status.leader = m_leader;
    return status;
}

VmId GroupMember::leader() const
{
    return m_controller ? m_controller->leader() : m_leader;
}

void GroupMember::publishDirectory(const EndpointsById &endpoints, TimePoint listedAt)
{
    if (m_controller) {
        m_controller->publishDirectory(endpoints, listedAt, currentTime());
    }
}

std::size_t GroupMember::followers() const
{
    return m_controller ? m_controller->followers().size() : m_followers.size();
}

bool GroupMember::leave()
{
    return !m_controller || m_controller->leave(currentTime());
}

bool GroupMember::keepPeerEvent(PeerEvent event)
{
    const bool isKept = m_peerEvents.post(std::move(event));
    if (!isKept) {
        m_metrics.countEvent("peer_event_dropped");
    }
    return isKept;
}

void GroupMember::onPeerEvent(PeerEvent &&event)
{
    std::visit(Overloaded{
                   [this](const IncomingCall &call) { onCall(call); },
                   [this](const PeerCallAnswered &answer) { onAnswer(answer); },
                   [this](const PeerCallFailed &failure) { onFailed(failure); },
               },
               event);
}

void GroupMember::onCall(const IncomingCall &call)
{
    const TimePoint now = currentTime();
    if (!m_controller) {
        if (std::holds_alternative<IdentityRequest>(call.request)) {
            answerCall(call.incoming, IdentityReply{});
        } else if (std::holds_alternative<FollowRequest>(call.request)) {
            FollowReply reply;
            reply.leader = m_leader;
            answerCall(call.incoming, reply);
        }
        return;
    }
    std::visit(
        Overloaded{
            [&](const ConsensusBatch &batch) {
                learnPeer(call.from, true);
                m_controller->onConsensus(batch, now);
            },
            [&](const IdentityRequest &) {
                learnPeer(call.from, true);
                answerCall(call.incoming, m_controller->identity());
                m_controller->onIdentityRequested(call.from, now);
            },
            [&](const FollowRequest &request) {
                if (m_controller->leads(now) && !request.figures.empty()) {
                    m_hooks.figuresReceived(call.from, request.figures);
                }
                m_controller->follow(
                    call.from,
                    request,
                    [this, incoming = call.incoming](FollowReply reply) { answerCall(incoming, std::move(reply)); },
                    now);
            },
            [&](const AttestRequest &) { answerCall(call.incoming, AttestReply{}); },
            [&](const SubmitRequest &request) {
                m_controller->submit(
                    request.payload, [this, incoming = call.incoming](SubmitReply reply) { answerCall(incoming, std::move(reply)); }, now);
            },
            [&](const QueryRequest &) { answerCall(call.incoming, QueryReply{}); },
            [&](const LeaveRequest &request) { answerCall(call.incoming, m_controller->onLeaveRequested(request, now)); },
        },
        call.request);
}

void GroupMember::onAnswer(const PeerCallAnswered &answer)
{
    if (const auto *identity = std::get_if<IdentityReply>(&answer.reply)) {
        if (m_controller) {
            // The seeds that still run may not include the leader.
            learnPeer(identity->leader, true);
            const auto sent = m_identityCallsSentAt.extract(answer.call);
            m_controller->onIdentity(answer.from, *identity, sent.empty() ? TimePoint{} : sent.mapped(), currentTime());
        }
        return;
    }
    if (const auto *leave = std::get_if<LeaveReply>(&answer.reply)) {
        if (m_controller) {
            m_controller->onLeaveReply(*leave);
        }
        return;
    }
    if (const auto *follow = std::get_if<FollowReply>(&answer.reply)) {
        const auto pending = m_followCalls.extract(answer.call);
        if (pending.empty()) {
            // Has been handled as failed.
            return;
        }
        m_search.onDone(answer.from);
        if (m_followCall == answer.call) {
            m_followCall.reset();
        }
        onFollowReply(answer.from, *follow, pending.mapped());
        if (!m_leader.empty() && !m_followCall) {
            m_followCall = startFollowCall(m_leader, requestToLeader());
        }
    }
}

void GroupMember::onFailed(const PeerCallFailed &failure)
{
    m_identityCallsSentAt.erase(failure.call);
    if (m_followCalls.erase(failure.call) == 0) {
        return;
    }
    m_search.onDone(failure.to);
    if (m_followCall == failure.call) {
        const auto unconfirmed = std::chrono::duration_cast<std::chrono::milliseconds>(currentTime() - m_leaderRepliedAt);
        logEvent(Severity::Warning,
                 "connection to leader lost",
                 {{"leader", m_leader.value}, {"deployment", m_deploymentVersion.value}, {"unconfirmed_ms", unconfirmed.count()}});
        searchLeader();
    }
}

void GroupMember::failOverdueFollowCalls()
{
    const TimePoint now = currentTime();
    std::vector<PeerCallFailed> overdue;
    for (const auto &[call, pending] : m_followCalls) {
        if (now - pending.sentAt >= FollowOutcomeLimit) {
            overdue.push_back(PeerCallFailed{call, pending.to});
        }
    }
    for (const PeerCallFailed &failure : overdue) {
        m_metrics.countEvent("follow_outcome_lost");
        logEvent(Severity::Warning, "follow call without outcome", {{"vm", failure.to.value}, {"deployment", m_deploymentVersion.value}});
        onFailed(failure);
    }
}

void GroupMember::onFollowReply(const VmId &from, const FollowReply &reply, const PendingFollowCall &call)
{
    if (!reply.leading) {
        if (m_leader == from) {
            searchLeader();
        }
        if (m_leader.empty() && m_search.onHint(reply.leader, currentTime())) {
            ask(reply.leader);
        }
        return;
    }
    if (m_leader.empty()) {
        m_leader = from;
        m_leaderFoundAt = currentTime();
        const auto searched = std::chrono::duration_cast<std::chrono::milliseconds>(currentTime() - m_searchingSince);
        logEvent(Severity::Info,
                 "leader found",
                 {{"leader", m_leader.value}, {"deployment", m_deploymentVersion.value}, {"searched_ms", searched.count()}});
    } else if (m_leader != from) {
        // The late reply of another candidate of the search.
        return;
    }
    m_leaderRepliedAt = currentTime();
    m_search.setMembers(reply.controllers);
    if (!reply.followers.empty()) {
        m_followersDigest = reply.followersDigest;
    }
    if (!reply.followers.empty() && reply.followers != m_followers) {
        m_followers = reply.followers;
        m_search.setFollowers(m_followers);
        m_hooks.followersChanged(m_followers);
    }
    // The reply was written after the request had been sent, and before any newer document was acknowledged.
    if (applyDocument(reply)) {
        m_hooks.deploymentConfirmed(call.sentAtBoot);
    }
    if (reply.quotaLeases && call.quotaClaim && m_hooks.quotaLeased) {
        m_hooks.quotaLeased(*call.quotaClaim, *reply.quotaLeases, call.sentAtBoot);
    }
    applyDirectoryChanges(reply, call.sentAt);
}

bool GroupMember::applyDocument(const FollowReply &reply)
{
    if (reply.deployment.empty()) {
        return m_deploymentVersion > DeploymentVersion{};
    }
    try {
        applyDocument(decodeDeploymentDocument(reply.deployment));
        return true;
    } catch (const DecodeError &error) {
        // Requested again with the next follow request.
        logEvent(Severity::Warning, "cannot decode deployment", {{"problem", error.what()}});
        return false;
    }
}

void GroupMember::applyDirectoryChanges(const FollowReply &reply, TimePoint sentAt)
{
    const TimePoint listedAt = sentAt - reply.listingAge;
    try {
        if (!reply.directoryChanges.empty() && m_directory.apply(reply.directoryChanges)) {
            m_hooks.directoryChanged(m_directory.endpoints(), listedAt);
        } else if (reply.directory != DirectoryRevision{} && reply.directory == m_directory.revision()) {
            m_hooks.directoryConfirmed(listedAt);
        }
    } catch (const DecodeError &error) {
        m_directory.invalidate();
        logEvent(Severity::Warning, "cannot decode endpoint directory", {{"problem", error.what()}});
    }
}

CallId GroupMember::startFollowCall(const VmId &to, FollowRequest request)
{
    // Taken before the request can be sent: what it proves counts from its sending, and this process may be frozen in between.
    PendingFollowCall pending{to, currentTime(), BootClock::now(), request.quotaClaim};
    const CallId id = startCall(to, std::move(request));
    m_followCalls[id] = std::move(pending);
    return id;
}

FollowRequest GroupMember::requestToLeader() const
{
    FollowRequest request = followRequest();
    request.figures = m_hooks.collectFigures();
    return request;
}

FollowRequest GroupMember::followRequest() const
{
    FollowRequest request;
    request.deployment = m_deploymentVersion;
    request.directory = m_directory.revision();
    request.followersDigest = m_followersDigest;
    if (m_hooks.quotaClaim) {
        request.quotaClaim = m_hooks.quotaClaim();
    }
    return request;
}

void GroupMember::reportFigures()
{
    if (m_controller || m_leader.empty()) {
        return;
    }
    startFollowCall(m_leader, requestToLeader());
}

void GroupMember::searchLeader()
{
    m_search.begin(std::exchange(m_leader, {}));
    m_followCall.reset();
    m_searchingSince = currentTime();
    for (const VmId &vm : m_search.next(FirstCandidates, m_searchingSince)) {
        ask(vm);
    }
    if (!std::exchange(m_searchScheduled, true)) {
        m_timers.after(SearchInterval, m_loop, [this] { continueSearch(); });
    }
}

void GroupMember::continueSearch()
{
    m_searchScheduled = false;
    if (!m_leader.empty()) {
        return;
    }
    for (const VmId &vm : m_search.next(1, currentTime())) {
        ask(vm);
    }
    m_searchScheduled = true;
    m_timers.after(SearchInterval, m_loop, [this] { continueSearch(); });
}

void GroupMember::ask(const VmId &vm)
{
    learnPeer(vm, false);
    startFollowCall(vm, followRequest());
}

void GroupMember::setSeeds(const std::vector<VmId> &seeds)
{
    m_search.setSeeds(seeds);
    for (const VmId &seed : seeds) {
        learnPeer(seed, true);
    }
}

void GroupMember::learnPeer(const VmId &vm, bool isController)
{
    const bool isOther = !vm.empty() && vm != m_settings.vm;
    if (!m_settings.peers.openMembership || !isOther || !m_knownPeers.insert(vm).second) {
        return;
    }
    const PeerSettings peer{vm, {}, Address{vm.value, m_settings.peers.listen.port}, isController};
    logEvent(Severity::Info, "node discovered", {{"vm", vm.value}});
    m_peers.post(AddPeer{peer});
    if (m_controller) {
        m_controller->addPeer(peer);
    }
}

CallId GroupMember::startCall(const VmId &to, PeerRequest request)
{
    const CallId id{++m_lastCall};
    m_peers.post(StartCall{id, to, std::move(request)});
    return id;
}

void GroupMember::answerCall(IncomingId incoming, PeerReply reply)
{
    m_peers.post(AnswerCall{incoming, std::move(reply)});
}

// Within the lifetime of the process the version never decreases, even if a replica that is being rebuilt returns an older one.
void GroupMember::applyDocument(const DeploymentDocument &document)
{
    if (document.version <= m_deploymentVersion) {
        return;
    }
    m_deploymentVersion = document.version;
    logEvent(Severity::Info, "deployment in force", {{"version", document.version.value}, {"bytes", document.text.size()}});
    m_hooks.deploymentCommitted(document);
}

} // namespace Hemlockhill
