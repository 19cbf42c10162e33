// Tests of the maximum waiting times and the dispatch order.
#include "hemlockhill/queue_policy.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <tuple>
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

const TimePoint Start{};

// A request that is not the rest of a stream.
WaitingRequest waiting(const Route &route, TimePoint arrivedAt, Duration callerTimeout)
{
    return {0, false, arrivedAt, latestDispatch(route, arrivedAt, arrivedAt, arrivedAt + callerTimeout)};
}

WaitingRank rankOf(TimePoint now, const Route &route, TimePoint arrivedAt, Duration callerTimeout)
{
    return rankAt(now, route, waiting(route, arrivedAt, callerTimeout));
}

// The order before latency targets: priority, then the caller who gives up first.
bool precedesWithoutTargets(const Route &left, const WaitingRequest &leftRequest, const Route &right, const WaitingRequest &rightRequest)
{
    return std::tuple(left.priority, leftRequest.latestDispatch, leftRequest.arrivedAt)
           < std::tuple(right.priority, rightRequest.latestDispatch, rightRequest.arrivedAt);
}

enum class Order { WithoutTargets, WithTargets };

// Requests of one route that arrive at a constant rate.
struct Load {
    Route route;
    Duration callerTimeout;
    double requestsPerSecond = 0;
};

