// Dispatch and retries of a gateway request.
#include "gateway_request.h"

#include "endpoint_paths.h"
#include "hemlockhill/endpoint_urgency.h"
#include "hemlockhill/log.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusMultipleChoices = 300;
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
// Margin added to the caller's limit on silence within a stream before the exchange times out.
constexpr Duration SilenceMargin = std::chrono::milliseconds(400);
// Fraction of the latency target for which a request that may run again waits for its answer behind a stray. Another endpoint can then
// still answer within the target.
constexpr double StrayPatience = 0.5;
// Maximum size of an answer that is forwarded.
constexpr Bytes AnswerLimit{16'777'216};

} // namespace

Gateway::Request::Request(Gateway &gateway,
                          std::uint64_t number,
                          HttpRequest request,
                          RoutedRequestHead head,
                          std::shared_ptr<const Deployment> deployment,
                          const Route &route,
                          ServiceId service,
                          std::shared_ptr<HttpResponder> responder)
    : m_gateway(gateway)
    , m_number(number)
    , m_request(std::move(request))
    , m_head(std::move(head))
    , m_deployment(std::move(deployment))
    , m_route(route)
    , m_responder(std::move(responder))
    , m_arrivedAt(m_responder->receivedAt())
    , m_readAt(currentTime())
    , m_deadline(m_arrivedAt + std::min(route.timeout, m_head.callerDeadline.value_or(route.timeout)))
    , m_events(route.resumable ? PartialEvents::Buffered : PartialEvents::Forwarded)
{
    m_requirements.service = std::move(service);
    m_requirements.target = m_head.target;
    m_requirements.prompt = m_head.promptTokens;
    m_requirements.sharedParts = m_head.sharedParts;
    m_requirements.stream = {expectedEvents(), timeLeft()};
    if (m_gateway.m_chooser.boundsMemory(m_requirements.service)) {
        m_requirements.tokens = m_head.declaredTokens.value_or(UndeclaredTokens);
    }
}

double Gateway::Request::expectedEvents() const
{
    const auto service = m_deployment->services.find(m_requirements.service);
    const bool isModelStream = service != m_deployment->services.end() && service->second.engine && m_route.kind == RouteKind::Streaming;
    return isModelStream ? static_cast<double>(m_head.expectedTokens.value) / service->second.engine->tokensPerEvent : 0;
}

void Gateway::Request::setWorkspace(const Workspace *workspace)
{
    m_workspace = workspace;
}

void Gateway::Request::start()
{
    const auto weak = weak_from_this();
    m_responder->onDisconnected = [weak] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    };
    m_deadlineTimer = m_gateway.m_timers.after(timeLeft(), m_gateway.m_loop, [weak] {
        if (const auto self = weak.lock()) {
            self->onDeadline();
        }
    });
    if (needsQuota() && !isTooLate(currentTime())) {
        charge();
    } else {
        begin();
    }
}

void Gateway::Request::begin()
{
    m_gateway.retryBudget(m_requirements.service).onRequest();
    m_gateway.m_crashGuard.onArrival(m_head);
    if (!m_head.target.model.empty()) {
        TargetDemand &demand = m_gateway.m_demand[m_head.target];
        ++demand.arrivals;
        demand.promptTokens += m_head.promptTokens.value;
        demand.expectedTokens += m_head.expectedTokens.value;
    }
    if (isTooLate(currentTime())) {
        m_gateway.m_metrics.countEvent("request_read_too_late");
        giveUp();
    } else if (resumesStream()) {
        findOrigin();
    } else {
        dispatchOrQueue();
    }
}

void Gateway::Request::findOrigin()
{
    // A version that has been the only one for as long as streams last needs no lookup.
    const bool isCertain = !m_gateway.m_versions.onlyVersion(service(), streamLifetime(m_route), currentTime()).empty();
    if (isCertain || m_head.resumedRequest.empty() || !m_gateway.findStreamOrigin) {
        onOriginFound({});
        return;
    }
    m_gateway.findStreamOrigin(m_head.resumedRequest, [weak = weak_from_this()](const OriginLookupResult &origin) {
        const auto self = weak.lock();
        if (self && !self->m_done) {
            self->onOriginFound(origin);
        }
    });
}

