// Accepts requests from callers over HTTP, forwards them to endpoints and returns the answers.
#pragma once

#include "hemlockhill/event_loop_thread.h"
#include "hemlockhill/exchange_messages.h"
#include "hemlockhill/http_server.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/model_statistics.h"
#include "hemlockhill/once_register.h"
#include "hemlockhill/quarantine.h"
#include "hemlockhill/serving_gate.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/timer_service.h"

#include <functional>
#include <memory>
#include <string>

namespace Hemlockhill
{

class ArrivalClock;
class BufferBudget;
class ModelRequests;
class ServiceCalls;

// Runs the callers' HTTP server and all requests in progress on one thread with an event loop.
// Unless stated otherwise, members must be called before start() or on that thread.
class CallerThread
{
public:
    // Passes a message to the endpoint thread. Returns false if its queue is full; the message is then discarded.
    using EndpointSink = std::function<bool(EndpointThreadMessage)>;
    // Called on the caller thread once shutdown was requested and the last request in progress has been answered.
    using DrainedHook = std::function<void()>;

    // Called on the caller thread, once a second, with the statistics of every model that has received requests.
    using StatisticsListener = std::function<void(const ModelTotalsByModel &)>;

    CallerThread(const Settings &settings, TimerService &timers, Metrics &metrics, ServingGate &gate);
    ~CallerThread();
    CallerThread(const CallerThread &) = delete;
    CallerThread &operator=(const CallerThread &) = delete;

    // Call before start().
    void setStatisticsListener(StatisticsListener listener) { m_statisticsListener = std::move(listener); }
    // Connects the replicated register of idempotency keys. Call before start().
    // Replies must be delivered on the caller thread.
    void connectOnce(OncePort port) { m_oncePort = std::move(port); }
    // Connects the replicated quarantine register. Call before start(). Without it, only crashes observed by this node are considered.
    // Replies must be delivered on the caller thread.
    void connectQuarantine(QuarantinePort port) { m_quarantinePort = std::move(port); }
    boost::asio::io_context &context() { return m_thread.context(); }
    // Starts the thread and listens for callers. Throws EnvironmentError if the address cannot be bound.
    void start(EndpointSink sink, DrainedHook onDrained);
    // Stops the thread without waiting for requests in progress.
    void stop();
    // Thread-safe. Returns false if the queue is full; the message is then discarded.
    bool post(CallerThreadMessage message) { return m_mailbox.post(std::move(message)); }

private:
    HttpServerLimits serverLimits() const;
    void handle(CallerThreadMessage &&message);
    void onRequest(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void answerReadiness(HttpResponder &responder) const;
    void answerModels(HttpResponder &responder) const;
    void runModel(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void runService(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void startServices(const EndpointSink &sink);
    void applySettings(const SettingsChanged &event);
    void leave();
    void finishDraining();
    RequestId nextRequest();

    Settings m_settings;
    TimerService &m_timers;
    Metrics &m_metrics;
    ServingGate &m_gate;
    EventLoopThread m_thread;
    std::string m_requestPrefix;
    std::shared_ptr<ArrivalClock> m_arrivalClock;
    // What callers hold of requests, and of answers that are collected or have not been read.
    std::shared_ptr<BufferBudget> m_requestBudget;
    std::shared_ptr<BufferBudget> m_answerBudget;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<ModelRequests> m_models;
    OncePort m_oncePort;
    QuarantinePort m_quarantinePort;
    std::unique_ptr<ServiceCalls> m_services;
    std::uint64_t m_lastServiceExchange = 0;
    DrainedHook m_onDrained;
    StatisticsListener m_statisticsListener;
    std::uint64_t m_lastRequest = 0;
    bool m_leaving = false;
    bool m_refusesRequests = false;
    Mailbox<CallerThreadMessage> m_mailbox;
};

} // namespace Hemlockhill
