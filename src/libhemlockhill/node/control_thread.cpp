// State replication, serving lease, command submission and operator queries of one node.
#include "hemlockhill/control_thread.h"

#include "hemlockhill/buffer_budget.h"
#include "hemlockhill/log.h"
#include "hemlockhill/refusal_answer.h"
#include "node/node_limits.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t MailboxCapacity = 16'384;
// Delay before the next controller is tried after one did not answer or is not the leader.
constexpr Duration FollowRetryDelay = std::chrono::milliseconds(50);
// Delay before the next follow request while the latest revision cannot be confirmed yet, because the caller thread has not applied it
// or an attestation promise is in force.
constexpr Duration ConfirmRetryDelay = std::chrono::milliseconds(10);
// Number of attestation rounds started per lease duration.
constexpr int RoundsPerLease = 4;
// How long a command is retried without a known leader before it is refused.
constexpr Duration LeaderSearchTimeout = std::chrono::seconds(3);
constexpr Duration StatisticsPeriod = std::chrono::seconds(1);
constexpr Duration LeadershipTransferCheckPeriod = std::chrono::milliseconds(20);
constexpr std::chrono::seconds RetryAfterNoLeader(1);

std::string_view toText(ServingMode mode)
{
    switch (mode) {
    case ServingMode::Leased:
        return "leased";
    case ServingMode::Attested:
        return "attested";
    case ServingMode::Stopped:
        break;
    }
    return "stopped";
}

Refusal noLeaderRefusal()
{
    Refusal refusal;
    refusal.reason = Reason::NoQuorum;
    refusal.detail = "no leading controller is reachable";
    refusal.retryAfter = RetryAfterNoLeader;
    return refusal;
}

} // namespace

ControlThread::ControlThread(const Settings &settings, TimerService &timers, Metrics &metrics, ServingGate &gate)
    : m_settings(settings)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_gate(gate)
    , m_thread("control")
    , m_operatorApi(metrics, operatorHooks())
    , m_lease(leaseTimes(settings.control), settings.peers.others.size() + 1, currentTime())
    , m_mailbox(m_thread.context(), MailboxCapacity, [this](PeerEvent &&event) { handle(std::move(event)); })
{
    for (const PeerSettings &peer : settings.peers.others) {
        if (peer.controller) {
            m_controllers.push_back(peer.vm);
        }
    }
}

ControlThread::~ControlThread()
{
    stop();
}

void ControlThread::start(ControlListeners listeners, PeerSink peers)
{
    m_listeners = std::move(listeners);
    m_peerSink = std::move(peers);
    m_server = std::make_unique<HttpServer>(
        m_thread.context(),
        m_settings.operators.listen,
        operatorLimits(),
        [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            m_operatorApi.onRequest(request, responder);
        },
        [this](Reason reason) { m_metrics.countRefusal(reason); });
    if (m_settings.dataFolder) {
        ControllerHostHooks hooks;
        hooks.sendConsensus = [this](const VmId &to, ConsensusBatch batch) { m_peerSink(StartCall{CallId{0}, to, std::move(batch)}); };
        hooks.requestIdentity = [this](const VmId &to) { call(to, IdentityRequest{}, IdentityCall{currentTime()}); };
        m_controller = std::make_unique<ControllerHost>(m_settings, m_metrics, m_thread.context(), std::move(hooks));
        m_controller->start();
    }
    m_timers.every(m_settings.control.heartbeat / 2, m_thread.context(), [this] { tick(); });
    scheduleFollow(Duration::zero());
    m_thread.start();
}

HttpServerLimits ControlThread::operatorLimits()
{
    const NodeLimits node = nodeLimits(m_settings);
    HttpServerLimits limits;
    limits.body = StatementLimit;
    limits.copies = StatementCopies;
    limits.connections = node.operatorConnections;
    limits.requestBudget = std::make_shared<BufferBudget>(node.operatorRequests);
    limits.requestBudget->onExceeded = [this] { m_metrics.countEvent("request_buffers_full"); };
    limits.answerBudget = std::make_shared<BufferBudget>(node.operatorAnswers);
    limits.answerBudget->onExceeded = [this] { m_metrics.countEvent("answer_buffers_full"); };
    return limits;
}

