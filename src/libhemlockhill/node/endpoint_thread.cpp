// Exchanges with endpoints, flow control, health probes and report polling.
#include "hemlockhill/endpoint_thread.h"

#include "hemlockhill/log.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t MailboxCapacity = 65'536;
// Reading from an endpoint pauses while this many body bytes of the exchange have not been written to the caller.
constexpr std::size_t UnreleasedLimitBytes = 65'536;
// Delay before a message is posted again after the caller thread's queue was full.
constexpr Duration RedeliveryDelay = std::chrono::milliseconds(5);
// Number of consecutive failed polls after which a runner is considered lost and its last report is discarded.
constexpr std::uint32_t ReportFailureLimit = 2;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;

} // namespace

EndpointThread::EndpointThread(const EndpointSettings &settings, TimerService &timers, Metrics &metrics, CallerSink sink)
    : m_settings(settings)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_callerSink(std::move(sink))
    , m_thread("endpoints")
    , m_pool(m_thread.context(), settings.idleConnections)
    , m_mailbox(m_thread.context(), MailboxCapacity, [this](EndpointThreadMessage &&message) { handle(std::move(message)); })
{
}

void EndpointThread::limitConnections(std::size_t limit)
{
    m_pool.setOpenLimit(limit);
}

EndpointThread::~EndpointThread()
{
    stop();
}

void EndpointThread::start()
{
    m_polling = m_timers.every(m_settings.reportPeriod, m_thread.context(), [this] { pollReports(); });
    m_thread.start();
}

void EndpointThread::stop()
{
    m_thread.stop();
}

