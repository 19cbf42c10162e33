// Decisions of fleet placement: which models and adapters are loaded and unloaded on which runner.
#include "hemlockhill/fleet_placement.h"

#include "fleet_targets.h"
#include "model_places.h"

#include <algorithm>
#include <limits>

namespace Hemlockhill
{

namespace
{

// Costs of one more copy on a runner, as a ratio of the runner's time.
constexpr double StoreLoadCost = 0.5;
constexpr double EvictionCost = 0.1;
// Additional cost of displacing the last copy of a model, and of one that is idle.
constexpr double LastCopyCost = 1;
constexpr double IdleLastCopyCost = 0.2;
// All models are kept loaded, requested or not, while they need at most this ratio of the places: the rest is for further copies.
constexpr double ResidentModelsRatio = 0.85;
// Work below which a model that nobody waits for is idle, as a ratio of a runner's time.
constexpr double IdleModelWork = 0.005;
// Copies of models that may be displaced at the same time, as a ratio of the runners; at least one.
constexpr double ConcurrentDisplacementRatio = 0.125;
// Cost of each copy of a large model that no longer fits next to the runner's cold models.
constexpr double PackingCost = 0.3;

} // namespace

std::vector<RunnerOrder> FleetPlacement::decide(TimePoint now)
{
    std::vector<RunnerOrder> orders;
    if (!m_deployment) {
        return orders;
    }
    updateModelStates(now);
    updateUnserved(now);
    for (const auto &[id, service] : m_deployment->services) {
        if (service.engine) {
            resolveUnknownOutcomes(id, *service.engine, now, orders);
            unloadWithdrawn(id, now, orders);
            placeAdapters(id, *service.engine, now, orders);
            placeModels(id, *service.engine, now, orders);
        }
    }
    return orders;
}

// Loads models without a copy first, those with waiting requests before others, then further copies of models whose copies are overloaded.
// In a large fleet, models without a copy leave a part of the loads to the latter: after the loss of many runners there may be more of them
// than loads.
void FleetPlacement::placeModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    struct Candidate {
        const EngineModel *model;
        double urgency;
    };
    m_allModelsFit = allModelsFit(service, profile);
    std::vector<Candidate> candidates;
    for (const auto &[id, model] : profile.models) {
        const ModelState &state = stateOf(id);
        if (state.copies == 0 || state.work / state.copies >= m_limits.replicationThreshold) {
            candidates.push_back({&model, urgency(id, now)});
        }
    }
    std::sort(
        candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) { return left.urgency > right.urgency; });
    updateRoomBeingMade(service, profile);
    const bool anyOverloaded = std::any_of(candidates.begin(), candidates.end(), [this](const Candidate &candidate) {
        return stateOf(candidate.model->id).copies > 0 && isOverloaded(candidate.model->id);
    });
    const bool isLargeFleet = loadLimit() > m_limits.concurrentLoads;
    const auto absentLimit = static_cast<std::uint32_t>((anyOverloaded && isLargeFleet ? m_limits.absentModelLoadRatio : 1) * loadLimit());
    for (const Candidate &candidate : candidates) {
        if (loadsInFlight() >= loadLimit()) {
            return;
        }
        if (stateOf(candidate.model->id).copies == 0 && absentModelLoads() >= absentLimit) {
            setObstacle(baseOf(candidate.model->id), PlacementObstacle::LoadsTaken);
            continue;
        }
        placeModel(service, profile, *candidate.model, now, orders);
    }
    packColdModels(service, profile, now, orders);
    preloadModels(service, profile, now, orders);
}

bool FleetPlacement::allModelsFit(const ServiceId &service, const EngineProfile &profile) const
{
    const auto runners = std::count_if(m_runners.begin(), m_runners.end(), [&service](const auto &entry) {
        return entry.second.live.service == service && !entry.second.live.leaving;
    });
    const double places = static_cast<double>(runners) * largeCopiesThatFit(profile, 0);
    return static_cast<double>(profile.models.size()) <= ResidentModelsRatio * places;
}