void ControlThread::stop()
{
    if (m_controller) {
        m_controller->stop();
    }
    m_thread.stop();
}

void ControlThread::tick()
{
    const TimePoint now = currentTime();
    if (m_controller) {
        m_controller->tick(now);
    }
    const bool roundDue = now - m_roundStartedAt >= m_settings.control.lease / RoundsPerLease;
    if (!m_lease.holdsLease(now) && roundDue) {
        requestAttestations(now);
    }
    refreshGate();
}

void ControlThread::handle(PeerEvent &&event)
{
    if (auto *incoming = std::get_if<IncomingCall>(&event)) {
        onIncoming(std::move(*incoming));
    } else if (auto *answered = std::get_if<PeerCallAnswered>(&event)) {
        onAnswered(std::move(*answered));
    } else {
        onFailed(std::get<PeerCallFailed>(event));
    }
}

void ControlThread::onIncoming(IncomingCall &&call)
{
    const TimePoint now = currentTime();
    const auto answer = [this, incoming = call.incoming](PeerReply reply) { m_peerSink(AnswerCall{incoming, std::move(reply)}); };
    if (const auto *batch = std::get_if<ConsensusBatch>(&call.request)) {
        if (m_controller) {
            m_controller->controller().onConsensus(*batch, now);
        }
    } else if (std::holds_alternative<IdentityRequest>(call.request)) {
        answer(m_controller ? m_controller->controller().identity() : IdentityReply{});
        if (m_controller) {
            m_controller->controller().onIdentityRequested(call.from, now);
        }
    } else if (const auto *follow = std::get_if<FollowRequest>(&call.request)) {
        if (m_controller) {
            m_controller->follow(
                call.from, *follow, [answer](FollowReply reply) { answer(std::move(reply)); }, now);
        } else {
            answer(FollowReply{});
        }
    } else if (const auto *request = std::get_if<AttestRequest>(&call.request)) {
        answer(attest(*request));
    } else if (const auto *submission = std::get_if<SubmitRequest>(&call.request)) {
        submitLocally(submission->payload, [answer](SubmitReply reply) { answer(std::move(reply)); });
    } else if (const auto *query = std::get_if<QueryRequest>(&call.request)) {
        answer(QueryReply{m_operatorApi.answerQuery(query->statement, query->json)});
    } else if (const auto *leave = std::get_if<LeaveRequest>(&call.request)) {
        answer(m_controller ? m_controller->controller().onLeaveRequested(*leave, now) : LeaveReply{});
    }
}

void ControlThread::onAnswered(PeerCallAnswered &&answered)
{
    auto context = takeContext(answered.call);
    if (!context) {
        return;
    }
    if (const auto *follow = std::get_if<FollowCall>(&*context)) {
        m_followInProgress = false;
        onFollowReply(follow->sentAt, std::get<FollowReply>(answered.reply));
    } else if (const auto *attestation = std::get_if<AttestCall>(&*context)) {
        onAttestReply(answered.from, attestation->round, std::get<AttestReply>(answered.reply));
    } else if (const auto *submission = std::get_if<SubmitCall>(&*context)) {
        onSubmitReply(submission->submission, std::get<SubmitReply>(answered.reply));
    } else if (const auto *query = std::get_if<QueryCall>(&*context)) {
        query->answer(std::get<QueryReply>(answered.reply).response);
    } else if (m_controller) {
        const TimePoint requestedAt = std::get<IdentityCall>(*context).sentAt;
        m_controller->controller().onIdentity(answered.from, std::get<IdentityReply>(answered.reply), requestedAt, currentTime());
    }
}

void ControlThread::onFailed(const PeerCallFailed &failed)
{
    auto context = takeContext(failed.call);
    if (!context) {
        return;
    }
    if (std::holds_alternative<FollowCall>(*context)) {
        m_followInProgress = false;
        m_leaderHint = VmId{};
        scheduleFollow(FollowRetryDelay);
    } else if (const auto *submission = std::get_if<SubmitCall>(&*context)) {
        Refusal refusal = noLeaderRefusal();
        refusal.ran = Ran::Unknown;
        refusal.detail = "the leading controller did not answer; retry the command with the same operation id";
        submission->submission.answer({refusal});
    } else if (const auto *query = std::get_if<QueryCall>(&*context)) {
        query->answer(refusalAnswer(noLeaderRefusal(), RequestId{}));
    }
}

