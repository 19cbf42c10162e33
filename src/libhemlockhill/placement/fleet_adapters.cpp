// Placement of adapters, and the bookkeeping of requested targets that no runner has loaded.
#include "hemlockhill/fleet_placement.h"

#include "fleet_targets.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Requests per second below which an adapter may be evicted for one that has only just been requested.
constexpr double IdleAdapterRate = 0.5;
// Rate that counts as much as one running request when an adapter is selected to be displaced.
constexpr double RatePerRunningRequest = 0.5;
// An unserved target that has not been requested for this long is forgotten.
constexpr Duration UnservedMemory = std::chrono::seconds(10);

} // namespace

std::string_view toText(PlacementObstacle obstacle)
{
    switch (obstacle) {
    case PlacementObstacle::None:
        return "none";
    case PlacementObstacle::ModelAbsent:
        return "model_absent";
    case PlacementObstacle::RunnersBusy:
        return "runners_busy";
    case PlacementObstacle::Displacing:
        return "displacing";
    case PlacementObstacle::NoRoom:
        return "no_room";
    case PlacementObstacle::LoadsTaken:
        return "loads_taken";
    case PlacementObstacle::StoreRate:
        break;
    }
    return "store_rate";
}

bool FleetPlacement::isHeldAnywhere(const RoutingTarget &target) const
{
    const std::vector<Runner *> &holders = stateOf(target.model).holders;
    return std::any_of(holders.begin(), holders.end(), [&target](const Runner *runner) {
        return runner->held.contains(target) || runner->loadingAdapters.contains(target);
    });
}

void FleetPlacement::updateUnserved(TimePoint now)
{
    const auto update = [&](const RoutingTarget &target) {
        if (isHeldAnywhere(target)) {
            m_unserved.erase(target);
        } else {
            m_unserved.try_emplace(target, Unserved{now, now}).first->second.lastRequestedAt = now;
        }
    };
    for (const auto &[target, demand] : m_demand) {
        if (rateOf(target, now) > 0) {
            update(target);
        }
    }
    for (const auto &[target, waiting] : m_waitingByTarget) {
        update(target);
    }
    std::erase_if(m_unserved,
                  [&](const auto &entry) { return now - entry.second.lastRequestedAt >= UnservedMemory || isHeldAnywhere(entry.first); });
}

Duration FleetPlacement::unservedFor(const RoutingTarget &target, TimePoint now) const
{
    const auto found = m_unserved.find(target);
    return found == m_unserved.end() ? Duration(0) : std::chrono::duration_cast<Duration>(now - found->second.since);
}

// A model is unserved for as long as one of its adapters is, since these need it.
Duration FleetPlacement::unservedFor(const ModelId &model, TimePoint now) const
{
    Duration longest{0};
    for (auto entry = m_unserved.lower_bound(baseOf(model)); entry != m_unserved.end() && entry->first.model == model; ++entry) {
        longest = std::max(longest, std::chrono::duration_cast<Duration>(now - entry->second.since));
    }
    return longest;
}

std::vector<UnservedTarget> FleetPlacement::unserved(TimePoint now) const
{
    std::vector<UnservedTarget> targets;
    for (const auto &[target, entry] : m_unserved) {
        targets.push_back({target, std::chrono::duration_cast<Duration>(now - entry.since), entry.obstacle});
    }
    std::sort(targets.begin(), targets.end(), [](const UnservedTarget &left, const UnservedTarget &right) {
        return left.duration > right.duration;
    });
    return targets;
}

void FleetPlacement::setObstacle(const RoutingTarget &target, PlacementObstacle obstacle)
{
    const auto found = m_unserved.find(target);
    if (found != m_unserved.end()) {
        found->second.obstacle = obstacle;
    }
}

TimePoint FleetPlacement::lastRequestedAt(const RoutingTarget &target) const
{
    const auto demand = m_demand.find(target);
    return demand == m_demand.end() ? TimePoint{} : demand->second.at;
}

std::optional<RoutingTarget> FleetPlacement::mostRequestedAdapter(const Runner &runner, const ModelId &model, TimePoint now) const
{
    std::optional<RoutingTarget> best;
    std::pair<double, TimePoint> bestUse;
    for (auto entry = m_demand.lower_bound(baseOf(model)); entry != m_demand.end() && entry->first.model == model; ++entry) {
        const RoutingTarget &target = entry->first;
        const bool isThere = runner.held.contains(target) || runner.loadingAdapters.contains(target) || runner.unloading.contains(target)
                             || runner.withdrawn.contains(target);
        const std::pair use(rateOf(target, now), entry->second.at);
        if (!target.adapter.empty() && !isThere && (!best || use > bestUse)) {
            best = target;
            bestUse = use;
        }
    }
    return best;
}

