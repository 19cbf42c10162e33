// Tests of single failures, each against the mechanism that handles it.
#include "placement_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::PlacementTest;

namespace
{

constexpr std::uint32_t Seed = 7;

Simulation oneRunner(FencingMode mode)
{
    Simulation simulation(Seed);
    simulation.addRunner("r1", "dc1", gigabytes(20), mode);
    simulation.addModel("a", gigabytes(12));
    simulation.publishState();
    return simulation;
}

Simulation twoRunners()
{
    Simulation simulation(Seed);
    simulation.addRunner("r1", "dc1", gigabytes(20), FencingMode::Checked);
    simulation.addRunner("r2", "dc2", gigabytes(20), FencingMode::Checked);
    simulation.addModel("a", gigabytes(12));
    simulation.publishState();
    return simulation;
}

void replaceModel(Simulation &simulation, const std::string &oldModel, const std::string &newModel)
{
    simulation.state.models.erase(ModelId{oldModel});
    simulation.addModel(newModel, gigabytes(12));
    simulation.publishState();
}

// Holds back the first load and delivers it late, when its sender no longer waits for the answer.
void delayFirstLoad(Simulation &simulation, Duration delay)
{
    simulation.onSend = [&simulation, delay, heldBack = false](const Order &order) mutable {
        if (!heldBack) {
            heldBack = true;
            simulation.delayedOrder = order;
            simulation.after(delay, [&simulation] { simulation.deliverDelayed(true); });
        }
        return false;
    };
}

} // namespace

BOOST_AUTO_TEST_CASE(lateLoadOfAReplacedModelDoesNotOvercommit)
{
    Simulation simulation = oneRunner(FencingMode::Checked);
    delayFirstLoad(simulation, 1900ms);
    simulation.elect(0);
    while (simulation.leadingController().memory().empty() || simulation.leadingController().memory().front().openOrders == 0) {
        simulation.step();
    }
    replaceModel(simulation, "a", "b");
    simulation.run(1s);
    simulation.onSend = nullptr;
    simulation.run(30s);
    BOOST_TEST(!simulation.overcommitted());
    BOOST_TEST(simulation.copiesOf("b") == 1U);
    BOOST_TEST(simulation.copiesOf("a") == 0U);
}

BOOST_AUTO_TEST_CASE(lateLoadOfAFormerLeaderDoesNotOvercommit)
{
    for (const FencingMode mode : {FencingMode::Checked, FencingMode::Ignored}) {
        Simulation simulation = oneRunner(mode);
        delayFirstLoad(simulation, 1900ms);
        simulation.elect(0);
        while (simulation.leadingController().memory().empty() || simulation.leadingController().memory().front().openOrders == 0) {
            simulation.step();
        }
        replaceModel(simulation, "a", "b");
        simulation.elect(1);
        simulation.onSend = [&simulation](const Order &order) {
            simulation.deliverDelayed(order.item.model == ModelId{"b"});
            return true;
        };
        simulation.run(30s);
        BOOST_TEST(!simulation.overcommitted());
        BOOST_TEST(simulation.copiesOf("b") == 1U);
    }
}

BOOST_AUTO_TEST_CASE(newLeaderWaitsOutLateOrdersIfFencingIsIgnored)
{
    Simulation simulation = oneRunner(FencingMode::Ignored);
    delayFirstLoad(simulation, 60s);
    simulation.elect(0);
    while (simulation.leadingController().memory().empty() || simulation.leadingController().memory().front().openOrders == 0) {
        simulation.step();
    }
    simulation.addModel("b", gigabytes(2));
    simulation.publishState();
    simulation.elect(1);
    TimePoint firstOrder = TimePoint::max();
    simulation.onSend = [&](const Order &order) {
        firstOrder = order.fencing.value > 1 ? std::min(firstOrder, simulation.now) : firstOrder;
        return true;
    };
    const TimePoint takenOver = simulation.now;
    simulation.run(20s);
    BOOST_TEST((firstOrder - takenOver >= fastOptions().bounds.maxOrderDelay + fastOptions().bounds.maxFormerLeaderTime));
    BOOST_TEST(simulation.copiesOf("a") == 1U);
}

BOOST_AUTO_TEST_CASE(duplicateLoadAfterARestartDoesNotOvercommit)
{
    Simulation simulation = oneRunner(FencingMode::Ignored);
    bool repeated = false;
    simulation.onSend = [&](const Order &order) {
        if (!repeated) {
            repeated = true;
            simulation.after(1900ms, [&simulation, order] { simulation.engines[order.endpoint].receive(order, simulation.now); });
        }
        return true;
    };
    simulation.elect(0);
    while (simulation.copiesOf("a") == 0) {
        simulation.step();
    }
    simulation.run(500ms);
    simulation.engines[EndpointId{"r1"}].restart({});
    replaceModel(simulation, "a", "b");
    simulation.run(30s);
    BOOST_TEST(!simulation.overcommitted());
    BOOST_TEST(simulation.copiesOf("b") == 1U);
}

