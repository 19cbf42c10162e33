// Forwarding of requests for other nodes.
#include "gateway_forwarded_request.h"

#include "endpoint_paths.h"
#include "hemlockhill/log.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
constexpr Bytes AnswerLimit{16'777'216};
constexpr unsigned FirstServerError = 500;
constexpr unsigned StatusServiceUnavailable = 503;
// Answers up to this size are sent with their length, except for streams of events.
constexpr std::size_t BufferedAnswerLimitBytes = 262'144;

} // namespace

Gateway::ForwardedRequest::ForwardedRequest(Gateway &gateway,
                                            std::uint64_t number,
                                            HttpRequest request,
                                            std::shared_ptr<HttpResponder> responder)
    : m_gateway(gateway)
    , m_number(number)
    , m_request(std::move(request))
    , m_responder(std::move(responder))
    , m_startedAt(currentTime())
{
}

void Gateway::ForwardedRequest::start()
{
    m_responder->onDisconnected = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onDisconnected();
        }
    };
    ForwardOptions options;
    try {
        m_head = m_gateway.m_dialect.readRequest(m_request);
        options = takeForwardOptions(m_request);
    } catch (const DecodeError &) {
        fail({Reason::MalformedRequest, false});
        return;
    }
    // What has lain unread since it arrived has less time left.
    options.timeLeft -= std::chrono::duration_cast<Duration>(m_startedAt - m_responder->receivedAt());
    m_deadline = m_startedAt + options.timeLeft;
    m_endpoint = options.endpoint;
    const auto &endpoints = m_gateway.m_directory.endpoints();
    const auto endpoint = endpoints.find(options.endpoint);
    if (options.timeLeft <= Duration(0)) {
        fail({Reason::DeadlineExceeded, false});
    } else if (m_gateway.m_isDraining || !m_gateway.m_directory.mayDispatch(m_startedAt)) {
        // Or its list of endpoints is outdated: it takes no requests at present.
        fail({Reason::Draining, false});
    } else if (m_gateway.m_crashGuard.refusal(m_head, m_startedAt)) {
        fail({Reason::Quarantined, false});
    } else if (endpoint == endpoints.end() || endpoint->second.leaving) {
        fail({Reason::NoEndpoint, false});
    } else if (m_gateway.m_chooser.availability().isLeaving(endpoint->second)
               || m_gateway.m_chooser.availability().delay(endpoint->second, m_startedAt) > Duration(0)) {
        fail({Reason::EndpointRefused, false});
    } else if (const auto obstacle = m_gateway.m_paths->obstacle(endpoint->second)) {
        fail({*obstacle, false});
    } else {
        send(endpoint->second, options);
    }
}

void Gateway::ForwardedRequest::send(const LiveEndpoint &endpoint, const ForwardOptions &options)
{
    m_incarnation = endpoint.incarnation;
    m_exchange = m_gateway.m_paths->startDirect(endpoint,
                                                m_gateway.m_dialect.forward(m_request, options),
                                                exchangeLimits(options),
                                                connectionChoice(m_head.id, options.isRepeated),
                                                exchangeHooks());
}

ExchangeLimits Gateway::ForwardedRequest::exchangeLimits(const ForwardOptions &options) const
{
    ExchangeLimits limits;
    limits.connect = std::min(ConnectTimeout, options.timeLeft);
    limits.firstByte = options.timeLeft;
    limits.reusedFirstByte = options.timeLeft;
    // The other node knows how long its caller waits between events.
    limits.betweenBytes = options.timeLeft;
    limits.body = AnswerLimit;
    limits.closeDelimited = CloseDelimitedResponse::Confirm;
    limits.sendBefore = m_gateway.m_directory.sendBefore(currentTime());
    limits.completeBefore = currentTime() + options.timeLeft;
    return limits;
}

ExchangeHooks Gateway::ForwardedRequest::exchangeHooks()
{
    const auto guarded = [weak = weak_from_this()](auto action) {
        return [weak, action](auto &&...arguments) {
            const auto self = weak.lock();
            if (self && !self->m_done) {
                action(*self, std::forward<decltype(arguments)>(arguments)...);
            }
        };
    };
    ExchangeHooks hooks;
    hooks.onSending = guarded([](ForwardedRequest &self) { self.onSending(); });
    hooks.match = [weak = weak_from_this()](const ResponseHead &head) {
        const auto self = weak.lock();
        return self && !self->m_done ? self->match(head) : ResponseMatch::Stray;
    };
    hooks.id = m_head.id;
    hooks.onHead = guarded([](ForwardedRequest &self, const ResponseHead &head) { self.onHead(head); });
    hooks.onBody = guarded([](ForwardedRequest &self, std::string bytes) { self.onBody(std::move(bytes)); });
    hooks.onEnd = guarded([](ForwardedRequest &self) { self.onEnd(); });
    hooks.onFailed = guarded([](ForwardedRequest &self, const ExchangeFailure &failure) { self.onExchangeFailed(failure); });
    return hooks;
}

void Gateway::ForwardedRequest::onSending()
{
    if (!m_responder->isConnected()) {
        m_gateway.m_metrics.countEvent("request_not_sent_caller_gone");
        onDisconnected();
    } else if (currentTime() >= m_deadline) {
        m_gateway.m_metrics.countEvent("request_not_sent_too_late");
        m_exchange->cancel();
        fail({Reason::DeadlineExceeded, false});
    }
}

