// Requests of a large fleet to a few endpoints that have room must be served in time.
#include "fleet_dispatch_testing.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

// With a third of the slots busy, even nodes that choose at random leave a wait of some milliseconds at the endpoints.
constexpr double MinimumInTime = 0.98;

void report(const FleetOutcome &outcome)
{
    BOOST_TEST_MESSAGE("asked " << outcome.asked << ", in time " << outcome.inTime << ", late " << outcome.late << ", refused "
                                << outcome.refused << ", rejected " << outcome.rejected << ", datagrams " << outcome.datagrams << ", lost "
                                << outcome.datagramsLost);
}

void checkServed(const FleetOutcome &outcome)
{
    report(outcome);
    BOOST_CHECK_GE(outcome.ratio(outcome.inTime), MinimumInTime);
    BOOST_CHECK_EQUAL(outcome.refused, 0);
}

} // namespace

// Requests were refused as queue_full by nodes that took sound endpoints for full.
BOOST_AUTO_TEST_CASE(sound_endpoints_are_not_taken_for_full_by_a_large_fleet)
{
    checkServed(FleetSimulation(FleetScenario{}).run());
}

BOOST_AUTO_TEST_CASE(lost_datagrams_do_not_make_sound_endpoints_full)
{
    FleetScenario scenario;
    scenario.loss = 0.03;
    checkServed(FleetSimulation(scenario).run());
}

BOOST_AUTO_TEST_CASE(small_fleet_is_served)
{
    FleetScenario scenario;
    scenario.nodes = 8;
    checkServed(FleetSimulation(scenario).run());
}

// Above their capacity, requests wait at the nodes, where their callers can be told at once when to come back, and endpoints hardly reject
// any.
BOOST_AUTO_TEST_CASE(nodes_of_a_large_fleet_send_more_than_endpoints_hold)
{
    FleetScenario scenario;
    scenario.requestsPerSecond = 1'300;
    const FleetOutcome outcome = FleetSimulation(scenario).run();
    report(outcome);
    const double capacity = scenario.endpoints * scenario.slots / std::chrono::duration<double>(scenario.work).count();
    const double seconds = std::chrono::duration<double>(scenario.length).count();
    BOOST_CHECK_GE(outcome.inTime + outcome.late, 0.95 * capacity * seconds);
    BOOST_CHECK_LE(outcome.ratio(outcome.rejected), 0.02);
}
