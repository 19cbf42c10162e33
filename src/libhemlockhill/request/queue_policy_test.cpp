// Tests of the maximum waiting times and the dispatch order.
#include "hemlockhill/queue_policy.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace Hemlockhill;

namespace
{

Route route(RouteKind kind, Duration target, Duration gap = Duration(0))
{
    Route route;
    route.kind = kind;
    route.latencyTarget = target;
    route.eventGapTarget = gap;
    return route;
}

} // namespace

BOOST_AUTO_TEST_CASE(queue_wait_of_a_stream_is_below_its_callers_timeout)
{
    const Route draft = route(RouteKind::Streaming, std::chrono::milliseconds(500), std::chrono::milliseconds(250));
    BOOST_CHECK(maximumQueueWait(draft, std::chrono::seconds(15)) < std::chrono::seconds(2));
    BOOST_CHECK(maximumQueueWait(draft, std::chrono::seconds(15)) > std::chrono::milliseconds(500));
    const Route batch = route(RouteKind::Streaming, std::chrono::seconds(6), std::chrono::milliseconds(250));
    BOOST_CHECK(maximumQueueWait(batch, std::chrono::seconds(25)) >= std::chrono::seconds(6));
    BOOST_CHECK(maximumQueueWait(batch, std::chrono::seconds(25)) < std::chrono::seconds(12));
}

// A silent endpoint must not end a stream whose caller still waits: the caller of a batch with a target of 6 s disconnects only after
// 24 s.
BOOST_AUTO_TEST_CASE(stream_timeout_follows_the_route_targets)
{
    const Route draft = route(RouteKind::Streaming, std::chrono::milliseconds(500), std::chrono::milliseconds(250));
    BOOST_CHECK(callerStreamTimeout(draft) == std::chrono::seconds(2));
    const Route batch = route(RouteKind::Streaming, std::chrono::seconds(6), std::chrono::milliseconds(250));
    BOOST_CHECK(callerStreamTimeout(batch) == std::chrono::seconds(24));
    const Route slow = route(RouteKind::Streaming, std::chrono::milliseconds(500), std::chrono::seconds(1));
    BOOST_CHECK(callerStreamTimeout(slow) == std::chrono::seconds(8));
}

BOOST_AUTO_TEST_CASE(refused_call_has_time_left_for_a_retry)
{
    const Route call = route(RouteKind::Unsafe, std::chrono::milliseconds(300));
    BOOST_CHECK(maximumQueueWait(call, std::chrono::milliseconds(800)) < std::chrono::milliseconds(400));
}

// With a burst of drafts and queries that exceeds the capacity of the runners, late requests are dispatched last in each priority.
BOOST_AUTO_TEST_CASE(requests_within_target_are_dispatched_before_late_ones)
{
    const TimePoint start{};
    std::vector<WaitingRank> waiting{{true, 0, true, start},
                                     {false, 1, true, start + std::chrono::milliseconds(400)},
                                     {false, 0, true, start + std::chrono::milliseconds(500)},
                                     {true, 1, true, start},
                                     {false, 1, true, start + std::chrono::milliseconds(390)}};
    std::sort(waiting.begin(), waiting.end());
    BOOST_CHECK(!waiting[0].late && waiting[0].priority == 0);
    BOOST_CHECK(waiting[1].arrivedAt == start + std::chrono::milliseconds(390));
    BOOST_CHECK(!waiting[2].late);
    BOOST_CHECK(waiting[3].late && waiting[3].priority == 0);
}

// Guards against streams that are cut off because requests which came earlier take the last endpoints of their version.
BOOST_AUTO_TEST_CASE(rest_of_a_stream_waits_behind_new_requests)
{
    const TimePoint start{};
    std::vector<WaitingRank> waiting{{false, 1, true, start},
                                     {false, 1, false, start + std::chrono::milliseconds(300)},
                                     {false, 0, true, start + std::chrono::milliseconds(400)},
                                     {true, 1, false, start}};
    std::sort(waiting.begin(), waiting.end());
    BOOST_CHECK_EQUAL(waiting[0].priority, 0);
    BOOST_CHECK(!waiting[1].isNew);
    BOOST_CHECK(waiting[2].isNew);
    BOOST_CHECK(waiting[3].late);
}

// Guards against requests that are sent although their callers no longer wait for the first byte.
BOOST_AUTO_TEST_CASE(request_is_dispatched_after_its_caller_has_stopped_waiting)
{
    Route route;
    route.kind = RouteKind::Streaming;
    route.latencyTarget = std::chrono::milliseconds(500);
    route.eventGapTarget = std::chrono::milliseconds(300);
    const Duration patience = callerStreamTimeout(route);
    BOOST_CHECK(patience == Duration(std::chrono::milliseconds(2400)));
    BOOST_CHECK(dispatchTimeout(route, std::chrono::seconds(12)) < patience);
    BOOST_CHECK(dispatchTimeout(route, std::chrono::seconds(12)) > maximumQueueWait(route, std::chrono::seconds(12)));
    BOOST_CHECK(dispatchTimeout(route, std::chrono::seconds(1)) == Duration(std::chrono::seconds(1)));
    route.kind = RouteKind::Safe;
    BOOST_CHECK(dispatchTimeout(route, std::chrono::seconds(12)) == Duration(std::chrono::seconds(12)));
}
