// A request that this gateway forwards to an endpoint for another node, which took it from its caller.
#pragma once

#include "answer_trace.h"
#include "hemlockhill/answer_match.h"
#include "hemlockhill/forwarded_request.h"
#include "hemlockhill/gateway.h"

#include <optional>
#include <string>
#include <vector>

namespace Hemlockhill
{

// Sends the request to the endpoint that the other node has chosen, once, over a connection of this node, and returns the answer as it
// comes. The other node decides what follows a failure, counts the request and answers the caller.
class Gateway::ForwardedRequest : public std::enable_shared_from_this<Gateway::ForwardedRequest>
{
public:
    ForwardedRequest(Gateway &gateway, std::uint64_t number, HttpRequest request, std::shared_ptr<HttpResponder> responder);

    void start();

private:
    void send(const LiveEndpoint &endpoint, const ForwardOptions &options);
    ExchangeLimits exchangeLimits(const ForwardOptions &options) const;
    ExchangeHooks exchangeHooks();
    // Ends the request before anything is sent if its caller has left or has no time left.
    void onSending();
    ResponseMatch match(const ResponseHead &head);
    void onHead(const ResponseHead &head);
    void onBody(std::string bytes);
    void onEnd();
    void onExchangeFailed(const ExchangeFailure &failure);
    // Reports an endpoint that has sent nothing but responses that name no request.
    void reportUnnamedAnswer();
    void beginResponse();
    void applyBackpressure();
    void onDisconnected();
    void fail(const ForwardingFailure &failure);
    void finish(std::string_view outcome);

    Gateway &m_gateway;
    std::uint64_t m_number;
    HttpRequest m_request;
    std::shared_ptr<HttpResponder> m_responder;
    RoutedRequestHead m_head;
    EndpointId m_endpoint;
    Incarnation m_incarnation;
    std::shared_ptr<HttpExchange> m_exchange;
    TimePoint m_startedAt;
    // When the caller's time ends.
    TimePoint m_deadline;
    // How the last response that was read relates to the request.
    AnswerMatch m_match = AnswerMatch::Unnamed;
    // Number of responses that were dropped.
    std::uint32_t m_strays = 0;
    // The head of the endpoint's answer; empty without one.
    std::optional<AnswerTrace> m_answerTrace;
    HttpResponse m_answer;
    // Whether the endpoint has stated that it did not run the request.
    bool m_isRefused = false;
    // Whether the head of the answer has been sent.
    bool m_begun = false;
    bool m_done = false;
};

} // namespace Hemlockhill
