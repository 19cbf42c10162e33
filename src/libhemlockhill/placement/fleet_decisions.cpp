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
    survey(now);
    for (const auto &[id, service] : m_deployment->services) {
        if (service.engine) {
            settleDoubtful(id, *service.engine, now, orders);
            placeAdapters(id, *service.engine, now, orders);
            placeModels(id, *service.engine, now, orders);
            prepareAdapters(id, *service.engine, now, orders);
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
        const auto waiting = m_waitingByTarget.find(target);
        const auto model = profile.models.find(target.model);
        if (target.adapter.empty() || model == profile.models.end() || (rate == 0 && waiting == m_waitingByTarget.end())) {
            continue;
        }
        std::uint32_t holders = 0;
        Runner *best = nullptr;
        double bestCost = 0;
        for (Runner *holder : stateOf(target.model).holders) {
            Runner &runner = *holder;
            if (runner.live.service != service) {
                continue;
            }
            if (runner.held.contains(target) || runner.appearing.contains(target) || runner.vacating.contains(target)) {
                ++holders;
                continue;
            }
            if (!takesOrders(runner, now)) {
                continue;
            }
            const bool isFull = !hasAdapterPlace(runner, profile, model->second);
            if (isFull && !evictableAdapter(runner, now)) {
                continue;
            }
            const double cost = runner.report->running + runner.report->waiting + runner.usedAdapterSlots + (isFull ? profile.slots : 0);
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

void FleetPlacement::prepareAdapters(const ServiceId &service,
                                     const EngineProfile &profile,
                                     TimePoint now,
                                     std::vector<RunnerOrder> &orders)
{
    std::uint32_t given = 0;
    for (const auto &[id, model] : profile.models) {
        const std::vector<Runner *> &holders = stateOf(id).holders;
        for (std::uint32_t number = 1; number <= model.adapters && !holders.empty(); ++number) {
            const RoutingTarget target{id, AdapterId{"a" + std::to_string(number)}};
            Runner *best = nullptr;
            const bool isThere = std::any_of(holders.begin(), holders.end(), [&](Runner *runner) {
                const bool hasPlace = runner->usedAdapterSlots + m_limits.spareAdapterSlots < profile.adapterSlots
                                      && hasAdapterPlace(*runner, profile, model);
                const bool takes = runner->live.service == service && takesOrders(*runner, now) && !isBusyWithModel(*runner);
                if (hasPlace && takes && (best == nullptr || runner->usedAdapterSlots < best->usedAdapterSlots)) {
                    best = runner;
                }
                return runner->held.contains(target) || runner->appearing.contains(target) || runner->vacating.contains(target);
            });
            if (isThere || best == nullptr) {
                continue;
            }
            orders.push_back(order(*best, RunnerOperation::Load, target));
            if (++given == m_limits.concurrentAdapterPreparations) {
                return;
            }
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
        const ModelState &state = stateOf(id);
        if (state.copies == 0 || state.work / state.copies >= m_limits.busyShare) {
            wishes.push_back({&model, urgency(id)});
        }
    }
    std::sort(wishes.begin(), wishes.end(), [](const Wish &left, const Wish &right) { return left.urgency > right.urgency; });
    for (const Wish &wish : wishes) {
        if (!mayLoad()) {
            return;
        }
        placeModel(service, profile, *wish.model, now, orders);
    }
    packColdModels(service, profile, now, orders);
    fillRoom(service, profile, now, orders);
}

// Models without a copy come first, those that requests wait for before others; then those whose copies have the most to do.
double FleetPlacement::urgency(const ModelId &model) const
{
    constexpr double AbsentFirst = 1000;
    const ModelState &state = stateOf(model);
    return state.copies == 0 ? AbsentFirst + state.waiting + state.work : state.work / state.copies;
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
        if (!unloadsModel || stateOf(doubtful.target.model).readyCopies >= 2) {
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
        const bool fits = runner.usedWeights + model.weights.value <= profile.weightCapacity.value;
        std::optional<ModelId> eviction;
        if (!fits) {
            eviction = evictableModel(runner, model.id);
            const auto evicted = eviction ? profile.models.find(*eviction) : profile.models.end();
            const bool makesRoom =
                evicted != profile.models.end()
                && runner.usedWeights - evicted->second.weights.value + model.weights.value <= profile.weightCapacity.value;
            if (!makesRoom) {
                continue;
            }
        }
        // As a share of the runner's time: a slow load costs what it delays.
        const double cost = runnerWork(runner) + (withoutStore ? 0 : 0.5) + (fits ? 0 : 0.1);
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

bool FleetPlacement::isCold(const ModelId &model) const
{
    const ModelState &state = stateOf(model);
    return state.copies == 1 && state.work < m_limits.coldShare;
}

void FleetPlacement::packColdModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    if (!mayPrepare() || now - m_packedAt < m_limits.packingPeriod) {
        return;
    }
    m_packedAt = now;
    const bool storeOpen = storeAllows(profile, now);
    double largest = 1;
    for (const auto &[id, model] : profile.models) {
        largest = std::max(largest, model.weights.value);
    }
    struct ColdRunner {
        Runner *runner;
        double weights = 0;
        std::vector<const EngineModel *> models;
    };
    std::vector<ColdRunner> all;
    for (auto &[id, runner] : m_runners) {
        if (runner.live.service != service || runner.live.leaving || isBusyWithModel(runner)) {
            continue;
        }
        ColdRunner cold{&runner, 0, {}};
        for (const RoutingTarget &target : runner.held) {
            const auto model = profile.models.find(target.model);
            if (target.adapter.empty() && model != profile.models.end() && isCold(target.model)) {
                cold.weights += model->second.weights.value;
                cold.models.push_back(&model->second);
            }
        }
        all.push_back(std::move(cold));
    }
    // How many copies of the largest model fit beside cold models of that weight.
    const auto roomBeside = [&](double weights) { return std::floor((profile.weightCapacity.value - weights) / largest); };
    for (const ColdRunner &to : all) {
        const double room = profile.weightCapacity.value - to.runner->usedWeights;
        if (!takesOrders(*to.runner, now)) {
            continue;
        }
        for (const ColdRunner &from : all) {
            for (const EngineModel *moved : &from == &to ? std::vector<const EngineModel *>{} : from.models) {
                const double weights = moved->weights.value;
                const bool gains = roomBeside(to.weights + weights) + roomBeside(from.weights - weights)
                                   > roomBeside(to.weights) + roomBeside(from.weights);
                if (weights <= room && gains && (storeOpen || loadsWithoutStore(*to.runner, moved->id))) {
                    orders.push_back(orderLoad(*to.runner, *moved, now));
                    return;
                }
            }
        }
    }
}

void FleetPlacement::fillRoom(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    const bool storeOpen = storeAllows(profile, now);
    const auto needOf = [this](const ModelId &id) {
        // Before anything is asked for, the models that the operator placed often are those that will be.
        const ModelState &state = stateOf(id);
        return state.copies == 0 ? 0 : m_demand.empty() ? state.copies - 1.0 : state.work / state.copies;
    };
    std::vector<const EngineModel *> needed;
    for (const auto &[id, model] : profile.models) {
        if (needOf(id) > m_limits.coldShare) {
            needed.push_back(&model);
        }
    }
    for (auto &[id, runner] : m_runners) {
        if (!mayPrepare()) {
            return;
        }
        if (runner.live.service != service || !takesOrders(runner, now) || isBusyWithModel(runner)) {
            continue;
        }
        const double room = profile.weightCapacity.value - runner.usedWeights;
        const EngineModel *best = nullptr;
        for (const EngineModel *model : needed) {
            const bool fits = model->weights.value <= room && !runner.held.contains(baseOf(model->id));
            if (fits && (storeOpen || loadsWithoutStore(runner, model->id)) && (best == nullptr || needOf(model->id) > needOf(best->id))) {
                best = model;
            }
        }
        if (best != nullptr && needOf(best->id) > m_limits.coldShare) {
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
    ++m_survey[model.id].copies;
    return order(runner, RunnerOperation::Load, baseOf(model.id));
}

// A copy may go when others remain that can carry what is asked of the model.
std::optional<ModelId> FleetPlacement::evictableModel(const Runner &runner, const ModelId &inFavourOf) const
{
    std::optional<ModelId> idlest;
    const std::uint32_t favoured = stateOf(inFavourOf).copies;
    const bool isAbsent = favoured == 0;
    const double wanted = stateOf(inFavourOf).work;
    // Where the model has copies already, one more must relieve them.
    const double bound = isAbsent ? std::numeric_limits<double>::max() : m_limits.reliefPart * wanted / favoured;
    if (!isAbsent && wanted / (favoured + 1) > bound) {
        return std::nullopt;
    }
    double idlestShare = bound;
    for (const RoutingTarget &target : runner.held) {
        const std::uint32_t present = target.adapter.empty() ? stateOf(target.model).readyCopies : 0;
        if (present < 2) {
            continue;
        }
        const double share = stateOf(target.model).work / (present - 1);
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
        if (target.adapter.empty() && runner.held.contains(target)) {
            ModelState &state = m_survey[target.model];
            --state.copies;
            --state.readyCopies;
            std::erase(state.holders, &runner);
        }
        std::erase_if(runner.held,
                      [&](const RoutingTarget &held) { return target.adapter.empty() ? held.model == target.model : held == target; });
        runner.vacating.insert(target);
    }
    return {runner.live.id, runner.live.incarnation, runner.live.address, operation, target, runner.sequence};
}

} // namespace Hemlockhill
