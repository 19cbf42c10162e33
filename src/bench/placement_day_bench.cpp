// Simulates a day of each deployment in virtual time, under the placement controller and under two baseline policies.
// Prints one line per metric: name, value, unit, target, and holds or short.
#include "placement_policies.h"

#include <boost/program_options.hpp>

#include <iostream>

using namespace Hemlockhill;
using namespace Hemlockhill::PlacementBench;

namespace
{

constexpr std::uint32_t DefaultSeed = 20'260'601;
constexpr double MinAttainmentRatio = 1.3;
constexpr double MaxMovesRatio = 0.3;

Deployment himal()
{
    return {"himal", 12, 3, 20, 60, {1.4, 11, 90}, 1.0, 0.3, false};
}

Deployment malgeun()
{
    return {"malgeun", 9, 4, 13, 60, {1.2, 7, 55}, 0.3, 1.0, true};
}

ControllerOptions optionsFor(const Deployment &deployment)
{
    ControllerOptions options;
    options.loads = deployment.loads;
    options.placement.attainmentWeight = deployment.attainmentWeight;
    options.placement.moveWeight = deployment.moveWeight;
    return options;
}

DayResult runDay(const Deployment &deployment, const Day &day, const Policy &policy)
{
    Fleet fleet(deployment, day);
    const DayResult result = fleet.run(policy);
    std::cout << "# " << deployment.name << ' ' << policy.name << ": attainment " << result.attainment << ", moves " << result.moves
              << " (adapters " << result.adapterMoves << ")"
              << ", unreachable minutes " << result.unreachableMinutes << ", requests " << result.requests
              << (result.overcommitted ? ", MEMORY OVERCOMMITTED" : "") << std::endl;
    return result;
}

bool reportMetric(const std::string &name, double value, const std::string &unit, const std::string &target, bool holds)
{
    std::cout << name << ' ' << value << ' ' << unit << ' ' << target << ' ' << (holds ? "holds" : "short") << std::endl;
    return holds;
}

struct Comparison {
    DayResult staticPlacement;
    DayResult onDemand;
    DayResult controller;

    double bestBaselineAttainment() const { return std::max(staticPlacement.attainment, onDemand.attainment); }
};

Comparison compare(const Deployment &deployment, std::uint32_t seed)
{
    const Day day(deployment, seed);
    Comparison comparison;
    comparison.staticPlacement = runDay(deployment, day, staticSpread());
    comparison.onDemand = runDay(deployment, day, onDemandLru(deployment));
    // For reference, not baselines: the cost to on-demand loading of keeping every model reachable, and the bound set by the slots alone.
    runDay(deployment, day, onDemandLru(deployment, true));
    runDay(deployment, day, unlimitedMemory());
    comparison.controller = runDay(deployment, day, controllerPolicy("placement", optionsFor(deployment)));
    return comparison;
}

bool reportCommon(const std::string &name, const Comparison &comparison)
{
    const int minutes = comparison.controller.unreachableMinutes;
    bool holds = reportMetric("placement_" + name + "_unreachable", minutes, "min", "0", minutes == 0);
    holds = reportMetric("placement_" + name + "_overcommitted",
                         comparison.controller.overcommitted ? 1 : 0,
                         "times",
                         "0",
                         !comparison.controller.overcommitted)
            && holds;
    return holds;
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::uint32_t seed = DefaultSeed;
    options::options_description description;
    description.add_options()("seed", options::value(&seed), "seed of the day");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    std::cout << "# seed " << seed << '\n';

    const Deployment first = himal();
    const Comparison himalDay = compare(first, seed);
    const double ratio = himalDay.controller.attainment / himalDay.bestBaselineAttainment();
    bool holds =
        reportMetric("placement_himal_attainment_per_accelerator", ratio, "of_better_baseline", ">=1.3", ratio >= MinAttainmentRatio);
    holds = reportCommon("himal", himalDay) && holds;

    const Deployment second = malgeun();
    const Comparison malgeunDay = compare(second, seed);
    const double moves = static_cast<double>(malgeunDay.controller.moves) / static_cast<double>(malgeunDay.onDemand.moves);
    holds = reportMetric("placement_malgeun_moves", moves, "of_on_demand", "<=0.3", moves <= MaxMovesRatio) && holds;
    const double attainmentRatio = malgeunDay.controller.attainment / malgeunDay.onDemand.attainment;
    holds = reportMetric("placement_malgeun_attainment", attainmentRatio, "of_on_demand", ">=1", attainmentRatio >= 1) && holds;
    holds = reportCommon("malgeun", malgeunDay) && holds;
    return holds ? 0 : 1;
}
