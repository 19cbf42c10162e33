// Request routing, readiness and shutdown of the callers' HTTP server.
#include "hemlockhill/caller_duty.h"

#include "hemlockhill/log.h"
#include "hemlockhill/refusal_answer.h"
#include "model_requests.h"
#include "service_calls.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t MailboxCapacity = 65'536;
// Delay between the start of a shutdown and the refusal of new requests, so that load balancers see /readyz fail first.
constexpr Duration LeaveNotice = std::chrono::seconds(1);
constexpr Duration LeaveCheckPeriod = std::chrono::milliseconds(50);
constexpr Duration StatisticsPeriod = std::chrono::seconds(1);
constexpr std::chrono::seconds RetryAfterLeaving(1);

HttpServerLimits serverLimits(const CallerSettings &settings)
{
    HttpServerLimits limits;
    limits.header = settings.headerLimit;
    limits.body = settings.bodyLimit;
    limits.request = settings.requestTimeout;
    limits.idle = settings.idleTimeout;
    limits.connections = settings.connectionLimit;
    return limits;
}

Refusal refusalOf(Reason reason, std::string detail, std::optional<std::chrono::seconds> retryAfter = {})
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.detail = std::move(detail);
    refusal.retryAfter = retryAfter;
    return refusal;
}

// Unique per process start, so that request ids are not reused after a restart.
std::string requestPrefix(const VmId &vm)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return vm.value + "-" + std::to_string(milliseconds) + "-";
}

