// Admission, dispatch, retries, streaming and completion of one model request.
#include "relay.h"

#include "hemlockhill/log.h"
#include "hemlockhill/refusal_answer.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusServiceUnavailable = 503;
// Maximum size of an engine's answer, all events of a stream together.
constexpr Bytes AnswerLimit{16'777'216};
constexpr std::chrono::seconds RetryAfterLoss(1);
constexpr std::chrono::seconds RetryAfterNoEndpoint(2);
// Period at which a suspect that was lost with its endpoint requests another trial.
constexpr Duration TrialRetryPeriod = std::chrono::milliseconds(100);
// With this many copies of a model, the loss of one leaves at least one.
constexpr std::size_t CopiesWithSpare = 2;

AttemptOptions attemptOptions(const ModelRequest &request, const Service &service)
{
    AttemptOptions options;
    options.stream = request.stream;
    options.repeatable = !service.onceOnly;
    return options;
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

Relay::Relay(ModelRequests &requests,
             AttemptId attempt,
             RequestId id,
             ModelRequest request,
             RoutingTarget target,
             Fingerprint fingerprint,
             Service service,
             std::shared_ptr<HttpResponder> responder)
    : m_requests(requests)
    , m_attemptId(attempt)
    , m_id(std::move(id))
    , m_request(std::move(request))
    , m_service(std::move(service))
    , m_fingerprint(fingerprint)
    , m_responder(std::move(responder))
    , m_attempt(attemptOptions(m_request, m_service))
    , m_arrivedAt(m_responder->receivedAt())
    , m_deadline(m_arrivedAt + m_service.deadline)
{
    m_routing.prefixes = prefixHashes(target.model, target.adapter, m_request.prompt);
    m_routing.target = std::move(target);
}

void Relay::start(std::optional<Duration> callerDeadline)
{
    if (callerDeadline) {
        m_deadline = std::min(m_deadline, m_arrivedAt + *callerDeadline);
    }
    m_responder->onDisconnected = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->perform(self->m_attempt.onCallerGone());
        }
    };
    m_deadlineTimer = m_requests.m_timers.after(timeLeft(), m_requests.m_loop, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->perform(self->m_attempt.giveUp(Reason::DeadlineExceeded, RetryAfterLoss));
        }
    });
    m_requests.retryBudget(m_service.id).onRequest();
    // What has lain unread for too long is answered by the timer.
    if (timeLeft() > Duration(0)) {
        offer();
    }
}

void Relay::offer()
{
    const TimePoint now = currentTime();
    const ModelForecast forecast = m_requests.m_routing.forecast(m_routing.target, now);
    if (forecast.endpoints == 0) {
        const std::string detail = "no active runner has loaded model " + m_request.model.value;
        perform(m_attempt.giveUp(Reason::NoEndpoint, RetryAfterNoEndpoint, detail));
        return;
    }
    AdmissionRequest request;
    request.id = m_attemptId;
    request.service = m_service.id;
    request.target = m_routing.target;
    request.priority = m_service.priority;
    request.arrivedAt = m_arrivedAt;
    request.firstTokenBy = firstTokenDue(m_service, m_arrivedAt, m_deadline);
    request.deadline = m_deadline;
    if (const auto refusal = m_requests.m_admission.offer(request, forecast, now)) {
        giveUp(*refusal);
        return;
    }
    perform(m_attempt.admit());
    m_requests.dispatchWaiting();
}

void Relay::giveUp(const Refusal &refusal)
{
    perform(m_attempt.giveUp(refusal.reason, refusal.retryAfter, refusal.detail));
}

void Relay::dispatch()
{
    const QuarantineDecision decision = quarantineDecision();
    if (decision.verdict == QuarantineVerdict::Refused) {
        giveUpQuarantined(decision.retryAfter);
        return;
    }
    if (decision.verdict == QuarantineVerdict::TrialOnly) {
        dispatchAlone(std::nullopt);
        return;
    }
    const auto endpoint = m_requests.m_routing.choose(m_routing, currentTime());
    if (!endpoint) {
        perform(m_attempt.giveUp(Reason::NoEndpoint, RetryAfterNoEndpoint));
        return;
    }
    dispatchTo(*endpoint);
}

void Relay::dispatchTo(const EndpointId &endpoint)
{
    perform(m_attempt.dispatch(endpoint, ExchangeId{++m_requests.m_lastExchange}));
}

