// Membership of a controller or follower in the control plane.
#include "hemlockhill/group_member.h"

#include "hemlockhill/exchange_messages.h"
#include "hemlockhill/log.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t MailboxCapacity = 16'384;
// Delay before the next controller is tried after a failed or redirected follow request, to avoid a busy loop.
constexpr Duration FollowRetryDelay = std::chrono::milliseconds(150);
// Maximum number of controllers that a follower keeps as candidates for follow requests.
constexpr std::size_t CandidateLimit = 16;

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
    , m_peers(settings, metrics, [this](PeerEvent event) { return m_peerEvents.post(std::move(event)); })
{
    for (const PeerSettings &peer : settings.peers.others) {
        m_knownPeers.insert(peer.vm);
        if (peer.controller) {
            m_candidates.push_back(peer.vm);
        }
    }
    if (settings.dataFolder) {
        m_controller = std::make_unique<Controller>(settings, metrics, controllerHooks());
        m_storage = std::make_unique<StorageThread>(
            *settings.dataFolder, metrics, [this](StorageEvent event) { m_storageEvents.post(std::move(event)); });
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
        addCandidate(to, false);
        startCall(to, std::move(batch));
    };
    hooks.requestIdentity = [this](const VmId &to) { startCall(to, IdentityRequest{}); };
    hooks.requestLeave = [this](const VmId &to, LeaveRequest request) { startCall(to, std::move(request)); };
    hooks.persist = [this](ConsensusActions actions) { m_storage->write(std::move(actions)); };
    hooks.saveInitialMembership = [this](VoterMembership membership) { m_storage->saveInitialMembership(std::move(membership)); };
    hooks.leadershipChanged = [this](std::optional<Term> term) { m_hooks.leadershipChanged(term); };
    hooks.applied = [this](const ReplicatedCommand &command) {
        if (command.machine == ReplicatedMachine::Deployment) {
            applyDocument(m_controller->state().deployment().current());
        }
    };
    hooks.restored = [this] { applyDocument(m_controller->state().deployment().current()); };
    return hooks;
}

void GroupMember::start()
{
    m_peers.start();
    if (m_controller) {
        m_storage->start();
        m_timers.every(m_settings.control.heartbeat / 2, m_loop, [this] { m_controller->tick(currentTime()); });
    } else {
        sendFollowRequest();
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

std::optional<DeploymentDocument> GroupMember::newestDocument() const
{
    return leads() ? std::optional(m_controller->state().deployment().current()) : std::nullopt;
}

bool GroupMember::leads() const
{
    return m_controller && m_controller->leads(currentTime());
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
                addCandidate(call.from, false);
                m_controller->onConsensus(batch, now);
            },
            [&](const IdentityRequest &) {
                addCandidate(call.from, false);
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
            addCandidate(identity->leader, false);
            m_controller->onIdentity(answer.from, *identity, currentTime());
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
        const auto sent = m_followCallsSentAt.extract(answer.call);
        onFollowReply(answer.from, *follow, sent.empty() ? TimePoint{} : sent.mapped());
        if (m_followCall == answer.call) {
            m_followCall.reset();
            if (follow->leading) {
                sendFollowRequest();
            } else {
                tryNextCandidate();
            }
        }
    }
}

void GroupMember::onFailed(const PeerCallFailed &failure)
{
    m_followCallsSentAt.erase(failure.call);
    if (m_followCall != failure.call) {
        return;
    }
    m_followCall.reset();
    if (m_leader == failure.to) {
        logEvent(Severity::Warning, "connection to leader lost", {{"leader", m_leader.value}, {"deployment", m_deploymentVersion.value}});
        m_leader = VmId{};
    }
    tryNextCandidate();
}

void GroupMember::onFollowReply(const VmId &from, const FollowReply &reply, TimePoint sentAt)
{
    if (!reply.leading) {
        if (!reply.leader.empty()) {
            addCandidate(reply.leader, true);
        }
        return;
    }
    if (m_leader != from) {
        m_leader = from;
        logEvent(Severity::Info, "leader found", {{"leader", m_leader.value}, {"deployment", m_deploymentVersion.value}});
    }
    for (const VmId &controller : reply.controllers) {
        addCandidate(controller, false);
    }
    if (!reply.followers.empty()) {
        m_followersDigest = reply.followersDigest;
    }
    if (!reply.followers.empty() && reply.followers != m_followers) {
        m_followers = reply.followers;
        m_hooks.followersChanged(m_followers);
    }
    if (!reply.deployment.empty()) {
        applyDocument(reply);
    }
    applyDirectoryChanges(reply, sentAt);
}

void GroupMember::applyDocument(const FollowReply &reply)
{
    try {
        applyDocument(decodeDeploymentDocument(reply.deployment));
    } catch (const DecodeError &error) {
        // Requested again with the next follow request.
        logEvent(Severity::Warning, "cannot decode deployment", {{"problem", error.what()}});
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

void GroupMember::sendFollowRequest()
{
    if (m_candidates.empty()) {
        return;
    }
    m_followCall = startFollowCall(m_candidates.front());
}

CallId GroupMember::startFollowCall(const VmId &to)
{
    const CallId id = startCall(to, followRequest());
    m_followCallsSentAt[id] = currentTime();
    return id;
}

FollowRequest GroupMember::followRequest() const
{
    FollowRequest request;
    request.figures = m_hooks.collectFigures();
    request.deployment = m_deploymentVersion;
    request.directory = m_directory.revision();
    request.followersDigest = m_followersDigest;
    return request;
}

void GroupMember::reportFigures()
{
    if (m_controller || m_leader.empty()) {
        return;
    }
    startFollowCall(m_leader);
}

// Moves the current candidate to the end of the list and sends a follow request to the next one after a delay.
void GroupMember::tryNextCandidate()
{
    m_candidates.push_back(m_candidates.front());
    m_candidates.pop_front();
    m_timers.after(FollowRetryDelay, m_loop, [this] {
        if (!m_followCall) {
            sendFollowRequest();
        }
    });
}

// Adds a controller to the candidates. In an open group, where a VM's id is its IP address and all controllers listen on the same port, it
// also connects to a controller that is not in the settings. With front, the controller becomes the next candidate.
void GroupMember::addCandidate(const VmId &vm, bool front)
{
    if (vm.empty() || vm == m_settings.vm) {
        return;
    }
    if (m_settings.peers.openMembership && m_knownPeers.insert(vm).second) {
        const PeerSettings peer{vm, {}, Address{vm.value, m_settings.peers.listen.port}, true};
        logEvent(Severity::Info, "controller discovered", {{"vm", vm.value}});
        m_peers.post(AddPeer{peer});
        if (m_controller) {
            m_controller->addPeer(peer);
        }
    }
    const auto found = std::find(m_candidates.begin(), m_candidates.end(), vm);
    if (found == m_candidates.end()) {
        m_candidates.push_back(vm);
    }
    if (front) {
        // tryNextCandidate() moves the first candidate to the end, so the next one is the second.
        const VmId current = m_candidates.front();
        m_candidates.erase(std::find(m_candidates.begin(), m_candidates.end(), vm));
        if (vm == current) {
            m_candidates.push_front(vm);
        } else {
            m_candidates.insert(m_candidates.begin() + 1, vm);
        }
    }
    while (m_candidates.size() > CandidateLimit) {
        m_candidates.pop_back();
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
