// HTTP interface for operators.
#include "hemlockhill/operator_http_handler.h"

#include "hemlockhill/refusal_answer.h"

#include <boost/json/serialize.hpp>

#include <utility>

namespace Hemlockhill
{

namespace
{

bool wantsJson(const HttpRequest &request)
{
    return request.header("Accept") == "application/json";
}

HttpResponse textOrJson(std::string text, const boost::json::value &value, bool json)
{
    HttpResponse response;
    response.contentType = json ? "application/json" : "text/plain";
    response.body = json ? boost::json::serialize(value) + "\n" : std::move(text);
    return response;
}

// The declared state is replicated to every node. Only the leading controller has complete knowledge of everything else.
bool needsLeader(const Statement &statement)
{
    const auto *show = std::get_if<ShowQuery>(&statement);
    if (show == nullptr) {
        return !std::holds_alternative<CommandRequest>(statement);
    }
    switch (show->subject) {
    case ShowSubject::Endpoints:
    case ShowSubject::Models:
    case ShowSubject::Adapters:
    case ShowSubject::Services:
    case ShowSubject::Vms:
    case ShowSubject::Settings:
        return false;
    default:
        return true;
    }
}

Refusal malformed(const LanguageError &error)
{
    Refusal refusal;
    refusal.reason = Reason::MalformedCommand;
    refusal.detail = error.what();
    return refusal;
}

} // namespace

OperatorHttpHandler::OperatorHttpHandler(Metrics &metrics, OperatorHttpHandlerHooks hooks)
    : m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
}

void OperatorHttpHandler::onRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path() == "/metrics" && request.method == "GET") {
        responder->answer(HttpResponse{200, "text/plain; version=0.0.4", {}, m_metrics.exposition()});
        return;
    }
    if (request.path() == "/operator/v1/statement" && request.method == "POST") {
        m_metrics.countRequest("statement");
        onStatement(request, responder);
        return;
    }
    Refusal refusal;
    refusal.reason = Reason::UnknownPath;
    m_metrics.countRefusal(refusal.reason);
    responder->answer(refusalAnswer(refusal, RequestId{}));
}

void OperatorHttpHandler::onStatement(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const bool json = wantsJson(request);
    try {
        const Statement statement = parseStatement(request.body);
        if (const auto *command = std::get_if<CommandRequest>(&statement)) {
            m_hooks.submit(*command,
                           [this, responder, json](const CommandOutcome &outcome) { responder->answer(answerOf(outcome, json)); });
            return;
        }
        const auto answer = [responder](HttpResponse response) { responder->answer(std::move(response)); };
        if (needsLeader(statement) && m_hooks.forwardToLeader(request.body, json, answer)) {
            return;
        }
        responder->answer(answerOf(Hemlockhill::answerQuery(m_hooks.view(), statement, m_hooks.plan), json));
    } catch (const LanguageError &error) {
        responder->answer(answerOf(CommandOutcome(malformed(error)), json));
    }
}

HttpResponse OperatorHttpHandler::answerQuery(const std::string &statement, bool json)
{
    try {
        return answerOf(Hemlockhill::answerQuery(m_hooks.view(), parseStatement(statement), m_hooks.plan), json);
    } catch (const LanguageError &error) {
        return answerOf(CommandOutcome(malformed(error)), json);
    }
}

HttpResponse OperatorHttpHandler::answerOf(const CommandOutcome &outcome, bool json)
{
    HttpResponse response = textOrJson(describe(outcome), toJson(outcome), json);
    if (const auto *refusal = std::get_if<Refusal>(&outcome)) {
        m_metrics.countRefusal(refusal->reason);
        response.status = traitsOf(refusal->reason).httpStatus;
    }
    return response;
}

HttpResponse OperatorHttpHandler::answerOf(const QueryOutcome &outcome, bool json)
{
    if (const auto *refusal = std::get_if<Refusal>(&outcome)) {
        return answerOf(CommandOutcome(*refusal), json);
    }
    const auto &answer = std::get<OperatorAnswer>(outcome);
    return textOrJson(answer.text(), answer.json(), json);
}

} // namespace Hemlockhill