void Relay::dispatchAlone(std::optional<SeekEndpoint> lost)
{
    std::vector<TrialCandidate> candidates;
    for (const RoutingCandidate &candidate : m_requests.m_routing.candidates(m_routing, currentTime())) {
        candidates.push_back({candidate.endpoint, candidate.load});
    }
    m_requests.m_guard.startTrial(
        m_attemptId, m_fingerprint, candidates, [weak = weak_from_this(), lost = std::move(lost)](const TrialReply &reply) {
            const auto self = weak.lock();
            if (!self || self->m_done) {
                return;
            }
            if (reply.endpoint) {
                if (lost) {
                    self->countRetry(lost->reason);
                }
                self->dispatchTo(*reply.endpoint);
                return;
            }
            if (!lost || !reply.busy) {
                self->giveUpQuarantined(RetryAfterNoEndpoint);
                return;
            }
            self->m_requests.m_timers.after(TrialRetryPeriod, self->m_requests.m_loop, [weak, lost = *lost] {
                if (const auto waiting = weak.lock(); waiting && !waiting->m_done) {
                    waiting->retryDispatch(lost);
                }
            });
        });
}

void Relay::giveUpQuarantined(std::optional<std::chrono::seconds> retryAfter)
{
    perform(m_attempt.giveUp(Reason::Quarantined, retryAfter, "this request is suspected of crashing endpoints"));
}

QuarantineDecision Relay::quarantineDecision() const
{
    return m_requests.m_guard.decide(m_fingerprint, m_requests.m_routing.forecast(m_routing.target, currentTime()).endpoints);
}

void Relay::onSending(const ExchangeSending &event)
{
    perform(m_attempt.onSending(event.exchange));
}

void Relay::onHead(const ExchangeHead &event)
{
    if (event.head.status == StatusServiceUnavailable) {
        m_requests.m_routing.onEndpointLeaving(m_openEndpoint, currentTime());
    }
    m_responseStatus = event.head.status;
    perform(m_attempt.onHead(event.exchange, event.head.status, findHeader(event.head.headers, "Content-Type")));
}

void Relay::onBody(const ExchangeBody &event)
{
    m_unreleasedBytes += event.bytes.size();
    perform(m_attempt.onBody(event.exchange, event.bytes));
    m_responder->holdAnswer(m_attempt.collected().value);
    if (m_openExchange == event.exchange) {
        release(event.bytes.size());
    }
}

void Relay::onEnded(const ExchangeEnded &event)
{
    if (m_responseStatus != StatusOk) {
        m_requests.m_guard.onHarmless(m_attemptId);
    }
    perform(m_attempt.onEnded(event.exchange));
}

void Relay::onFailed(const ExchangeFailed &event)
{
    if (!event.failure.mayHaveReached) {
        m_requests.m_guard.onHarmless(m_attemptId);
    }
    perform(m_attempt.onFailed(event.exchange, event.failure));
}

void Relay::perform(AttemptActions actions)
{
    const auto self = shared_from_this();
    for (AttemptAction &action : actions) {
        std::visit([this](auto &typed) { carryOut(typed); }, action);
    }
    finishIfDone();
}

void Relay::carryOut(const StartAttemptExchange &action)
{
    const TimePoint now = currentTime();
    m_openExchange = action.exchange;
    m_openEndpoint = action.endpoint;
    m_dispatchedAt = now;
    m_unreleasedBytes = 0;
    m_requests.m_exchanges.emplace(action.exchange, shared_from_this());
    m_requests.m_routing.onDispatched(action.endpoint, m_routing, now);
    m_requests.m_guard.onDispatched(m_attemptId, m_fingerprint, action.endpoint);
    const auto endpoint = m_requests.m_state->endpoints.find(action.endpoint);
    StartExchange message;
    message.exchange = action.exchange;
    message.request = runRequest(m_request, m_id, m_service.priority, timeLeft(), action.resumeOffset);
    const EndpointSettings &limits = m_requests.m_settings.endpoints;
    message.limits.connect = limits.connectTimeout;
    message.limits.firstByte = limits.firstByteTimeout;
    message.limits.reusedFirstByte = limits.firstByteTimeout;
    message.limits.betweenBytes = limits.betweenBytesTimeout;
    message.limits.body = AnswerLimit;
    if (endpoint != m_requests.m_state->endpoints.end()) {
        message.address = endpoint->second.address;
    }
    const bool sent = endpoint != m_requests.m_state->endpoints.end() && m_requests.m_endpointSink(std::move(message));
    if (!sent) {
        perform(m_attempt.onFailed(action.exchange, ExchangeFailure{Reason::QueueFull, false, false}));
    }
}

