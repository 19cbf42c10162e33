// What the caller of a gateway request receives: forwarded streams and answers, refusals and failures.
#include "gateway_request.h"

#include "hemlockhill/log.h"
#include "hemlockhill/refusal_answer.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Only these statuses tell callers that the request has not run.
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusServiceUnavailable = 503;
// Range of Retry-After.
constexpr Duration MinimumRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaximumRetryAfter = std::chrono::milliseconds(1500);
// A stream that has gone on for this long after its first event does not crash its endpoint.
constexpr Duration ProgressTime = std::chrono::milliseconds(300);
// Answers up to this size are buffered and sent with their length; larger ones are streamed.
constexpr std::size_t BufferedAnswerLimitBytes = 262'144;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

boost::json::array describe(const std::vector<Fingerprint> &fingerprints)
{
    boost::json::array list;
    for (const Fingerprint fingerprint : fingerprints) {
        list.push_back(fingerprint.value);
    }
    return list;
}

// Describes each exchange as the age of the request, the time left to its deadline, and whether its caller was still connected.
boost::json::array describe(const std::vector<SentExchange> &exchanges)
{
    boost::json::array list;
    for (const SentExchange &exchange : exchanges) {
        list.push_back(boost::json::array{milliseconds(exchange.age), milliseconds(exchange.timeLeft), exchange.isCallerConnected});
    }
    return list;
}

// Describes what proved of each ended exchange that it has not run the request.
boost::json::array describe(const std::vector<std::optional<NotRunGround>> &ends)
{
    boost::json::array list;
    for (const auto &ground : ends) {
        list.push_back(boost::json::value(ground ? toText(*ground) : std::string_view()));
    }
    return list;
}

// Maximum number of endpoints whose load is logged with a request.
constexpr std::size_t LoggedLoads = 8;

boost::json::object describe(const EndpointLoad &load)
{
    boost::json::object fields{{"endpoint", load.endpoint.value},
                               {"slots", load.slots},
                               {"own", load.own},
                               {"others", load.others.requests},
                               {"age_ms", milliseconds(load.others.age)},
                               {"current", load.others.isCurrent}};
    if (load.tokens > TokenCount{0}) {
        fields["tokens"] = load.tokens.value;
    }
    return fields;
}

boost::json::array describe(const std::vector<EndpointLoad> &loads)
{
    boost::json::array list;
    for (const EndpointLoad &load : loads) {
        if (list.size() == LoggedLoads) {
            break;
        }
        list.push_back(describe(load));
    }
    return list;
}

// Formats seconds with two decimals. Callers of this gateway accept a fractional Retry-After.
std::string fractionalSeconds(Duration duration)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(duration).count());
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

void Gateway::Request::beginStream()
{
    m_streaming = true;
    if (hasResponseStarted()) {
        return;
    }
    m_history.onResponse(m_isEventStream ? ResponseProgress::ResumableEvents : ResponseProgress::UnresumableBytes);
    HttpResponse head;
    head.status = m_status;
    head.contentType.clear();
    head.headers = m_gateway.m_dialect.answerHeaders(m_headers);
    m_responder->begin(std::move(head));
}

void Gateway::Request::onBody(std::string bytes)
{
    m_answerBytes += bytes.size();
    if (m_isEventStream) {
        forwardEvents(std::move(bytes));
        return;
    }
    m_body += bytes;
    if (m_streaming || m_body.size() > BufferedAnswerLimitBytes) {
        beginStream();
        m_responder->write(std::exchange(m_body, {}));
        applyBackpressure();
        return;
    }
    m_responder->holdAnswer(m_body.size());
}

void Gateway::Request::forwardEvents(std::string bytes)
{
    bytes = m_events.feed(std::move(bytes));
    if (m_events.incompleteBytes() > EventLimitBytes) {
        m_exchange->cancel();
        endpointFailed(Reason::OversizedAnswer, std::nullopt, EndpointFailureKind::Exchange);
        return;
    }
    if (bytes.empty()) {
        return;
    }
    const TimePoint now = currentTime();
    recordProgress(now);
    if (m_lastEventAt == TimePoint{}) {
        onFirstEvent();
        m_firstByte = now - m_arrivedAt;
        m_gateway.m_metrics.observeFirstToken(*m_firstByte);
    } else {
        m_longestGap = std::max(m_longestGap, std::chrono::duration_cast<Duration>(now - m_lastEventAt));
    }
    m_lastEventAt = now;
    m_history.onResponse(m_events.lastEventId().empty() ? ResponseProgress::UnresumableBytes : ResponseProgress::ResumableEvents);
    m_responder->write(std::move(bytes));
    applyBackpressure();
}

