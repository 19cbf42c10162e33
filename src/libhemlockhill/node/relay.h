// Runs one model request: performs the actions of its attempt state machine and reports their results to it.
#pragma once

#include "hemlockhill/attempt.h"
#include "model_requests.h"

#include <memory>
#include <optional>
#include <string>

namespace Hemlockhill
{

class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay(ModelRequests &requests,
          AttemptId attempt,
          RequestId id,
          ModelRequest request,
          RoutingTarget target,
          Fingerprint fingerprint,
          Service service,
          std::shared_ptr<HttpResponder> responder);

    // Admits the request or refuses it. `callerDeadline` is the timeout requested by the caller, from now.
    void start(std::optional<Duration> callerDeadline);
    // Sends the request to an endpoint chosen by routing. Refuses it if there is none.
    void dispatch();
    // Ends the request with the given refusal.
    void giveUp(const Refusal &refusal);

    void onSending(const ExchangeSending &event);
    void onHead(const ExchangeHead &event);
    void onBody(const ExchangeBody &event);
    void onEnded(const ExchangeEnded &event);
    void onFailed(const ExchangeFailed &event);

private:
    void perform(AttemptActions actions);
    void carryOut(const StartAttemptExchange &action);
    void carryOut(const CancelAttemptExchange &action);
    void carryOut(const SeekEndpoint &action);
    void carryOut(ForwardEvents &action);
    void carryOut(const EndStream &action);
    void carryOut(SendResponse &action);
    void carryOut(RefuseCaller &action);
    void carryOut(SendErrorEvent &action);

    void offer();
    void retryDispatch(const SeekEndpoint &action);
    void dispatchTo(const EndpointId &endpoint);
    // Runs a suspected request on an endpoint where no other suspect runs. If there is none, a request that was lost with its previous
    // endpoint (`lost` is set) waits for one, and a new request is refused.
    void dispatchAlone(std::optional<SeekEndpoint> lost);
    void countRetry(Reason reason);
    void giveUpQuarantined(std::optional<std::chrono::seconds> retryAfter);
    QuarantineDecision quarantineDecision() const;
    void release(std::size_t bytes);
    void closeExchange(std::optional<Duration> completedAfter);
    void addRetryAfter(Refusal &refusal) const;
    void finishIfDone();
    void logOutcome() const;
    Duration timeLeft() const;

    ModelRequests &m_requests;
    AttemptId m_attemptId;
    RequestId m_id;
    ModelRequest m_request;
    Service m_service;
    Fingerprint m_fingerprint;
    RoutingRequest m_routing;
    std::shared_ptr<HttpResponder> m_responder;
    Attempt m_attempt;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    SubscriptionId m_deadlineTimer;
    // The exchange currently counted in its endpoint's load.
    std::optional<ExchangeId> m_openExchange;
    EndpointId m_openEndpoint;
    TimePoint m_dispatchedAt;
    unsigned m_responseStatus = 0;
    std::size_t m_unreleasedBytes = 0;
    std::uint32_t m_retries = 0;
    // Number of distinct requests lost together with the last endpoint; 0 if only the connection was lost.
    std::size_t m_lostTogether = 0;
    std::optional<Duration> m_firstToken;
    std::optional<Refusal> m_refusal;
    bool m_done = false;
};

} // namespace Hemlockhill