void EndpointThread::handle(EndpointThreadMessage &&message)
{
    std::visit([this](auto &&typed) { handle(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void EndpointThread::handle(StartExchange &&message)
{
    const ExchangeId id = message.exchange;
    ExchangeLimits limits = healthOf(message.address).adaptedLimits();
    limits.sendBefore = message.limits.sendBefore;
    limits.body = message.limits.body;
    // Non-idempotent calls, which set sendBefore, use the sender's timeout unchanged: timing out early would leave their outcome
    // unknown.
    limits.firstByte = message.limits.sendBefore ? message.limits.firstByte : std::min(limits.firstByte, message.limits.firstByte);
    limits.reusedFirstByte = std::min(limits.reusedFirstByte, message.limits.firstByte);
    ExchangeHooks hooks;
    hooks.onSending = [this, id] { onSending(id); };
    hooks.onHead = [this, id](const ResponseHead &head) { onHead(id, head); };
    hooks.onBody = [this, id](std::string bytes) { deliverBody(id, std::move(bytes)); };
    hooks.onEnd = [this, id] { finish(id, ExchangeEnded{id}); };
    hooks.onFailed = [this, id](const ExchangeFailure &failure) { onFailed(id, failure); };
    RunningExchange &running = m_exchanges[id];
    running.address = message.address;
    running.exchange = startNamed(message.address, std::move(message.request), limits, message.connection, std::move(hooks));
}

std::shared_ptr<HttpExchange> EndpointThread::startNamed(
    const Address &address, HttpRequest request, const ExchangeLimits &limits, ConnectionChoice choice, ExchangeHooks hooks)
{
    const ExchangeName name = m_names.next();
    setExchangeName(request, name);
    hooks.match = [this, address, name](const ResponseHead &head) {
        onNameEcho(address, nameEchoOf(head, name));
        return matchResponse(head, name);
    };
    const bool mayReuse = m_namingEndpoints.contains(address);
    return m_pool.start(address, request, limits, mayReuse ? choice : ConnectionChoice::FreshOnly, std::move(hooks));
}

void EndpointThread::onNameEcho(const Address &address, NameEcho echo)
{
    switch (echo) {
    case NameEcho::Own:
        m_namingEndpoints.insert(address);
        break;
    case NameEcho::Absent:
        m_namingEndpoints.erase(address);
        break;
    case NameEcho::Other:
        break;
    }
}

void EndpointThread::onSending(ExchangeId id)
{
    const auto found = m_exchanges.find(id);
    if (found != m_exchanges.end()) {
        found->second.lastActivityAt = currentTime();
    }
    deliver(ExchangeSending{id});
}

void EndpointThread::onHead(ExchangeId id, const ResponseHead &head)
{
    const auto found = m_exchanges.find(id);
    if (found != m_exchanges.end()) {
        const TimePoint now = currentTime();
        healthOf(found->second.address).onFirstByte(now - found->second.lastActivityAt);
        found->second.lastActivityAt = now;
    }
    deliver(ExchangeHead{id, head});
}

// A failed exchange may be due to a dead connection or a dead endpoint. A probe on a new connection distinguishes the two.
void EndpointThread::onFailed(ExchangeId id, const ExchangeFailure &failure)
{
    const auto found = m_exchanges.find(id);
    if (found != m_exchanges.end()) {
        const Address address = found->second.address;
        if (healthOf(address).onExchangeFailed(failure) == HealthVerdict::ProbeFresh) {
            probe(address);
        }
    }
    finish(id, ExchangeFailed{id, failure});
}

ConnectionHealth &EndpointThread::healthOf(const Address &address)
{
    const auto found = m_health.find(address);
    if (found != m_health.end()) {
        return found->second;
    }
    ExchangeLimits limits;
    limits.connect = m_settings.connectTimeout;
    limits.firstByte = m_settings.firstByteTimeout;
    limits.reusedFirstByte = m_settings.firstByteTimeout;
    limits.betweenBytes = m_settings.betweenBytesTimeout;
    return m_health.emplace(address, ConnectionHealth(limits)).first->second;
}

void EndpointThread::probe(const Address &address)
{
    m_pool.dropIdle(address);
    m_metrics.countEvent("connection_probe");
    for (auto &[id, runner] : m_polledRunners) {
        if (runner.address == address) {
            pollReport(id, runner, ConnectionChoice::FreshOnly);
            return;
        }
    }
    healthOf(address).onProbeAnswered();
}

void EndpointThread::handle(const CancelExchange &message)
{
    const auto found = m_exchanges.find(message.exchange);
    if (found == m_exchanges.end()) {
        return;
    }
    found->second.exchange->cancel();
    m_exchanges.erase(found);
}

void EndpointThread::handle(const DiscardExchange &message)
{
    const auto found = m_exchanges.find(message.exchange);
    if (found == m_exchanges.end()) {
        return;
    }
    found->second.exchange->discard();
    m_exchanges.erase(found);
}

void EndpointThread::handle(const ReleaseBytes &message)
{
    const auto found = m_exchanges.find(message.exchange);
    if (found == m_exchanges.end()) {
        return;
    }
    RunningExchange &running = found->second;
    running.unreleasedBytes -= std::min(running.unreleasedBytes, message.bytes);
    if (running.unreleasedBytes < UnreleasedLimitBytes) {
        running.exchange->resume();
    }
}

void EndpointThread::handle(const SettingsChanged &message)
{
    m_settings = message.settings->endpoints;
    m_pool.setIdleLimit(m_settings.idleConnections);
    m_timers.cancel(m_polling);
    m_polling = m_timers.every(m_settings.reportPeriod, m_thread.context(), [this] { pollReports(); });
}

void EndpointThread::handle(const StateChanged &message)
{
    std::map<EndpointId, PolledRunner> runners;
    for (const auto &[id, endpoint] : message.state->endpoints) {
        if (endpoint.kind != EndpointKind::Runner) {
            continue;
        }
        const auto known = m_polledRunners.find(id);
        const bool unchanged = known != m_polledRunners.end() && known->second.address == endpoint.address;
        if (unchanged) {
            runners[id] = std::move(known->second);
        } else {
            runners[id].address = endpoint.address;
            m_reports.erase(id);
        }
    }
    m_polledRunners = std::move(runners);
    std::erase_if(m_health, [this](const auto &entry) {
        return std::none_of(m_polledRunners.begin(), m_polledRunners.end(), [&](const auto &runnerEntry) {
            return runnerEntry.second.address == entry.first;
        });
    });
    std::erase_if(m_reports, [this](const auto &entry) { return !m_polledRunners.contains(entry.first); });
    std::erase_if(m_namingEndpoints, [&message](const Address &address) {
        return std::none_of(message.state->endpoints.begin(), message.state->endpoints.end(), [&](const auto &entry) {
            return entry.second.address == address;
        });
    });
    pollReports();
}

void EndpointThread::deliverBody(ExchangeId id, std::string bytes)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    RunningExchange &running = found->second;
    const TimePoint now = currentTime();
    if (running.bodyStarted && running.unreleasedBytes < UnreleasedLimitBytes) {
        healthOf(running.address).onNextByte(now - running.lastActivityAt);
    }
    running.bodyStarted = true;
    running.lastActivityAt = now;
    running.unreleasedBytes += bytes.size();
    if (running.unreleasedBytes >= UnreleasedLimitBytes) {
        running.exchange->pause();
    }
    if (m_callerSink(ExchangeBody{id, std::move(bytes)})) {
        return;
    }
    // These bytes are lost, so the answer can no longer be completed.
    m_metrics.countEvent("answer_ring_full");
    running.exchange->cancel();
    finish(id, ExchangeFailed{id, ExchangeFailure{Reason::IncompleteAnswer, true, false}});
}

void EndpointThread::finish(ExchangeId id, CallerThreadMessage message)
{
    m_exchanges.erase(id);
    deliver(std::move(message));
}

void EndpointThread::deliver(CallerThreadMessage message)
{
    if (m_callerSink(message)) {
        return;
    }
    m_metrics.countEvent("caller_ring_full");
    m_timers.after(RedeliveryDelay, m_thread.context(), [this, message = std::move(message)]() mutable { deliver(std::move(message)); });
}

void EndpointThread::pollReports()
{
    for (auto &[id, runner] : m_polledRunners) {
        if (!runner.polling) {
            pollReport(id, runner, ConnectionChoice::PreferIdle);
        }
    }
}

// Cancels a poll in progress, which may hang on a dead connection when a probe is due.
void EndpointThread::pollReport(const EndpointId &id, PolledRunner &runner, ConnectionChoice choice)
{
    if (runner.exchange) {
        runner.exchange->cancel();
    }
    runner.polling = true;
    runner.probe = choice == ConnectionChoice::FreshOnly;
    runner.body.clear();
    runner.requestedAt = currentTime();
    const std::uint64_t poll = ++m_lastPoll;
    runner.poll = poll;
    ExchangeLimits limits;
    limits.connect = m_settings.connectTimeout;
    limits.firstByte = m_settings.betweenBytesTimeout;
    limits.reusedFirstByte = m_settings.betweenBytesTimeout;
    limits.betweenBytes = m_settings.betweenBytesTimeout;
    const auto status = std::make_shared<unsigned>(0);
    ExchangeHooks hooks;
    hooks.onHead = [status](const ResponseHead &head) { *status = head.status; };
    hooks.onBody = [this, id, poll](const std::string &bytes) {
        if (PolledRunner *polled = findPoll(id, poll)) {
            polled->body += bytes;
        }
    };
    hooks.onEnd = [this, id, poll, status] {
        if (PolledRunner *polled = findPoll(id, poll)) {
            onReport(id, *polled, *status);
        }
    };
    hooks.onFailed = [this, id, poll](const ExchangeFailure &) {
        if (PolledRunner *polled = findPoll(id, poll)) {
            onReportFailed(id, *polled);
        }
    };
    runner.exchange = startNamed(runner.address, reportRequest(), limits, choice, std::move(hooks));
}

EndpointThread::PolledRunner *EndpointThread::findPoll(const EndpointId &id, std::uint64_t poll)
{
    const auto found = m_polledRunners.find(id);
    return found != m_polledRunners.end() && found->second.poll == poll ? &found->second : nullptr;
}

void EndpointThread::onReport(const EndpointId &id, PolledRunner &runner, unsigned status)
{
    if (status != StatusOk) {
        onReportFailed(id, runner);
        return;
    }
    runner.polling = false;
    runner.exchange.reset();
    if (runner.probe) {
        healthOf(runner.address).onProbeAnswered();
    }
    try {
        EndpointReport report = parseReport(runner.body);
        report.requestedAt = runner.requestedAt;
        const auto known = m_reports.find(id);
        if (known != m_reports.end() && known->second.incarnation != report.incarnation) {
            runner.lastCacheEvent = 0;
        }
        m_reports[id] = std::move(report);
        runner.failures = 0;
    } catch (const DecodeError &error) {
        m_metrics.countEvent("malformed_report");
        logEvent(Severity::Warning, "malformed endpoint report", {{"endpoint", id.value}, {"problem", error.what()}});
    }
    publishReports();
    readCacheEvents(id, runner);
}

void EndpointThread::onReportFailed(const EndpointId &id, PolledRunner &runner)
{
    runner.polling = false;
    runner.exchange.reset();
    m_pool.dropIdle(runner.address);
    m_metrics.countEvent("report_failed");
    ++runner.failures;
    const bool down = runner.probe && healthOf(runner.address).onProbeFailed() == HealthVerdict::EndpointDown;
    if ((down || runner.failures >= ReportFailureLimit) && m_reports.erase(id) > 0) {
        logEvent(Severity::Warning, "endpoint considered lost", {{"endpoint", id.value}});
        publishReports();
    }
}

void EndpointThread::readCacheEvents(const EndpointId &id, PolledRunner &runner)
{
    if (runner.readingCacheEvents || !runner.publishesCacheEvents) {
        return;
    }
    runner.readingCacheEvents = true;
    ExchangeLimits limits;
    limits.connect = m_settings.connectTimeout;
    limits.firstByte = m_settings.betweenBytesTimeout;
    limits.reusedFirstByte = m_settings.betweenBytesTimeout;
    limits.betweenBytes = m_settings.betweenBytesTimeout;
    const auto status = std::make_shared<unsigned>(0);
    const auto body = std::make_shared<std::string>();
    ExchangeHooks hooks;
    hooks.onHead = [status](const ResponseHead &head) { *status = head.status; };
    hooks.onBody = [body](const std::string &bytes) { *body += bytes; };
    hooks.onEnd = [this, id, status, body] { onCacheEvents(id, *status, *body); };
    hooks.onFailed = [this, id](const ExchangeFailure &) { onCacheEvents(id, 0, {}); };
    startNamed(runner.address, cacheEventsRequest(runner.lastCacheEvent), limits, ConnectionChoice::PreferIdle, std::move(hooks));
}

void EndpointThread::onCacheEvents(const EndpointId &id, unsigned status, const std::string &body)
{
    const auto found = m_polledRunners.find(id);
    if (found == m_polledRunners.end()) {
        return;
    }
    PolledRunner &runner = found->second;
    runner.readingCacheEvents = false;
    runner.publishesCacheEvents = status != StatusNotFound;
    if (status != StatusOk) {
        return;
    }
    try {
        std::vector<CacheEvent> events = parseCacheEvents(body);
        if (events.empty()) {
            return;
        }
        runner.lastCacheEvent = events.back().sequence;
        deliver(CacheEventsArrived{id, std::move(events)});
    } catch (const DecodeError &error) {
        m_metrics.countEvent("malformed_cache_events");
        logEvent(Severity::Warning, "malformed cache events", {{"endpoint", id.value}, {"problem", error.what()}});
    }
}

void EndpointThread::publishReports()
{
    deliver(ReportsChanged{std::make_shared<const EndpointReports>(m_reports)});
}

} // namespace Hemlockhill