// Returns the timeout requested by the caller. Empty if the header is absent or not an integer number of milliseconds.
std::optional<Duration> callerDeadline(const HttpRequest &request)
{
    const std::string_view text = request.header("Hemlockhill-Deadline-Ms");
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

// Exchange ids of plain services start here, so that they do not collide with those of model requests.
constexpr std::uint64_t FirstServiceExchange = std::uint64_t{1} << 62U;

bool isModelPath(std::string_view path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

} // namespace

CallerDuty::CallerDuty(const Settings &settings, TimerService &timers, Metrics &metrics, ServingGate &gate)
    : m_settings(settings)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_gate(gate)
    , m_duty("callers")
    , m_requestPrefix(requestPrefix(settings.vm))
    , m_models(std::make_unique<ModelRequests>(settings, timers, metrics, m_duty.context()))
    , m_mailbox(m_duty.context(), MailboxCapacity, [this](CallerDutyMessage &&message) { handle(std::move(message)); })
{
}

CallerDuty::~CallerDuty()
{
    stop();
}

void CallerDuty::start(Outlet outlet, LeftHook left)
{
    m_left = std::move(left);
    startServices(outlet);
    m_models->connectQuarantine(m_quarantinePort);
    m_models->start(std::move(outlet), [this] { finishLeaving(); });
    if (m_statisticsListener) {
        m_timers.every(StatisticsPeriod, m_duty.context(), [this] { m_statisticsListener(m_models->figures()); });
    }
    m_server = std::make_unique<HttpServer>(
        m_duty.context(),
        m_settings.callers.listen,
        serverLimits(m_settings.callers),
        [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) { onRequest(std::move(request), responder); },
        [this](Reason reason) { m_metrics.countRefusal(reason); });
    m_duty.start();
}

void CallerDuty::stop()
{
    m_duty.stop();
}

void CallerDuty::startServices(const Outlet &outlet)
{
    ServiceCallHooks hooks;
    hooks.send = outlet;
    hooks.nextExchange = [this] { return ExchangeId{FirstServiceExchange + ++m_lastServiceExchange}; };
    hooks.refuse = [this](HttpResponder &responder, const Refusal &refusal, const RequestId &id) {
        m_models->refuse(responder, refusal, id);
    };
    hooks.onEnded = [this] { finishLeaving(); };
    hooks.proposeOnce = m_oncePort;
    m_services = std::make_unique<ServiceCalls>(m_settings, m_timers, m_metrics, m_duty.context(), std::move(hooks));
}

void CallerDuty::handle(CallerDutyMessage &&message)
{
    if (m_services->handle(message)) {
        return;
    }
    std::visit(Overloaded{
                   [this](const LeaveRequested &) { leave(); },
                   [this](const StateChanged &event) {
                       m_models->handle(event);
                       m_services->onState(event.state);
                       m_gate.setRevisionInForce(event.state->revision);
                   },
                   [this](const SettingsChanged &event) { takeOver(event); },
                   [this](const auto &event) { m_models->handle(event); },
               },
               message);
}

void CallerDuty::takeOver(const SettingsChanged &event)
{
    m_settings = *event.settings;
    m_server->setLimits(serverLimits(m_settings.callers));
    m_models->handle(event);
    m_services->onSettings(m_settings);
}

void CallerDuty::onRequest(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    const std::string path(request.path());
    const bool isGet = request.method == "GET" || request.method == "HEAD";
    if (path == "/healthz") {
        responder->answer(HttpResponse{200, "text/plain", {}, "ok\n"});
        return;
    }
    if (path == "/readyz") {
        answerReadiness(*responder);
        return;
    }
    if (path == "/v1/models" && isGet) {
        m_metrics.countRequest("models");
        answerModels(*responder);
        return;
    }
    if (path.starts_with("/services/")) {
        runService(std::move(request), responder);
        return;
    }
    if (!isModelPath(path) && path != "/v1/models") {
        m_models->refuse(*responder, refusalOf(Reason::UnknownPath, "no such path"), RequestId{});
        return;
    }
    if (request.method != "POST" || path == "/v1/models") {
        m_models->refuse(
            *responder, refusalOf(Reason::MethodNotAllowed, "method " + request.method + " is not allowed on this path"), RequestId{});
        return;
    }
    m_metrics.countRequest(path == "/v1/completions" ? "completions" : "chat_completions");
    runModel(std::move(request), responder);
}

void CallerDuty::answerReadiness(HttpResponder &responder) const
{
    const bool ready = !m_leaving && m_models->state().revision.value > 0 && m_gate.isOpen(currentTime());
    responder.answer(HttpResponse{ready ? 200U : 503U, "text/plain", {}, ready ? "ready\n" : "not ready\n"});
}

void CallerDuty::answerModels(HttpResponder &responder) const
{
    boost::json::array data;
    for (const auto &[id, model] : m_models->state().models) {
        data.push_back(
            {{"id", id.value}, {"object", "model"}, {"created", 0}, {"owned_by", "hemlockhill"}, {"version", model.version.value}});
    }
    HttpResponse response;
    response.body = boost::json::serialize(boost::json::object{{"object", "list"}, {"data", std::move(data)}});
    responder.answer(std::move(response));
}

void CallerDuty::runModel(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    const RequestId id = nextRequest();
    if (m_refusing) {
        m_models->refuse(*responder, refusalOf(Reason::Draining, "this node is shutting down", RetryAfterLeaving), id);
        return;
    }
    if (!m_gate.isOpen(currentTime())) {
        m_models->refuse(*responder, refusalOf(Reason::LeaseExpired, "this node holds no serving lease", RetryAfterLeaving), id);
        return;
    }
    ModelRequest modelRequest;
    try {
        modelRequest = parseModelRequest(request.path(), std::move(request.body));
    } catch (const DecodeError &error) {
        m_models->refuse(*responder, refusalOf(Reason::MalformedRequest, error.what()), id);
        return;
    }
    m_models->run(std::move(modelRequest), id, callerDeadline(request), responder);
}

void CallerDuty::runService(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    const RequestId id = nextRequest();
    if (!m_gate.isOpen(currentTime())) {
        m_models->refuse(*responder, refusalOf(Reason::LeaseExpired, "this node holds no serving lease", RetryAfterLeaving), id);
        return;
    }
    m_services->run(std::move(request), responder, id, m_refusing);
}

RequestId CallerDuty::nextRequest()
{
    return RequestId{m_requestPrefix + std::to_string(++m_lastRequest)};
}

void CallerDuty::leave()
{
    if (m_leaving) {
        return;
    }
    m_leaving = true;
    logEvent(Severity::Info, "node leaving", {{"requests_in_progress", m_models->inProgress()}});
    m_timers.after(LeaveNotice, m_duty.context(), [this] {
        m_refusing = true;
        m_server->stopAccepting();
        finishLeaving();
    });
}

void CallerDuty::finishLeaving()
{
    if (!m_refusing || m_models->inProgress() > 0 || m_services->inProgress() > 0 || !m_left) {
        return;
    }
    if (m_server->connections() == 0) {
        std::exchange(m_left, nullptr)();
        return;
    }
    // Connections close after their answers have been written.
    m_timers.after(LeaveCheckPeriod, m_duty.context(), [this] { finishLeaving(); });
}

} // namespace Hemlockhill
