// Exchanges with endpoints, flow control, health probes and report polling.
#include "hemlockhill/endpoint_duty.h"

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

EndpointDuty::EndpointDuty(const EndpointSettings &settings, TimerService &timers, Metrics &metrics, Outlet outlet)
    : m_settings(settings)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_outlet(std::move(outlet))
    , m_duty("endpoints")
    , m_pool(m_duty.context(), settings.idleConnections)
    , m_mailbox(m_duty.context(), MailboxCapacity, [this](EndpointDutyMessage &&message) { handle(std::move(message)); })
{
}

EndpointDuty::~EndpointDuty()
{
    stop();
}

void EndpointDuty::start()
{
    m_polling = m_timers.every(m_settings.reportPeriod, m_duty.context(), [this] { pollReports(); });
    m_duty.start();
}

void EndpointDuty::stop()
{
    m_duty.stop();
}

void EndpointDuty::handle(EndpointDutyMessage &&message)
{
    std::visit([this](auto &&typed) { handle(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void EndpointDuty::handle(StartExchange &&message)
{
    const ExchangeId id = message.exchange;
    ExchangeTimeouts timeouts = healthOf(message.address).timeouts();
    timeouts.sendBefore = message.timeouts.sendBefore;
    // Non-idempotent calls, which set sendBefore, use the sender's timeout unchanged: timing out early would leave their outcome
    // unknown.
    timeouts.firstByte =
        message.timeouts.sendBefore ? message.timeouts.firstByte : std::min(timeouts.firstByte, message.timeouts.firstByte);
    timeouts.reusedFirstByte = std::min(timeouts.reusedFirstByte, message.timeouts.firstByte);
    ExchangeHooks hooks;
    hooks.onSending = [this, id] { onSending(id); };
    hooks.onHead = [this, id](unsigned status, const std::vector<HttpHeader> &headers) { onHead(id, status, headers); };
    hooks.onBody = [this, id](std::string bytes) { deliverBody(id, std::move(bytes)); };
    hooks.onEnd = [this, id] { finish(id, ExchangeEnded{id}); };
    hooks.onFailed = [this, id](const ExchangeFailure &failure) { onFailed(id, failure); };
    Running &running = m_running[id];
    running.address = message.address;
    running.exchange = m_pool.start(message.address, message.request, timeouts, message.connection, std::move(hooks));
}

void EndpointDuty::onSending(ExchangeId id)
{
    const auto found = m_running.find(id);
    if (found != m_running.end()) {
        found->second.quietSince = currentTime();
    }
    deliver(ExchangeSending{id});
}

void EndpointDuty::onHead(ExchangeId id, unsigned status, const std::vector<HttpHeader> &headers)
{
    const auto found = m_running.find(id);
    if (found != m_running.end()) {
        const TimePoint now = currentTime();
        healthOf(found->second.address).onFirstByte(now - found->second.quietSince);
        found->second.quietSince = now;
    }
    deliver(ExchangeHead{id, status, headers});
}

// A failed exchange may be due to a dead connection or a dead endpoint. A probe on a new connection distinguishes the two.
void EndpointDuty::onFailed(ExchangeId id, const ExchangeFailure &failure)
{
    const auto found = m_running.find(id);
    if (found != m_running.end()) {
        const Address address = found->second.address;
        if (healthOf(address).onExchangeFailed(failure) == HealthVerdict::ProbeFresh) {
            probe(address);
        }
    }
    finish(id, ExchangeFailed{id, failure});
}

ConnectionHealth &EndpointDuty::healthOf(const Address &address)
{
    const auto found = m_health.find(address);
    if (found != m_health.end()) {
        return found->second;
    }
    ExchangeTimeouts limits;
    limits.connect = m_settings.connectTimeout;
    limits.firstByte = m_settings.firstByteTimeout;
    limits.reusedFirstByte = m_settings.firstByteTimeout;
    limits.betweenBytes = m_settings.betweenBytesTimeout;
    return m_health.emplace(address, ConnectionHealth(limits)).first->second;
}

void EndpointDuty::probe(const Address &address)
{
    m_pool.dropIdle(address);
    m_metrics.countEvent("connection_probe");
    for (auto &[id, watched] : m_watched) {
        if (watched.address == address) {
            pollReport(id, watched, ConnectionChoice::FreshOnly);
            return;
        }
    }
    healthOf(address).onProbeAnswered();
}

void EndpointDuty::handle(const CancelExchange &message)
{
    const auto found = m_running.find(message.exchange);
    if (found == m_running.end()) {
        return;
    }
    found->second.exchange->cancel();
    m_running.erase(found);
}

void EndpointDuty::handle(const ReleaseBytes &message)
{
    const auto found = m_running.find(message.exchange);
    if (found == m_running.end()) {
        return;
    }
    Running &running = found->second;
    running.unreleased -= std::min(running.unreleased, message.bytes);
    if (running.unreleased < UnreleasedLimitBytes) {
        running.exchange->resume();
    }
}

void EndpointDuty::handle(const SettingsChanged &message)
{
    m_settings = message.settings->endpoints;
    m_pool.setIdleLimit(m_settings.idleConnections);
    m_timers.cancel(m_polling);
    m_polling = m_timers.every(m_settings.reportPeriod, m_duty.context(), [this] { pollReports(); });
}

void EndpointDuty::handle(const StateChanged &message)
{
    std::map<EndpointId, Watched> watched;
    for (const auto &[id, endpoint] : message.state->endpoints) {
        if (endpoint.kind != EndpointKind::Runner) {
            continue;
        }
        const auto known = m_watched.find(id);
        const bool unchanged = known != m_watched.end() && known->second.address == endpoint.address;
        if (unchanged) {
            watched[id] = std::move(known->second);
        } else {
            watched[id].address = endpoint.address;
            m_reports.erase(id);
        }
    }
    m_watched = std::move(watched);
    std::erase_if(m_health, [this](const auto &entry) {
        return std::none_of(
            m_watched.begin(), m_watched.end(), [&](const auto &watchedEntry) { return watchedEntry.second.address == entry.first; });
    });
    std::erase_if(m_reports, [this](const auto &entry) { return !m_watched.contains(entry.first); });
    pollReports();
}

void EndpointDuty::deliverBody(ExchangeId id, std::string bytes)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    Running &running = found->second;
    const TimePoint now = currentTime();
    if (running.headSeen && running.unreleased < UnreleasedLimitBytes) {
        healthOf(running.address).onNextByte(now - running.quietSince);
    }
    running.headSeen = true;
    running.quietSince = now;
    running.unreleased += bytes.size();
    if (running.unreleased >= UnreleasedLimitBytes) {
        running.exchange->pause();
    }
    if (m_outlet(ExchangeBody{id, std::move(bytes)})) {
        return;
    }
    // These bytes are lost, so the answer can no longer be completed.
    m_metrics.countEvent("answer_ring_full");
    running.exchange->cancel();
    finish(id, ExchangeFailed{id, ExchangeFailure{Reason::IncompleteAnswer, true, false}});
}

void EndpointDuty::finish(ExchangeId id, CallerDutyMessage message)
{
    m_running.erase(id);
    deliver(std::move(message));
}

void EndpointDuty::deliver(CallerDutyMessage message)
{
    if (m_outlet(message)) {
        return;
    }
    m_metrics.countEvent("caller_ring_full");
    m_timers.after(RedeliveryDelay, m_duty.context(), [this, message = std::move(message)]() mutable { deliver(std::move(message)); });
}

void EndpointDuty::pollReports()
{
    for (auto &[id, watched] : m_watched) {
        if (!watched.polling) {
            pollReport(id, watched, ConnectionChoice::PreferIdle);
        }
    }
}

// Cancels a poll in progress, which may hang on a dead connection when a probe is due.
void EndpointDuty::pollReport(const EndpointId &id, Watched &watched, ConnectionChoice choice)
{
    if (watched.exchange) {
        watched.exchange->cancel();
    }
    watched.polling = true;
    watched.probe = choice == ConnectionChoice::FreshOnly;
    watched.body.clear();
    watched.askedAt = currentTime();
    const std::uint64_t poll = ++m_lastPoll;
    watched.poll = poll;
    ExchangeTimeouts timeouts;
    timeouts.connect = m_settings.connectTimeout;
    timeouts.firstByte = m_settings.betweenBytesTimeout;
    timeouts.reusedFirstByte = m_settings.betweenBytesTimeout;
    timeouts.betweenBytes = m_settings.betweenBytesTimeout;
    const auto status = std::make_shared<unsigned>(0);
    ExchangeHooks hooks;
    hooks.onHead = [status](unsigned code, const std::vector<HttpHeader> &) { *status = code; };
    hooks.onBody = [this, id, poll](const std::string &bytes) {
        if (Watched *polled = pollOf(id, poll)) {
            polled->body += bytes;
        }
    };
    hooks.onEnd = [this, id, poll, status] {
        if (Watched *polled = pollOf(id, poll)) {
            onReport(id, *polled, *status);
        }
    };
    hooks.onFailed = [this, id, poll](const ExchangeFailure &) {
        if (Watched *polled = pollOf(id, poll)) {
            onReportFailed(id, *polled);
        }
    };
    watched.exchange = m_pool.start(watched.address, reportRequest(), timeouts, choice, std::move(hooks));
}

EndpointDuty::Watched *EndpointDuty::pollOf(const EndpointId &id, std::uint64_t poll)
{
    const auto found = m_watched.find(id);
    return found != m_watched.end() && found->second.poll == poll ? &found->second : nullptr;
}

void EndpointDuty::onReport(const EndpointId &id, Watched &watched, unsigned status)
{
    if (status != StatusOk) {
        onReportFailed(id, watched);
        return;
    }
    watched.polling = false;
    watched.exchange.reset();
    if (watched.probe) {
        healthOf(watched.address).onProbeAnswered();
    }
    try {
        EndpointReport report = parseReport(watched.body);
        report.askedAt = watched.askedAt;
        const auto known = m_reports.find(id);
        if (known != m_reports.end() && known->second.incarnation != report.incarnation) {
            watched.lastCacheEvent = 0;
        }
        m_reports[id] = std::move(report);
        watched.failures = 0;
    } catch (const DecodeError &error) {
        m_metrics.countEvent("malformed_report");
        logEvent(Severity::Warning, "malformed endpoint report", {{"endpoint", id.value}, {"problem", error.what()}});
    }
    publishReports();
    readCacheEvents(id, watched);
}

void EndpointDuty::onReportFailed(const EndpointId &id, Watched &watched)
{
    watched.polling = false;
    watched.exchange.reset();
    m_pool.dropIdle(watched.address);
    m_metrics.countEvent("report_failed");
    ++watched.failures;
    const bool down = watched.probe && healthOf(watched.address).onProbeFailed() == HealthVerdict::EndpointDown;
    if ((down || watched.failures >= ReportFailureLimit) && m_reports.erase(id) > 0) {
        logEvent(Severity::Warning, "endpoint reports failed; endpoint considered lost", {{"endpoint", id.value}});
        publishReports();
    }
}

void EndpointDuty::readCacheEvents(const EndpointId &id, Watched &watched)
{
    if (watched.readingCacheEvents || !watched.publishesCacheEvents) {
        return;
    }
    watched.readingCacheEvents = true;
    ExchangeTimeouts timeouts;
    timeouts.connect = m_settings.connectTimeout;
    timeouts.firstByte = m_settings.betweenBytesTimeout;
    timeouts.reusedFirstByte = m_settings.betweenBytesTimeout;
    timeouts.betweenBytes = m_settings.betweenBytesTimeout;
    const auto status = std::make_shared<unsigned>(0);
    const auto body = std::make_shared<std::string>();
    ExchangeHooks hooks;
    hooks.onHead = [status](unsigned code, const std::vector<HttpHeader> &) { *status = code; };
    hooks.onBody = [body](const std::string &bytes) { *body += bytes; };
    hooks.onEnd = [this, id, status, body] { onCacheEvents(id, *status, *body); };
    hooks.onFailed = [this, id](const ExchangeFailure &) { onCacheEvents(id, 0, {}); };
    m_pool.start(watched.address, cacheEventsRequest(watched.lastCacheEvent), timeouts, ConnectionChoice::PreferIdle, std::move(hooks));
}

void EndpointDuty::onCacheEvents(const EndpointId &id, unsigned status, const std::string &body)
{
    const auto found = m_watched.find(id);
    if (found == m_watched.end()) {
        return;
    }
    Watched &watched = found->second;
    watched.readingCacheEvents = false;
    watched.publishesCacheEvents = status != StatusNotFound;
    if (status != StatusOk) {
        return;
    }
    try {
        std::vector<CacheEvent> events = parseCacheEvents(body);
        if (events.empty()) {
            return;
        }
        watched.lastCacheEvent = events.back().sequence;
        deliver(CacheEventsArrived{id, std::move(events)});
    } catch (const DecodeError &error) {
        m_metrics.countEvent("malformed_cache_events");
        logEvent(Severity::Warning, "malformed cache events", {{"endpoint", id.value}, {"problem", error.what()}});
    }
}

void EndpointDuty::publishReports()
{
    deliver(ReportsChanged{std::make_shared<const EndpointReports>(m_reports)});
}

} // namespace Hemlockhill