// Counts the requests of each load whose first event comes in time, on runners with the given slots. Requests that are of no use any
// more to their callers are dropped.
std::vector<int> countInTime(Order order, const std::vector<Load> &loads, std::size_t slots, Duration work, Duration length)
{
    constexpr Duration Step = std::chrono::milliseconds(5);
    constexpr Duration FirstEvent = std::chrono::milliseconds(100);
    struct Entry {
        std::size_t load;
        WaitingRequest request;
    };
    std::vector<Entry> queue;
    std::vector<TimePoint> busyUntil(slots, Start);
    std::vector<double> arrived(loads.size(), 0);
    std::vector<int> inTime(loads.size(), 0);
    for (TimePoint now = Start; now < Start + length; now += Step) {
        for (std::size_t load = 0; load < loads.size(); ++load) {
            arrived[load] += loads[load].requestsPerSecond * std::chrono::duration<double>(Step).count();
            for (; arrived[load] >= 1; arrived[load] -= 1) {
                queue.push_back({load, waiting(loads[load].route, now, loads[load].callerTimeout)});
            }
        }
        std::erase_if(queue, [now](const Entry &entry) { return now >= entry.request.latestDispatch; });
        std::sort(queue.begin(), queue.end(), [&](const Entry &left, const Entry &right) {
            const Route &leftRoute = loads[left.load].route;
            const Route &rightRoute = loads[right.load].route;
            return order == Order::WithTargets ? rankAt(now, leftRoute, left.request) < rankAt(now, rightRoute, right.request)
                                               : precedesWithoutTargets(leftRoute, left.request, rightRoute, right.request);
        });
        for (TimePoint &slot : busyUntil) {
            if (slot > now || queue.empty()) {
                continue;
            }
            const Entry next = queue.front();
            queue.erase(queue.begin());
            slot = now + work;
            const bool isInTime = now + FirstEvent <= next.request.arrivedAt + loads[next.load].route.latencyTarget;
            inTime[next.load] += isInTime ? 1 : 0;
        }
    }
    return inTime;
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

// Guards against callers of an urgent route who wait behind those of a less urgent one because their objective has been missed already.
BOOST_AUTO_TEST_CASE(late_request_of_mixed_targets_waits_behind_one_in_time)
{
    Route urgent = route(RouteKind::Streaming, std::chrono::milliseconds(500), std::chrono::milliseconds(250));
    urgent.priority = 0;
    Route other = urgent;
    other.priority = 1;
    const TimePoint now = Start + std::chrono::milliseconds(550);
    const WaitingRank missed = rankOf(now, urgent, Start, std::chrono::seconds(15));
    BOOST_CHECK(missed.isLate);
    BOOST_CHECK(missed < rankOf(now, other, now, std::chrono::seconds(15)));
    // Of the same priority, one that can still meet its target goes first.
    BOOST_CHECK(rankOf(now, urgent, now, std::chrono::seconds(15)) < missed);
    // Of two that have missed it, the one whose caller leaves first.
    BOOST_CHECK(missed < rankOf(now, urgent, Start + std::chrono::milliseconds(20), std::chrono::seconds(15)));
}

// Guards against a request whose caller leaves soon and that waits behind one whose caller has much time left.
BOOST_AUTO_TEST_CASE(caller_with_little_time_left_waits_behind_one_with_much)
{
    const Route call = route(RouteKind::Safe, std::chrono::seconds(3));
    const TimePoint now = Start + std::chrono::milliseconds(300);
    const WaitingRank patient = rankOf(now, call, Start, std::chrono::seconds(10));
    const WaitingRank hurried = rankOf(now, call, now, std::chrono::seconds(1));
    BOOST_CHECK(hurried < patient);
    // With the same time left, the one that came first.
    BOOST_CHECK(rankOf(now, call, Start, std::chrono::seconds(2))
                < rankOf(now, call, Start + std::chrono::seconds(1), std::chrono::seconds(1)));
}

// Guards against streams that are cut off because requests which came earlier take the last endpoints of their version.
BOOST_AUTO_TEST_CASE(rest_of_a_stream_waits_behind_new_requests)
{
    Route stream = route(RouteKind::Streaming, std::chrono::milliseconds(500), std::chrono::milliseconds(250));
    stream.priority = 1;
    Route urgent = stream;
    urgent.priority = 0;
    const auto at = [](int milliseconds) { return Start + std::chrono::milliseconds(milliseconds); };
    const TimePoint now = at(400);
    std::vector<WaitingRank> ranks{rankAt(now, stream, {0, false, at(0), at(2'000)}),
                                   rankAt(now, stream, {0, true, at(300), at(2'300)}),
                                   rankAt(now, urgent, {0, false, at(400), at(2'400)}),
                                   rankAt(now, stream, {0, true, at(0), at(2'200)})};
    std::sort(ranks.begin(), ranks.end());
    BOOST_CHECK_EQUAL(ranks[0].priority, 0);
    BOOST_CHECK(!ranks[1].isNew && ranks[1].arrivedAt == Start);
    BOOST_CHECK(!ranks[2].isNew);
    BOOST_CHECK(ranks[3].isNew);
}

// Guards against the requests of a paying customer that wait behind those of others, because their route is a less urgent one.
BOOST_AUTO_TEST_CASE(workspace_priority_comes_after_that_of_the_route)
{
    Route urgent = route(RouteKind::Streaming, std::chrono::milliseconds(500), std::chrono::milliseconds(250));
    Route other = urgent;
    other.priority = 2;
    const WaitingRequest first{0, false, Start + std::chrono::milliseconds(400), Start + std::chrono::seconds(2)};
    const WaitingRequest second{1, true, Start, Start + std::chrono::seconds(1)};
    BOOST_CHECK(rankAt(Start, other, first) < rankAt(Start, urgent, second));
}

// Guards against a burst in which each interactive request waits behind one that is late already, so that all are late. Interactive
// requests with a target of 0.5 s come beside patient ones with 15 s, with room for half of them.
BOOST_AUTO_TEST_CASE(overload_makes_all_interactive_requests_late)
{
    const Load interactive{
        route(RouteKind::Streaming, std::chrono::milliseconds(500), std::chrono::milliseconds(250)), std::chrono::seconds(12), 30};
    const Load patient{route(RouteKind::Streaming, std::chrono::seconds(15), std::chrono::milliseconds(250)), std::chrono::seconds(25), 10};
    constexpr std::size_t Slots = 10;
    constexpr Duration Work = std::chrono::milliseconds(500);
    constexpr Duration Length = std::chrono::seconds(20);
    constexpr int Served = 400;
    const auto before = countInTime(Order::WithoutTargets, {interactive, patient}, Slots, Work, Length);
    const auto after = countInTime(Order::WithTargets, {interactive, patient}, Slots, Work, Length);
    BOOST_TEST_MESSAGE("in time without targets: " << before[0] << " interactive, " << before[1] << " patient; with targets: " << after[0]
                                                   << " interactive, " << after[1] << " patient");
    BOOST_CHECK_LT(before[0] + before[1], Served / 4);
    BOOST_CHECK_GT(after[0] + after[1], Served * 9 / 10);
    BOOST_CHECK_GT(after[0], 2 * before[0]);
    BOOST_CHECK_GE(after[1], before[1]);
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

// Guards against callers of an urgent route who wait behind those of a less urgent one because their objective has been missed already.
BOOST_AUTO_TEST_CASE(urgent_request_past_its_objective_waits_behind_a_less_urgent_one)
{
    Route urgent = route(RouteKind::Streaming, std::chrono::milliseconds(500), std::chrono::milliseconds(250));
    urgent.priority = 0;
    Route other = urgent;
    other.priority = 1;
    const TimePoint later = Start + std::chrono::milliseconds(550);
    const auto byPatience = [&](const Route &of, TimePoint arrivedAt) {
        WaitingRequest request = waiting(of, arrivedAt, std::chrono::seconds(15));
        request.order = DispatchOrder::ByPatience;
        return rankAt(later, of, request);
    };
    BOOST_CHECK(byPatience(urgent, Start) < byPatience(other, later));
    // The priority decides first in either order.
    BOOST_CHECK(rankOf(later, urgent, Start, std::chrono::seconds(15)) < rankOf(later, other, later, std::chrono::seconds(15)));
    BOOST_CHECK(byPatience(urgent, Start) < byPatience(urgent, later));
}

// Where all routes of a priority have one target, the order by patience holds as before.
BOOST_AUTO_TEST_CASE(routes_are_ordered_by_a_target_that_they_share)
{
    Route draft = route(RouteKind::Streaming, std::chrono::milliseconds(500));
    draft.weightedServices = {{ServiceId{"models"}, 1}};
    draft.priority = 1;
    Route other = draft;
    Deployment deployment;
    deployment.routes = {draft, other};
    BOOST_CHECK(classesOfMixedTargets(deployment).empty());
    other.latencyTarget = std::chrono::seconds(10);
    other.priority = 2;
    deployment.routes = {draft, other};
    BOOST_CHECK(classesOfMixedTargets(deployment).empty());
    other.priority = 1;
    deployment.routes = {draft, other};
    BOOST_CHECK((classesOfMixedTargets(deployment) == std::set<DispatchClass>{{ServiceId{"models"}, 1}}));
}
