// Creation, dispatch, expiry and removal of model requests.
#include "model_requests.h"

#include "hemlockhill/log.h"
#include "hemlockhill/refusal_answer.h"
#include "relay.h"

#include <xxhash.h>

#include <utility>

namespace Hemlockhill
{

namespace
{

// Period at which waiting requests that can no longer meet their targets are refused.
constexpr Duration ExpiryPeriod = std::chrono::milliseconds(20);
// Maximum fraction of the node's queue that one service may occupy.
constexpr double ServiceQueueRatio = 0.5;
constexpr std::chrono::seconds RetryAfterQueueFull(1);

RoutingParameters routingParameters(const Settings &settings)
{
    RoutingParameters parameters;
    parameters.dataCentre = settings.dataCentre;
    parameters.maximumReportAge = std::max(parameters.maximumReportAge, settings.endpoints.reportPeriod * 3);
    return parameters;
}

// Differs between nodes and process starts, so that nodes do not pick the same random candidates.
std::uint64_t routingSeed(const VmId &vm)
{
    return XXH64(vm.value.data(), vm.value.size(), static_cast<XXH64_hash_t>(currentTime().time_since_epoch().count()));
}

} // namespace

ModelRequests::ModelRequests(const Settings &settings, TimerService &timers, Metrics &metrics, boost::asio::io_context &loop)
    : m_settings(settings)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_loop(loop)
    , m_state(std::make_shared<const RegionState>())
    , m_routing(routingParameters(settings), routingSeed(settings.vm))
    , m_admission(settings.callers.requestLimit, ServiceQueueRatio)
    , m_guard(settings.vm, timers, metrics, loop)
{
}

ModelRequests::~ModelRequests() = default;

void ModelRequests::start(EndpointSink sink, EndedHook ended)
{
    m_endpointSink = std::move(sink);
    m_ended = std::move(ended);
    m_timers.every(ExpiryPeriod, m_loop, [this] { expireWaiting(); });
}

void ModelRequests::run(ModelRequest request,
                        const RequestId &id,
                        std::optional<Duration> callerDeadline,
                        std::shared_ptr<HttpResponder> responder)
{
    if (m_relays.size() >= m_settings.callers.requestLimit) {
        refuse(*responder, Refusal{Reason::QueueFull, Ran::No, "the request queue of this node is full", RetryAfterQueueFull, {}}, id);
        return;
    }
    const auto target = m_routing.resolve(request.model.value);
    if (!target) {
        refuse(*responder, Refusal{Reason::UnknownModel, Ran::No, "model " + request.model.value + " is not declared", {}, {}}, id);
        return;
    }
    setModelName(request, *target);
    const Fingerprint fingerprint = fingerprintOf(request.body);
    const QuarantineDecision decision = m_guard.decide(fingerprint, m_routing.forecast(*target, currentTime()).endpoints);
    if (decision.verdict == QuarantineVerdict::Refused) {
        refuse(*responder,
               Refusal{Reason::Quarantined, Ran::No, "this request is suspected of crashing endpoints", decision.retryAfter, {}},
               id);
        return;
    }
    const AttemptId attempt{++m_lastAttempt};
    const ServiceId serviceId = m_state->models.at(target->model).service;
    const auto service = m_state->services.find(serviceId);
    const auto relay = std::make_shared<Relay>(*this,
                                               attempt,
                                               id,
                                               std::move(request),
                                               *target,
                                               fingerprint,
                                               service == m_state->services.end() ? Service{} : service->second,
                                               std::move(responder));
    m_relays.emplace(attempt, relay);
    relay->start(callerDeadline);
}

void ModelRequests::handle(const ExchangeSending &event)
{
    if (const auto relay = findRelay(event.exchange)) {
        relay->onSending(event);
    }
}

void ModelRequests::handle(const ExchangeHead &event)
{
    if (const auto relay = findRelay(event.exchange)) {
        relay->onHead(event);
    }
}

void ModelRequests::handle(const ExchangeBody &event)
{
    if (const auto relay = findRelay(event.exchange)) {
        relay->onBody(event);
        return;
    }
    // The request has ended already, but the endpoint is still sending.
    m_endpointSink(CancelExchange{event.exchange});
}

void ModelRequests::handle(const ExchangeEnded &event)
{
    if (const auto relay = findRelay(event.exchange)) {
        relay->onEnded(event);
    }
}

void ModelRequests::handle(const ExchangeFailed &event)
{
    if (const auto relay = findRelay(event.exchange)) {
        relay->onFailed(event);
    }
}

void ModelRequests::handle(const StateChanged &event)
{
    m_state = event.state;
    m_routing.onState(event.state);
    dispatchWaiting();
}

void ModelRequests::handle(const ReportsChanged &event)
{
    m_routing.onReports(event.reports);
    m_guard.onReports(event.reports);
    dispatchWaiting();
}

void ModelRequests::handle(const CacheEventsArrived &event)
{
    m_routing.onCacheEvents(event.endpoint, event.events);
}

void ModelRequests::handle(const LeavingEndpoints &event)
{
    m_routing.onLeaving(event.endpoints);
}

void ModelRequests::handle(const QuarantineChanged &event)
{
    m_guard.onRegister(event.replica);
}

void ModelRequests::refuse(HttpResponder &responder, const Refusal &refusal, const RequestId &request)
{
    m_metrics.countRefusal(refusal.reason);
    logEvent(Severity::Info,
             "request refused",
             {{"request", request.value},
              {"reason", toText(refusal.reason)},
              {"ran", toText(refusal.ran)},
              {"revision", m_state->revision.value}});
    responder.answer(callerRefusalAnswer(refusal, request));
}

std::shared_ptr<Relay> ModelRequests::findRelay(ExchangeId exchange) const
{
    const auto found = m_exchanges.find(exchange);
    return found == m_exchanges.end() ? nullptr : found->second;
}

RetryBudget &ModelRequests::retryBudget(const ServiceId &service)
{
    return m_budgets.try_emplace(service, RetryBudgetLimits{}).first->second;
}

void ModelRequests::dispatchWaiting()
{
    while (m_admission.waiting() > 0) {
        const TimePoint now = currentTime();
        const auto request = m_admission.next([&](const RoutingTarget &target) { return m_routing.hasCapacity(target, now); });
        if (!request) {
            return;
        }
        const auto relay = m_relays.find(request->id);
        if (relay != m_relays.end()) {
            // dispatch() may remove the relay from the map.
            const std::shared_ptr<Relay> keptAlive = relay->second;
            keptAlive->dispatch();
        }
    }
}

void ModelRequests::expireWaiting()
{
    if (m_admission.waiting() == 0) {
        return;
    }
    const TimePoint now = currentTime();
    for (AdmissionExpiry &expiry : m_admission.expire([&](const RoutingTarget &target) { return m_routing.forecast(target, now); }, now)) {
        const auto relay = m_relays.find(expiry.id);
        if (relay != m_relays.end()) {
            const std::shared_ptr<Relay> keptAlive = relay->second;
            keptAlive->giveUp(expiry.refusal);
        }
    }
    dispatchWaiting();
}

void ModelRequests::remove(AttemptId attempt)
{
    m_admission.remove(attempt);
    m_relays.erase(attempt);
    dispatchWaiting();
    m_ended();
}

} // namespace Hemlockhill
