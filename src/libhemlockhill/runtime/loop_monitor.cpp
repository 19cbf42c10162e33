// Probes of an event loop.
#include "hemlockhill/loop_monitor.h"

#include "hemlockhill/log.h"

#include <boost/asio/post.hpp>

namespace Hemlockhill
{

namespace
{

constexpr Duration ProbePeriod = std::chrono::milliseconds(200);
// Delays from this length on are logged.
constexpr Duration LoggedDelay = std::chrono::milliseconds(100);
constexpr Duration LogPeriod = std::chrono::seconds(1);

} // namespace

LoopMonitor::LoopMonitor(boost::asio::io_context &loop, TimerService &timers, Metrics &metrics)
    : m_loop(loop)
    , m_timers(timers)
    , m_metrics(metrics)
{
}

void LoopMonitor::start()
{
    m_timers.every(ProbePeriod, m_loop, [this] { probe(); });
}

void LoopMonitor::probe()
{
    boost::asio::post(m_loop, [this, postedAt = currentTime()] { onProbe(postedAt); });
}

void LoopMonitor::onProbe(TimePoint postedAt)
{
    const TimePoint now = currentTime();
    m_delay = std::chrono::duration_cast<Duration>(now - postedAt);
    const auto delayMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_delay).count();
    m_metrics.setGauge("loop_delay_ms", static_cast<double>(delayMs));
    if (m_delay >= LoggedDelay && now - m_loggedAt >= LogPeriod) {
        m_loggedAt = now;
        logEvent(Severity::Info, "event loop delayed", {{"delay_ms", delayMs}});
    }
}

} // namespace Hemlockhill