std::optional<RoutingTarget> FleetPlacement::unusedAdapter(const Runner &runner, TimePoint now) const
{
    std::optional<RoutingTarget> unused;
    for (const RoutingTarget &target : runner.held) {
        const bool isUnused =
            !target.adapter.empty() && rateOf(target, now) == 0 && !m_waitingByTarget.contains(target) && running(runner, target) == 0;
        if (isUnused && (!unused || lastRequestedAt(target) < lastRequestedAt(*unused))) {
            unused = target;
        }
    }
    return unused;
}

bool FleetPlacement::isResident(const Runner &runner, const RoutingTarget &target, Duration residence, TimePoint now) const
{
    const auto loaded = runner.loadedAt.find(target);
    return loaded == runner.loadedAt.end() || now - loaded->second >= residence;
}

std::uint32_t FleetPlacement::running(const Runner &runner, const RoutingTarget &target) const
{
    const auto targets = m_running.find(runner.live.id);
    if (targets == m_running.end()) {
        return 0;
    }
    const auto found = targets->second.find(target);
    return found == targets->second.end() ? 0 : found->second;
}

// A runner refuses all orders while it loads or unloads a model.
bool FleetPlacement::takesAdapterOrders(const Runner &runner, TimePoint now) const
{
    return takesOrders(runner, now) && !isBusyWithModel(runner);
}

void FleetPlacement::withdraw(Runner &runner, const RoutingTarget &adapter, std::vector<RunnerOrder> &orders)
{
    if (running(runner, adapter) == 0) {
        orders.push_back(order(runner, RunnerOperation::Unload, adapter));
        return;
    }
    runner.held.erase(adapter);
    runner.withdrawn.insert(adapter);
}

void FleetPlacement::unloadWithdrawn(const ServiceId &service, TimePoint now, std::vector<RunnerOrder> &orders)
{
    for (auto &entry : m_runners) {
        Runner &runner = entry.second;
        if (runner.live.service != service || !takesAdapterOrders(runner, now)) {
            continue;
        }
        const auto isIdle = [&](const RoutingTarget &adapter) { return running(runner, adapter) == 0; };
        const auto idle = std::find_if(runner.withdrawn.begin(), runner.withdrawn.end(), isIdle);
        if (idle != runner.withdrawn.end()) {
            // A copy, as the order removes it from the set.
            orders.push_back(order(runner, RunnerOperation::Unload, RoutingTarget(*idle)));
        }
    }
}

// Returns the requested adapters: first those that no runner has loaded, the longest unserved first, then the most requested ones.
std::vector<FleetPlacement::AdapterCandidate>
FleetPlacement::adapterCandidates(const ServiceId &service, const EngineProfile &profile, TimePoint now) const
{
    std::vector<AdapterCandidate> candidates;
    for (const auto &[target, demand] : m_demand) {
        const double rate = rateOf(target, now);
        const auto model = profile.models.find(target.model);
        if (target.adapter.empty() || model == profile.models.end() || (rate == 0 && !m_waitingByTarget.contains(target))) {
            continue;
        }
        AdapterCandidate candidate{target, &model->second, rate, 0, unservedFor(target, now)};
        for (const Runner *runner : stateOf(target.model).holders) {
            const bool counts =
                runner->live.service == service
                && (runner->held.contains(target) || runner->loadingAdapters.contains(target) || runner->unloading.contains(target));
            candidate.holders += counts ? 1 : 0;
        }
        candidates.push_back(std::move(candidate));
    }
    std::sort(candidates.begin(), candidates.end(), [](const AdapterCandidate &left, const AdapterCandidate &right) {
        if (left.unservedFor != right.unservedFor) {
            return left.unservedFor > right.unservedFor;
        }
        return left.rate / (1 + left.holders) > right.rate / (1 + right.holders);
    });
    return candidates;
}

