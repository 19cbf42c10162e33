// Measures how long handlers wait for their turn on an event loop.
#pragma once

#include "hemlockhill/metrics.h"
#include "hemlockhill/timer_service.h"
#include "hemlockhill/world.h"

#include <boost/asio/io_context.hpp>

namespace Hemlockhill
{

// Posts a handler to the loop at regular intervals and measures the time until it runs. Sets the gauge "loop_delay_ms" and logs delays
// above a threshold. Must outlive the run of the loop.
class LoopMonitor
{
public:
    LoopMonitor(boost::asio::io_context &loop, TimerService &timers, Metrics &metrics);

    void start();
    // The last measured delay.
    Duration delay() const { return m_delay; }

private:
    void probe();
    void onProbe(TimePoint postedAt);

    boost::asio::io_context &m_loop;
    TimerService &m_timers;
    Metrics &m_metrics;
    Duration m_delay{0};
    TimePoint m_loggedAt;
};

} // namespace Hemlockhill
