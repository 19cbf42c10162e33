// A controller's or follower's part in the group.
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
// After a controller could not be asked, so that the others are not asked in a busy loop.
constexpr Duration FollowPause = std::chrono::milliseconds(150);
// Controllers that a follower remembers as those to ask.
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
        m_storage = std::make_unique<StorageDuty>(
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
        learnPeer(to, false);
        startCall(to, std::move(batch));
    };
    hooks.askIdentity = [this](const VmId &to) { startCall(to, IdentityRequest{}); };
    hooks.store = [this](ConsensusActions actions) { m_storage->write(std::move(actions)); };
    hooks.adopt = [this](VoterMembership membership) { m_storage->adopt(std::move(membership)); };
    hooks.leadershipChanged = [this](std::optional<Term> term) { m_hooks.leadership(term); };
    hooks.applied = [this](const ReplicatedCommand &command) {
        if (command.machine == ReplicatedMachine::Deployment) {
            takeDocument(m_controller->state().deployment().current());
        }
    };
    hooks.restored = [this] { takeDocument(m_controller->state().deployment().current()); };
    return hooks;
}

void GroupMember::start()
{
    m_peers.start();
    if (m_controller) {
        m_storage->start();
        m_timers.every(m_settings.control.heartbeat / 2, m_loop, [this] { m_controller->tick(currentTime()); });
    } else {
        callFollow();
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

void GroupMember::publishDirectory(const EndpointsById &endpoints)
{
    if (m_controller) {
        m_controller->publishDirectory(endpoints, currentTime());
    }
}

std::size_t GroupMember::followers() const
{
    return m_controller ? m_controller->followers(currentTime()).size() : m_followers.size();
}

bool GroupMember::resign()
{
    return !m_controller || m_controller->resign(currentTime());
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
                learnPeer(call.from, false);
                m_controller->onConsensus(batch, now);
            },
            [&](const IdentityRequest &) {
                learnPeer(call.from, false);
                answerCall(call.incoming, m_controller->identity());
            },
            [&](const FollowRequest &request) {
                if (m_controller->leads(now) && !request.figures.empty()) {
                    m_hooks.figures(call.from, request.figures);
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
        },
        call.request);
}

void GroupMember::onAnswer(const PeerCallAnswered &answer)
{
    if (const auto *identity = std::get_if<IdentityReply>(&answer.reply)) {
        if (m_controller) {
            m_controller->onIdentity(answer.from, *identity, currentTime());
        }
        return;
    }
    if (const auto *follow = std::get_if<FollowReply>(&answer.reply)) {
        onFollowReply(answer.from, *follow);
        if (m_followCall == answer.call) {
            m_followCall.reset();
            if (follow->leading) {
                callFollow();
            } else {
                followNext();
            }
        }
    }
}

void GroupMember::onFailed(const PeerCallFailed &failure)
{
    if (m_followCall != failure.call) {
        return;
    }
    m_followCall.reset();
    if (m_leader == failure.to) {
        logEvent(Severity::Warning, "leader lost", {{"leader", m_leader.value}, {"deployment", m_inForce.value}});
        m_leader = VmId{};
    }
    followNext();
}

void GroupMember::onFollowReply(const VmId &from, const FollowReply &reply)
{
    if (!reply.leading) {
        if (!reply.leader.empty()) {
            learnPeer(reply.leader, true);
        }
        return;
    }
    m_leaderHeardAt = currentTime();
    if (m_leader != from) {
        m_leader = from;
        logEvent(Severity::Info, "leader found", {{"leader", m_leader.value}, {"deployment", m_inForce.value}});
    }
    for (const VmId &controller : reply.controllers) {
        learnPeer(controller, false);
    }
    if (reply.followers != m_followers) {
        m_followers = reply.followers;
        m_hooks.followers(m_followers);
    }
    if (!reply.deployment.empty()) {
        takeDocument(reply);
    }
    takeDirectory(reply);
}

void GroupMember::takeDocument(const FollowReply &reply)
{
    try {
        takeDocument(decodeDeploymentDocument(reply.deployment));
    } catch (const DecodeError &error) {
        // The next call asks for it again.
        logEvent(Severity::Warning, "deployment not understood", {{"problem", error.what()}});
    }
}

void GroupMember::takeDirectory(const FollowReply &reply)
{
    if (reply.directoryChanges.empty()) {
        return;
    }
    try {
        if (m_directory.apply(reply.directoryChanges)) {
            m_hooks.directory(m_directory.endpoints());
        }
    } catch (const DecodeError &error) {
        m_directory.invalidate();
        logEvent(Severity::Warning, "directory of endpoints not understood", {{"problem", error.what()}});
    }
}

void GroupMember::callFollow()
{
    if (m_candidates.empty()) {
        return;
    }
    m_followCall = startCall(m_candidates.front(), followRequest());
}

FollowRequest GroupMember::followRequest() const
{
    FollowRequest request;
    request.figures = m_hooks.ownFigures();
    request.deployment = m_inForce;
    request.directory = m_directory.revision();
    return request;
}

void GroupMember::reportFigures()
{
    if (m_controller || m_leader.empty()) {
        return;
    }
    startCall(m_leader, followRequest());
}

// The present candidate goes to the end, unless the one in front is new.
void GroupMember::followNext()
{
    m_candidates.push_back(m_candidates.front());
    m_candidates.pop_front();
    m_timers.after(FollowPause, m_loop, [this] {
        if (!m_followCall) {
            callFollow();
        }
    });
}

// Where it stands is its id: in an open group a VM is named by its IP number, and all use the same port.
void GroupMember::learnPeer(const VmId &vm, bool front)
{
    if (vm.empty() || vm == m_settings.vm) {
        return;
    }
    if (m_settings.peers.open && m_knownPeers.insert(vm).second) {
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
        // followNext() moves the one in front to the end, so the one to ask next stands behind it.
        const VmId present = m_candidates.front();
        m_candidates.erase(std::find(m_candidates.begin(), m_candidates.end(), vm));
        if (vm == present) {
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

// What is in force never goes back within the life of the process, whatever a replica that starts over has to show.
void GroupMember::takeDocument(const DeploymentDocument &document)
{
    if (document.version <= m_inForce) {
        return;
    }
    m_inForce = document.version;
    logEvent(Severity::Info, "deployment in force", {{"version", document.version.value}, {"bytes", document.text.size()}});
    m_hooks.deployment(document);
}

} // namespace Hemlockhill
