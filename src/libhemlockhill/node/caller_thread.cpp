// Request routing, readiness and shutdown of the callers' HTTP server.
#include "hemlockhill/caller_thread.h"

#include "hemlockhill/buffer_budget.h"
#include "hemlockhill/log.h"
#include "hemlockhill/refusal_answer.h"
#include "model_requests.h"
#include "net/arrival_clock.h"
#include "node/node_limits.h"
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
constexpr Duration DrainGracePeriod = std::chrono::seconds(1);
constexpr Duration DrainCheckPeriod = std::chrono::milliseconds(50);
constexpr Duration StatisticsPeriod = std::chrono::seconds(1);
constexpr std::chrono::seconds RetryAfterDraining(1);

Refusal makeRefusal(Reason reason, std::string detail, std::optional<std::chrono::seconds> retryAfter = {})
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

CallerThread::CallerThread(const Settings &settings, TimerService &timers, Metrics &metrics, ServingGate &gate)
    : m_settings(settings)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_gate(gate)
    , m_thread("callers")
    , m_requestPrefix(requestPrefix(settings.vm))
    , m_arrivalClock(std::make_shared<ArrivalClock>(m_thread.context()))
    , m_requestBudget(std::make_shared<BufferBudget>(nodeLimits(settings).callerRequests))
    , m_answerBudget(std::make_shared<BufferBudget>(nodeLimits(settings).callerAnswers))
    , m_models(std::make_unique<ModelRequests>(settings, timers, metrics, m_thread.context()))
    , m_mailbox(m_thread.context(), MailboxCapacity, [this](CallerThreadMessage &&message) { handle(std::move(message)); })
{
}

CallerThread::~CallerThread()
{
    stop();
}

void CallerThread::start(EndpointSink sink, DrainedHook onDrained)
{
    m_onDrained = std::move(onDrained);
    startServices(sink);
    m_models->connectQuarantine(m_quarantinePort);
    m_models->start(std::move(sink), [this] { finishDraining(); });
    if (m_statisticsListener) {
        m_timers.every(StatisticsPeriod, m_thread.context(), [this] { m_statisticsListener(m_models->figures()); });
    }
    m_requestBudget->onExceeded = [this] { m_metrics.countEvent("request_buffers_full"); };
    m_answerBudget->onExceeded = [this] { m_metrics.countEvent("answer_buffers_full"); };
    m_server = std::make_unique<HttpServer>(
        m_thread.context(),
        m_settings.callers.listen,
        serverLimits(),
        [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) { onRequest(std::move(request), responder); },
        [this](Reason reason) { m_metrics.countRefusal(reason); });
    m_server->setArrivalClock(m_arrivalClock);
    m_arrivalClock->start();
    m_thread.start();
}

HttpServerLimits CallerThread::serverLimits() const
{
    const CallerSettings &settings = m_settings.callers;
    HttpServerLimits limits;
    limits.header = settings.headerLimit;
    limits.body = settings.bodyLimit;
    limits.request = settings.requestTimeout;
    limits.idle = settings.idleTimeout;
    limits.connections = nodeLimits(m_settings).callerConnections;
    limits.copies = CallerRequestCopies;
    limits.requestBudget = m_requestBudget;
    limits.answerBudget = m_answerBudget;
    return limits;
}

void CallerThread::stop()
{
    m_thread.stop();
}

void CallerThread::startServices(const EndpointSink &sink)
{
    ServiceCallHooks hooks;
    hooks.send = sink;
    hooks.nextExchange = [this] { return ExchangeId{FirstServiceExchange + ++m_lastServiceExchange}; };
    hooks.refuse = [this](HttpResponder &responder, const Refusal &refusal, const RequestId &id) {
        m_models->refuse(responder, refusal, id);
    };
    hooks.onEnded = [this] { finishDraining(); };
    hooks.proposeOnce = m_oncePort;
    m_services = std::make_unique<ServiceCalls>(m_settings, m_timers, m_metrics, m_thread.context(), std::move(hooks));
}