void ControlThread::call(const VmId &to, PeerRequest request, CallContext context)
{
    const CallId id{++m_lastCall};
    m_calls.emplace(id, std::move(context));
    if (!m_peerSink(StartCall{id, to, std::move(request)})) {
        boost::asio::post(m_thread.context(), [this, id, to] { onFailed(PeerCallFailed{id, to}); });
    }
}

std::optional<ControlThread::CallContext> ControlThread::takeContext(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return std::nullopt;
    }
    CallContext context = std::move(found->second);
    m_calls.erase(found);
    return context;
}

void ControlThread::scheduleFollow(Duration delay)
{
    if (m_followScheduled) {
        return;
    }
    m_followScheduled = true;
    const auto follow = [this] {
        m_followScheduled = false;
        sendFollowRequest();
    };
    if (delay == Duration::zero()) {
        boost::asio::post(m_thread.context(), follow);
    } else {
        m_timers.after(delay, m_thread.context(), follow);
    }
}

void ControlThread::sendFollowRequest()
{
    if (m_followInProgress) {
        return;
    }
    const TimePoint now = currentTime();
    FollowRequest request;
    request.confirmed = std::min(m_lease.confirmableRevision(now), m_gate.revisionInForce());
    request.known = m_follower.state().revision;
    request.digest = m_follower.digest();
    request.quarantineDigest = m_quarantineDigest;
    request.figures = dueStatistics(now);
    if (m_controller && m_controller->controller().leads(now)) {
        m_followInProgress = true;
        m_controller->follow(
            m_settings.vm,
            request,
            [this, now](const FollowReply &reply) {
                // Deferred: the controller calls back from within its own member functions.
                boost::asio::post(m_thread.context(), [this, now, reply] {
                    m_followInProgress = false;
                    onFollowReply(now, reply);
                });
            },
            now);
        return;
    }
    const auto target = leaderCandidate();
    if (!target) {
        scheduleFollow(FollowRetryDelay);
        return;
    }
    m_followInProgress = true;
    call(*target, std::move(request), FollowCall{now});
}

// Returns the known leader, otherwise the next controller in round-robin order.
std::optional<VmId> ControlThread::leaderCandidate()
{
    const VmId known = m_controller ? m_controller->controller().leader() : m_leaderHint;
    if (!known.empty() && known != m_settings.vm) {
        return known;
    }
    if (m_controllers.empty()) {
        return std::nullopt;
    }
    return m_controllers[m_nextController++ % m_controllers.size()];
}

void ControlThread::onFollowReply(TimePoint sentAt, const FollowReply &reply)
{
    m_leaderHint = reply.leader;
    if (!reply.leading) {
        scheduleFollow(FollowRetryDelay);
        return;
    }
    try {
        m_follower.apply(reply);
    } catch (const Error &error) {
        m_metrics.countEvent("delta_refused");
        logEvent(Severity::Warning, "state delta rejected", {{"problem", error.what()}});
        scheduleFollow(FollowRetryDelay);
        return;
    }
    m_lease.onRenewed(sentAt, reply.revision);
    m_figures.acknowledged();
    applyQuarantine(reply);
    publishState();
    const TimePoint now = currentTime();
    const bool confirmed = std::min(m_lease.confirmableRevision(now), m_gate.revisionInForce()) == reply.revision;
    scheduleFollow(confirmed ? Duration::zero() : ConfirmRetryDelay);
}

void ControlThread::applyQuarantine(const FollowReply &reply)
{
    if (reply.quarantineDigest == m_quarantineDigest) {
        return;
    }
    try {
        auto suspects = reply.quarantine.empty() ? QuarantineRegister() : QuarantineRegister::restore(reply.quarantine);
        m_quarantineDigest = reply.quarantineDigest;
        m_listeners.quarantine(std::make_shared<const QuarantineRegister>(std::move(suspects)));
    } catch (const DecodeError &error) {
        logEvent(Severity::Warning, "quarantine register snapshot rejected", {{"problem", error.what()}});
    }
}

