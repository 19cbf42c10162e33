// State replication, serving lease, command submission and operator queries of one node.
#include "hemlockhill/control_duty.h"

#include "hemlockhill/log.h"
#include "hemlockhill/refusal_answer.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t MailboxCapacity = 16'384;
// Delay before the next controller is tried after one did not answer or is not the leader.
constexpr Duration FollowRetryPause = std::chrono::milliseconds(50);
// Delay before the next follow request while the latest revision cannot be confirmed yet, because the caller thread has not applied it
// or an attestation promise is in force.
constexpr Duration ConfirmPause = std::chrono::milliseconds(10);
// Number of attestation rounds started per lease duration.
constexpr int RoundsPerLease = 4;
// How long a command is retried without a known leader before it is refused.
constexpr Duration LeaderPatience = std::chrono::seconds(3);
constexpr Duration FiguresPeriod = std::chrono::seconds(1);
constexpr Duration ResignationCheckPeriod = std::chrono::milliseconds(20);
constexpr std::chrono::seconds RetryAfterNoLeader(1);

HttpServerLimits operatorLimits()
{
    HttpServerLimits limits;
    limits.body = Bytes{1'000'000};
    limits.connections = 64;
    return limits;
}

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

Refusal noLeader()
{
    Refusal refusal;
    refusal.reason = Reason::NoQuorum;
    refusal.detail = "no leading controller is reachable";
    refusal.retryAfter = RetryAfterNoLeader;
    return refusal;
}

} // namespace

ControlDuty::ControlDuty(const Settings &settings, TimerService &timers, Metrics &metrics, ServingGate &gate)
    : m_settings(settings)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_gate(gate)
    , m_duty("control")
    , m_desk(metrics, deskHooks())
    , m_lease(leaseTimes(settings.control), settings.peers.others.size() + 1, currentTime())
    , m_mailbox(m_duty.context(), MailboxCapacity, [this](PeerEvent &&event) { handle(std::move(event)); })
{
    for (const PeerSettings &peer : settings.peers.others) {
        if (peer.controller) {
            m_controllers.push_back(peer.vm);
        }
    }
}

ControlDuty::~ControlDuty()
{
    stop();
}