void Gateway::Request::onOriginFound(const OriginLookupResult &origin)
{
    const SoftwareVersion version = m_gateway.versionToResume(service(), streamLifetime(m_route), origin);
    logEvent(Severity::Info,
             "stream to be resumed",
             {{"request", m_head.id.value},
              {"first_request", m_head.resumedRequest.value},
              {"software_version", version.value},
              {"origin", toText(origin.source)}});
    if (version.empty()) {
        refuseOrFail(Reason::StreamOriginUnknown,
                     "several software versions may have served, and it is not known which of them began the stream",
                     m_lastFailure.value_or(Reason::EndpointLost));
        return;
    }
    m_requirements.softwareVersion = version;
    dispatchOrQueue();
}

void Gateway::Request::dispatchOrQueue()
{
    if (refuseIfSuspect()) {
        return;
    }
    if (m_gateway.m_chooser.exceedsMemory(m_requirements)) {
        m_gateway.m_metrics.countEvent("request_exceeds_endpoint_memory");
        refuseOrFail(Reason::BodyTooLarge, "the request needs more tokens than an endpoint holds", Reason::EndpointRefused);
        return;
    }
    if (m_gateway.isQueued(m_requirements.service, m_head.target.model)) {
        m_waitingSince = m_arrivedAt;
        m_waitingFor = NoEndpointReason::RateLimited;
        m_gateway.scheduleDispatch();
        return;
    }
    tryDispatch();
}

bool Gateway::Request::refuseIfSuspect()
{
    if (m_done || m_exchange) {
        return m_done;
    }
    const auto refusal = m_gateway.m_crashGuard.refusal(m_head, currentTime());
    if (!refusal || mayRunAsTrial()) {
        return false;
    }
    if (hasResponseStarted()) {
        performStep(RetryDecision::Abort, Reason::Quarantined);
    } else if (const auto evidence = m_history.neverRan()) {
        const std::string subject(toText(refusal->subject));
        refuse(*evidence, Reason::Quarantined, "endpoints were lost while they ran this " + subject, refusal->retryAfter);
    } else {
        fail(m_lastFailure.value_or(Reason::EndpointLost));
    }
    return true;
}

// A trial that an endpoint refused goes on at another one: it tells nothing unless it runs.
bool Gateway::Request::mayRunAsTrial() const
{
    if (m_isTrial) {
        return m_history.possibleRuns() == 0;
    }
    return m_history.exchanges() == 0 && m_gateway.m_crashGuard.isTrialDue(m_head, currentTime());
}

void Gateway::Request::announceTrial()
{
    if (!m_gateway.m_crashGuard.refusal(m_head, currentTime())) {
        return;
    }
    if (!std::exchange(m_isTrial, true)) {
        m_gateway.m_metrics.countEvent("suspected_prompt_part_tried");
        logEvent(Severity::Info, "request with a suspected part of its prompt tried", {{"request", m_head.id.value}});
    }
    m_gateway.m_crashGuard.onTrial(m_head, m_endpointLoss, currentTime());
    m_gateway.scheduleSuspectNotices();
}

void Gateway::Request::suspectCrash()
{
    m_gateway.m_metrics.countEvent("request_broken_off");
    m_gateway.m_crashGuard.onBrokenOff(m_head, m_endpointLoss, m_sentAt, currentTime());
    m_gateway.scheduleSuspectNotices();
}

void Gateway::Request::clearSuspicion()
{
    m_gateway.m_crashGuard.onAnswered(m_head);
    m_gateway.scheduleSuspectNotices();
}