void Gateway::Request::recordProgress(TimePoint now)
{
    if (!m_progressSince) {
        m_progressSince = now;
    } else if (!m_hasProgressed && now - *m_progressSince >= ProgressTime) {
        m_hasProgressed = true;
        m_gateway.m_crashGuard.onProgress(m_head);
        m_gateway.scheduleSuspectNotices();
    }
}

void Gateway::Request::onFirstEvent()
{
    if (!m_route.resumable) {
        return;
    }
    m_requirements.softwareVersion = m_endpointVersion;
    const RequestId &first = resumesStream() ? m_head.resumedRequest : m_head.id;
    if (m_gateway.onStreamBegun && !first.empty() && !m_endpointVersion.empty()) {
        m_gateway.onStreamBegun({first, m_endpointVersion});
    }
}

// Applies backpressure: pauses reading from the endpoint while the caller reads too slowly.
void Gateway::Request::applyBackpressure()
{
    if (m_responder->pendingBytes() < m_responder->pendingLimit() || !m_exchange) {
        return;
    }
    m_exchange->pause();
    m_responder->onRoom = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_exchange) {
            self->m_exchange->resume();
        }
    };
}

void Gateway::Request::answerBuffered()
{
    HttpResponse response;
    response.status = m_status;
    response.contentType.clear();
    response.headers = m_gateway.m_dialect.answerHeaders(m_headers);
    response.body = std::move(m_body);
    m_responder->answer(std::move(response));
    finish("whole", m_status);
}

void Gateway::Request::refuseOrFail(Reason refusal, std::string detail, Reason failure)
{
    if (const auto evidence = m_history.neverRan()) {
        refuse(*evidence, refusal, std::move(detail));
    } else {
        fail(failure);
    }
}

void Gateway::Request::refuse(const NeverRan &evidence, Reason reason, std::string detail)
{
    refuse(evidence, reason, std::move(detail), this->retryAfter());
}

void Gateway::Request::refuse(const NeverRan & /*evidence*/, Reason reason, std::string detail, Duration retryAfter)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.ran = Ran::No;
    refusal.detail = std::move(detail);
    HttpResponse response = refusalAnswer(refusal, m_head.id);
    const bool isFinal = reason == Reason::Unauthenticated || reason == Reason::BodyTooLarge;
    if (!isFinal) {
        response.headers.push_back({"Retry-After", fractionalSeconds(retryAfter)});
    }
    if (!isFinal && response.status != StatusTooManyRequests) {
        response.status = StatusServiceUnavailable;
    }
    const unsigned status = response.status;
    m_responder->answer(std::move(response));
    m_lastFailure = reason;
    m_gateway.m_metrics.countRefusal(reason);
    finish("refused", status);
}

void Gateway::Request::fail(Reason reason)
{
    Refusal refusal;
    refusal.reason = promisesNotRun(traitsOf(reason).httpStatus) ? Reason::EndpointLost : reason;
    refusal.ran = Ran::Unknown;
    HttpResponse response = refusalAnswer(refusal, m_head.id);
    const unsigned status = response.status;
    m_responder->answer(std::move(response));
    m_lastFailure = reason;
    m_gateway.m_metrics.countRefusal(reason);
    finish("failed", status);
}

void Gateway::Request::finish(std::string_view outcome, unsigned status)
{
    if (std::exchange(m_done, true)) {
        return;
    }
    const auto self = shared_from_this();
    const auto waitedFor = m_waitingSince ? std::optional(m_waitingFor) : std::nullopt;
    endWaiting(currentTime());
    m_gateway.m_timers.cancel(m_deadlineTimer);
    giveBackUnits();
    if (outcome == "whole") {
        m_gateway.m_metrics.observeWholeAnswer(currentTime() - m_arrivedAt);
    }
    logOutcome(outcome, status, waitedFor);
    m_gateway.m_requests.erase(m_number);
    m_gateway.dispatchWaiting();
}