// Models without a copy rank first, by their waiting requests and by how long they have been unserved; the rest rank by work per copy.
// Where not all models fit, those that nobody requests come last.
double FleetPlacement::urgency(const ModelId &model, TimePoint now) const
{
    constexpr double AbsentModelUrgency = 1000;
    const ModelState &state = stateOf(model);
    if (state.copies > 0) {
        return state.work / state.copies;
    }
    if (!m_allModelsFit && !isRequested(model, now)) {
        return 0;
    }
    return AbsentModelUrgency + state.waiting + state.work + std::chrono::duration<double>(unservedFor(model, now)).count();
}

void FleetPlacement::resolveUnknownOutcomes(const ServiceId &service,
                                            const EngineProfile &profile,
                                            TimePoint now,
                                            std::vector<RunnerOrder> &orders)
{
    for (auto &[id, runner] : m_runners) {
        const bool isPending = runner.unresolvedOrder && runner.sequence == runner.unresolvedOrder->expected;
        if (runner.live.service != service || !isPending || !takesOrders(runner, now)) {
            continue;
        }
        const RunnerOrder unresolvedOrder = *runner.unresolvedOrder;
        const bool unloadsModel = unresolvedOrder.operation == RunnerOperation::Unload && unresolvedOrder.target.adapter.empty();
        if (!unloadsModel || stateOf(unresolvedOrder.target.model).readyCopies >= 2) {
            orders.push_back(order(runner, unresolvedOrder.operation, unresolvedOrder.target));
            continue;
        }
        // The model is needed again. Any other accepted order advances the sequence number, so that the lost one is refused when it arrives
        // late.
        const auto model = profile.models.find(unresolvedOrder.target.model);
        const bool canLoad = model != profile.models.end() && adapterFits(runner, profile, model->second);
        const auto wanted = canLoad ? mostRequestedAdapter(runner, model->first, now) : std::nullopt;
        if (wanted) {
            orders.push_back(order(runner, RunnerOperation::Load, *wanted));
        } else if (const auto unused = unusedAdapter(runner, now)) {
            orders.push_back(order(runner, RunnerOperation::Unload, *unused));
        }
    }
}

bool FleetPlacement::placeModel(
    const ServiceId &service, const EngineProfile &profile, const EngineModel &model, TimePoint now, std::vector<RunnerOrder> &orders)
{
    Runner *best = nullptr;
    double bestCost = 0;
    std::optional<Displacement> bestDisplacement;
    const bool storeAvailable = storeRateAllows(profile, now);
    const bool hasDemand = stateOf(model.id).work >= m_limits.coldThreshold;
    const bool mayDisplace = !isRoomBeingMade(model.id) && !takeRoomBeingMade(service, profile, model);
    PlacementObstacle obstacle = mayDisplace ? PlacementObstacle::NoRoom : PlacementObstacle::Displacing;
    for (auto &[id, runner] : m_runners) {
        if (runner.live.service != service || runner.live.leaving || runner.held.contains(baseOf(model.id))) {
            continue;
        }
        if (!takesOrders(runner, now) || isBusyWithModel(runner)) {
            obstacle = obstacle == PlacementObstacle::NoRoom ? PlacementObstacle::RunnersBusy : obstacle;
            continue;
        }
        const bool withoutStore = loadsWithoutStore(runner, model.id);
        if (!withoutStore && !storeAvailable) {
            obstacle = obstacle == PlacementObstacle::NoRoom ? PlacementObstacle::StoreRate : obstacle;
            continue;
        }
        const bool fits = runner.usedWeights + model.weights.value <= profile.weightCapacity.value;
        const auto displacement = fits || !mayDisplace ? std::nullopt : displacementFor(runner, profile, model, now);
        if (!fits && !displacement) {
            continue;
        }
        // Costs are ratios of a runner's time: a slow load delays requests, and an eviction adds work to the remaining copies of the
        // evicted model.
        const double packingCost = hasDemand ? 0 : PackingCost * displacedLargeCopies(runner, profile, model.weights.value);
        const double cost = runnerWork(runner) + (withoutStore ? 0 : StoreLoadCost) + (displacement ? displacement->cost : 0) + packingCost;
        if (best == nullptr || cost < bestCost) {
            best = &runner;
            bestCost = cost;
            bestDisplacement = displacement;
        }
    }
    if (best == nullptr) {
        setObstacle(baseOf(model.id), obstacle);
        return false;
    }
    if (bestDisplacement) {
        best->evictingFor = model.id;
        const double evicted = profile.models.at(bestDisplacement->model).weights.value;
        m_roomBeingMade[best->live.id] = profile.weightCapacity.value - best->usedWeights + evicted - model.weights.value;
        setObstacle(baseOf(model.id), PlacementObstacle::Displacing);
        orders.push_back(order(*best, RunnerOperation::Unload, baseOf(bestDisplacement->model)));
        return true;
    }
    setObstacle(baseOf(model.id), PlacementObstacle::None);
    orders.push_back(orderLoad(*best, model, now));
    return true;
}