void CallerThread::handle(CallerThreadMessage &&message)
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
                   [this](const SettingsChanged &event) { applySettings(event); },
                   [this](const auto &event) { m_models->handle(event); },
               },
               message);
}

void CallerThread::applySettings(const SettingsChanged &event)
{
    m_settings = *event.settings;
    const NodeLimits limits = nodeLimits(m_settings);
    m_requestBudget->setLimit(limits.callerRequests);
    m_answerBudget->setLimit(limits.callerAnswers);
    m_server->setLimits(serverLimits());
    m_models->handle(event);
    m_services->onSettings(m_settings);
}

void CallerThread::onRequest(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
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
        m_models->refuse(*responder, makeRefusal(Reason::UnknownPath, "no such path"), RequestId{});
        return;
    }
    if (request.method != "POST" || path == "/v1/models") {
        m_models->refuse(
            *responder, makeRefusal(Reason::MethodNotAllowed, "method " + request.method + " is not allowed on this path"), RequestId{});
        return;
    }
    m_metrics.countRequest(path == "/v1/completions" ? "completions" : "chat_completions");
    runModel(std::move(request), responder);
}

void CallerThread::answerReadiness(HttpResponder &responder) const
{
    const bool ready = !m_leaving && m_models->state().revision.value > 0 && m_gate.isOpen(currentTime());
    responder.answer(HttpResponse{ready ? 200U : 503U, "text/plain", {}, ready ? "ready\n" : "not ready\n"});
}

void CallerThread::answerModels(HttpResponder &responder) const
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

void CallerThread::runModel(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    const RequestId id = nextRequest();
    if (m_refusesRequests) {
        m_models->refuse(*responder, makeRefusal(Reason::Draining, "this node is shutting down", RetryAfterDraining), id);
        return;
    }
    if (!m_gate.isOpen(currentTime())) {
        m_models->refuse(*responder, makeRefusal(Reason::LeaseExpired, "this node holds no serving lease", RetryAfterDraining), id);
        return;
    }
    ModelRequest modelRequest;
    try {
        modelRequest = parseModelRequest(request.path(), std::move(request.body));
    } catch (const DecodeError &error) {
        m_models->refuse(*responder, makeRefusal(Reason::MalformedRequest, error.what()), id);
        return;
    }
    m_models->run(std::move(modelRequest), id, callerDeadline(request), responder);
}

void CallerThread::runService(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    const RequestId id = nextRequest();
    if (!m_gate.isOpen(currentTime())) {
        Refusal refusal = makeRefusal(Reason::LeaseExpired, "this node holds no serving lease", RetryAfterDraining);
        refusal.ran = ranBefore(request);
        m_models->refuse(*responder, refusal, id);
        return;
    }
    m_services->run(std::move(request), responder, id, m_refusesRequests);
}

RequestId CallerThread::nextRequest()
{
    return RequestId{m_requestPrefix + std::to_string(++m_lastRequest)};
}

void CallerThread::leave()
{
    if (m_leaving) {
        return;
    }
    m_leaving = true;
    logEvent(Severity::Info, "node leaving", {{"requests_in_progress", m_models->inProgress()}});
    m_timers.after(DrainGracePeriod, m_thread.context(), [this] {
        m_refusesRequests = true;
        m_server->stopAccepting();
        finishDraining();
    });
}

void CallerThread::finishDraining()
{
    if (!m_refusesRequests || m_models->inProgress() > 0 || m_services->inProgress() > 0 || !m_onDrained) {
        return;
    }
    if (m_server->connections() == 0) {
        std::exchange(m_onDrained, nullptr)();
        return;
    }
    // Connections close after their answers have been written.
    m_timers.after(DrainCheckPeriod, m_thread.context(), [this] { finishDraining(); });
}

} // namespace Hemlockhill