void ControlDuty::start(ControlListeners listeners, PeerOutlet peers)
{
    m_listeners = std::move(listeners);
    m_peers = std::move(peers);
    m_server = std::make_unique<HttpServer>(
        m_duty.context(),
        m_settings.operators.listen,
        operatorLimits(),
        [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { m_desk.onRequest(request, responder); },
        [this](Reason reason) { m_metrics.countRefusal(reason); });
    if (m_settings.dataFolder) {
        ControllerHostHooks hooks;
        hooks.sendConsensus = [this](const VmId &to, ConsensusBatch batch) { m_peers(StartCall{CallId{0}, to, std::move(batch)}); };
        hooks.askIdentity = [this](const VmId &to) { call(to, IdentityRequest{}, IdentityCall{}); };
        m_controller = std::make_unique<ControllerHost>(m_settings, m_metrics, m_duty.context(), std::move(hooks));
        m_controller->start();
    }
    m_timers.every(m_settings.control.heartbeat / 2, m_duty.context(), [this] { tick(); });
    followSoon(Duration::zero());
    m_duty.start();
}

void ControlDuty::stop()
{
    if (m_controller) {
        m_controller->stop();
    }
    m_duty.stop();
}

void ControlDuty::tick()
{
    const TimePoint now = currentTime();
    if (m_controller) {
        m_controller->tick(now);
    }
    const bool roundDue = now - m_roundBeganAt >= m_settings.control.lease / RoundsPerLease;
    if (!m_lease.holdsLease(now) && roundDue) {
        askForAttestations(now);
    }
    refreshGate();
}

void ControlDuty::handle(PeerEvent &&event)
{
    if (auto *incoming = std::get_if<IncomingCall>(&event)) {
        onIncoming(std::move(*incoming));
    } else if (auto *answered = std::get_if<PeerCallAnswered>(&event)) {
        onAnswered(std::move(*answered));
    } else {
        onFailed(std::get<PeerCallFailed>(event));
    }
}

void ControlDuty::onIncoming(IncomingCall &&call)
{
    const TimePoint now = currentTime();
    const auto answer = [this, incoming = call.incoming](PeerReply reply) { m_peers(AnswerCall{incoming, std::move(reply)}); };
    if (const auto *batch = std::get_if<ConsensusBatch>(&call.request)) {
        if (m_controller) {
            m_controller->controller().onConsensus(*batch, now);
        }
    } else if (std::holds_alternative<IdentityRequest>(call.request)) {
        answer(m_controller ? m_controller->controller().identity() : IdentityReply{});
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
        submitHere(submission->payload, [answer](SubmitReply reply) { answer(std::move(reply)); });
    } else if (const auto *query = std::get_if<QueryRequest>(&call.request)) {
        answer(QueryReply{m_desk.answerQuery(query->statement, query->json)});
    }
}

void ControlDuty::onAnswered(PeerCallAnswered &&answered)
{
    auto purpose = takePurpose(answered.call);
    if (!purpose) {
        return;
    }
    if (const auto *follow = std::get_if<FollowCall>(&*purpose)) {
        m_following = false;
        onFollowReply(follow->sentAt, std::get<FollowReply>(answered.reply));
    } else if (const auto *attestation = std::get_if<AttestCall>(&*purpose)) {
        onAttestReply(answered.from, attestation->round, std::get<AttestReply>(answered.reply));
    } else if (const auto *submission = std::get_if<SubmitCall>(&*purpose)) {
        onSubmitReply(submission->submission, std::get<SubmitReply>(answered.reply));
    } else if (const auto *query = std::get_if<QueryCall>(&*purpose)) {
        query->answer(std::get<QueryReply>(answered.reply).response);
    } else if (m_controller) {
        m_controller->controller().onIdentity(answered.from, std::get<IdentityReply>(answered.reply), currentTime());
    }
}

void ControlDuty::onFailed(const PeerCallFailed &failed)
{
    auto purpose = takePurpose(failed.call);
    if (!purpose) {
        return;
    }
    if (std::holds_alternative<FollowCall>(*purpose)) {
        m_following = false;
        m_leaderHint = VmId{};
        followSoon(FollowRetryPause);
    } else if (const auto *submission = std::get_if<SubmitCall>(&*purpose)) {
        Refusal refusal = noLeader();
        refusal.ran = Ran::Unknown;
        refusal.detail = "the leading controller did not answer; retry the command with the same operation id";
        submission->submission.answer({refusal});
    } else if (const auto *query = std::get_if<QueryCall>(&*purpose)) {
        query->answer(refusalAnswer(noLeader(), RequestId{}));
    }
}

void ControlDuty::call(const VmId &to, PeerRequest request, CallPurpose purpose)
{
    const CallId id{++m_lastCall};
    m_calls.emplace(id, std::move(purpose));
    if (!m_peers(StartCall{id, to, std::move(request)})) {
        boost::asio::post(m_duty.context(), [this, id, to] { onFailed(PeerCallFailed{id, to}); });
    }
}

std::optional<ControlDuty::CallPurpose> ControlDuty::takePurpose(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return std::nullopt;
    }
    CallPurpose purpose = std::move(found->second);
    m_calls.erase(found);
    return purpose;
}

void ControlDuty::followSoon(Duration delay)
{
    if (m_followScheduled) {
        return;
    }
    m_followScheduled = true;
    const auto follow = [this] {
        m_followScheduled = false;
        followNow();
    };
    if (delay == Duration::zero()) {
        boost::asio::post(m_duty.context(), follow);
    } else {
        m_timers.after(delay, m_duty.context(), follow);
    }
}

