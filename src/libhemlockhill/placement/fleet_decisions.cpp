// Which models and adapters are loaded and unloaded where.
#include "hemlockhill/fleet_placement.h"

#include "fleet_targets.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Hemlockhill
{

namespace
{

// An adapter that is asked for less often than this may make room for another.
constexpr double IdleAdapterRate = 0.5;

} // namespace

std::vector<RunnerOrder> FleetPlacement::decide(TimePoint now)
{
    std::vector<RunnerOrder> orders;
    if (!m_deployment) {
        return orders;
    }
    for (const auto &[id, service] : m_deployment->services) {
        if (service.engine) {
            settleDoubtful(id, *service.engine, now, orders);
            placeAdapters(id, *service.engine, now, orders);
            placeModels(id, *service.engine, now, orders);
        }
    }
    return orders;
}

// An adapter goes to a runner that holds its model, has a free place and is asked for least. Without a free place, the adapter that is
// asked for least makes room.
void FleetPlacement::placeAdapters(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    for (const auto &[target, demand] : m_demand) {
        const double rate = rateOf(target, now);
        const std::uint32_t waiting = waitingFor(target);
        const auto model = profile.models.find(target.model);
        if (target.adapter.empty() || model == profile.models.end() || (rate == 0 && waiting == 0)) {
            continue;
        }
        std::uint32_t holders = 0;
        Runner *best = nullptr;
        double bestCost = 0;
        for (auto &[id, runner] : m_runners) {
            if (runner.live.service != service || runner.live.leaving) {
                continue;
            }
            if (runner.held.contains(target) || runner.appearing.contains(target) || runner.vacating.contains(target)) {
                ++holders;
                continue;
            }
            if (!runner.held.contains(baseOf(target.model)) || !takesOrders(runner, now)) {
                continue;
            }
            const bool isFull = !hasAdapterPlace(runner, profile, model->second);
            if (isFull && !evictableAdapter(runner, now)) {
                continue;
            }
            const double cost = runner.live.load + (runner.report ? runner.report->running + runner.report->waiting : 0)
                                + usedAdapterSlots(runner) + (isFull ? profile.slots : 0);
            if (best == nullptr || cost < bestCost) {
                best = &runner;
                bestCost = cost;
            }
        }
        const auto wanted = 1 + static_cast<std::uint32_t>(rate / m_limits.busyAdapterRate);
        if (best == nullptr || holders >= wanted) {
            continue;
        }
        if (hasAdapterPlace(*best, profile, model->second)) {
            orders.push_back(order(*best, RunnerOperation::Load, target));
        } else if (holders == 0) {
            orders.push_back(order(*best, RunnerOperation::Unload, *evictableAdapter(*best, now)));
        }
    }
}

std::optional<RoutingTarget> FleetPlacement::evictableAdapter(const Runner &runner, TimePoint now) const
{
    std::optional<RoutingTarget> idlest;
    double idlestRate = 0;
    for (const RoutingTarget &target : runner.held) {
        const double rate = rateOf(target, now);
        if (!target.adapter.empty() && rate < IdleAdapterRate && (!idlest || rate < idlestRate)) {
            idlest = target;
            idlestRate = rate;
        }
    }
    return idlest;
}

// Models without a copy come first, those that requests wait for before others; then models whose copies have more than enough to do.
void FleetPlacement::placeModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    struct Wish {
        const EngineModel *model;
        double urgency;
    };
    std::vector<Wish> wishes;
    for (const auto &[id, model] : profile.models) {
        const std::uint32_t present = copies(id);
        if (present == 0 || modelWork(id, now) / present >= m_limits.busyShare) {
            wishes.push_back({&model, urgency(id, now)});
        }
    }
    std::sort(wishes.begin(), wishes.end(), [](const Wish &left, const Wish &right) { return left.urgency > right.urgency; });
    for (const Wish &wish : wishes) {
        if (loadsUnderWay() >= m_limits.concurrentLoads) {
            return;
        }
        placeModel(service, profile, *wish.model, now, orders);
    }
    packColdModels(service, profile, now, orders);
    fillRoom(service, profile, now, orders);
}

