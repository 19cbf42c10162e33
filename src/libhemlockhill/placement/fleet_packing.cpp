// Packing of cold models: moves them together onto fewer runners.
#include "hemlockhill/fleet_placement.h"

#include "fleet_targets.h"
#include "model_places.h"

#include <algorithm>
#include <cmath>

namespace Hemlockhill
{

bool FleetPlacement::isCold(const ModelId &model) const
{
    const ModelState &state = stateOf(model);
    return state.copies == 1 && state.work < m_limits.coldThreshold;
}

double FleetPlacement::coldWeights(const Runner &runner, const EngineProfile &profile) const
{
    double weights = 0;
    for (const RoutingTarget &target : runner.held) {
        const auto model = profile.models.find(target.model);
        const bool counts = target.adapter.empty() && model != profile.models.end() && isCold(target.model);
        weights += counts ? model->second.weights.value : 0;
    }
    return weights;
}

double FleetPlacement::displacedLargeCopies(const Runner &runner, const EngineProfile &profile, double weights) const
{
    const double cold = coldWeights(runner, profile);
    return largeCopiesThatFit(profile, cold) - largeCopiesThatFit(profile, cold + weights);
}

std::vector<FleetPlacement::ColdCopy> FleetPlacement::movableColdCopies(const ServiceId &service, const EngineProfile &profile) const
{
    std::vector<ColdCopy> copies;
    for (const auto &[id, runner] : m_runners) {
        if (runner.live.service != service || runner.live.leaving || isBusyWithModel(runner)) {
            continue;
        }
        const double cold = coldWeights(runner, profile);
        for (const RoutingTarget &target : runner.held) {
            const auto model = profile.models.find(target.model);
            if (!target.adapter.empty() || model == profile.models.end() || !isCold(target.model)) {
                continue;
            }
            const double gain = largeCopiesThatFit(profile, cold - model->second.weights.value) - largeCopiesThatFit(profile, cold);
            if (gain > 0) {
                copies.push_back({&runner, &model->second, gain});
            }
        }
    }
    std::sort(copies.begin(), copies.end(), [](const ColdCopy &left, const ColdCopy &right) {
        return left.model->weights.value < right.model->weights.value;
    });
    return copies;
}

// Selects one or two of the lightest cold models to move to the runner, such that more copies of large models fit in the fleet.
std::optional<FleetPlacement::PackingStep>
FleetPlacement::packingStep(Runner &runner, const EngineProfile &profile, const std::vector<ColdCopy> &movable, bool storeAvailable) const
{
    const double cold = coldWeights(runner, profile);
    double freeWeights = profile.weightCapacity.value - runner.usedWeights;
    std::optional<ModelId> evicted;
    for (const RoutingTarget &target : runner.held) {
        const ModelState &state = stateOf(target.model);
        const bool isIdleCopy =
            target.adapter.empty() && state.readyCopies >= 2 && workWithOneCopyLess(target.model) < m_limits.coldThreshold;
        const auto model = profile.models.find(target.model);
        if (!evicted && isIdleCopy && model != profile.models.end()) {
            evicted = target.model;
            freeWeights += model->second.weights.value;
        }
    }
    PackingStep step{&runner, nullptr, std::nullopt, 0};
    double added = 0;
    double gain = 0;
    const Runner *firstSource = nullptr;
    for (const ColdCopy &copy : movable) {
        const bool isOther = copy.runner != &runner && copy.runner != firstSource;
        const double weights = added + copy.model->weights.value;
        if (!isOther || weights > freeWeights || (!storeAvailable && !loadsWithoutStore(runner, copy.model->id))) {
            continue;
        }
        const bool isFirst = step.model == nullptr;
        step.model = isFirst ? copy.model : step.model;
        added = weights;
        gain += copy.gain;
        step.gain = gain - (largeCopiesThatFit(profile, cold) - largeCopiesThatFit(profile, cold + added));
        if (step.gain > 0 || !isFirst) {
            break;
        }
        firstSource = copy.runner;
    }
    if (step.model == nullptr || step.gain <= 0) {
        return std::nullopt;
    }
    if (step.model->weights.value > profile.weightCapacity.value - runner.usedWeights) {
        step.evicted = evicted;
    }
    return step;
}

void FleetPlacement::packColdModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    if (!mayPreload() || now - m_packedAt < m_limits.packingPeriod) {
        return;
    }
    m_packedAt = now;
    const bool storeAvailable = storeRateAllows(profile, now);
    const std::vector<ColdCopy> movable = movableColdCopies(service, profile);
    std::optional<PackingStep> best;
    for (auto &[id, runner] : m_runners) {
        if (runner.live.service != service || !takesOrders(runner, now) || isBusyWithModel(runner)) {
            continue;
        }
        const auto step = packingStep(runner, profile, movable, storeAvailable);
        const bool isBetter = step && (!best || step->gain > best->gain || (step->gain == best->gain && best->evicted && !step->evicted));
        if (isBetter) {
            best = step;
        }
    }
    if (!best) {
        return;
    }
    if (best->evicted) {
        orders.push_back(order(*best->runner, RunnerOperation::Unload, baseOf(*best->evicted)));
        best->runner->reservedUntil = now + m_limits.packingReservation;
        return;
    }
    best->runner->reservedUntil = TimePoint{};
    orders.push_back(orderLoad(*best->runner, *best->model, now));
}

} // namespace Hemlockhill
