// Test that urgent requests of many nodes are in time on an overloaded service that has slots for all of them.
#include "fleet_dispatch_testing.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

// The runners make 80 requests a second, 160 come, and 53 of these are urgent: nearly all of them can be in time.
BOOST_AUTO_TEST_CASE(urgent_requests_are_late_although_there_are_slots_for_them)
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
    scenario.requestsPerSecond = 160;
    scenario.ordersAcrossNodes = true;
    const FleetOutcome outcome = FleetSimulation(scenario).run();
    BOOST_TEST_MESSAGE("urgent " << outcome.urgentAsked << ", in time " << outcome.urgentInTime);
    BOOST_CHECK_GE(outcome.urgentInTime, 0.9 * outcome.urgentAsked);
}