// The route and the credential are judged by the document in force, which may be newer than the one with which the request arrived.
bool Gateway::Request::refuseIfKeyRevoked()
{
    if (m_gateway.m_deployment->workspaces.empty()) {
        return false;
    }
    const Route *route = m_gateway.m_deployment->match(m_request.header("Host"), m_request.path());
    const WorkspaceAdmission admission = m_gateway.admitByCredential(route == nullptr ? m_route : *route, m_head.credential);
    const WorkspaceId now = admission.workspace == nullptr ? WorkspaceId{} : admission.workspace->id;
    const WorkspaceId onArrival = m_workspace == nullptr ? WorkspaceId{} : m_workspace->id;
    // A workspace that a newer document has introduced has not been charged.
    const bool isSame = now == onArrival || m_route.isPublic;
    if (admission.verdict == KeyVerdict::Accepted && isSame) {
        return false;
    }
    const KeyVerdict verdict = admission.verdict == KeyVerdict::Accepted ? KeyVerdict::Uncertain : admission.verdict;
    if (hasResponseStarted()) {
        performStep(RetryDecision::Abort, refusalReason(verdict));
    } else {
        refuseOrFail(refusalReason(verdict), std::string(refusalDetail(verdict)), m_lastFailure.value_or(Reason::EndpointLost));
    }
    return true;
}

std::optional<WorkspaceIdentity> Gateway::Request::workspaceIdentity() const
{
    if (m_deployment->workspaces.empty() && m_gateway.m_deployment->workspaces.empty()) {
        return std::nullopt;
    }
    return WorkspaceIdentity{m_workspace == nullptr ? WorkspaceId{} : m_workspace->id};
}

void Gateway::Request::tryDispatch()
{
    if (m_done || m_exchange || refuseIfSuspect() || refuseIfKeyRevoked()) {
        return;
    }
    const TimePoint now = currentTime();
    if (isTooLate(now)) {
        giveUp();
        return;
    }
    if (!m_gateway.m_directory.mayDispatch(now)) {
        wait(EndpointChoice{std::nullopt, NoEndpointReason::DirectoryOutdated});
        return;
    }
    m_requirements.stream.timeLeft = timeLeft();
    const EndpointChoice choice = m_gateway.m_chooser.choose(m_gateway.m_directory.endpoints(), m_requirements, now);
    const auto purpose = waitsForCapacity() ? LoadPurpose::Recheck : LoadPurpose::Dispatch;
    m_gateway.m_dispatched = this;
    const bool awaitsLoad = choice.dependsOnLoad() && m_gateway.awaitsLoad(m_requirements, purpose);
    m_gateway.m_dispatched = nullptr;
    if (awaitsLoad) {
        waitForLoad();
        return;
    }
    if (mustYield(choice, now)) {
        wait(EndpointChoice{std::nullopt, NoEndpointReason::Full});
        return;
    }
    if (choice.endpoint) {
        endWaiting(now);
        send(*choice.endpoint);
        return;
    }
    wait(choice);
}

