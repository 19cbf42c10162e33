// Tests of the order in which waiting requests of many nodes are dispatched.
#include "fleet_dispatch_testing.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

const VmId First{"n1"};
const VmId Second{"n2"};
const VmId Third{"n3"};
const LoadSubject Subject{ServiceId{"scribe"}, {ModelId{"m"}, {}}};
const TimePoint Start = TimePoint{} + std::chrono::seconds(100);

WaitingRank rank(std::uint32_t priority, Duration dispatchIn = std::chrono::milliseconds(300))
{
    return {0, priority, true, false, Start + dispatchIn, Start};
}

WaitingAtNode waiting(std::uint32_t priority, std::uint32_t requests = 1)
{
    return describeWaiting(rank(priority), requests, false, Start);
}

LiveEndpoint runner()
{
    LiveEndpoint endpoint;
    endpoint.id = EndpointId{"r1"};
    endpoint.service = Subject.service;
    endpoint.held = {Subject.target};
    return endpoint;
}

std::int64_t meanMs(Duration total, const FleetOutcome &outcome)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(total).count() / std::max<std::int64_t>(outcome.urgentAsked, 1);
}

FleetOutcome report(const FleetOutcome &outcome)
{
    BOOST_TEST_MESSAGE("asked " << outcome.asked << ", in time " << outcome.inTime << ", late " << outcome.late << ", refused "
                                << outcome.refused << "; urgent " << outcome.urgentAsked << ", in time " << outcome.urgentInTime
                                << ", dispatched after " << meanMs(outcome.urgentDispatched, outcome) << " ms, begun after "
                                << meanMs(outcome.urgentBegun, outcome) << " ms"
                                << ", overfilled " << outcome.overfilled << ", datagrams " << outcome.datagrams);
    return outcome;
}

// Interactive requests, a third of all, beside patient ones, on 48 slots that make 80 requests a second.
FleetScenario runners(double requestsPerSecond)
{
    FleetScenario scenario;
    scenario.nodes = 100;
    scenario.endpoints = 4;
    scenario.slots = 12;
    scenario.work = std::chrono::milliseconds(600);
    scenario.latencyTarget = std::chrono::seconds(8);
    scenario.timeout = std::chrono::seconds(9);
    scenario.urgentShare = 0.33;
    scenario.urgentTarget = std::chrono::milliseconds(1'100);
    scenario.length = std::chrono::seconds(8);
    scenario.requestsPerSecond = requestsPerSecond;
    scenario.ordersAcrossNodes = true;
    return scenario;
}

constexpr double Overload = 160;

} // namespace

BOOST_AUTO_TEST_CASE(nodes_are_told_of_requests_that_are_not_more_urgent)
{
    ServiceLine line({});
    line.onWaiting(First, Subject, waiting(0, 3), Start);
    line.onWaiting(Second, Subject, waiting(1, 2), Start);
    const WaitingElsewhere seen = line.elsewhere(Third, Subject, rank(1, std::chrono::milliseconds(200)), Start);
    BOOST_CHECK_EQUAL(seen.moreUrgent, 1);
    BOOST_CHECK_EQUAL(seen.requests, 5);
    BOOST_CHECK_EQUAL(line.elsewhere(First, Subject, rank(0), Start).moreUrgent, 0);
    BOOST_CHECK_EQUAL(line.elsewhere(First, {Subject.service, {}}, rank(9), Start).requests, 0);
}

// Nodes waited for one that had died.
BOOST_AUTO_TEST_CASE(word_of_a_node_that_has_died_is_kept)
{
    ServiceLine line({});
    LineReports reports({});
    line.onWaiting(First, Subject, waiting(0), Start);
    const TimePoint almost = Start + std::chrono::milliseconds(149);
    const TimePoint later = Start + std::chrono::milliseconds(150);
    BOOST_CHECK_EQUAL(line.elsewhere(Second, Subject, rank(1), almost).moreUrgent, 1);
    BOOST_CHECK_EQUAL(line.elsewhere(Second, Subject, rank(1), later).moreUrgent, 0);
    reports.onReport(Subject, {1, 1, false}, Start);
    BOOST_CHECK_EQUAL(reports.elsewhere(Subject, almost).moreUrgent, 1);
    BOOST_CHECK_EQUAL(reports.elsewhere(Subject, later).moreUrgent, 0);
}

