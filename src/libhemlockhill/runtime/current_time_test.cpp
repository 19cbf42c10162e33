// The current time counts the time for which the machine is suspended.
#include "hemlockhill/timer_service.h"

#include <boost/test/unit_test.hpp>

#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

using namespace Hemlockhill;

namespace
{

constexpr Duration Tolerance = std::chrono::seconds(10);
constexpr std::chrono::seconds Suspended(1000);
bool isSuspended = false;

} // namespace

// Takes the place of the system's function. After a suspension CLOCK_MONOTONIC lags behind by the time that it has not counted.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (isSuspended && clock == CLOCK_MONOTONIC) {
        time->tv_sec -= Suspended.count();
    }
    return result;
}

// Guards against a lease that goes on after a suspension for as long as was left of it before.
BOOST_AUTO_TEST_CASE(time_stands_still_while_the_machine_is_suspended)
{
    const TimePoint before = currentTime();
    isSuspended = true;
    const auto steadyAfter = std::chrono::steady_clock::now();
    const TimePoint after = currentTime();
    isSuspended = false;
    BOOST_REQUIRE(steadyAfter < std::chrono::steady_clock::now() - Suspended / 2);
    BOOST_TEST((after >= before));
    BOOST_TEST((after - before < Tolerance));
}
