// Tests of the controller's queries: placement, memory, planned moves, and its options from the settings.
#include "placement_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::PlacementTest;

namespace
{

constexpr std::uint32_t Seed = 11;

Simulation simulationWithLoadedModel()
{
    Simulation simulation(Seed);
    simulation.addRunner("r1", "dc1", gigabytes(20), FencingMode::Checked);
    simulation.addModel("a", gigabytes(12));
    simulation.publishState();
    simulation.elect(0);
    simulation.run(10s);
    return simulation;
}

} // namespace

BOOST_AUTO_TEST_CASE(placementAndMemoryShowALoadUntilItIsReported)
{
    Simulation simulation(Seed);
    simulation.addRunner("r1", "dc1", gigabytes(20), FencingMode::Checked);
    simulation.addModel("a", gigabytes(12));
    simulation.publishState();
    simulation.elect(0);
    for (int step = 0; step < 100 && simulation.leadingController().placement().empty(); ++step) {
        simulation.step();
    }
    BOOST_REQUIRE(simulation.leadingController().placement().size() == 1U);
    BOOST_TEST(simulation.leadingController().placement()[0].phase == "loading");
    BOOST_TEST((simulation.leadingController().memory().at(0).pending == gigabytes(12)));
    BOOST_TEST(simulation.leadingController().memory().at(0).openOrders == 1U);
    simulation.run(10s);
    const auto rows = simulation.leadingController().placement();
    BOOST_REQUIRE(rows.size() == 1U);
    BOOST_TEST(rows[0].phase == "serving");
    BOOST_TEST(rows[0].item.model.value == "a");
    BOOST_TEST(rows[0].endpoint.value == "r1");
    BOOST_TEST(rows[0].dataCentre.value == "dc1");
    const auto memory = simulation.leadingController().memory();
    BOOST_REQUIRE(memory.size() == 1U);
    BOOST_TEST((memory[0].limit == gigabytes(20) && memory[0].resident == gigabytes(12) && memory[0].pending == Bytes{}));
    BOOST_TEST(memory[0].openOrders == 0U);
    BOOST_TEST(memory[0].reporting);
    BOOST_TEST(!memory[0].ordersBlockedUntil);
}

BOOST_AUTO_TEST_CASE(plannedMovesPredictAChangeWithoutSideEffects)
{
    Simulation simulation = simulationWithLoadedModel();
    BOOST_TEST(simulation.leadingController().plannedMoves(simulation.state, simulation.now).empty());
    RegionState changed = simulation.state;
    Model model;
    model.id = ModelId{"b"};
    model.version = VersionId{"v1"};
    model.weights = gigabytes(5);
    changed.models[model.id] = model;
    const auto moves = simulation.leadingController().plannedMoves(changed, simulation.now);
    BOOST_REQUIRE(moves.size() == 1U);
    BOOST_TEST((moves[0].load && moves[0].reason == MoveReason::NoCopy));
    BOOST_TEST(moves[0].model.value == "b");
    BOOST_TEST(moves[0].runner.value == "r1");
    simulation.run(5s);
    BOOST_TEST(simulation.copiesOf("b") == 0U);
    BOOST_TEST(simulation.leadingController().placement().size() == 1U);
}

BOOST_AUTO_TEST_CASE(controllerOptionsAreDerivedFromTheSettings)
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
