// Tests that the memory of endpoints is not exceeded by many nodes that decide at once.
#include "fleet_dispatch_testing.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

const EndpointId Runner{"r1"};
const VmId First{"n1"};
const VmId Second{"n2"};
const TimePoint Start = TimePoint{} + std::chrono::seconds(100);
constexpr TokenCount Capacity{45'781};
constexpr TokenCount Request{4'740};

FleetOutcome report(const FleetOutcome &outcome)
{
    BOOST_TEST_MESSAGE("asked " << outcome.asked << ", in time " << outcome.inTime << ", late " << outcome.late << ", refused "
                                << outcome.refused << ", overfilled " << outcome.overfilled << ", most held " << outcome.mostHeld.value
                                << ", datagrams " << outcome.datagrams);
    return outcome;
}

// Runners of 12 slots, which hold 9 requests, before many nodes.
FleetScenario runners(double requestsPerSecond)
{
    FleetScenario scenario;
    scenario.nodes = 100;
    scenario.endpoints = 4;
    scenario.slots = 12;
    scenario.work = std::chrono::milliseconds(600);
    scenario.latencyTarget = std::chrono::milliseconds(1'000);
    scenario.timeout = std::chrono::seconds(3);
    scenario.memory = Capacity;
    scenario.requestTokens = Request;
    scenario.requestsPerSecond = requestsPerSecond;
    return scenario;
}

double capacityPerSecond(const FleetScenario &scenario)
{
    constexpr double Held = 9;
    return scenario.endpoints * Held / std::chrono::duration<double>(scenario.work).count();
}

} // namespace

BOOST_AUTO_TEST_CASE(promises_to_other_nodes_are_forgotten)
{
    EndpointMemory memory({});
    const TokenCount held{30'000};
    BOOST_CHECK_EQUAL(memory.promise(First, Runner, held, Request, Capacity, Start), Request);
    BOOST_CHECK_EQUAL(memory.promisedWithout(Second, Runner, Start), Request);
    BOOST_CHECK_EQUAL(memory.promisedWithout(First, Runner, Start), TokenCount{0});
    // The notice of the dispatch redeems the promise, and time ends it.
    memory.onIncreased(First, Runner, Request);
    BOOST_CHECK_EQUAL(memory.promisedWithout(Second, Runner, Start), TokenCount{0});
    memory.promise(First, Runner, held, Request, Capacity, Start);
    BOOST_CHECK_EQUAL(memory.promisedWithout(Second, Runner, Start + std::chrono::milliseconds(240)), Request);
    BOOST_CHECK_EQUAL(memory.promisedWithout(Second, Runner, Start + std::chrono::milliseconds(250)), TokenCount{0});
}

// A report that was late was used when the owner had given the room to another node.
BOOST_AUTO_TEST_CASE(a_grant_is_used_after_its_promise_has_ended)
{
    EndpointMemory memory({});
    const std::uint32_t query = memory.onQuery(Start);
    memory.onGranted(query, Runner, Request);
    BOOST_CHECK_EQUAL(memory.granted(Runner, Start + std::chrono::milliseconds(99)), Request);
    BOOST_CHECK_EQUAL(memory.granted(Runner, Start + std::chrono::milliseconds(100)), TokenCount{0});
    memory.onQuery(Start + std::chrono::milliseconds(200));
    memory.onGranted(query, Runner, Request);
    BOOST_CHECK_EQUAL(memory.granted(Runner, Start + std::chrono::milliseconds(201)), TokenCount{0});
    // Answers of nodes of an earlier build grant nothing.
    memory.onGranted(0, Runner, Request);
    BOOST_CHECK_EQUAL(memory.granted(Runner, Start + std::chrono::milliseconds(201)), TokenCount{0});
}

BOOST_AUTO_TEST_CASE(a_grant_is_used_twice)
{
    EndpointMemory memory({});
    memory.onGranted(memory.onQuery(Start), Runner, Request);
    memory.onDispatched(Runner, Request);
    BOOST_CHECK_EQUAL(memory.own(Runner), Request);
    BOOST_CHECK_EQUAL(memory.granted(Runner, Start), TokenCount{0});
    memory.onEnded(Runner, Request);
    BOOST_CHECK_EQUAL(memory.own(Runner), TokenCount{0});
}

BOOST_AUTO_TEST_CASE(an_endpoint_takes_more_than_it_holds)
{
    const EndpointMemory memory({});
    constexpr TokenCount Eight{8 * Request.value};
    constexpr TokenCount Nine{9 * Request.value};
    BOOST_CHECK(memory.fits(Eight, Request, Capacity, MemoryAuthority::Own));
    BOOST_CHECK(!memory.fits(Nine, Request, Capacity, MemoryAuthority::Own));
    BOOST_CHECK(!memory.fits(Eight, Request, Capacity, MemoryAuthority::Substitute));
    // A request near the whole memory runs alone.
    constexpr TokenCount Large{45'000};
    BOOST_CHECK(memory.fits(TokenCount{0}, Large, Capacity, MemoryAuthority::Own));
    BOOST_CHECK(!memory.fits(TokenCount{1}, Large, Capacity, MemoryAuthority::Own));
    BOOST_CHECK(!memory.fits(TokenCount{0}, Capacity, Capacity, MemoryAuthority::Own));
}

// Guards against nodes that all see the same room and fill it at once: 100 nodes and twice as many requests as fit.
BOOST_AUTO_TEST_CASE(many_nodes_overfill_endpoints_at_once)
{
    FleetScenario scenario = runners(0);
    scenario.requestsPerSecond = 2 * capacityPerSecond(scenario);
    const FleetOutcome outcome = report(FleetSimulation(scenario).run());
    BOOST_CHECK_EQUAL(outcome.overfilled, 0);
    const double seconds = std::chrono::duration<double>(scenario.length).count();
    BOOST_CHECK_GE(outcome.inTime + outcome.late, 0.75 * capacityPerSecond(scenario) * seconds);
}

BOOST_AUTO_TEST_CASE(lost_datagrams_overfill_endpoints)
{
    FleetScenario scenario = runners(0);
    scenario.requestsPerSecond = 1.5 * capacityPerSecond(scenario);
    scenario.loss = 0.03;
    BOOST_CHECK_EQUAL(report(FleetSimulation(scenario).run()).overfilled, 0);
}

BOOST_AUTO_TEST_CASE(small_fleet_overfills_endpoints)
{
    FleetScenario scenario = runners(0);
    scenario.nodes = 8;
    scenario.requestsPerSecond = 2 * capacityPerSecond(scenario);
    BOOST_CHECK_EQUAL(report(FleetSimulation(scenario).run()).overfilled, 0);
}

// Guards against requests that wait for grants although endpoints have room.
BOOST_AUTO_TEST_CASE(requests_wait_for_memory_although_there_is_room)
{
    FleetScenario scenario = runners(0);
    scenario.requestsPerSecond = 0.5 * capacityPerSecond(scenario);
    const FleetOutcome outcome = report(FleetSimulation(scenario).run());
    BOOST_CHECK_EQUAL(outcome.overfilled, 0);
    BOOST_CHECK_GE(outcome.ratio(outcome.inTime), 0.98);
}