// Returns the copy whose loss costs least, or empty if no copy that may go makes enough room.
std::optional<FleetPlacement::Displacement>
FleetPlacement::displacementFor(const Runner &runner, const EngineProfile &profile, const EngineModel &incoming, TimePoint now) const
{
    const auto makesRoom = [&](const std::optional<ModelId> &evicted) {
        const auto found = evicted ? profile.models.find(*evicted) : profile.models.end();
        return found != profile.models.end()
               && runner.usedWeights - found->second.weights.value + incoming.weights.value <= profile.weightCapacity.value;
    };
    std::optional<Displacement> cheapest;
    const auto redundant = evictableModel(runner, incoming.id, now);
    if (makesRoom(redundant)) {
        cheapest = Displacement{*redundant, EvictionCost + workWithOneCopyLess(*redundant)};
    }
    const auto last = evictableLastCopy(runner, incoming.id, now);
    if (makesRoom(last)) {
        const bool isIdle = idleFor(*last, now) >= m_limits.modelIdlePeriod;
        const double cost = EvictionCost + (isIdle ? IdleLastCopyCost : LastCopyCost) + stateOf(*last).work;
        if (!cheapest || cost < cheapest->cost) {
            cheapest = Displacement{*last, cost};
        }
    }
    return cheapest;
}

// Once copies that are being unloaded are gone, other models fit in their place too.
void FleetPlacement::updateRoomBeingMade(const ServiceId &service, const EngineProfile &profile)
{
    m_roomBeingMade.clear();
    for (const auto &[id, runner] : m_runners) {
        double unloading = 0;
        for (const RoutingTarget &target : runner.unloading) {
            const auto model = profile.models.find(target.model);
            unloading += target.adapter.empty() && model != profile.models.end() ? model->second.weights.value : 0;
        }
        if (runner.live.service != service || runner.live.leaving || unloading == 0) {
            continue;
        }
        const auto awaited = profile.models.find(runner.evictingFor);
        const bool isAwaited = awaited != profile.models.end() && stateOf(awaited->first).copies == 0;
        m_roomBeingMade[id] =
            profile.weightCapacity.value - runner.usedWeights + unloading - (isAwaited ? awaited->second.weights.value : 0);
    }
}

bool FleetPlacement::takeRoomBeingMade(const ServiceId &service, const EngineProfile &profile, const EngineModel &model)
{
    const bool fitsNow = std::any_of(m_runners.begin(), m_runners.end(), [&](const auto &entry) {
        const Runner &runner = entry.second;
        return runner.live.service == service && !runner.live.leaving
               && runner.usedWeights + model.weights.value <= profile.weightCapacity.value;
    });
    const auto room = std::find_if(
        m_roomBeingMade.begin(), m_roomBeingMade.end(), [&model](const auto &entry) { return entry.second >= model.weights.value; });
    if (fitsNow || room == m_roomBeingMade.end()) {
        return false;
    }
    room->second -= model.weights.value;
    return true;
}

