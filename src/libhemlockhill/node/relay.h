// Hosts the attempt of one caller's model request: carries out its actions and reports their outcome back.
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

    // Admits the request, or refuses it.
    void start(std::optional<Duration> callerDeadline);
    // Runs the request at the endpoint that routing chooses.
    void dispatch();
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
    void seekAgain(const SeekEndpoint &action);
    void dispatchTo(const EndpointId &endpoint);
    // Runs a suspect on an endpoint on which no other suspect runs. One that was lost waits for such an endpoint, one that has just
    // arrived is refused when there is none.
    void dispatchAlone(std::optional<SeekEndpoint> lost);
    void countRetry(Reason reason);
    void giveUpQuarantined(std::optional<std::chrono::seconds> retryAfter);
    QuarantineDecision quarantineDecision() const;
    void release(std::size_t bytes);
    void closeExchange(std::optional<Duration> wholeAfter);
    void completeRefusal(Refusal &refusal) const;
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
    // The exchange that counts towards its endpoint's load.
    std::optional<ExchangeId> m_openExchange;
    EndpointId m_openEndpoint;
    TimePoint m_dispatchedAt;
    std::size_t m_unreleased = 0;
    std::uint32_t m_retries = 0;
    // Different requests that were lost together with the last endpoint; 0 when it was only the connection.
    std::size_t m_lostTogether = 0;
    std::optional<Duration> m_firstToken;
    std::optional<Refusal> m_refusal;
    bool m_done = false;
};

} // namespace Hemlockhill