// Returns the statistics to send with a follow request, or an empty string. They are sent less often than follow requests to limit the
// load on the leader.
std::string ControlThread::dueStatistics(TimePoint now)
{
    if (now - m_statisticsSentAt < StatisticsPeriod) {
        return {};
    }
    m_statisticsSentAt = now;
    return m_figures.pending();
}

void ControlThread::postReports(std::shared_ptr<const EndpointReports> reports)
{
    boost::asio::post(m_thread.context(), [this, reports = std::move(reports)]() mutable {
        m_reports = std::move(reports);
        if (m_controller) {
            m_controller->onReports(*m_reports, currentTime());
        }
    });
}

void ControlThread::postSettings(std::shared_ptr<const Settings> settings)
{
    boost::asio::post(m_thread.context(), [this, settings = std::move(settings)] {
        m_settings = *settings;
        if (m_controller) {
            m_controller->onSettings(settings->control);
        }
    });
}

void ControlThread::postStatistics(ModelTotalsByModel statistics)
{
    boost::asio::post(m_thread.context(), [this, statistics = std::move(statistics)] { m_figures.update(statistics); });
}

void ControlThread::requestAttestations(TimePoint now)
{
    m_roundStartedAt = now;
    ++m_round;
    m_lease.beginRound(now);
    for (const PeerSettings &peer : m_settings.peers.others) {
        call(peer.vm, AttestRequest{m_lease.revision(), false}, AttestCall{m_round});
    }
}

void ControlThread::onAttestReply(const VmId &from, std::uint64_t round, const AttestReply &reply)
{
    if (round != m_round) {
        return;
    }
    if (!reply.snapshot.empty() && reply.attestation.revision > m_follower.state().revision) {
        try {
            m_follower.restoreSnapshot(reply.snapshot);
            m_lease.onPeerState(m_follower.state().revision);
        } catch (const Error &error) {
            logEvent(Severity::Warning, "state snapshot from peer rejected", {{"vm", from.value}, {"problem", error.what()}});
        }
    }
    m_lease.onAttestation(from, reply.attestation);
    fetchLaterState(from, reply.attestation);
    publishState();
}

// Fetches the state from at most one node per round, however many have a later revision.
void ControlThread::fetchLaterState(const VmId &from, const Attestation &attestation)
{
    if (attestation.revision > m_lease.revision() && m_lastFetchRound != m_round) {
        m_lastFetchRound = m_round;
        call(from, AttestRequest{m_lease.revision(), true}, AttestCall{m_round});
    }
}

AttestReply ControlThread::attest(const AttestRequest &request)
{
    AttestReply reply;
    reply.attestation = m_lease.attest(currentTime());
    if (request.wantsState && m_lease.revision() > request.known) {
        reply.snapshot = m_follower.snapshot();
    }
    return reply;
}

void ControlThread::publishState()
{
    if (m_follower.state().revision != m_publishedRevision) {
        m_publishedRevision = m_follower.state().revision;
        m_metrics.setGauge("revision", static_cast<double>(m_publishedRevision.value));
        m_listeners.state(std::make_shared<const RegionState>(m_follower.state()));
    }
    refreshGate();
}

// Extends the gate's expiry time only if the caller thread already applies the latest revision known to this node.
void ControlThread::refreshGate()
{
    if (m_gate.revisionInForce() >= m_lease.revision()) {
        m_gate.openUntil(m_lease.servingUntil());
    }
    const ServingMode mode = m_lease.mode(currentTime());
    if (mode != m_mode) {
        m_mode = mode;
        m_metrics.countEvent("serving_" + std::string(toText(mode)));
        logEvent(mode == ServingMode::Stopped ? Severity::Warning : Severity::Info,
                 "serving mode changed",
                 {{"mode", toText(mode)}, {"revision", m_lease.revision().value}});
    }
}

void ControlThread::submit(std::string payload, SubmitAnswer answer)
{
    boost::asio::post(m_thread.context(), [this, payload = std::move(payload), answer = std::move(answer)] {
        trySubmission(Submission{payload, answer, currentTime() + LeaderSearchTimeout});
    });
}