// A load in the room that was made ends this, unless it is one of the model itself that is not overloaded: its next copy comes after this
// one.
bool FleetPlacement::isRoomBeingMade(const ModelId &model) const
{
    const bool awaitsOwnLoad = stateOf(model).copies > 0 && !isOverloaded(model);
    return std::any_of(m_runners.begin(), m_runners.end(), [&](const auto &entry) {
        const Runner &runner = entry.second;
        if (runner.evictingFor != model) {
            return false;
        }
        return runner.loading.empty() ? runner.orderInFlight || isBusyWithModel(runner) : runner.loading == model && awaitsOwnLoad;
    });
}

bool FleetPlacement::isOverloaded(const ModelId &model) const
{
    const ModelState &state = stateOf(model);
    return state.work >= m_limits.overloadThreshold * state.copies;
}

std::optional<ModelId> FleetPlacement::evictableLastCopy(const Runner &runner, const ModelId &incoming, TimePoint now) const
{
    const ModelState &incomingState = stateOf(incoming);
    if (incomingState.copies > 0) {
        return isOverloaded(incoming) && !m_allModelsFit ? longestIdleLastCopy(runner, m_limits.longModelIdlePeriod, now) : std::nullopt;
    }
    if (!isRequested(incoming, now)) {
        return std::nullopt;
    }
    const Duration starvedFor = unservedFor(incoming, now);
    auto idle = longestIdleLastCopy(runner, m_limits.modelIdlePeriod, now);
    if (idle || starvedFor < m_limits.modelStarvation) {
        return idle;
    }
    const auto inProgress = std::count_if(m_runners.begin(), m_runners.end(), [this](const auto &entry) {
        return !entry.second.evictingFor.empty() && isBusyWithModel(entry.second);
    });
    if (static_cast<double>(inProgress) >= std::max(1.0, ConcurrentDisplacementRatio * static_cast<double>(m_runners.size()))) {
        return std::nullopt;
    }
    std::optional<ModelId> leastUsed;
    for (const RoutingTarget &target : runner.held) {
        const ModelState &state = stateOf(target.model);
        if (!isDisplaceableLastCopy(runner, target, now)) {
            continue;
        }
        const bool isIdle = state.waiting == 0 && state.work < IdleModelWork;
        const bool mayGo = isIdle || starvedFor >= m_limits.longModelStarvation;
        if (mayGo && (!leastUsed || state.work < stateOf(*leastUsed).work)) {
            leastUsed = target.model;
        }
    }
    return leastUsed;
}

std::optional<ModelId> FleetPlacement::longestIdleLastCopy(const Runner &runner, Duration idlePeriod, TimePoint now) const
{
    std::optional<ModelId> longest;
    for (const RoutingTarget &target : runner.held) {
        const bool isIdle = stateOf(target.model).waiting == 0 && idleFor(target.model, now) >= idlePeriod;
        if (isIdle && isDisplaceableLastCopy(runner, target, now) && (!longest || idleFor(target.model, now) > idleFor(*longest, now))) {
            longest = target.model;
        }
    }
    return longest;
}

bool FleetPlacement::isDisplaceableLastCopy(const Runner &runner, const RoutingTarget &target, TimePoint now) const
{
    const ModelState &state = stateOf(target.model);
    return target.adapter.empty() && state.copies == 1 && state.readyCopies == 1
           && isResident(runner, target, m_limits.modelResidence, now);
}

bool FleetPlacement::isRequested(const ModelId &model, TimePoint now) const
{
    const ModelState &state = stateOf(model);
    return state.waiting > 0 || unservedFor(model, now) > Duration(0) || now - state.requestedAt < m_limits.modelIdlePeriod;
}

Duration FleetPlacement::idleFor(const ModelId &model, TimePoint now) const
{
    const TimePoint since = std::max(stateOf(model).requestedAt, m_firstDemandAt.value_or(now));
    return std::chrono::duration_cast<Duration>(now - since);
}

double FleetPlacement::workWithOneCopyLess(const ModelId &model) const
{
    const ModelState &state = stateOf(model);
    return state.work / std::max(1U, state.readyCopies - 1);
}