void FleetPlacement::placeAdapters(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders)
{
    // Slots that are being freed, by runner: each is for one of the unserved adapters.
    std::map<const Runner *, std::size_t> slotsBeingFreed;
    for (const auto &[id, runner] : m_runners) {
        slotsBeingFreed[&runner] = runner.withdrawn.size();
    }
    for (const AdapterCandidate &candidate : adapterCandidates(service, profile, now)) {
        const std::vector<Runner *> &holders = stateOf(candidate.target.model).holders;
        const auto freed = std::find_if(holders.begin(), holders.end(), [&](const Runner *runner) { return slotsBeingFreed[runner] > 0; });
        const bool hasFreeSlot = std::any_of(holders.begin(), holders.end(), [&](const Runner *runner) {
            return takesAdapterOrders(*runner, now) && !runner->withdrawn.contains(candidate.target)
                   && adapterFits(*runner, profile, *candidate.model);
        });
        if (candidate.holders == 0 && !hasFreeSlot && freed != holders.end()) {
            --slotsBeingFreed[*freed];
            setObstacle(candidate.target, PlacementObstacle::Displacing);
            continue;
        }
        placeAdapter(service, profile, candidate, now, orders);
    }
}

// Loads an adapter on the least loaded runner that holds its model and has a free slot. If no runner has one, the least requested adapter
// that may be displaced makes room.
void FleetPlacement::placeAdapter(const ServiceId &service,
                                  const EngineProfile &profile,
                                  const AdapterCandidate &candidate,
                                  TimePoint now,
                                  std::vector<RunnerOrder> &orders)
{
    const RoutingTarget &target = candidate.target;
    const std::vector<Runner *> &holders = stateOf(target.model).holders;
    Runner *best = nullptr;
    std::optional<RoutingTarget> bestDisplaced;
    double bestCost = 0;
    PlacementObstacle obstacle = holders.empty() ? PlacementObstacle::ModelAbsent : PlacementObstacle::NoRoom;
    for (Runner *runner : holders) {
        const bool isPlaced = runner->held.contains(target) || runner->loadingAdapters.contains(target)
                              || runner->unloading.contains(target) || runner->withdrawn.contains(target);
        if (runner->live.service != service || isPlaced) {
            continue;
        }
        if (!takesAdapterOrders(*runner, now)) {
            obstacle = PlacementObstacle::RunnersBusy;
            continue;
        }
        const bool isFull = !adapterFits(*runner, profile, *candidate.model);
        const auto displaced = isFull ? evictableAdapter(*runner, profile, candidate.unservedFor, now) : std::nullopt;
        if (isFull && !displaced) {
            continue;
        }
        const double cost = runner->report->running + runner->report->waiting + runner->usedAdapterSlots + (isFull ? profile.slots : 0);
        if (best == nullptr || cost < bestCost) {
            best = runner;
            bestCost = cost;
            bestDisplaced = displaced;
        }
    }
    const auto wantedCopies = 1 + static_cast<std::uint32_t>(candidate.rate / m_limits.adapterReplicationRate);
    if (best == nullptr) {
        setObstacle(target, obstacle);
    } else if (candidate.holders < wantedCopies && !bestDisplaced) {
        orders.push_back(order(*best, RunnerOperation::Load, target));
    } else if (candidate.holders == 0) {
        setObstacle(target, PlacementObstacle::Displacing);
        withdraw(*best, *bestDisplaced, orders);
    }
}

// A loaded adapter stays until another one needs its slot: the one with the least requests goes first, and of those without requests the
// one that has not been requested for the longest time.
std::optional<RoutingTarget>
FleetPlacement::evictableAdapter(const Runner &runner, const EngineProfile &profile, Duration unservedFor, TimePoint now) const
{
    // As many as may be withdrawn at a time, so that the others keep serving.
    if (runner.withdrawn.size() >= std::max(1U, profile.adapterSlots / 2)) {
        return std::nullopt;
    }
    const bool mayDisplaceAny = unservedFor >= m_limits.adapterStarvation;
    std::optional<RoutingTarget> leastUsed;
    std::pair<double, TimePoint> lowestUse;
    for (const RoutingTarget &target : runner.held) {
        const double rate = rateOf(target, now);
        const bool mayGo = !target.adapter.empty() && (mayDisplaceAny || rate < IdleAdapterRate)
                           && isResident(runner, target, m_limits.adapterResidence, now);
        const std::pair use(rate + RatePerRunningRequest * running(runner, target), lastRequestedAt(target));
        if (mayGo && (!leastUsed || use < lowestUse)) {
            leastUsed = target;
            lowestUse = use;
        }
    }
    return leastUsed;
}

} // namespace Hemlockhill
