// One caller's request on its way through the gateway.
#pragma once

#include "hemlockhill/gateway.h"
#include "hemlockhill/queue_policy.h"
#include "hemlockhill/routed_attempt.h"

#include <optional>

namespace Hemlockhill
{

class Gateway::Request : public std::enable_shared_from_this<Gateway::Request>
{
public:
    Request(Gateway &gateway,
            std::uint64_t number,
            HttpRequest request,
            RoutedRequestHead head,
            std::shared_ptr<const Deployment> deployment,
            const Route &route,
            ServiceId service,
            std::shared_ptr<HttpResponder> responder);

    void start();
    // Sends the request if an endpoint can take it now, and refuses it if it has waited in vain.
    void tryDispatch();
    bool isWaiting() const { return m_waitingSince.has_value(); }
    // Refuses the request if it has waited in vain.
    void expire();
    // True when it waits for room that others of its model would take before it.
    bool waitsForRoom() const
    {
        return isWaiting() && (m_waitingFor == NoEndpointReason::Full || m_waitingFor == NoEndpointReason::RateLimited);
    }
    WaitingRank rank(TimePoint now) const;
    const RoutingTarget &target() const { return m_head.target; }
    const ServiceId &service() const { return m_need.service; }

private:
    void wait(NoEndpointReason reason);
    Duration waitLimit(NoEndpointReason reason) const;
    bool hasWaitedTooLong(TimePoint now) const;
    void giveUpWaiting();
    void send(const EndpointId &endpoint);
    ExchangeHooks exchangeHooks();
    ExchangeTimeouts exchangeTimeouts() const;
    void onHead(unsigned status, const std::vector<HttpHeader> &headers);
    void onBody(std::string bytes);
    void onEnd();
    void onExchangeFailed(const ExchangeFailure &failure);
    void onDeadline();
    void onCallerGone();
    void beginStream();
    void forwardEvents(std::string bytes);
    void limitPending();
    void endpointFailed(Reason reason, bool possiblyRan, bool blamesEndpoint);
    RetryDecision stepAfterFailure();
    void follow(RetryDecision step, Reason reason);
    void answerWhole();
    void refuse(Reason reason, std::string detail);
    void fail(Reason reason);
    void leaveEndpoint();
    void finish(std::string_view outcome, unsigned status);
    void logOutcome(std::string_view outcome, unsigned status) const;
    Duration timeLeft() const;
    Duration retryAfter() const;

    Gateway &m_gateway;
    std::uint64_t m_number;
    HttpRequest m_request;
    RoutedRequestHead m_head;
    // Keeps the route alive.
    std::shared_ptr<const Deployment> m_deployment;
    const Route &m_route;
    EndpointRequirements m_need;
    std::shared_ptr<HttpResponder> m_responder;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    SubscriptionId m_deadlineTimer;
    AttemptHistory m_history;
    std::optional<TimePoint> m_waitingSince;
    NoEndpointReason m_waitingFor = NoEndpointReason::NoEndpoint;
    Duration m_waited{0};
    std::shared_ptr<HttpExchange> m_exchange;
    // Numbers the exchanges of this request, so that hooks of an earlier one are ignored.
    std::uint32_t m_current = 0;
    EndpointId m_endpoint;
    // The answer of the present exchange.
    unsigned m_status = 0;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    bool m_streaming = false;
    ResumableEventBuffer m_resume;
    std::optional<Duration> m_firstByte;
    // Of the events that went to the caller.
    TimePoint m_lastEventAt;
    Duration m_longestGap{0};
    std::optional<Reason> m_lastFailure;
    bool m_done = false;
};

} // namespace Hemlockhill
