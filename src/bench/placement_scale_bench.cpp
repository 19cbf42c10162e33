// Measures the time of a full placement and of one incremental step, for regions of increasing size.
// Prints one line per metric: name, value, unit, target, and holds or short.
#include "hemlockhill/placement.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>

using namespace Hemlockhill;

namespace
{

constexpr std::uint32_t Seed = 20'260'601;
constexpr int Repeats = 5;
constexpr int IncrementalSteps = 200;
constexpr double MaxFullMs = 50;
constexpr double MaxStepMs = 1;

double milliseconds(std::chrono::steady_clock::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

PlacementInput region(std::uint32_t models, std::uint32_t runners)
{
    boost::random::mt19937 random(Seed);
    boost::random::uniform_int_distribution<std::uint64_t> gigabytes(10, 40);
    PlacementInput input;
    for (std::uint32_t index = 0; index < runners; ++index) {
        PlacementRunner runner;
        runner.id = EndpointId{"r" + std::to_string(index)};
        runner.dataCentre = DataCentreId{"dc" + std::to_string(index % 11)};
        runner.limit = Bytes{160'000'000'000};
        input.runners.push_back(std::move(runner));
    }
    double weights = 0;
    for (std::uint32_t index = 0; index < models; ++index) {
        PlacementModel model;
        model.id = ModelId{"m" + std::to_string(index)};
        model.bytes = Bytes{gigabytes(random) * 1'000'000'000};
        model.slots = 1.0 / (1 + index);
        weights += model.slots;
        input.models.push_back(std::move(model));
    }
    // Scales demand to half of all slots.
    for (PlacementModel &model : input.models) {
        model.slots *= runners * 16 * 0.5 / weights;
        model.longTermSlots = model.slots;
    }
    return input;
}

struct Timing {
    double fullMs = 0;
    double worstStepP95Ms = 0;
    std::size_t moves = 0;
};

Timing measure(std::uint32_t models, std::uint32_t runners)
{
    std::vector<double> fullTimesMs;
    Timing timing;
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        const PlacementInput input = region(models, runners);
        const auto start = std::chrono::steady_clock::now();
        Placement placement(input, {});
        timing.moves = placement.compute().size();
        fullTimesMs.push_back(milliseconds(std::chrono::steady_clock::now() - start));
        std::vector<double> stepTimesMs;
        for (int step = 0; step < IncrementalSteps; ++step) {
            const std::uint32_t model = static_cast<std::uint32_t>(step) % models;
            const double slots = placement.input().models[model].slots * (step % 2 == 0 ? 10 : 0.1);
            const auto stepStart = std::chrono::steady_clock::now();
            placement.setDemand(model, slots, slots);
            placement.step();
            stepTimesMs.push_back(milliseconds(std::chrono::steady_clock::now() - stepStart));
        }
        std::sort(stepTimesMs.begin(), stepTimesMs.end());
        timing.worstStepP95Ms = std::max(timing.worstStepP95Ms, stepTimesMs[stepTimesMs.size() * 95 / 100]);
    }
    std::sort(fullTimesMs.begin(), fullTimesMs.end());
    timing.fullMs = fullTimesMs[fullTimesMs.size() / 2];
    return timing;
}

bool reportMetric(const std::string &name, double value, const std::string &target, bool holds)
{
    std::cout << name << ' ' << value << " ms " << target << ' ' << (holds ? "holds" : "short") << std::endl;
    return holds;
}

} // namespace

int main()
{
    Timing last;
    for (const auto &[models, runners] : {std::pair{20U, 81U}, {39U, 163U}, {78U, 325U}, {155U, 650U}, {310U, 1300U}}) {
        last = measure(models, runners);
        std::cout << "# models " << models << " runners " << runners << ": full " << last.fullMs << " ms, " << last.moves
                  << " moves; step p95 " << last.worstStepP95Ms << " ms" << std::endl;
    }
    bool holds = reportMetric("placement_full_310_models_1300_runners", last.fullMs, "<=50", last.fullMs <= MaxFullMs);
    holds = reportMetric("placement_step_310_models_1300_runners", last.worstStepP95Ms, "<=1", last.worstStepP95Ms <= MaxStepMs) && holds;
    return holds ? 0 : 1;
}
