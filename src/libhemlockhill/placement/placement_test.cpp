// Tests of the placement objective, the load budget, demand estimates and feasibility.
#include "hemlockhill/demand.h"
#include "hemlockhill/load_budget.h"
#include "hemlockhill/placement.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace std::chrono_literals;

namespace
{

PlacementInput region(int runners, int models, std::uint64_t memory)
{
    PlacementInput input;
    for (int index = 0; index < runners; ++index) {
        PlacementRunner runner;
        runner.id = EndpointId{"r" + std::to_string(index)};
        runner.dataCentre = DataCentreId{"dc" + std::to_string(index % 2)};
        runner.limit = Bytes{memory};
        runner.slots = 10;
        input.runners.push_back(runner);
    }
    for (int index = 0; index < models; ++index) {
        PlacementModel model;
        model.id = ModelId{"m" + std::to_string(index)};
        model.bytes = Bytes{10};
        input.models.push_back(model);
    }
    return input;
}

RegionState declared(std::uint64_t memory, std::initializer_list<std::uint64_t> weights)
{
    RegionState state;
    Endpoint endpoint;
    endpoint.id = EndpointId{"r1"};
    endpoint.memory = Bytes{memory};
    state.endpoints[endpoint.id] = endpoint;
    for (const std::uint64_t bytes : weights) {
        Model model;
        model.id = ModelId{"m" + std::to_string(state.models.size())};
        model.weights = Bytes{bytes};
        state.models[model.id] = model;
    }
    return state;
}

void sampleFor(Demand &demand, TimePoint &now, Duration time, std::uint64_t requests)
{
    for (const TimePoint end = now + time; now < end; now += 1s) {
        demand.sample({1s, {{ModelId{"m"}, requests, 0}}, {}}, now);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(everyModelGetsACopyInASecondDataCentreIfMemoryAllows)
{
    Placement placement(region(4, 6, 40), {});
    placement.compute();
    for (std::uint32_t model = 0; model < 6; ++model) {
        BOOST_TEST(placement.servingCopies(model) == 2U);
    }
    Placement tight(region(4, 6, 20), {});
    tight.compute();
    for (std::uint32_t model = 0; model < 6; ++model) {
        BOOST_TEST(tight.servingCopies(model) >= 1U);
    }
}

BOOST_AUTO_TEST_CASE(popularModelReplacesRedundantCopiesButNeverALastCopy)
{
    PlacementInput input = region(4, 6, 20);
    input.models[0].slots = 30;
    input.models[0].longTermSlots = 30;
    Placement placement(input, {});
    placement.compute();
    BOOST_TEST(placement.servingCopies(0) == 3U);
    for (std::uint32_t model = 1; model < 6; ++model) {
        BOOST_TEST(placement.servingCopies(model) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(moveIsMadeOnlyIfItsGainExceedsItsCost)
{
    PlacementInput input = region(2, 1, 20);
    input.models[0].minimumCopies = 1;
    input.runners[1].dataCentre = input.runners[0].dataCentre;
    input.models[0].slots = 9;
    input.models[0].longTermSlots = 9;
    PlacementOptions expensive;
    expensive.moveCost = 10'000;
    Placement unmoved(input, expensive);
    unmoved.compute();
    BOOST_TEST(unmoved.servingCopies(0) == 1U);
    Placement spread(input, {});
    spread.compute();
    BOOST_TEST(spread.servingCopies(0) == 2U);
}

BOOST_AUTO_TEST_CASE(relocationDefragmentsMemory)
{
    PlacementInput input = region(2, 3, 30);
    input.models[2].bytes = Bytes{25};
    input.copies = {{0, 0, CopyPhase::Serving, false, Bytes{10}}, {1, 1, CopyPhase::Serving, false, Bytes{10}}};
    Placement placement(input, {});
    placement.compute();
    BOOST_TEST(placement.servingCopies(2) == 1U);
    BOOST_TEST(placement.shortages().size() >= 1U);
}

BOOST_AUTO_TEST_CASE(relocatedCopyIsEvictedOnlyAfterItsReplacementIsLoaded)
{
    PlacementInput input = region(2, 3, 20);
    input.models[0].slots = 30;
    input.models[0].longTermSlots = 30;
    input.copies = {{0, 0, CopyPhase::Serving, false, Bytes{10}},
                    {1, 1, CopyPhase::Serving, false, Bytes{10}},
                    {2, 1, CopyPhase::Serving, false, Bytes{10}}};
    PlacementInput roomy = input;
    roomy.runners[0].limit = Bytes{30};
    Placement first(roomy, {});
    const auto moves = first.step();
    BOOST_REQUIRE(moves.size() == 1U);
    BOOST_TEST((moves[0].load && moves[0].reason == MoveReason::Room && moves[0].runner.value == "r0"));
    const auto meanwhile = first.step();
    BOOST_TEST(std::none_of(
        meanwhile.begin(), meanwhile.end(), [](const PlacementMove &move) { return !move.load || move.reason == MoveReason::Room; }));
    Placement placement(input, {});
    placement.compute();
    BOOST_TEST(placement.servingCopies(0) == 2U);
    BOOST_TEST(placement.servingCopies(1) == 1U);
    BOOST_TEST(placement.servingCopies(2) == 1U);
}

// Overloaded copies of the former version fill all runners, so that the declared version can only replace them one by one.
BOOST_AUTO_TEST_CASE(versionChangeStallsWhileOverloadedFormerCopiesFillAllRunners)
{
    PlacementInput input = region(3, 1, 10);
    input.models[0].slots = 30;
    input.models[0].longTermSlots = 30;
    input.copies = {{0, 0, CopyPhase::Serving, true, Bytes{10}},
                    {0, 1, CopyPhase::Serving, true, Bytes{10}},
                    {0, 2, CopyPhase::Serving, false, Bytes{10}}};
    PlacementInput evicting = input;
    evicting.copies[0].phase = CopyPhase::Evicting;
    BOOST_TEST(Placement(evicting, {}).step().empty());
    Placement placement(input, {});
    const auto moves = placement.compute();
    BOOST_TEST(std::count_if(moves.begin(), moves.end(), [](const PlacementMove &move) { return move.obsolete; }) == 2);
    BOOST_TEST(std::count_if(moves.begin(), moves.end(), [](const PlacementMove &move) { return move.load; }) == 2);
    BOOST_TEST(placement.servingCopies(0) == 3U);
}

BOOST_AUTO_TEST_CASE(pinnedModelIsPlacedOnItsRunner)
{
    PlacementInput input = region(3, 2, 20);
    input.models[0].pinnedOn = {2};
    Placement placement(input, {});
    const auto moves = placement.compute();
    BOOST_TEST(std::count_if(moves.begin(), moves.end(), [](const PlacementMove &move) { return move.runner.value == "r2"; }) >= 1);
}

BOOST_AUTO_TEST_CASE(infeasibleDeclarationReportsTheMissingMemory)
{
    BOOST_TEST(!findInfeasibility(declared(30, {10, 20})));
    const auto refusal = findInfeasibility(declared(30, {10, 25}));
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->reason == Reason::InsufficientMemory));
    BOOST_TEST(refusal->detail.find("missing 5B") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(loadPurposesAreLimitedToTheirRatioOfTheSlots)
{
    LoadBudget budget({1.0, 10, 90});
    TimePoint now{100s};
    BOOST_TEST(!budget.takeModelLoad(LoadPurpose::Balance, 5, now));
    BOOST_TEST(!budget.takeModelLoad(LoadPurpose::Attainment, 7, now));
    BOOST_TEST(budget.takeModelLoad(LoadPurpose::Reachability, 9, now));
    BOOST_TEST(!budget.takeModelLoad(LoadPurpose::Reachability, 0, now));
    now += 1s;
    BOOST_TEST(budget.takeModelLoad(LoadPurpose::Reachability, 0, now));
    BOOST_TEST(budget.takeAdapterLoad(89));
    BOOST_TEST(!budget.takeAdapterLoad(90));
}

BOOST_AUTO_TEST_CASE(demandRisesQuicklyFallsSlowlyAndIgnoresBurstsInTheLongTerm)
{
    Demand demand;
    TimePoint now{100s};
    sampleFor(demand, now, 10min, 10);
    sampleFor(demand, now, 30s, 100);
    const DemandEstimate burst = demand.model(ModelId{"m"});
    BOOST_TEST(burst.rate > 60);
    BOOST_TEST(burst.longTermRate < 30);
    sampleFor(demand, now, 2min, 10);
    BOOST_TEST(demand.model(ModelId{"m"}).rate > 50);
    sampleFor(demand, now, 10min, 100);
    BOOST_TEST(demand.model(ModelId{"m"}).longTermRate > 90);
    sampleFor(demand, now, 2h, 0);
    BOOST_TEST(demand.model(ModelId{"m"}).rate < 1);
}

// The first interval ends before any of its requests has been served.
BOOST_AUTO_TEST_CASE(defaultServiceTimeOutlastsTheFirstMeasurement)
{
    Demand demand;
    demand.sample({1s, {{ModelId{"m"}, 10, 0}}, {}}, TimePoint{100s});
    BOOST_TEST(demand.model(ModelId{"m"}).serviceSeconds == DemandOptions().defaultServiceSeconds);
    demand.sample({1s, {{ModelId{"m"}, 10, 0.5}}, {}}, TimePoint{101s});
    BOOST_TEST(demand.model(ModelId{"m"}).serviceSeconds == 0.05);
}