void ControlDuty::followNow()
{
    if (m_following) {
        return;
    }
    const TimePoint now = currentTime();
    FollowRequest request;
    request.confirmed = std::min(m_lease.confirmable(now), m_gate.revisionInForce());
    request.known = m_follower.state().revision;
    request.digest = m_follower.digest();
    request.quarantineDigest = m_quarantineDigest;
    request.figures = figuresDue(now);
    if (m_controller && m_controller->controller().leads(now)) {
        m_following = true;
        m_controller->follow(
            m_settings.vm,
            request,
            [this, now](const FollowReply &reply) {
                // Deferred: the controller calls back from within its own member functions.
                boost::asio::post(m_duty.context(), [this, now, reply] {
                    m_following = false;
                    onFollowReply(now, reply);
                });
            },
            now);
        return;
    }
    const auto target = followTarget();
    if (!target) {
        followSoon(FollowRetryPause);
        return;
    }
    m_following = true;
    call(*target, std::move(request), FollowCall{now});
}

// Returns the known leader, otherwise the next controller in round-robin order.
std::optional<VmId> ControlDuty::followTarget()
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

void ControlDuty::onFollowReply(TimePoint sentAt, const FollowReply &reply)
{
    m_leaderHint = reply.leader;
    if (!reply.leading) {
        followSoon(FollowRetryPause);
        return;
    }
    try {
        m_follower.take(reply);
    } catch (const Error &error) {
        m_metrics.countEvent("delta_refused");
        logEvent(Severity::Warning, "state delta rejected", {{"problem", error.what()}});
        followSoon(FollowRetryPause);
        return;
    }
    m_lease.renewed(sentAt, reply.revision);
    m_figures.taken();
    takeQuarantine(reply);
    publish();
    const TimePoint now = currentTime();
    const bool confirmed = std::min(m_lease.confirmable(now), m_gate.revisionInForce()) == reply.revision;
    followSoon(confirmed ? Duration::zero() : ConfirmPause);
}

void ControlDuty::takeQuarantine(const FollowReply &reply)
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
std::string ControlDuty::figuresDue(TimePoint now)
{
    if (now - m_figuresSentAt < FiguresPeriod) {
        return {};
    }
    m_figuresSentAt = now;
    return m_figures.pending();
}

void ControlDuty::postReports(std::shared_ptr<const EndpointReports> reports)
{
    boost::asio::post(m_duty.context(), [this, reports = std::move(reports)]() mutable {
        m_reports = std::move(reports);
        if (m_controller) {
            m_controller->onReports(*m_reports, currentTime());
        }
    });
}

void ControlDuty::postSettings(std::shared_ptr<const Settings> settings)
{
    boost::asio::post(m_duty.context(), [this, settings = std::move(settings)] {
        m_settings = *settings;
        if (m_controller) {
            m_controller->onSettings(settings->control);
        }
    });
}

void ControlDuty::postFigures(ModelFiguresByModel figures)
{
    boost::asio::post(m_duty.context(), [this, figures = std::move(figures)] { m_figures.update(figures); });
}

void ControlDuty::askForAttestations(TimePoint now)
{
    m_roundBeganAt = now;
    ++m_round;
    m_lease.beginRound(now);
    for (const PeerSettings &peer : m_settings.peers.others) {
        call(peer.vm, AttestRequest{m_lease.revision(), false}, AttestCall{m_round});
    }
}

void ControlDuty::onAttestReply(const VmId &from, std::uint64_t round, const AttestReply &reply)
{
    if (round != m_round) {
        return;
    }
    if (!reply.snapshot.empty() && reply.attestation.revision > m_follower.state().revision) {
        try {
            m_follower.takeSnapshot(reply.snapshot);
            m_lease.learned(m_follower.state().revision);
        } catch (const Error &error) {
            logEvent(Severity::Warning, "state snapshot from peer rejected", {{"vm", from.value}, {"problem", error.what()}});
        }
    }
    m_lease.attested(from, reply.attestation);
    fetchLaterState(from, reply.attestation);
    publish();
}