void Gateway::Request::send(const EndpointId &endpoint)
{
    const TimePoint now = currentTime();
    const LiveEndpoint &live = m_gateway.m_directory.endpoints().at(endpoint);
    m_endpoint = endpoint;
    m_endpointIncarnation = live.incarnation;
    m_endpointVersion = live.softwareVersion;
    m_endpointLoss = lossIdOf(live.id, live.incarnation);
    m_endpointLoad = m_gateway.m_chooser.loadOf(live, now);
    m_sentAt = now;
    m_listingAge = now - m_gateway.m_directory.listedAt();
    m_requirements.avoided.insert(endpoint);
    announceTrial();
    m_history.onBegun();
    ++m_currentExchange;
    m_status = 0;
    m_answerTrace.reset();
    m_connectionResponses = 0;
    m_strays = 0;
    m_headers.clear();
    m_body.clear();
    m_responder->holdAnswer(0);
    m_answerBytes = 0;
    m_progressSince.reset();
    m_events.dropPartial();
    const TokenCount unread = m_gateway.m_chooser.uncachedTokens(endpoint, m_requirements);
    m_gateway.m_chooser.onDispatched(endpoint, m_requirements, now);
    m_gateway.notifyOtherNodes(endpoint, m_requirements.target.model.empty() ? TokenCount{0} : unread);
    m_gateway.announceLimitedDispatch(endpoint);
    ForwardOptions options;
    options.endpoint = endpoint;
    options.timeLeft = timeLeft();
    options.isRepeated = !m_triedEndpoints.insert(endpoint).second;
    options.resumeAfter = m_events.lastEventId().empty() ? m_head.lastEventId : m_events.lastEventId();
    options.identity = workspaceIdentity();
    if (m_gateway.m_chooser.boundsMemory(m_requirements.service)) {
        options.urgency = endpointUrgency(rank(now), now);
    }
    HttpRequest forwarded = m_gateway.m_dialect.forward(m_request, options);
    m_nothingSent = false;
    // Other nodes refuse what is suspected.
    m_peer = m_isTrial ? std::nullopt : m_gateway.m_paths->choosePeer(live, m_avoidedPeers);
    const ConnectionChoice connection = connectionChoice(m_head.id, options.isRepeated);
    if (!m_peer) {
        m_exchange = m_gateway.m_paths->startDirect(live, forwarded, exchangeLimits(), connection, exchangeHooks());
        return;
    }
    logEvent(Severity::Info,
             "request forwarded through another node",
             {{"request", m_head.id.value}, {"endpoint", endpoint.value}, {"peer", m_peer->value}});
    m_exchange = m_gateway.m_paths->startThroughPeer(*m_peer, std::move(forwarded), options, exchangeLimits(), connection, exchangeHooks());
}

ExchangeLimits Gateway::Request::exchangeLimits() const
{
    ExchangeLimits limits;
    limits.connect = std::min(ConnectTimeout, timeLeft());
    limits.firstByte = timeLeft();
    limits.reusedFirstByte = timeLeft();
    limits.betweenBytes = m_route.kind == RouteKind::Streaming ? callerStreamTimeout(m_route) + SilenceMargin : timeLeft();
    limits.body = AnswerLimit;
    if (m_route.idempotent()) {
        limits.afterStray = std::chrono::duration_cast<Duration>(m_route.latencyTarget * StrayPatience);
    }
    limits.closeDelimited = CloseDelimitedResponse::Confirm;
    limits.sendBefore = m_gateway.m_directory.sendBefore(currentTime());
    return limits;
}

ExchangeHooks Gateway::Request::exchangeHooks()
{
    const auto guarded = [weak = weak_from_this(), current = m_currentExchange](auto action) {
        return [weak, current, action](auto &&...arguments) {
            const auto self = weak.lock();
            if (self && !self->m_done && self->m_currentExchange == current && self->m_exchange) {
                action(*self, std::forward<decltype(arguments)>(arguments)...);
            }
        };
    };
    ExchangeHooks hooks;
    hooks.onSending = guarded([](Request &self) { self.onSending(); });
    hooks.match = [weak = weak_from_this(), current = m_currentExchange](const ResponseHead &head) {
        const auto self = weak.lock();
        const bool isCurrent = self && !self->m_done && self->m_currentExchange == current && self->m_exchange;
        return isCurrent ? self->match(head) : ResponseMatch::Stray;
    };
    hooks.id = m_head.id;
    hooks.onHead = guarded([](Request &self, const ResponseHead &head) { self.onHead(head); });
    hooks.onBody = guarded([](Request &self, std::string bytes) { self.onBody(std::move(bytes)); });
    hooks.onEnd = guarded([](Request &self) { self.onEnd(); });
    hooks.onFailed = guarded([](Request &self, const ExchangeFailure &failure) { self.onExchangeFailed(failure); });
    return hooks;
}