void ControlThread::trySubmission(Submission submission)
{
    const TimePoint now = currentTime();
    if (m_controller && m_controller->controller().leads(now)) {
        m_controller->controller().submit(submission.payload, submission.answer, now);
        return;
    }
    const auto target = leaderCandidate();
    if (!target) {
        onSubmitReply(std::move(submission), SubmitReply{noLeaderRefusal()});
        return;
    }
    SubmitRequest request{submission.payload};
    call(*target, std::move(request), SubmitCall{std::move(submission)});
}

// Retries a command that was refused for lack of a leader until LeaderSearchTimeout has elapsed. This is safe because a command refused in
// this way has not run.
void ControlThread::onSubmitReply(Submission submission, const SubmitReply &reply)
{
    const auto *refusal = std::get_if<Refusal>(&reply.outcome);
    const bool isLeaderless =
        refusal != nullptr && refusal->ran == Ran::No && (refusal->reason == Reason::NotLeader || refusal->reason == Reason::NoQuorum);
    if (!isLeaderless) {
        submission.answer(reply);
        return;
    }
    if (currentTime() >= submission.deadline) {
        submission.answer({noLeaderRefusal()});
        return;
    }
    m_leaderHint = VmId{};
    m_timers.after(FollowRetryDelay, m_thread.context(), [this, submission = std::move(submission)] { trySubmission(submission); });
}

// Submits a command received from another node, which assumes that this controller is the leader.
void ControlThread::submitLocally(const std::string &payload, const SubmitAnswer &answer)
{
    if (m_controller) {
        m_controller->controller().submit(payload, answer, currentTime());
    } else {
        answer({noLeaderRefusal()});
    }
}

void ControlThread::leave(std::function<void()> onLeft)
{
    boost::asio::post(m_thread.context(), [this, onLeft = std::move(onLeft)] {
        awaitLeadershipTransfer(currentTime() + 2 * m_settings.control.electionTimeout, onLeft);
    });
}

void ControlThread::awaitLeadershipTransfer(TimePoint deadline, const std::function<void()> &onLeft)
{
    const TimePoint now = currentTime();
    if (!m_controller || m_controller->controller().resign(now) || now >= deadline) {
        onLeft();
        return;
    }
    m_timers.after(
        LeadershipTransferCheckPeriod, m_thread.context(), [this, deadline, onLeft] { awaitLeadershipTransfer(deadline, onLeft); });
}

OperatorHttpHandlerHooks ControlThread::operatorHooks()
{
    OperatorHttpHandlerHooks hooks;
    hooks.view = [this] { return view(); };
    hooks.plan = [this](const RegionState &, const RegionState &after) {
        return m_controller ? m_controller->plan(after, currentTime()) : std::vector<PlanStep>{};
    };
    hooks.submit = [this](const CommandRequest &command, const std::function<void(const CommandOutcome &)> &answer) {
        submit(encodePayload(ReplicatedMachine::Region, encode(command)), [answer](const SubmitReply &reply) {
            const auto *outcome = std::get_if<std::string>(&reply.outcome);
            answer(outcome != nullptr ? decodeCommandOutcome(*outcome) : std::get<Refusal>(reply.outcome));
        });
    };
    hooks.forwardToLeader = [this](const std::string &statement, bool json, std::function<void(HttpResponse)> answer) {
        return forwardQuery(statement, json, std::move(answer));
    };
    return hooks;
}

OperatorView ControlThread::view()
{
    OperatorView view;
    view.now = currentTime();
    view.state = m_follower.state();
    view.defaults = regionDefaults(m_settings.control);
    view.feasibility = findOvercommitment;
    if (m_reports) {
        view.reports = *m_reports;
    }
    if (m_controller) {
        m_controller->describe(view);
    }
    return view;
}

bool ControlThread::forwardQuery(const std::string &statement, bool json, std::function<void(HttpResponse)> answer)
{
    const bool leads = m_controller && m_controller->controller().leads(currentTime());
    const VmId leader = m_controller ? m_controller->controller().leader() : m_leaderHint;
    if (leads || leader.empty() || leader == m_settings.vm) {
        return false;
    }
    call(leader, QueryRequest{statement, json}, QueryCall{std::move(answer)});
    return true;
}

} // namespace Hemlockhill