void Relay::carryOut(const CancelAttemptExchange &action)
{
    m_requests.m_endpointSink(CancelExchange{action.exchange});
}

// Retries on another endpoint if possible, within the retry budget and the deadline.
void Relay::carryOut(const SeekEndpoint &action)
{
    closeExchange({});
    const TimePoint now = currentTime();
    m_routing.avoided.insert(action.failed);
    if (!action.connectionOnly && action.reason != Reason::EndpointRefused) {
        m_requests.m_routing.onFailed(action.failed, action.reason, now);
    }
    if (now < m_deadline && !m_requests.retryBudget(m_service.id).spend()) {
        const std::string detail = "retry budget exhausted; last failure: " + std::string(toText(action.reason));
        perform(m_attempt.giveUp(Reason::RetryBudgetSpent, RetryAfterLoss, detail));
        return;
    }
    const bool connectionFailed = action.reason == Reason::EndpointLost || action.reason == Reason::EndpointSilent;
    m_requests.m_guard.onFailed(m_attemptId, connectionFailed, [weak = weak_from_this(), action](std::size_t lostTogether) {
        if (const auto self = weak.lock(); self && !self->m_done) {
            self->m_lostTogether = lostTogether;
            self->retryDispatch(action);
        }
    });
}

// A suspect normally runs in a trial, and never on the last copy of its model. Two kinds of suspects are exempt, since refusing them would
// fail every request that merely happened to run on a lost endpoint: streams that have started are resumed alongside other requests, and
// requests that were lost together with others may use the last copy once.
void Relay::retryDispatch(const SeekEndpoint &action)
{
    const TimePoint now = currentTime();
    if (now >= m_deadline) {
        perform(m_attempt.giveUp(Reason::DeadlineExceeded, RetryAfterLoss));
        return;
    }
    const bool resumes = m_attempt.delivered().value > 0;
    const std::size_t copies = m_requests.m_routing.forecast(m_routing.target, now).endpoints;
    const bool mayUseLastCopy = resumes || m_lostTogether > 1;
    const QuarantineDecision decision =
        m_requests.m_guard.decide(m_fingerprint, mayUseLastCopy ? std::max(copies, CopiesWithSpare) : copies);
    if (decision.verdict == QuarantineVerdict::Refused) {
        giveUpQuarantined(decision.retryAfter);
        return;
    }
    if (decision.verdict == QuarantineVerdict::TrialOnly && !resumes && copies >= CopiesWithSpare) {
        dispatchAlone(action);
        return;
    }
    const auto endpoint = m_requests.m_routing.choose(m_routing, now);
    if (!endpoint) {
        perform(m_attempt.giveUp(action.reason, RetryAfterNoEndpoint));
        return;
    }
    countRetry(action.reason);
    dispatchTo(*endpoint);
}

void Relay::countRetry(Reason reason)
{
    ++m_retries;
    m_requests.m_metrics.countRetry(reason);
}

void Relay::carryOut(ForwardEvents &action)
{
    if (action.first) {
        HttpResponse head;
        head.contentType = "text/event-stream";
        head.headers.push_back({"Hemlockhill-Request", m_id.value});
        m_responder->begin(std::move(head));
    }
    if (action.tokens > 0 && !m_firstToken) {
        const TimePoint now = currentTime();
        m_firstToken = now - m_arrivedAt;
        m_requests.m_metrics.observeFirstToken(*m_firstToken);
        m_requests.m_routing.onFirstToken(m_openEndpoint, now - m_dispatchedAt);
    }
    m_responder->write(std::move(action.bytes));
}

void Relay::carryOut(const EndStream &)
{
    // The endpoint may still be sending, although the event that ends the stream has arrived.
    if (m_openExchange) {
        m_requests.m_endpointSink(DiscardExchange{*m_openExchange});
    }
    closeExchange(currentTime() - m_dispatchedAt);
    m_responder->end();
}

