// What the controller shows of itself: placement, memory, planned moves, and its options from the settings.
#include "test_world.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::PlacementTest;

namespace
{

constexpr std::uint32_t Seed = 11;

World closed()
{
    World world(Seed);
    world.addRunner("r1", "dc1", gigabytes(20), FencingMode::Checked);
    world.addModel("a", gigabytes(12));
    world.publishState();
    world.elect(0);
    world.run(10s);
    return world;
}

} // namespace

BOOST_AUTO_TEST_CASE(placementAndMemoryShowALoadFromItsOrderToItsReport)
{
    World world(Seed);
    world.addRunner("r1", "dc1", gigabytes(20), FencingMode::Checked);
    world.addModel("a", gigabytes(12));
    world.publishState();
    world.elect(0);
    for (int step = 0; step < 100 && world.lead().placement().empty(); ++step) {
        world.step();
    }
    BOOST_REQUIRE(world.lead().placement().size() == 1U);
    BOOST_TEST(world.lead().placement()[0].phase == "loading");
    BOOST_TEST((world.lead().memory().at(0).pending == gigabytes(12)));
    BOOST_TEST(world.lead().memory().at(0).openOrders == 1U);
    world.run(10s);
    const auto rows = world.lead().placement();
    BOOST_REQUIRE(rows.size() == 1U);
    BOOST_TEST(rows[0].phase == "serving");
    BOOST_TEST(rows[0].item.model.value == "a");
    BOOST_TEST(rows[0].endpoint.value == "r1");
    BOOST_TEST(rows[0].dataCentre.value == "dc1");
    const auto memory = world.lead().memory();
    BOOST_REQUIRE(memory.size() == 1U);
    BOOST_TEST((memory[0].limit == gigabytes(20) && memory[0].resident == gigabytes(12) && memory[0].pending == Bytes{}));
    BOOST_TEST(memory[0].openOrders == 0U);
    BOOST_TEST(memory[0].reporting);
    BOOST_TEST(!memory[0].ordersBlockedUntil);
}

BOOST_AUTO_TEST_CASE(plannedMovesNameWhatAChangeWouldCauseAndChangeNothing)
{
    World world = closed();
    BOOST_TEST(world.lead().plannedMoves(world.state, world.now).empty());
    RegionState changed = world.state;
    Model model;
    model.id = ModelId{"b"};
    model.version = VersionId{"v1"};
    model.weights = gigabytes(5);
    changed.models[model.id] = model;
    const auto moves = world.lead().plannedMoves(changed, world.now);
    BOOST_REQUIRE(moves.size() == 1U);
    BOOST_TEST((moves[0].load && moves[0].reason == MoveReason::NoCopy));
    BOOST_TEST(moves[0].model.value == "b");
    BOOST_TEST(moves[0].runner.value == "r1");
    world.run(5s);
    BOOST_TEST(world.copiesOf("b") == 0U);
    BOOST_TEST(world.lead().placement().size() == 1U);
}

BOOST_AUTO_TEST_CASE(controllerOptionsFollowTheSettings)
{
    ControlSettings settings;
    settings.attainmentWeight = 0.3;
    settings.moveWeight = 0.7;
    settings.loadsPerSecond = 1.2;
    settings.concurrentLoads = 7;
    settings.concurrentAdapterLoads = 55;
    settings.lease = 900ms;
    settings.electionTimeout = 400ms;
    const ControllerOptions options = controllerOptions(settings);
    BOOST_TEST(options.placement.attainmentWeight == 0.3);
    BOOST_TEST(options.placement.moveWeight == 0.7);
    const PlacementController controller(options);
    BOOST_TEST(!controller.leading());
    LoadBudget budget(options.loads);
    BOOST_TEST(!budget.takeModelLoad(LoadPurpose::Reachability, 7, TimePoint{100s}));
    BOOST_TEST(budget.takeModelLoad(LoadPurpose::Reachability, 6, TimePoint{100s}));
    BOOST_TEST(budget.takeAdapterLoad(54));
    BOOST_TEST(!budget.takeAdapterLoad(55));
    BOOST_TEST((options.bounds.maxFormerLeaderTime == 1800ms));
    settings.electionTimeout = 1000ms;
    BOOST_TEST((controllerOptions(settings).bounds.maxFormerLeaderTime == 2000ms));
}
