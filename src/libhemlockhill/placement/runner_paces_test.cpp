// Tests the measurement of how fast runners produce events, from reports that lag and have gaps.
#include "hemlockhill/runner_paces.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

using std::chrono::milliseconds;

const EndpointId Runner{"r1"};
const Incarnation First{"1"};
const TimePoint Start{std::chrono::seconds(100)};

// Reports every 800 ms requests that have produced an event each interval.
void reportFor(RunnerPaces &paces, milliseconds interval, milliseconds duration, milliseconds from = milliseconds(0))
{
    for (milliseconds at = from; at <= from + duration; at += milliseconds(800)) {
        EventCounts events;
        for (const char *request : {"a", "b", "c"}) {
            events[RequestId{request}] = static_cast<std::uint32_t>(1 + at / interval);
        }
        paces.onReport(Runner, First, events, Start + at);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(interval_is_measured_from_the_progress_between_reports)
{
    RunnerPaces paces;
    BOOST_CHECK(paces.eventInterval(Runner) == Duration(0));
    reportFor(paces, milliseconds(100), milliseconds(4000));
    BOOST_CHECK_GE(paces.eventInterval(Runner).count(), 90'000);
    BOOST_CHECK_LE(paces.eventInterval(Runner).count(), 110'000);
}

// Each change of the directory is sent to all nodes.
BOOST_AUTO_TEST_CASE(small_differences_do_not_change_what_is_told)
{
    RunnerPaces paces;
    reportFor(paces, milliseconds(100), milliseconds(4000));
    const Duration told = paces.eventInterval(Runner);
    reportFor(paces, milliseconds(110), milliseconds(8000), milliseconds(4800));
    BOOST_CHECK(paces.eventInterval(Runner) == told);
    reportFor(paces, milliseconds(40), milliseconds(12'000), milliseconds(13'600));
    BOOST_CHECK_LE(paces.eventInterval(Runner).count(), 60'000);
}

// A request that reads its prompt, or has just come, tells nothing of the pace of those that write.
BOOST_AUTO_TEST_CASE(requests_without_events_and_new_ones_are_left_out)
{
    RunnerPaces paces;
    paces.onReport(Runner, First, {{RequestId{"reads"}, 0}, {RequestId{"writes"}, 4}}, Start);
    paces.onReport(Runner, First, {{RequestId{"reads"}, 0}, {RequestId{"writes"}, 14}, {RequestId{"new"}, 2}}, Start + milliseconds(1000));
    BOOST_CHECK(paces.eventInterval(Runner) == milliseconds(100));
}

BOOST_AUTO_TEST_CASE(runner_that_stands_still_is_told_as_slow)
{
    RunnerPaces paces;
    paces.onReport(Runner, First, {{RequestId{"a"}, 4}}, Start);
    paces.onReport(Runner, First, {{RequestId{"a"}, 4}}, Start + milliseconds(1000));
    BOOST_CHECK(paces.eventInterval(Runner) == std::chrono::seconds(1));
}

BOOST_AUTO_TEST_CASE(new_incarnation_is_measured_anew)
{
    RunnerPaces paces;
    reportFor(paces, milliseconds(100), milliseconds(4000));
    paces.onReport(Runner, Incarnation{"2"}, {{RequestId{"a"}, 50}}, Start + milliseconds(5000));
    BOOST_CHECK(paces.eventInterval(Runner) == Duration(0));
    paces.onListing({});
    BOOST_CHECK(paces.eventInterval(Runner) == Duration(0));
}