// Between the decision to send and the first byte, a connection may have had to be made.
void Gateway::Request::onSending()
{
    const TimePoint now = currentTime();
    const bool isConnected = m_responder->isConnected();
    m_sent.push_back({std::chrono::duration_cast<Duration>(now - m_arrivedAt), timeLeft(), isConnected});
    if (!isConnected) {
        m_gateway.m_metrics.countEvent("request_not_sent_caller_gone");
        onCallerGone();
    } else if (isTooLate(now)) {
        m_gateway.m_metrics.countEvent("request_not_sent_too_late");
        m_exchange->cancel();
        m_history.onEnded(NotRunProof::fromCancelledSending());
        releaseEndpoint();
        giveUp();
    }
}

RetryDecision Gateway::Request::stepAfterFailure()
{
    const bool mayRetry = m_nothingSent || m_gateway.retryBudget(m_requirements.service).available() >= 1;
    return decideRetry(m_route, m_history, timeLeft(), mayRetry);
}

void Gateway::Request::performStep(RetryDecision step, Reason reason)
{
    switch (step) {
    case RetryDecision::Retry:
        if (!m_nothingSent) {
            m_gateway.retryBudget(m_requirements.service).spend();
        }
        m_gateway.m_metrics.countRetry(reason);
        tryDispatch();
        return;
    case RetryDecision::Refuse:
        refuseOrFail(Reason::NoEndpoint, std::string(toText(reason)), reason);
        return;
    case RetryDecision::Fail:
        fail(reason);
        return;
    case RetryDecision::Abort:
        m_responder->abort();
        m_gateway.m_metrics.countRefusal(reason);
        finish("cut off", m_status);
        return;
    }
}

void Gateway::Request::onDeadline()
{
    if (m_done) {
        return;
    }
    if (m_exchange) {
        abandonExchange();
    }
    giveUp();
}

void Gateway::Request::onShutdown()
{
    if (m_done) {
        return;
    }
    if (m_exchange) {
        abandonExchange();
    }
    if (hasResponseStarted()) {
        performStep(RetryDecision::Abort, Reason::Draining);
    } else {
        refuseOrFail(Reason::Draining, "this node is shutting down", Reason::Draining);
    }
}

void Gateway::Request::abandonExchange()
{
    reportUnnamedAnswer();
    m_exchange->cancel();
    m_history.onEnded(std::nullopt);
    releaseEndpoint();
}

void Gateway::Request::onCallerGone()
{
    if (m_done) {
        return;
    }
    if (m_exchange) {
        m_exchange->cancel();
        // Where another node forwards the request, it watches the run.
        if (!m_sent.empty() && !m_peer) {
            m_gateway.m_crashGuard.onCallerLeft(m_head, m_endpointLoss, currentTime());
        }
        releaseEndpoint();
    }
    m_gateway.m_metrics.countRefusal(Reason::CallerGone);
    finish("caller gone", 0);
}

void Gateway::Request::releaseEndpoint(bool rejected)
{
    if (rejected) {
        m_gateway.m_metrics.countEvent("request_rejected_by_endpoint");
        m_gateway.m_chooser.brittleEndpoints().onRejected(m_endpoint, currentTime());
    }
    m_exchange.reset();
    if (m_status >= StatusOk && m_status < StatusMultipleChoices) {
        const auto held = std::chrono::duration_cast<Duration>(currentTime() - m_sentAt);
        m_gateway.m_slotTimes.onServed({service(), {target().model, {}}}, held);
    }
    if (m_peer) {
        m_gateway.m_paths->onPeerDone(*m_peer);
    }
    m_gateway.m_chooser.onEnded(m_endpoint, m_requirements.tokens);
    m_gateway.notifyOtherNodes(m_endpoint, TokenCount{0}, rejected);
    m_gateway.inviteNext(m_endpoint);
}

Duration Gateway::Request::timeLeft() const
{
    return std::max(Duration(0), std::chrono::duration_cast<Duration>(m_deadline - currentTime()));
}

} // namespace Hemlockhill
