// Sends requests to endpoints, streams their answers back, and polls the reports of runners.
#pragma once

#include "hemlockhill/connection_health.h"
#include "hemlockhill/event_loop_thread.h"
#include "hemlockhill/exchange_messages.h"
#include "hemlockhill/exchange_name.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/timer_service.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Hemlockhill
{

// Owns all connections to endpoints and runs their exchanges on one thread with an event loop, the endpoint thread.
class EndpointThread
{
public:
    // Passes a message to the caller thread. Returns false if its queue is full; the message is then discarded.
    using CallerSink = std::function<bool(CallerThreadMessage)>;

    EndpointThread(const EndpointSettings &settings, TimerService &timers, Metrics &metrics, CallerSink sink);
    ~EndpointThread();
    EndpointThread(const EndpointThread &) = delete;
    EndpointThread &operator=(const EndpointThread &) = delete;

    // Limits the connections to all endpoints together; see ConnectionPool::setOpenLimit(). Call before start().
    void limitConnections(std::size_t limit);

    void start();
    void stop();
    // Thread-safe. Returns false if the queue is full; nothing has been sent to an endpoint then.
    bool post(EndpointThreadMessage message) { return m_mailbox.post(std::move(message)); }

private:
    // An exchange in progress.
    struct RunningExchange {
        std::shared_ptr<HttpExchange> exchange;
        Address address;
        // Body bytes passed to the caller thread that it has not released yet.
        std::size_t unreleasedBytes = 0;
        // When the request was sent or the last bytes were received.
        TimePoint lastActivityAt;
        bool bodyStarted = false;
    };

    // A runner whose reports and cache events are polled.
    struct PolledRunner {
        Address address;
        bool polling = false;
        std::string body;
        std::uint32_t failures = 0;
        // Whether the poll in progress is a health probe on a new connection.
        bool probe = false;
        // Sequence number of the current poll. Answers to earlier polls are ignored.
        std::uint64_t poll = 0;
        TimePoint requestedAt;
        std::shared_ptr<HttpExchange> exchange;
        bool readingCacheEvents = false;
        // False after the engine has answered 404 to a request for cache events.
        bool publishesCacheEvents = true;
        std::uint64_t lastCacheEvent = 0;
    };

    void handle(EndpointThreadMessage &&message);
    void handle(StartExchange &&message);
    void handle(const CancelExchange &message);
    void handle(const DiscardExchange &message);
    void handle(const ReleaseBytes &message);
    void handle(const StateChanged &message);
    void handle(const SettingsChanged &message);

    // Starts an exchange under a name of its own, whose hooks are called for no stray. Reuses a connection only if the endpoint echoes
    // names, since no response on it can be told from a stray otherwise.
    std::shared_ptr<HttpExchange>
    startNamed(const Address &address, HttpRequest request, const ExchangeLimits &limits, ConnectionChoice choice, ExchangeHooks hooks);
    void onNameEcho(const Address &address, NameEcho echo);

    void onSending(ExchangeId id);
    void onHead(ExchangeId id, const ResponseHead &head);
    void onFailed(ExchangeId id, const ExchangeFailure &failure);
    ConnectionHealth &healthOf(const Address &address);
    void probe(const Address &address);
    void deliverBody(ExchangeId id, std::string bytes);
    void finish(ExchangeId id, CallerThreadMessage message);
    void deliver(CallerThreadMessage message);

    void pollReports();
    void pollReport(const EndpointId &id, PolledRunner &runner, ConnectionChoice choice);
    PolledRunner *findPoll(const EndpointId &id, std::uint64_t poll);
    void onReport(const EndpointId &id, PolledRunner &runner, unsigned status);
    void onReportFailed(const EndpointId &id, PolledRunner &runner);
    void readCacheEvents(const EndpointId &id, PolledRunner &runner);
    void onCacheEvents(const EndpointId &id, unsigned status, const std::string &body);
    void publishReports();

    EndpointSettings m_settings;
    TimerService &m_timers;
    SubscriptionId m_polling;
    Metrics &m_metrics;
    CallerSink m_callerSink;
    EventLoopThread m_thread;
    ConnectionPool m_pool;
    std::map<ExchangeId, RunningExchange> m_exchanges;
    std::map<EndpointId, PolledRunner> m_polledRunners;
    std::map<Address, ConnectionHealth> m_health;
    ExchangeNames m_names;
    // Endpoints whose latest response echoed a name.
    std::set<Address> m_namingEndpoints;
    std::uint64_t m_lastPoll = 0;
    EndpointReports m_reports;
    Mailbox<EndpointThreadMessage> m_mailbox;
};

} // namespace Hemlockhill
