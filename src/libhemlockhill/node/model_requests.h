// Runs the model requests in progress on one node. Connects the state machines for routing, admission, quarantine and attempts with
// the event loop, the callers and the endpoint thread.
#pragma once

#include "hemlockhill/admission.h"
#include "hemlockhill/exchange_messages.h"
#include "hemlockhill/http_server.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/model_statistics.h"
#include "hemlockhill/retry_budget.h"
#include "hemlockhill/routing.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/timer_service.h"
#include "quarantine_guard.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Hemlockhill
{

class Relay;

// Not thread-safe; must be used on the given event loop.
class ModelRequests
{
public:
    // Passes a message to the endpoint thread. Returns false if its queue is full; the message is then discarded.
    using EndpointSink = std::function<bool(EndpointThreadMessage)>;
    // Called after each request that ended.
    using EndedHook = std::function<void()>;

    ModelRequests(const Settings &settings, TimerService &timers, Metrics &metrics, boost::asio::io_context &loop);
    ~ModelRequests();
    ModelRequests(const ModelRequests &) = delete;
    ModelRequests &operator=(const ModelRequests &) = delete;

    // Connects the replicated quarantine register. Call before start().
    void connectQuarantine(QuarantinePort port) { m_guard.connect(std::move(port)); }
    void start(EndpointSink sink, EndedHook ended);
    // Runs a request. Answers it during the call or later. `callerDeadline` is the timeout requested by the caller, from now.
    void run(ModelRequest request, const RequestId &id, std::optional<Duration> callerDeadline, std::shared_ptr<HttpResponder> responder);

    void handle(const ExchangeSending &event);
    void handle(const ExchangeHead &event);
    void handle(const ExchangeBody &event);
    void handle(const ExchangeEnded &event);
    void handle(const ExchangeFailed &event);
    void handle(const StateChanged &event);
    void handle(const ReportsChanged &event);
    void handle(const CacheEventsArrived &event);
    void handle(const LeavingEndpoints &event);
    void handle(const QuarantineChanged &event);

    void handle(const SettingsChanged &event) { m_settings = *event.settings; }

    std::size_t inProgress() const { return m_relays.size(); }
    const RegionState &state() const { return *m_state; }
    const ModelTotalsByModel &figures() const { return m_statistics.totals(); }

    // Answers, counts and logs a request that is refused before an attempt was created.
    void refuse(HttpResponder &responder, const Refusal &refusal, const RequestId &request);

private:
    friend class Relay;

    std::shared_ptr<Relay> findRelay(ExchangeId exchange) const;
    RetryBudget &retryBudget(const ServiceId &service);
    // Dispatches waiting requests for as long as endpoints have capacity for them.
    void dispatchWaiting();
    void expireWaiting();
    void remove(AttemptId attempt);

    Settings m_settings;
    TimerService &m_timers;
    Metrics &m_metrics;
    boost::asio::io_context &m_loop;
    EndpointSink m_endpointSink;
    EndedHook m_ended;
    std::shared_ptr<const RegionState> m_state;
    Routing m_routing;
    Admission m_admission;
    QuarantineGuard m_guard;
    ModelStatistics m_statistics;
    std::map<ServiceId, RetryBudget> m_budgets;
    std::map<AttemptId, std::shared_ptr<Relay>> m_relays;
    std::map<ExchangeId, std::shared_ptr<Relay>> m_exchanges;
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_lastExchange = 0;
};

} // namespace Hemlockhill
