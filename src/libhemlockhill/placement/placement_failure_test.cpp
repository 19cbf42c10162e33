// One failure at a time, each against the mechanism that answers it.
#include "test_world.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::PlacementTest;

namespace
{

constexpr std::uint32_t Seed = 7;

World oneRunner(FencingMode mode)
{
    World world(Seed);
    world.addRunner("r1", "dc1", gigabytes(20), mode);
    world.addModel("a", gigabytes(12));
    world.publishState();
    return world;
}

World twoRunners()
{
    World world(Seed);
    world.addRunner("r1", "dc1", gigabytes(20), FencingMode::Checked);
    world.addRunner("r2", "dc2", gigabytes(20), FencingMode::Checked);
    world.addModel("a", gigabytes(12));
    world.publishState();
    return world;
}

void replaceModel(World &world, const std::string &former, const std::string &latter)
{
    world.state.models.erase(ModelId{former});
    world.addModel(latter, gigabytes(12));
    world.publishState();
}

// Keeps the first load back and delivers it late, when nobody waits for its answer any more.
void delayFirstLoad(World &world, Duration by)
{
    world.onSend = [&world, by, kept = false](const Order &order) mutable {
        if (!kept) {
            kept = true;
            world.delayed = order;
            world.after(by, [&world] { world.hastenDelayed(true); });
        }
        return false;
    };
}

} // namespace

BOOST_AUTO_TEST_CASE(lateLoadAfterItsModelWasReplaced)
{
    World world = oneRunner(FencingMode::Checked);
    delayFirstLoad(world, 1900ms);
    world.elect(0);
    while (world.lead().memory().empty() || world.lead().memory().front().openOrders == 0) {
        world.step();
    }
    replaceModel(world, "a", "b");
    world.run(1s);
    world.onSend = nullptr;
    world.run(30s);
    BOOST_TEST(!world.overcommitted());
    BOOST_TEST(world.copiesOf("b") == 1U);
    BOOST_TEST(world.copiesOf("a") == 0U);
}

BOOST_AUTO_TEST_CASE(loadOfFormerLeaderArrivesAtTheNewOnesEngine)
{
    for (const FencingMode mode : {FencingMode::Checked, FencingMode::Ignored}) {
        World world = oneRunner(mode);
        delayFirstLoad(world, 1900ms);
        world.elect(0);
        while (world.lead().memory().empty() || world.lead().memory().front().openOrders == 0) {
            world.step();
        }
        replaceModel(world, "a", "b");
        world.elect(1);
        world.onSend = [&world](const Order &order) {
            world.hastenDelayed(order.item.model == ModelId{"b"});
            return true;
        };
        world.run(30s);
        BOOST_TEST(!world.overcommitted());
        BOOST_TEST(world.copiesOf("b") == 1U);
    }
}

BOOST_AUTO_TEST_CASE(newLeaderWaitsForLateOrdersWhereFencingIsIgnored)
{
    World world = oneRunner(FencingMode::Ignored);
    delayFirstLoad(world, 60s);
    world.elect(0);
    while (world.lead().memory().empty() || world.lead().memory().front().openOrders == 0) {
        world.step();
    }
    world.addModel("b", gigabytes(2));
    world.publishState();
    world.elect(1);
    TimePoint firstOrder = TimePoint::max();
    world.onSend = [&](const Order &order) {
        firstOrder = order.fencing.value > 1 ? std::min(firstOrder, world.now) : firstOrder;
        return true;
    };
    const TimePoint takenOver = world.now;
    world.run(20s);
    BOOST_TEST((firstOrder - takenOver >= fastOptions().bounds.maxOrderDelay + fastOptions().bounds.maxFormerLeaderTime));
    BOOST_TEST(world.copiesOf("a") == 1U);
}

BOOST_AUTO_TEST_CASE(repeatedLoadReachesRestartedEngine)
{
    World world = oneRunner(FencingMode::Ignored);
    bool repeated = false;
    world.onSend = [&](const Order &order) {
        if (!repeated) {
            repeated = true;
            world.after(1900ms, [&world, order] { world.engines[order.endpoint].receive(order, world.now); });
        }
        return true;
    };
    world.elect(0);
    while (world.copiesOf("a") == 0) {
        world.step();
    }
    world.run(500ms);
    world.engines[EndpointId{"r1"}].restart({});
    replaceModel(world, "a", "b");
    world.run(30s);
    BOOST_TEST(!world.overcommitted());
    BOOST_TEST(world.copiesOf("b") == 1U);
}

BOOST_AUTO_TEST_CASE(twoVersionsWithoutRoomForBoth)
{
    World world = oneRunner(FencingMode::Checked);
    world.elect(0);
    world.run(10s);
    world.addModel("a", gigabytes(12), "v2");
    world.publishState();
    world.run(10s);
    BOOST_TEST(!world.overcommitted());
    BOOST_TEST(world.copiesOf("a", "v1") == 1U);
    const bool said =
        std::any_of(world.journal.begin(), world.journal.end(), [](const JournalLine &line) { return line.kind == JournalKind::NoRoom; });
    BOOST_TEST(said);
    world.addRunner("r2", "dc2", gigabytes(20), FencingMode::Checked);
    world.publishState();
    for (int steps = 0; steps < 300; ++steps) {
        world.step();
        BOOST_REQUIRE(world.copiesOf("a") >= 1);
    }
    BOOST_TEST(world.copiesOf("a", "v2") == 2U);
    BOOST_TEST(world.copiesOf("a", "v1") == 0U);
}