// Models without a copy come first, those that requests wait for before others; then those whose copies have the most to do.
double FleetPlacement::urgency(const ModelId &model, TimePoint now) const
{
    constexpr double AbsentFirst = 1000;
    const std::uint32_t present = copies(model);
    const double work = modelWork(model, now);
    return present == 0 ? AbsentFirst + waitingForModel(model) + work : work / present;
}

void FleetPlacement::settleDoubtful(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    for (auto &[id, runner] : m_runners) {
        const bool isPending = runner.doubtful && runner.sequence == runner.doubtful->expected;
        if (runner.live.service != service || !isPending || !takesOrders(runner, now)) {
            continue;
        }
        const RunnerOrder doubtful = *runner.doubtful;
        const bool unloadsModel = doubtful.operation == RunnerOperation::Unload && doubtful.target.adapter.empty();
        if (!unloadsModel || readyCopies(doubtful.target.model) >= 2) {
            orders.push_back(order(runner, doubtful.operation, doubtful.target));
            continue;
        }
        // The model is needed again: any other order keeps the late one from being carried out.
        const auto model = profile.models.find(doubtful.target.model);
        const RoutingTarget spare{doubtful.target.model, AdapterId{"a1"}};
        const bool canLoad = model != profile.models.end() && model->second.adapters > 0 && !runner.held.contains(spare)
                             && hasAdapterPlace(runner, profile, model->second);
        if (canLoad) {
            orders.push_back(order(runner, RunnerOperation::Load, spare));
        }
    }
}

bool FleetPlacement::placeModel(
    const ServiceId &service, const EngineProfile &profile, const EngineModel &model, TimePoint now, std::vector<RunnerOrder> &orders)
{
    Runner *best = nullptr;
    double bestCost = 0;
    std::optional<ModelId> bestEviction;
    const bool storeOpen = storeAllows(profile, now);
    for (auto &[id, runner] : m_runners) {
        const bool isCandidate = runner.live.service == service && takesOrders(runner, now) && !isBusyWithModel(runner)
                                 && !runner.held.contains(baseOf(model.id));
        const bool withoutStore = loadsWithoutStore(runner, model.id);
        if (!isCandidate || (!withoutStore && !storeOpen)) {
            continue;
        }
        const bool fits = usedWeights(runner, profile) + model.weights.value <= profile.weightCapacity.value;
        std::optional<ModelId> eviction;
        if (!fits) {
            eviction = evictableModel(runner, model.id, now);
            const auto evicted = eviction ? profile.models.find(*eviction) : profile.models.end();
            const bool makesRoom =
                evicted != profile.models.end()
                && usedWeights(runner, profile) - evicted->second.weights.value + model.weights.value <= profile.weightCapacity.value;
            if (!makesRoom) {
                continue;
            }
        }
        // As a share of the runner's time: a slow load costs what it delays.
        const double cost = runnerWork(runner, now) + (withoutStore ? 0 : 0.5) + (fits ? 0 : 0.1);
        if (best == nullptr || cost < bestCost) {
            best = &runner;
            bestCost = cost;
            bestEviction = eviction;
        }
    }
    if (best == nullptr) {
        return false;
    }
    if (bestEviction) {
        orders.push_back(order(*best, RunnerOperation::Unload, baseOf(*bestEviction)));
        return true;
    }
    orders.push_back(orderLoad(*best, model, now));
    return true;
}

bool FleetPlacement::isCold(const ModelId &model, TimePoint now) const
{
    return copies(model) == 1 && modelWork(model, now) < m_limits.coldShare;
}

int FleetPlacement::roomBesideCold(const Runner &runner, const EngineProfile &profile, double addedWeights, TimePoint now) const
{
    double largest = 1;
    for (const auto &[id, model] : profile.models) {
        largest = std::max(largest, model.weights.value);
    }
    double cold = addedWeights;
    for (const RoutingTarget &target : runner.held) {
        const auto model = profile.models.find(target.model);
        const bool counts = target.adapter.empty() && model != profile.models.end() && isCold(target.model, now);
        cold += counts ? model->second.weights.value : 0;
    }
    return static_cast<int>(std::floor((profile.weightCapacity.value - cold) / largest));
}