BOOST_AUTO_TEST_CASE(versionChangeWithoutMemoryForBothKeepsTheServingCopy)
{
    Simulation simulation = oneRunner(FencingMode::Checked);
    simulation.elect(0);
    simulation.run(10s);
    simulation.addModel("a", gigabytes(12), "v2");
    simulation.publishState();
    simulation.run(10s);
    BOOST_TEST(!simulation.overcommitted());
    BOOST_TEST(simulation.copiesOf("a", "v1") == 1U);
    const bool shortageReported = std::any_of(
        simulation.journal.begin(), simulation.journal.end(), [](const JournalLine &line) { return line.kind == JournalKind::NoRoom; });
    BOOST_TEST(shortageReported);
    simulation.addRunner("r2", "dc2", gigabytes(20), FencingMode::Checked);
    simulation.publishState();
    for (int steps = 0; steps < 300; ++steps) {
        simulation.step();
        BOOST_REQUIRE(simulation.copiesOf("a") >= 1);
    }
    BOOST_TEST(simulation.copiesOf("a", "v2") == 2U);
    BOOST_TEST(simulation.copiesOf("a", "v1") == 0U);
}

BOOST_AUTO_TEST_CASE(evictionIsNotRepeatedAfterTheOtherCopyWasLost)
{
    Simulation simulation = twoRunners();
    simulation.elect(0);
    simulation.run(20s);
    BOOST_REQUIRE(simulation.copiesOf("a") == 2);
    simulation.state.endpoints.at(EndpointId{"r1"}).phase = EndpointPhase::Draining;
    simulation.publishState();
    simulation.onSend = [&](const Order &order) {
        if (order.action == OrderAction::Evict) {
            simulation.engines[EndpointId{"r2"}].up = false;
        }
        return order.action != OrderAction::Evict;
    };
    while (simulation.engines[EndpointId{"r2"}].up) {
        simulation.step();
    }
    simulation.run(2500ms);
    simulation.onSend = nullptr;
    simulation.run(10s);
    BOOST_TEST(simulation.copiesOf("a") == 1U);
}

BOOST_AUTO_TEST_CASE(slowStoreLoadsUnreachableModelsFirst)
{
    ControllerOptions options = fastOptions();
    options.loads = {0.5, 2, 90};
    Simulation simulation(Seed, options);
    for (int runner = 0; runner < 4; ++runner) {
        simulation.addRunner("r" + std::to_string(runner), "dc" + std::to_string(runner % 2), gigabytes(60), FencingMode::Checked);
    }
    for (int model = 0; model < 8; ++model) {
        simulation.addModel("m" + std::to_string(model), gigabytes(10));
    }
    simulation.publishState();
    std::set<ModelId> ordered;
    std::size_t loads = 0;
    simulation.onSend = [&](const Order &order) {
        ordered.insert(order.item.model);
        ++loads;
        BOOST_TEST((ordered.size() == loads || ordered.size() == 8U));
        return true;
    };
    simulation.elect(0);
    simulation.run(2s + 16s + 3s);
    BOOST_TEST(simulation.modelsWithoutCopy().empty());
    simulation.run(30s);
    BOOST_TEST(loads == 16U);
}

BOOST_AUTO_TEST_CASE(adapterLoadsStayWithinTheConcurrencyLimit)
{
    constexpr std::uint32_t Limit = 20;
    ControllerOptions options = fastOptions();
    options.loads.concurrentAdapterLoads = Limit;
    Simulation simulation(Seed, options);
    simulation.addRunner("r1", "dc1", gigabytes(100), FencingMode::Checked);
    simulation.addModel("a", gigabytes(12));
    DemandSample sample;
    for (int adapter = 0; adapter < 60; ++adapter) {
        const std::string name = "x" + std::to_string(adapter);
        simulation.addAdapter(name, "a", gigabytes(1), false);
        sample.adapters.push_back({AdapterId{name}, 5});
    }
    simulation.publishState();
    simulation.elect(0);
    simulation.run(10s);
    simulation.leadingController().onDemand(sample, simulation.now);
    std::size_t most = 0;
    for (int steps = 0; steps < 300; ++steps) {
        simulation.step();
        most = std::max(most, simulation.engines[EndpointId{"r1"}].loading.size());
    }
    BOOST_TEST(most <= Limit);
    BOOST_TEST(simulation.engines[EndpointId{"r1"}].contents.size() == 61U);
}

BOOST_AUTO_TEST_CASE(drainingADataCentreKeepsAllModelsReachable)
{
    Simulation simulation(Seed);
    for (int runner = 0; runner < 6; ++runner) {
        simulation.addRunner("r" + std::to_string(runner), "dc" + std::to_string(runner % 3), gigabytes(40), FencingMode::Checked);
    }
    for (int model = 0; model < 7; ++model) {
        simulation.addModel("m" + std::to_string(model), gigabytes(12));
    }
    simulation.publishState();
    simulation.elect(0);
    simulation.run(40s);
    for (const char *runner : {"r0", "r3"}) {
        simulation.state.endpoints.at(EndpointId{runner}).phase = EndpointPhase::Draining;
    }
    simulation.publishState();
    for (int steps = 0; steps < 600; ++steps) {
        simulation.step();
        BOOST_REQUIRE(simulation.modelsWithoutCopy().empty());
    }
    BOOST_TEST(simulation.engines[EndpointId{"r0"}].contents.empty());
    BOOST_TEST(simulation.engines[EndpointId{"r3"}].contents.empty());
}

BOOST_AUTO_TEST_CASE(undeclaredContentsOfAReturnedRunnerAreEvicted)
{
    Simulation simulation = twoRunners();
    simulation.elect(0);
    simulation.run(20s);
    Engine &engine = simulation.engines[EndpointId{"r1"}];
    engine.restart({{{ModelId{"stranger"}, AdapterId{}, VersionId{"x"}}, gigabytes(15)}});
    simulation.run(20s);
    BOOST_TEST(!simulation.overcommitted());
    BOOST_TEST(engine.contents.size() == 1U);
    BOOST_TEST(simulation.copiesOf("a") == 2U);
}