BOOST_AUTO_TEST_CASE(runnerOfOtherCopyDiesBeforeEvictionIsSentAgain)
{
    World world = twoRunners();
    world.elect(0);
    world.run(20s);
    BOOST_REQUIRE(world.copiesOf("a") == 2);
    world.state.endpoints.at(EndpointId{"r1"}).phase = EndpointPhase::Draining;
    world.publishState();
    world.onSend = [&](const Order &order) {
        if (order.action == OrderAction::Evict) {
            world.engines[EndpointId{"r2"}].up = false;
        }
        return order.action != OrderAction::Evict;
    };
    while (world.engines[EndpointId{"r2"}].up) {
        world.step();
    }
    world.run(2500ms);
    world.onSend = nullptr;
    world.run(10s);
    BOOST_TEST(world.copiesOf("a") == 1U);
}

BOOST_AUTO_TEST_CASE(slowStoreServesReachabilityFirst)
{
    ControllerOptions options = fastOptions();
    options.loads = {0.5, 2, 90};
    World world(Seed, options);
    for (int runner = 0; runner < 4; ++runner) {
        world.addRunner("r" + std::to_string(runner), "dc" + std::to_string(runner % 2), gigabytes(60), FencingMode::Checked);
    }
    for (int model = 0; model < 8; ++model) {
        world.addModel("m" + std::to_string(model), gigabytes(10));
    }
    world.publishState();
    std::set<ModelId> ordered;
    std::size_t loads = 0;
    world.onSend = [&](const Order &order) {
        ordered.insert(order.item.model);
        ++loads;
        BOOST_TEST((ordered.size() == loads || ordered.size() == 8U));
        return true;
    };
    world.elect(0);
    world.run(2s + 16s + 3s);
    BOOST_TEST(world.unreachable().empty());
    world.run(30s);
    BOOST_TEST(loads == 16U);
}

BOOST_AUTO_TEST_CASE(allAdaptersAtOnceStayWithinFullSpeed)
{
    constexpr std::uint32_t Limit = 20;
    ControllerOptions options = fastOptions();
    options.loads.concurrentAdapterLoads = Limit;
    World world(Seed, options);
    world.addRunner("r1", "dc1", gigabytes(100), FencingMode::Checked);
    world.addModel("a", gigabytes(12));
    DemandSample sample;
    for (int adapter = 0; adapter < 60; ++adapter) {
        const std::string name = "x" + std::to_string(adapter);
        world.addAdapter(name, "a", gigabytes(1), false);
        sample.adapters.push_back({AdapterId{name}, 5});
    }
    world.publishState();
    world.elect(0);
    world.run(10s);
    world.lead().onDemand(sample, world.now);
    std::size_t most = 0;
    for (int steps = 0; steps < 300; ++steps) {
        world.step();
        most = std::max(most, world.engines[EndpointId{"r1"}].loading.size());
    }
    BOOST_TEST(most <= Limit);
    BOOST_TEST(world.engines[EndpointId{"r1"}].contents.size() == 61U);
}

BOOST_AUTO_TEST_CASE(dataCentreIsDrainedCopyByCopy)
{
    World world(Seed);
    for (int runner = 0; runner < 6; ++runner) {
        world.addRunner("r" + std::to_string(runner), "dc" + std::to_string(runner % 3), gigabytes(40), FencingMode::Checked);
    }
    for (int model = 0; model < 7; ++model) {
        world.addModel("m" + std::to_string(model), gigabytes(12));
    }
    world.publishState();
    world.elect(0);
    world.run(40s);
    for (const char *runner : {"r0", "r3"}) {
        world.state.endpoints.at(EndpointId{runner}).phase = EndpointPhase::Draining;
    }
    world.publishState();
    for (int steps = 0; steps < 600; ++steps) {
        world.step();
        BOOST_REQUIRE(world.unreachable().empty());
    }
    BOOST_TEST(world.engines[EndpointId{"r0"}].contents.empty());
    BOOST_TEST(world.engines[EndpointId{"r3"}].contents.empty());
}

BOOST_AUTO_TEST_CASE(runnerReturnsWithOtherContents)
{
    World world = twoRunners();
    world.elect(0);
    world.run(20s);
    Engine &engine = world.engines[EndpointId{"r1"}];
    engine.restart({{{ModelId{"stranger"}, AdapterId{}, VersionId{"x"}}, gigabytes(15)}});
    world.run(20s);
    BOOST_TEST(!world.overcommitted());
    BOOST_TEST(engine.contents.size() == 1U);
    BOOST_TEST(world.copiesOf("a") == 2U);
}