// Nodes waited for requests that had been dispatched already.
BOOST_AUTO_TEST_CASE(word_of_a_node_that_has_dispatched_is_kept)
{
    ServiceLine line({});
    line.onWaiting(First, Subject, waiting(0), Start);
    line.onWaiting(Second, Subject, waiting(0), Start);
    line.onDispatched(First, runner());
    line.onWaiting(Second, Subject, waiting(0, 0), Start);
    BOOST_CHECK_EQUAL(line.elsewhere(Third, Subject, rank(1), Start).moreUrgent, 0);
}

BOOST_AUTO_TEST_CASE(free_slot_is_offered_to_the_wrong_node)
{
    ServiceLine line({});
    line.onWaiting(First, Subject, waiting(1), Start);
    line.onWaiting(Second, Subject, waiting(0), Start);
    const auto invited = line.invite(runner(), Start);
    BOOST_REQUIRE(invited);
    BOOST_CHECK_EQUAL(invited->first, Second);
    // The next slot goes to the next node, and to the first one again when it has had time to ask.
    BOOST_CHECK(line.invite(runner(), Start).value_or(std::pair(VmId{}, Subject)).first == First);
    BOOST_CHECK(!line.invite(runner(), Start));
    BOOST_CHECK(line.invite(runner(), Start + std::chrono::milliseconds(20)).value_or(std::pair(VmId{}, Subject)).first == Second);
    LiveEndpoint other = runner();
    other.held.clear();
    BOOST_CHECK(!line.invite(other, Start + std::chrono::milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(request_waits_for_others_although_there_is_room_for_all)
{
    BOOST_CHECK(yieldsToOthers({2, 5, false}, 2));
    BOOST_CHECK(!yieldsToOthers({2, 5, false}, 3));
    BOOST_CHECK(!yieldsToOthers({0, 5, false}, 0));
}

// Guards against patient requests that take the slots for which urgent ones wait at other nodes. The load is twice what the runners make,
// and the urgent requests are a third of it.
BOOST_AUTO_TEST_CASE(urgent_requests_wait_behind_patient_ones_of_other_nodes)
{
    FleetScenario alone = runners(Overload);
    alone.ordersAcrossNodes = false;
    const FleetOutcome before = report(FleetSimulation(alone).run());
    const FleetOutcome after = report(FleetSimulation(runners(Overload)).run());
    BOOST_CHECK_LT(meanMs(after.urgentDispatched, after), meanMs(before.urgentDispatched, before) / 2);
    BOOST_CHECK_GT(after.urgentInTime * before.urgentAsked, before.urgentInTime * after.urgentAsked);
    // Slots do not stand idle for it.
    BOOST_CHECK_GE(after.inTime + after.late, 0.93 * (before.inTime + before.late));
}

// Guards against requests that wait for others while there is room.
BOOST_AUTO_TEST_CASE(requests_wait_for_others_on_a_fleet_with_room)
{
    FleetScenario scenario = runners(40);
    scenario.latencyTarget = std::chrono::milliseconds(1'000);
    const FleetOutcome outcome = report(FleetSimulation(scenario).run());
    BOOST_CHECK_GE(outcome.ratio(outcome.inTime), 0.98);
}

// Owners miss what nodes say, and nodes what owners say.
BOOST_AUTO_TEST_CASE(lost_datagrams_block_the_line)
{
    FleetScenario scenario = runners(Overload);
    scenario.loss = 0.1;
    const FleetOutcome outcome = report(FleetSimulation(scenario).run());
    BOOST_CHECK_GE(outcome.inTime + outcome.late, 0.85 * outcome.asked / 2);
}

BOOST_AUTO_TEST_CASE(line_and_bounded_memory_block_each_other)
{
    FleetScenario scenario = runners(Overload);
    scenario.memory = TokenCount{45'781};
    scenario.requestTokens = TokenCount{4'740};
    const FleetOutcome outcome = report(FleetSimulation(scenario).run());
    BOOST_CHECK_EQUAL(outcome.overfilled, 0);
    // Nine of the twelve slots have memory.
    BOOST_CHECK_GE(outcome.inTime + outcome.late, 0.7 * 0.75 * outcome.asked / 2);
}
