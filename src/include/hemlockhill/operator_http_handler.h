// HTTP interface for operators: executes statements and serves metrics.
#pragma once

#include "hemlockhill/http_server.h"
#include "hemlockhill/language.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/operator_answer.h"
#include "hemlockhill/operator_view.h"
#include "hemlockhill/region_state.h"

#include <functional>
#include <memory>
#include <string>

namespace Hemlockhill
{

struct OperatorHttpHandlerHooks {
    // Returns the current state of the region as known to this node.
    std::function<OperatorView()> view;
    // Returns the loads and evictions that a change would cause.
    PlanHook plan;
    // Submits a command to the replicated state and answers with its outcome.
    std::function<void(const CommandRequest &command, std::function<void(const CommandOutcome &outcome)> answer)> submit;
    // Forwards a query to the leading controller. Returns false if this node leads or knows no leader.
    std::function<bool(const std::string &statement, bool json, std::function<void(HttpResponse response)> answer)> forwardToLeader;
};

// All functions run on one event loop.
class OperatorHttpHandler
{
public:
    OperatorHttpHandler(Metrics &metrics, OperatorHttpHandlerHooks hooks);

    void onRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    // Answers a query from the state known to this node.
    HttpResponse answerQuery(const std::string &statement, bool json);

private:
    void onStatement(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    HttpResponse answerOf(const CommandOutcome &outcome, bool json);
    HttpResponse answerOf(const QueryOutcome &outcome, bool json);

    Metrics &m_metrics;
    OperatorHttpHandlerHooks m_hooks;
};

} // namespace Hemlockhill
