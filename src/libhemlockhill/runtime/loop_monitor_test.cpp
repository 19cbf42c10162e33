// Tests the measurement of the delay of an event loop.
#include "hemlockhill/loop_monitor.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace Hemlockhill;

BOOST_AUTO_TEST_CASE(delay_covers_the_handlers_ahead_in_the_queue)
{
    constexpr Duration Busy = std::chrono::milliseconds(30);
    boost::asio::io_context loop(1);
    const auto work = boost::asio::make_work_guard(loop);
    TimerService timers;
    Metrics metrics;
    LoopMonitor monitor(loop, timers, metrics);
    monitor.start();
    // Each handler occupies the loop and posts the next one, so that every probe waits behind one of them.
    std::function<void()> occupy = [&] {
        std::this_thread::sleep_for(Busy);
        boost::asio::post(loop, occupy);
    };
    boost::asio::post(loop, occupy);
    while (monitor.delay() == Duration(0)) {
        loop.run_one();
    }
    timers.stop();
    BOOST_CHECK(monitor.delay() >= Busy);
    BOOST_CHECK(metrics.exposition().find("loop_delay_ms") != std::string::npos);
}