void FleetPlacement::packColdModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    if (loadsUnderWay() >= m_limits.concurrentPreparations) {
        return;
    }
    const bool storeOpen = storeAllows(profile, now);
    for (auto &[id, runner] : m_runners) {
        if (runner.live.service != service || !takesOrders(runner, now) || isBusyWithModel(runner)) {
            continue;
        }
        const double room = profile.weightCapacity.value - usedWeights(runner, profile);
        for (const auto &[otherId, other] : m_runners) {
            const bool isSource = otherId != id && other.live.service == service && !other.live.leaving && !isBusyWithModel(other);
            for (const RoutingTarget &target : isSource ? other.held : std::set<RoutingTarget>{}) {
                const auto moved = profile.models.find(target.model);
                const bool mayMove = target.adapter.empty() && moved != profile.models.end() && isCold(target.model, now);
                if (!mayMove || moved->second.weights.value > room || (!storeOpen && !loadsWithoutStore(runner, target.model))) {
                    continue;
                }
                const double weights = moved->second.weights.value;
                const int before = roomBesideCold(runner, profile, 0, now) + roomBesideCold(other, profile, 0, now);
                const int after = roomBesideCold(runner, profile, weights, now) + roomBesideCold(other, profile, -weights, now);
                if (after > before) {
                    orders.push_back(orderLoad(runner, moved->second, now));
                    return;
                }
            }
        }
    }
}

void FleetPlacement::fillRoom(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    const bool storeOpen = storeAllows(profile, now);
    for (auto &[id, runner] : m_runners) {
        if (loadsUnderWay() >= m_limits.concurrentPreparations) {
            return;
        }
        if (runner.live.service != service || !takesOrders(runner, now) || isBusyWithModel(runner)) {
            continue;
        }
        const double room = profile.weightCapacity.value - usedWeights(runner, profile);
        const EngineModel *best = nullptr;
        double bestNeed = 0;
        for (const auto &[modelId, model] : profile.models) {
            const std::uint32_t present = copies(modelId);
            const bool fits = model.weights.value <= room && !runner.held.contains(baseOf(modelId));
            if (present == 0 || !fits || (!storeOpen && !loadsWithoutStore(runner, modelId))) {
                continue;
            }
            // Before anything is asked for, the models that the operator placed often are those that will be.
            const double need = m_demand.empty() ? present - 1 : modelWork(modelId, now) / present;
            if (need > bestNeed) {
                best = &model;
                bestNeed = need;
            }
        }
        if (best != nullptr && bestNeed > m_limits.coldShare) {
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
    runner.loadedAt = now + model.loadTime;
    return order(runner, RunnerOperation::Load, baseOf(model.id));
}

// A copy may go when others remain that can carry what is asked of the model.
std::optional<ModelId> FleetPlacement::evictableModel(const Runner &runner, const ModelId &inFavourOf, TimePoint now) const
{
    std::optional<ModelId> idlest;
    const std::uint32_t favoured = copies(inFavourOf);
    const bool isAbsent = favoured == 0;
    const double wanted = modelWork(inFavourOf, now);
    // Where the model has copies already, one more must relieve them.
    const double bound = isAbsent ? std::numeric_limits<double>::max() : m_limits.reliefPart * wanted / favoured;
    if (!isAbsent && wanted / (favoured + 1) > bound) {
        return std::nullopt;
    }
    double idlestShare = bound;
    for (const RoutingTarget &target : runner.held) {
        const std::uint32_t present = target.adapter.empty() ? readyCopies(target.model) : 0;
        if (present < 2) {
            continue;
        }
        const double share = modelWork(target.model, now) / (present - 1);
        if (share < idlestShare) {
            idlest = target.model;
            idlestShare = share;
        }
    }
    return idlest;
}

RunnerOrder FleetPlacement::order(Runner &runner, RunnerOperation operation, const RoutingTarget &target)
{
    runner.orderUnderWay = true;
    if (operation == RunnerOperation::Unload) {
        // No longer a copy from now on, so that no other one makes room on its account.
        std::erase_if(runner.held,
                      [&](const RoutingTarget &held) { return target.adapter.empty() ? held.model == target.model : held == target; });
        runner.vacating.insert(target);
    }
    return {runner.live.id, runner.live.incarnation, runner.live.address, operation, target, runner.sequence};
}

} // namespace Hemlockhill