void FleetPlacement::preloadModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    const bool storeAvailable = storeRateAllows(profile, now);
    const auto needOf = [this](const ModelId &id) {
        const ModelState &state = stateOf(id);
        return state.copies == 0 ? 0 : state.work / state.copies;
    };
    std::vector<const EngineModel *> needed;
    for (const auto &[id, model] : profile.models) {
        if (needOf(id) > m_limits.preloadThreshold) {
            needed.push_back(&model);
        }
    }
    for (auto &[id, runner] : m_runners) {
        if (!mayPreload()) {
            return;
        }
        if (runner.live.service != service || !takesOrders(runner, now) || isBusyWithModel(runner) || now < runner.reservedUntil) {
            continue;
        }
        const double freeWeights = profile.weightCapacity.value - runner.usedWeights;
        const EngineModel *best = nullptr;
        for (const EngineModel *model : needed) {
            const bool fits = model->weights.value <= freeWeights && !runner.held.contains(baseOf(model->id));
            if (fits && (storeAvailable || loadsWithoutStore(runner, model->id))
                && (best == nullptr || needOf(model->id) > needOf(best->id))) {
                best = model;
            }
        }
        if (best != nullptr) {
            orders.push_back(orderLoad(runner, *best, now));
        }
    }
}

RunnerOrder FleetPlacement::orderLoad(Runner &runner, const EngineModel &model, TimePoint now)
{
    if (!loadsWithoutStore(runner, model.id)) {
        m_storeLoads.push_back(now);
    }
    // Counts as a copy from now on, so that no second one is ordered.
    runner.loading = model.id;
    runner.loadEndsAt = now + model.loadTime;
    ++m_modelStates[model.id].copies;
    return order(runner, RunnerOperation::Load, baseOf(model.id));
}

// Returns the copy whose eviction adds the least work to the other copies of its model; the last ready copy of a model is never evicted.
std::optional<ModelId> FleetPlacement::evictableModel(const Runner &runner, const ModelId &incoming, TimePoint now) const
{
    std::optional<ModelId> leastUsed;
    const ModelState &state = stateOf(incoming);
    double lowestWork = std::numeric_limits<double>::max();
    if (state.copies > 0) {
        // One more copy must reduce the work per copy sufficiently.
        lowestWork = m_limits.evictionWorkRatio * state.work / state.copies;
        if (state.work / (state.copies + 1) > lowestWork) {
            return std::nullopt;
        }
    } else if (!m_allModelsFit && !isRequested(incoming, now)) {
        return std::nullopt;
    }
    for (const RoutingTarget &target : runner.held) {
        const std::uint32_t present = target.adapter.empty() ? stateOf(target.model).readyCopies : 0;
        if (present < 2) {
            continue;
        }
        const double work = workWithOneCopyLess(target.model);
        if (work < lowestWork) {
            leastUsed = target.model;
            lowestWork = work;
        }
    }
    return leastUsed;
}

RunnerOrder FleetPlacement::order(Runner &runner, RunnerOperation operation, const RoutingTarget &target)
{
    runner.orderInFlight = true;
    if (operation == RunnerOperation::Unload) {
        // No longer counts as a copy, so that no other copy of the model is evicted on the assumption that this one remains.
        if (target.adapter.empty() && runner.held.contains(target)) {
            ModelState &state = m_modelStates[target.model];
            --state.copies;
            --state.readyCopies;
            std::erase(state.holders, &runner);
        }
        const auto goes = [&](const RoutingTarget &held) { return target.adapter.empty() ? held.model == target.model : held == target; };
        std::erase_if(runner.held, goes);
        std::erase_if(runner.withdrawn, goes);
        std::erase_if(runner.loadedAt, [&](const auto &entry) { return goes(entry.first); });
        runner.unloading.insert(target);
    }
    return {runner.live.id, runner.live.incarnation, runner.live.address, operation, target, runner.sequence};
}

} // namespace Hemlockhill