ResponseMatch Gateway::ForwardedRequest::match(const ResponseHead &head)
{
    m_match = matchAnswer(m_head.id, m_gateway.m_dialect.readAnswer(head.status, head.headers), head.position);
    if (!isOwnAnswer(m_match)) {
        ++m_strays;
        m_gateway.m_metrics.countEvent(strayEvent(m_match));
    }
    return toResponseMatch(m_match);
}

void Gateway::ForwardedRequest::onHead(const ResponseHead &head)
{
    const EndpointAnswerHead answer = m_gateway.m_dialect.readAnswer(head.status, head.headers);
    m_answerTrace = traceOf(head, answer);
    m_gateway.onDeclaredCapacity(m_endpoint, m_incarnation, answer.capacity, m_startedAt);
    if (answer.isSigned) {
        m_gateway.m_crashGuard.onEndpointAnswered({lossIdOf(m_endpoint, m_incarnation), m_exchange->connectedAt(), m_startedAt},
                                                  currentTime());
        m_gateway.scheduleSuspectNotices();
    }
    const auto listed = m_gateway.m_directory.endpoints().find(m_endpoint);
    if (answer.notRun && head.status == StatusServiceUnavailable && listed != m_gateway.m_directory.endpoints().end()) {
        m_gateway.m_chooser.availability().onRejected(listed->second, currentTime());
    }
    m_isRefused = answer.notRun;
    m_answer.status = head.status;
    m_answer.contentType.clear();
    m_answer.headers = endToEndHeaders(head.headers);
    removeForwardingHeaders(m_answer.headers);
    if (m_match == AnswerMatch::OnlyOnConnection) {
        m_gateway.m_paths->onUnnamedAnswer(m_endpoint);
        // The other node sees only the connection between the two.
        nameAnsweredRequest(m_answer.headers, m_head.id);
    }
    if (answer.isEventStream) {
        beginResponse();
    }
}

void Gateway::ForwardedRequest::beginResponse()
{
    m_begun = true;
    m_responder->begin(m_answer);
}

void Gateway::ForwardedRequest::onBody(std::string bytes)
{
    if (!m_begun) {
        m_answer.body += bytes;
        if (m_answer.body.size() <= BufferedAnswerLimitBytes) {
            return;
        }
        beginResponse();
        bytes = std::exchange(m_answer.body, {});
    }
    m_responder->write(std::move(bytes));
    applyBackpressure();
}

void Gateway::ForwardedRequest::applyBackpressure()
{
    if (m_responder->pendingBytes() < m_responder->pendingLimit()) {
        return;
    }
    m_exchange->pause();
    m_responder->onRoom = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->m_done) {
            self->m_exchange->resume();
        }
    };
}

void Gateway::ForwardedRequest::onEnd()
{
    if (!m_isRefused && m_answer.status < FirstServerError) {
        // Rejections count only without such answers in between, also for nodes that send most requests for others.
        m_gateway.m_chooser.availability().onServed(m_endpoint);
    }
    if (m_begun) {
        m_responder->end();
    } else {
        m_responder->answer(std::move(m_answer));
    }
    finish("answered");
}

// The last response may have been the answer: nothing tells it from one to an earlier request on the connection.
void Gateway::ForwardedRequest::reportUnnamedAnswer()
{
    if (!m_answerTrace && m_strays > 0 && m_match == AnswerMatch::Unnamed) {
        m_gateway.m_paths->onUnnamedAnswer(m_endpoint);
    }
}

void Gateway::ForwardedRequest::onExchangeFailed(const ExchangeFailure &failure)
{
    reportUnnamedAnswer();
    const bool wasBrokenOff = !failure.inStray && (failure.reason == Reason::EndpointLost || failure.reason == Reason::IncompleteAnswer);
    if (wasBrokenOff && failure.mayHaveReached) {
        m_gateway.m_metrics.countEvent("request_broken_off");
        m_gateway.m_crashGuard.onBrokenOff(m_head, lossIdOf(m_endpoint, m_incarnation), m_startedAt, currentTime());
        m_gateway.scheduleSuspectNotices();
    }
    // Silence is what is said of an endpoint that is connected.
    fail({failure.mayHaveReached ? failure.reason : Reason::EndpointLost, failure.mayHaveReached});
}

void Gateway::ForwardedRequest::onDisconnected()
{
    if (m_exchange && !m_done) {
        // The node of the caller leaves when the time of the request ends.
        reportUnnamedAnswer();
        m_exchange->cancel();
        m_gateway.m_crashGuard.onCallerLeft(m_head, lossIdOf(m_endpoint, m_incarnation), currentTime());
    }
    finish("caller gone");
}

void Gateway::ForwardedRequest::fail(const ForwardingFailure &failure)
{
    m_gateway.m_metrics.countRefusal(failure.reason);
    if (m_begun) {
        m_responder->abort();
    } else {
        m_responder->answer(forwardingFailureAnswer(failure, m_head.id));
    }
    finish(toText(failure.reason));
}

void Gateway::ForwardedRequest::finish(std::string_view outcome)
{
    if (std::exchange(m_done, true)) {
        return;
    }
    const auto self = shared_from_this();
    const auto total = std::chrono::duration_cast<std::chrono::milliseconds>(currentTime() - m_startedAt);
    boost::json::object fields{{"request", m_head.id.value},
                               {"endpoint", m_endpoint.value},
                               {"outcome", outcome},
                               {"strays", m_strays},
                               {"total_ms", total.count()}};
    if (m_answerTrace) {
        fields["answer"] = describe(*m_answerTrace);
    }
    logEvent(Severity::Info, "request forwarded for another node", std::move(fields));
    m_gateway.m_forwardedRequests.erase(m_number);
}

} // namespace Hemlockhill