void Relay::carryOut(SendResponse &action)
{
    closeExchange(currentTime() - m_dispatchedAt);
    HttpResponse response;
    response.contentType = std::move(action.contentType);
    response.headers.push_back({"Hemlockhill-Request", m_id.value});
    response.body = std::move(action.body);
    m_responder->answer(std::move(response));
}

void Relay::carryOut(RefuseCaller &action)
{
    addRetryAfter(action.refusal);
    m_refusal = action.refusal;
    m_responder->answer(callerRefusalAnswer(action.refusal, m_id));
}

void Relay::carryOut(SendErrorEvent &action)
{
    addRetryAfter(action.refusal);
    m_refusal = action.refusal;
    m_responder->write("event: error\ndata: " + boost::json::serialize(refusalBody(action.refusal, m_id)) + "\n\n");
    m_responder->end();
}

void Relay::addRetryAfter(Refusal &refusal) const
{
    if (!refusal.retryAfter && traitsOf(refusal.reason).retryable) {
        refusal.retryAfter = RetryAfterLoss;
    }
}

// Applies backpressure: lets the endpoint thread read more only after the caller has read what was written.
void Relay::release(std::size_t bytes)
{
    const auto releaseAll = [](Relay &relay) {
        const std::size_t total = std::exchange(relay.m_unreleasedBytes, 0);
        if (relay.m_openExchange && total > 0) {
            relay.m_requests.m_endpointSink(ReleaseBytes{*relay.m_openExchange, total});
        }
    };
    if (bytes == 0 || m_responder->pendingBytes() == 0) {
        releaseAll(*this);
        return;
    }
    m_responder->onDrained = [weak = weak_from_this(), releaseAll] {
        if (const auto self = weak.lock()) {
            releaseAll(*self);
        }
    };
}

// Removes the exchange from its endpoint's load. Later messages from it are ignored. `completedAfter` is its duration if it completed.
void Relay::closeExchange(std::optional<Duration> completedAfter)
{
    if (!m_openExchange) {
        return;
    }
    release(0);
    m_requests.m_exchanges.erase(*m_openExchange);
    m_openExchange.reset();
    m_requests.m_routing.onEnded(m_openEndpoint, completedAfter, currentTime());
}

void Relay::finishIfDone()
{
    if (!m_attempt.finished() || m_done) {
        return;
    }
    m_done = true;
    closeExchange({});
    m_requests.m_timers.cancel(m_deadlineTimer);
    RequestOutcome outcome;
    outcome.complete = m_attempt.state() == AttemptState::Finished;
    m_requests.m_guard.onEnded(m_attemptId, m_fingerprint, outcome.complete);
    outcome.firstToken = m_firstToken;
    outcome.total = currentTime() - m_arrivedAt;
    outcome.tokens = m_request.stream ? m_attempt.delivered() : TokenCount{outcome.complete ? m_request.maximumTokens : 0};
    outcome.retries = m_retries;
    m_requests.m_statistics.record(m_routing.target.model, m_service, outcome);
    if (outcome.complete) {
        m_requests.m_metrics.observeWholeAnswer(outcome.total);
    } else {
        m_requests.m_metrics.countRefusal(m_refusal ? m_refusal->reason : Reason::CallerGone);
    }
    logOutcome();
    m_requests.remove(m_attemptId);
}

void Relay::logOutcome() const
{
    boost::json::object fields{{"request", m_id.value},
                               {"model", m_routing.target.model.value},
                               {"endpoint", m_attempt.endpoint().value},
                               {"revision", m_requests.m_state->revision.value},
                               {"outcome", toText(m_attempt.state())},
                               {"tokens", m_attempt.delivered().value},
                               {"retries", m_retries},
                               {"total_ms", milliseconds(currentTime() - m_arrivedAt)}};
    if (!m_routing.target.adapter.empty()) {
        fields["adapter"] = m_routing.target.adapter.value;
    }
    if (m_firstToken) {
        fields["first_token_ms"] = milliseconds(*m_firstToken);
    }
    if (m_refusal) {
        fields["reason"] = toText(m_refusal->reason);
        fields["ran"] = toText(m_refusal->ran);
    }
    logEvent(Severity::Info, "request ended", std::move(fields));
}

Duration Relay::timeLeft() const
{
    return std::max(Duration(0), std::chrono::duration_cast<Duration>(m_deadline - currentTime()));
}

} // namespace Hemlockhill