// Fetches the state from at most one node per round, however many have a later revision.
void ControlDuty::fetchLaterState(const VmId &from, const Attestation &attestation)
{
    if (attestation.revision > m_lease.revision() && m_fetchedInRound != m_round) {
        m_fetchedInRound = m_round;
        call(from, AttestRequest{m_lease.revision(), true}, AttestCall{m_round});
    }
}

AttestReply ControlDuty::attest(const AttestRequest &request)
{
    AttestReply reply;
    reply.attestation = m_lease.attest(currentTime());
    if (request.wantsState && m_lease.revision() > request.known) {
        reply.snapshot = m_follower.snapshot();
    }
    return reply;
}

void ControlDuty::publish()
{
    if (m_follower.state().revision != m_published) {
        m_published = m_follower.state().revision;
        m_metrics.setGauge("revision", static_cast<double>(m_published.value));
        m_listeners.state(std::make_shared<const RegionState>(m_follower.state()));
    }
    refreshGate();
}

// Extends the gate's expiry time only if the caller thread already applies the latest revision known to this node.
void ControlDuty::refreshGate()
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

void ControlDuty::submit(std::string payload, SubmitAnswer answer)
{
    boost::asio::post(m_duty.context(), [this, payload = std::move(payload), answer = std::move(answer)] {
        trySubmission(Submission{payload, answer, currentTime() + LeaderPatience});
    });
}

void ControlDuty::trySubmission(Submission submission)
{
    const TimePoint now = currentTime();
    if (m_controller && m_controller->controller().leads(now)) {
        m_controller->controller().submit(submission.payload, submission.answer, now);
        return;
    }
    const auto target = followTarget();
    if (!target) {
        onSubmitReply(std::move(submission), SubmitReply{noLeader()});
        return;
    }
    SubmitRequest request{submission.payload};
    call(*target, std::move(request), SubmitCall{std::move(submission)});
}

// Retries a command that was refused for lack of a leader until LeaderPatience has elapsed. This is safe because a command refused in
// this way has not run.
void ControlDuty::onSubmitReply(Submission submission, const SubmitReply &reply)
{
    const auto *refusal = std::get_if<Refusal>(&reply.outcome);
    const bool isLeaderless =
        refusal != nullptr && refusal->ran == Ran::No && (refusal->reason == Reason::NotLeader || refusal->reason == Reason::NoQuorum);
    if (!isLeaderless) {
        submission.answer(reply);
        return;
    }
    if (currentTime() >= submission.giveUpAt) {
        submission.answer({noLeader()});
        return;
    }
    m_leaderHint = VmId{};
    m_timers.after(FollowRetryPause, m_duty.context(), [this, submission = std::move(submission)] { trySubmission(submission); });
}

// Submits a command received from another node, which assumes that this controller is the leader.
void ControlDuty::submitHere(const std::string &payload, const SubmitAnswer &answer)
{
    if (m_controller) {
        m_controller->controller().submit(payload, answer, currentTime());
    } else {
        answer({noLeader()});
    }
}

void ControlDuty::leave(std::function<void()> left)
{
    boost::asio::post(m_duty.context(),
                      [this, left = std::move(left)] { awaitResignation(currentTime() + 2 * m_settings.control.electionTimeout, left); });
}

void ControlDuty::awaitResignation(TimePoint deadline, const std::function<void()> &left)
{
    const TimePoint now = currentTime();
    if (!m_controller || m_controller->controller().resign(now) || now >= deadline) {
        left();
        return;
    }
    m_timers.after(ResignationCheckPeriod, m_duty.context(), [this, deadline, left] { awaitResignation(deadline, left); });
}

OperatorDeskHooks ControlDuty::deskHooks()
{
    OperatorDeskHooks hooks;
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
    hooks.askLeader = [this](const std::string &statement, bool json, std::function<void(HttpResponse)> answer) {
        return askLeader(statement, json, std::move(answer));
    };
    return hooks;
}

OperatorView ControlDuty::view()
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

bool ControlDuty::askLeader(const std::string &statement, bool json, std::function<void(HttpResponse)> answer)
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
