// Tests periodic timers on a loop that is busy.
#include "hemlockhill/timer_service.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

// Guards against periodic work that accumulates on a busy loop and delays everything behind it.
BOOST_AUTO_TEST_CASE(periodic_calls_do_not_accumulate_on_a_busy_loop)
{
    constexpr int Periods = 20;
    boost::asio::io_context busy(1);
    boost::asio::io_context idle(1);
    const auto work = boost::asio::make_work_guard(idle);
    TimerService timers;
    int busyCalls = 0;
    int idleCalls = 0;
    timers.every(std::chrono::milliseconds(1), busy, [&] { ++busyCalls; });
    timers.every(std::chrono::milliseconds(1), idle, [&] { ++idleCalls; });
    while (idleCalls < Periods) {
        idle.run_one();
    }
    timers.stop();
    busy.poll();
    BOOST_CHECK_EQUAL(busyCalls, 1);
}

BOOST_AUTO_TEST_CASE(periodic_calls_continue_once_the_loop_is_free)
{
    boost::asio::io_context loop(1);
    const auto work = boost::asio::make_work_guard(loop);
    TimerService timers;
    int calls = 0;
    timers.every(std::chrono::milliseconds(1), loop, [&] { ++calls; });
    while (calls < 3) {
        loop.run_one();
    }
    timers.stop();
    BOOST_CHECK_EQUAL(calls, 3);
}