void Gateway::Request::logExchangeFailure(Reason reason, const std::optional<NotRunProof> &proof) const
{
    boost::json::object fields{{"request", m_head.id.value},
                               {"endpoint", m_endpoint.value},
                               {"reason", toText(reason)},
                               {"possibly_ran", !proof},
                               {"proof", proof ? toText(proof->ground()) : std::string_view()},
                               {"nothing_sent", m_nothingSent},
                               {"exchange", m_history.exchanges()},
                               {"strays", m_strays},
                               {"connection_responses", m_connectionResponses},
                               {"peer", m_peer ? m_peer->value : std::string()}};
    if (m_answerTrace) {
        fields["answer"] = describe(*m_answerTrace);
    }
    logEvent(Severity::Info, "exchange with endpoint failed", std::move(fields));
}

void Gateway::Request::logOutcome(std::string_view outcome, unsigned status, std::optional<NoEndpointReason> waitedFor) const
{
    const TimePoint now = currentTime();
    boost::json::object fields{{"request", m_head.id.value},
                               {"route", m_route.id.value},
                               {"service", m_requirements.service.value},
                               {"workspace", m_workspace == nullptr ? std::string() : m_workspace->id.value},
                               {"outcome", outcome},
                               {"status", status},
                               {"endpoint", m_endpoint.value},
                               {"fingerprint", m_head.fingerprint.value},
                               {"exchanges", m_history.exchanges()},
                               {"possible_runs", m_history.possibleRuns()},
                               {"proofs", describe(m_history.ends())},
                               {"strays", m_totalStrays},
                               {"unread_ms", milliseconds(std::chrono::duration_cast<Duration>(m_readAt - m_arrivedAt))},
                               {"sent", describe(m_sent)},
                               {"waited_ms", milliseconds(m_waited)},
                               {"total_ms", milliseconds(now - m_arrivedAt)},
                               {"time_left_ms", milliseconds(m_deadline - now)},
                               {"deployment", m_deployment->version.value},
                               {"listing_age_ms", milliseconds(m_listingAge)}};
    if (!m_head.target.model.empty()) {
        fields["model"] = m_head.target.model.value;
        fields["adapter"] = m_head.target.adapter.value;
        fields["prompt_parts"] = describe(m_head.promptParts);
    }
    if (m_history.exchanges() > 0) {
        fields["load_at_dispatch"] = describe(m_endpointLoad);
    }
    if (m_status != 0) {
        fields["framing"] = toText(bodyFraming(m_headers));
        fields["answer_bytes"] = m_answerBytes;
    }
    if (m_isEventStream) {
        fields["longest_gap_ms"] = milliseconds(m_longestGap);
        fields["events"] = m_events.completeEvents();
        fields["inside_event"] = m_events.isInsideEvent();
    }
    if (m_firstByte) {
        fields["first_byte_ms"] = milliseconds(*m_firstByte);
    }
    if (m_answerTrace) {
        fields["answer"] = describe(*m_answerTrace);
    }
    if (m_lastFailure) {
        fields["reason"] = toText(*m_lastFailure);
    }
    if (waitedFor) {
        fields["waited_for"] = toText(*waitedFor);
        fields["loads"] = describe(m_gateway.m_chooser.loads(m_gateway.m_directory.endpoints(), m_requirements, now));
    }
    logEvent(Severity::Info, "request ended", std::move(fields));
}

// Draws a random delay, so that refused callers do not all retry at the same time.
Duration Gateway::Request::retryAfter() const
{
    if (m_waitingFor == NoEndpointReason::Full && m_gateway.ordersAcrossNodes() && m_forecast.rate.value > 0) {
        // The forecast is that of the fastest case, with the queue of this node.
        const std::chrono::duration<double> oneSlot(CertainRateFactor / m_forecast.rate.value);
        const auto roomIn = std::chrono::duration_cast<Duration>(m_forecast.delay * CertainRateFactor + oneSlot);
        return returnDelay(roomIn, timeLeft(), m_gateway.randomFraction());
    }
    const Duration limit = std::max(MinimumRetryAfter, timeLeft() / 4);
    Duration earliest = MinimumRetryAfter;
    Duration latest = MaximumRetryAfter;
    if (m_forecast.delay > Duration(0)) {
        // Where endpoints limit the rate, callers that stand further back in the queue return later.
        latest = std::min(latest, limit);
        earliest += std::min(m_forecast.delay, latest - earliest) / 2;
    }
    const auto spread = std::chrono::duration_cast<Duration>(earliest + (latest - earliest) * m_gateway.randomFraction());
    return std::min(spread, limit);
}

} // namespace Hemlockhill
