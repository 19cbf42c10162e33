// Runs calls of plain services, that is, services without a model: chooses an endpoint, forwards the call and returns the answer. Calls
// that must run at most once go through the register of idempotency keys.
#pragma once

#include "once_proposer.h"

#include "hemlockhill/exchange_messages.h"
#include "hemlockhill/http_server.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/once_call.h"
#include "hemlockhill/service_call.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/timer_service.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Hemlockhill
{

// Callbacks into the owner of ServiceCalls.
struct ServiceCallHooks {
    // Passes a message to the endpoint thread. Returns false if its queue is full; the message is then discarded.
    std::function<bool(EndpointThreadMessage)> send;
    // Returns an unused exchange id.
    std::function<ExchangeId()> nextExchange;
    // Answers a request with a refusal, and counts and logs it.
    std::function<void(HttpResponder &, const Refusal &, const RequestId &)> refuse;
    // Called after each call that ended.
    std::function<void()> onEnded;
    // Proposes commands to the register of idempotency keys.
    OncePort proposeOnce;
};

// Not thread-safe; must be used on the given event loop.
class ServiceCalls
{
public:
    ServiceCalls(const Settings &settings, TimerService &timers, Metrics &metrics, boost::asio::io_context &loop, ServiceCallHooks hooks);
    ~ServiceCalls();
    ServiceCalls(const ServiceCalls &) = delete;
    ServiceCalls &operator=(const ServiceCalls &) = delete;

    void onState(std::shared_ptr<const RegionState> state) { m_state = std::move(state); }
    void onSettings(const Settings &settings) { m_settings = settings; }
    // Runs a request whose path starts with "/services/". Refuses it if `leaving` is set.
    void run(HttpRequest request, const std::shared_ptr<HttpResponder> &responder, const RequestId &id, bool leaving);
    // Returns false if the message does not belong to an exchange of these calls.
    bool handle(const CallerThreadMessage &message);
    // Number of calls whose caller has not been answered or whose outcome has not been recorded yet.
    std::size_t inProgress() const { return m_calls.size(); }

private:
    class Call;
    class RepeatableCall;
    class OnceOnlyCall;
    using CallPtr = std::shared_ptr<Call>;

    std::optional<Refusal> findRefusal(const HttpRequest &request, const std::optional<ServiceTarget> &target, bool leaving) const;
    std::optional<Endpoint> chooseEndpoint(const Service &service, const std::set<EndpointId> &tried);
    void end(const CallPtr &call);
    CallPtr findCall(ExchangeId exchange) const;

    Settings m_settings;
    TimerService &m_timers;
    Metrics &m_metrics;
    boost::asio::io_context &m_loop;
    ServiceCallHooks m_hooks;
    OnceProposer m_proposer;
    std::string m_claimPrefix;
    std::uint64_t m_lastClaim = 0;
    std::shared_ptr<const RegionState> m_state;
    std::set<CallPtr> m_calls;
    std::map<ExchangeId, CallPtr> m_exchanges;
    std::map<EndpointId, std::uint32_t> m_runningCalls;
    // Endpoints that failed recently are chosen last until the given time.
    std::map<EndpointId, TimePoint> m_avoidUntil;
};

} // namespace Hemlockhill
