// The steps of placement, in order of descending urgency.
#include "hemlockhill/placement.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <numeric>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr double NoLimit = std::numeric_limits<double>::infinity();
// Value of a copy in a second data centre, in slots, for a model without demand.
constexpr double SecondDataCentreSlots = 0.5;
// Number of passes in which the demand of each model is distributed again, given that of the others.
constexpr int DistributionRounds = 3;
constexpr std::size_t StepsPerModel = 64;
// Number of moves of a relocation: loads and evictions of the relocated copy and of the copy that replaces it.
constexpr std::size_t RelocationMoves = 4;

} // namespace

Placement::Placement(PlacementInput input, const PlacementOptions &options)
    : m_input(std::move(input))
    , m_options(options)
{
    index();
}

void Placement::index()
{
    const std::size_t models = m_input.models.size();
    m_byModel.assign(models, {});
    m_byRunner.assign(m_input.runners.size(), {});
    m_used.clear();
    for (const PlacementRunner &runner : m_input.runners) {
        m_used.push_back(runner.otherBytes);
    }
    m_loads.assign(m_input.runners.size(), 0);
    std::map<DataCentreId, std::uint32_t> numbers;
    m_dataCentreOf.clear();
    for (const PlacementRunner &runner : m_input.runners) {
        m_dataCentreOf.push_back(numbers.try_emplace(runner.dataCentre, static_cast<std::uint32_t>(numbers.size())).first->second);
    }
    m_dataCentres = static_cast<std::uint32_t>(numbers.size());
    m_useful.assign(models, 0);
    m_usefulIn.assign(models * m_dataCentres, 0);
    m_spare.assign(models, 0);
    m_spareAt.assign(models, 0);
    m_copySlots.clear();
    m_noRoom.assign(models, false);
    m_noRoomForDeclared.assign(models, false);
    m_noRoomInSecondDataCentre.assign(models, false);
    m_noGain.assign(models, false);
    for (std::uint32_t copy = 0; copy < m_input.copies.size(); ++copy) {
        addToIndex(copy);
    }
    for (std::uint32_t model = 0; model < models; ++model) {
        distributeLoad(model);
        const bool needsCleanUp = std::any_of(m_byModel[model].begin(), m_byModel[model].end(), [this](std::uint32_t copy) {
            const PlacementCopy &entry = m_input.copies[copy];
            return entry.obsolete || m_input.runners[entry.runner].draining;
        });
        if (needsCleanUp) {
            m_toCleanUp.push_back(model);
        }
    }
    for (int round = 0; round < DistributionRounds; ++round) {
        for (std::uint32_t model = 0; model < models; ++model) {
            removeLoad(model);
            distributeLoad(model);
        }
    }
    m_bySize.resize(models);
    std::iota(m_bySize.begin(), m_bySize.end(), 0U);
    std::stable_sort(m_bySize.begin(), m_bySize.end(), [this](std::uint32_t left, std::uint32_t right) {
        return m_input.models[left].bytes > m_input.models[right].bytes;
    });
}

void Placement::addToIndex(std::uint32_t copy)
{
    const PlacementCopy &entry = m_input.copies[copy];
    m_byModel[entry.model].push_back(copy);
    m_byRunner[entry.runner].push_back(copy);
    m_used[entry.runner] += entry.bytes;
    m_copySlots.resize(m_input.copies.size(), 0);
    countUseful(entry, 1);
}

void Placement::countUseful(const PlacementCopy &copy, int sign)
{
    if (useful(copy)) {
        m_useful[copy.model] += static_cast<std::uint32_t>(sign);
        m_usefulIn[copy.model * m_dataCentres + m_dataCentreOf[copy.runner]] += static_cast<std::uint32_t>(sign);
    }
}

void Placement::distributeLoad(std::uint32_t model)
{
    ++m_loadChanges;
    std::vector<std::uint32_t> copies;
    for (const std::uint32_t copy : m_byModel[model]) {
        if (useful(m_input.copies[copy])) {
            copies.push_back(copy);
        }
    }
    if (copies.empty()) {
        return;
    }
    const auto loadOf = [this](std::uint32_t copy) { return m_loads[m_input.copies[copy].runner]; };
    std::sort(copies.begin(), copies.end(), [&](std::uint32_t left, std::uint32_t right) { return loadOf(left) < loadOf(right); });
    // Load level up to which the least loaded runners are filled, and the number of these runners.
    double level = effectiveSlots(model);
    std::size_t filled = 0;
    while (filled < copies.size() && (filled == 0 || loadOf(copies[filled]) < level / static_cast<double>(filled))) {
        level += loadOf(copies[filled]);
        ++filled;
    }
    level /= static_cast<double>(filled);
    for (std::size_t index = 0; index < filled; ++index) {
        m_copySlots[copies[index]] = std::max(0.0, level - loadOf(copies[index]));
        m_loads[m_input.copies[copies[index]].runner] += m_copySlots[copies[index]];
    }
}

void Placement::removeLoad(std::uint32_t model)
{
    ++m_loadChanges;
    for (const std::uint32_t copy : m_byModel[model]) {
        m_loads[m_input.copies[copy].runner] -= m_copySlots[copy];
        m_copySlots[copy] = 0;
    }
}

Bytes Placement::freeOn(std::uint32_t runner) const
{
    const Bytes limit = m_input.runners[runner].limit + m_input.runners[runner].reclaimable;
    return m_used[runner] < limit ? limit - m_used[runner] : Bytes{};
}

double Placement::capacityOf(std::uint32_t runner) const
{
    return m_input.runners[runner].slots * m_options.targetUtilization;
}

// Long-term demand counts in full; the recent change is weighted by the ratio of the attainment weight to the sum of the weights.
double Placement::effectiveSlots(std::uint32_t model) const
{
    const PlacementModel &entry = m_input.models[model];
    const double weights = m_options.attainmentWeight + m_options.moveWeight;
    const double recentWeight = weights > 0 ? m_options.attainmentWeight / weights : 0;
    return std::max(0.0, entry.longTermSlots + recentWeight * (entry.slots - entry.longTermSlots));
}

bool Placement::holdsCurrent(std::uint32_t model, std::uint32_t runner) const
{
    return std::any_of(m_byModel[model].begin(), m_byModel[model].end(), [&](std::uint32_t copy) {
        return m_input.copies[copy].runner == runner && !m_input.copies[copy].obsolete;
    });
}

bool Placement::pinned(std::uint32_t model, std::uint32_t runner) const
{
    const auto &pins = m_input.models[model].pinnedOn;
    return std::find(pins.begin(), pins.end(), runner) != pins.end();
}

bool Placement::useful(const PlacementCopy &copy) const
{
    const PlacementRunner &runner = m_input.runners[copy.runner];
    return copy.phase != CopyPhase::Evicting && !copy.obsolete && runner.live && !runner.draining;
}

std::uint32_t Placement::servingCopies(std::uint32_t model) const
{
    return servingCopiesExcept(model, std::numeric_limits<std::uint32_t>::max(), false);
}

std::uint32_t Placement::servingCopiesExcept(std::uint32_t model, std::uint32_t copy, bool currentOnly) const
{
    return static_cast<std::uint32_t>(std::count_if(m_byModel[model].begin(), m_byModel[model].end(), [&](std::uint32_t other) {
        const PlacementCopy &entry = m_input.copies[other];
        const PlacementRunner &runner = m_input.runners[entry.runner];
        return other != copy && entry.phase == CopyPhase::Serving && runner.live && !(currentOnly && (entry.obsolete || runner.draining));
    }));
}

bool Placement::inTwoDataCentres(std::uint32_t model, std::optional<std::uint32_t> without) const
{
    std::uint32_t found = 0;
    for (std::uint32_t dataCentre = 0; dataCentre < m_dataCentres; ++dataCentre) {
        std::uint32_t copies = m_usefulIn[model * m_dataCentres + dataCentre];
        if (without && useful(m_input.copies[*without]) && m_dataCentreOf[m_input.copies[*without].runner] == dataCentre) {
            --copies;
        }
        found += copies > 0 ? 1 : 0;
    }
    return found >= 2;
}

// Slots by which the runners of the model's copies are overloaded, and which another copy could take.
double Placement::overload(std::uint32_t model) const
{
    double total = 0;
    for (const std::uint32_t copy : m_byModel[model]) {
        const std::uint32_t runner = m_input.copies[copy].runner;
        total += std::clamp(m_loads[runner] - capacityOf(runner), 0.0, m_copySlots[copy]);
    }
    return total;
}

double Placement::spareOfCopies(std::uint32_t model) const
{
    if (m_spareAt[model] == m_loadChanges) {
        return m_spare[model];
    }
    double total = 0;
    for (const std::uint32_t copy : m_byModel[model]) {
        total += useful(m_input.copies[copy]) ? spareOn(m_input.copies[copy].runner) : 0;
    }
    m_spare[model] = total;
    m_spareAt[model] = m_loadChanges;
    return total;
}

// Slots that would be unserved without the copy because the other copies have no free slots for them, weighted by priority.
double Placement::evictionLoss(std::uint32_t copy) const
{
    const PlacementCopy &entry = m_input.copies[copy];
    if (!useful(entry)) {
        return 0;
    }
    const bool spare = inTwoDataCentres(entry.model, std::nullopt) && !inTwoDataCentres(entry.model, copy);
    const double others = spareOfCopies(entry.model) - spareOn(entry.runner);
    const double loss = (spare ? SecondDataCentreSlots : 0) + std::max(0.0, m_copySlots[copy] - others);
    return loss * m_input.models[entry.model].priorityWeight;
}

bool Placement::evictable(std::uint32_t copy) const
{
    const PlacementCopy &entry = m_input.copies[copy];
    if (entry.phase != CopyPhase::Serving || (!entry.obsolete && pinned(entry.model, entry.runner))) {
        return false;
    }
    const std::uint32_t others = servingCopiesExcept(entry.model, copy, true);
    return entry.obsolete ? others >= 1 : others >= std::max(1U, m_input.models[entry.model].minimumCopies);
}

std::vector<PlacementMove> Placement::step()
{
    for (auto next : {&Placement::stepReachability,
                      &Placement::stepPins,
                      &Placement::stepCleanUp,
                      &Placement::stepMinimumCopies,
                      &Placement::stepDemand,
                      &Placement::stepSecondDataCentre}) {
        Moves moves = (this->*next)();
        if (!moves.empty()) {
            return moves;
        }
    }
    return {};
}

std::vector<PlacementMove> Placement::compute()
{
    m_assumeCompleted = true;
    Moves all;
    for (std::size_t steps = 0; steps < StepsPerModel * (m_input.models.size() + 1); ++steps) {
        Moves moves = step();
        if (moves.empty()) {
            break;
        }
        all.insert(all.end(), std::make_move_iterator(moves.begin()), std::make_move_iterator(moves.end()));
    }
    m_assumeCompleted = false;
    return all;
}

void Placement::setDemand(std::uint32_t model, double slots, double longTermSlots)
{
    removeLoad(model);
    m_input.models[model].slots = slots;
    m_input.models[model].longTermSlots = longTermSlots;
    distributeLoad(model);
    m_noGain.assign(m_noGain.size(), false);
}

MoveReason Placement::reachabilityReason(std::uint32_t model) const
{
    if (servingCopies(model) == 0) {
        return MoveReason::NoCopy;
    }
    const bool currentServes = std::any_of(m_byModel[model].begin(), m_byModel[model].end(), [this](std::uint32_t copy) {
        return m_input.copies[copy].phase == CopyPhase::Serving && !m_input.copies[copy].obsolete;
    });
    return currentServes ? MoveReason::Drain : MoveReason::NewVersion;
}

// Models without a serving copy come before those that only have copies on draining runners or of another version.
Placement::Moves Placement::stepReachability()
{
    for (const bool unreachable : {true, false}) {
        for (const std::uint32_t model : m_bySize) {
            if (m_noRoom[model] || usefulCopies(model) > 0 || (servingCopies(model) == 0) != unreachable) {
                continue;
            }
            const MoveReason reason = reachabilityReason(model);
            if (const auto runner = leastLoadedRunner(model, false)) {
                return {load(model, *runner, reason, LoadPurpose::Reachability, 0)};
            }
            if (const auto eviction = cheapestEvictions(model, false, NoLimit, false)) {
                return placeWithEvictions(model, *eviction, reason, LoadPurpose::Reachability, 0);
            }
            m_noRoom[model] = true;
            Moves moves = relocateFor(model);
            if (!moves.empty()) {
                m_noRoom[model] = false;
                return moves;
            }
            addShortage(model, reason);
        }
    }
    return {};
}

Placement::Moves Placement::stepPins()
{
    for (std::uint32_t model = 0; model < m_input.models.size(); ++model) {
        for (const std::uint32_t runner : m_input.models[model].pinnedOn) {
            if (!allowed(model, runner, false)) {
                continue;
            }
            if (freeOn(runner) >= m_input.models[model].bytes) {
                return {load(model, runner, MoveReason::Pin, LoadPurpose::Attainment, 0)};
            }
            if (const auto eviction = evictionsOn(model, runner, NoLimit)) {
                return placeWithEvictions(model, *eviction, MoveReason::Pin, LoadPurpose::Attainment, 0);
            }
            if (!m_noRoomForDeclared[model]) {
                m_noRoomForDeclared[model] = true;
                addShortage(model, MoveReason::Pin);
            }
        }
    }
    return {};
}

// Whether the copy, which is of another version than the declared one, can be evicted: the declared version serves the demand, has as many
// copies as the other, or can be loaded only in its place.
bool Placement::isReplaced(std::uint32_t copy) const
{
    const std::uint32_t model = m_input.copies[copy].model;
    const auto count = [this, model](auto matches) {
        return static_cast<std::uint32_t>(std::count_if(
            m_byModel[model].begin(), m_byModel[model].end(), [&](std::uint32_t other) { return matches(m_input.copies[other]); }));
    };
    const std::uint32_t obsolete = count([](const PlacementCopy &entry) { return entry.obsolete; });
    if (overload(model) <= 0 || servingCopiesExcept(model, copy, true) >= obsolete) {
        return true;
    }
    const bool isChanging = count([](const PlacementCopy &entry) { return entry.phase != CopyPhase::Serving; }) > 0;
    return !isChanging && !leastLoadedRunner(model, false);
}

// Evicts copies that are no longer needed: those on draining runners, and those of other versions than the declared one.
Placement::Moves Placement::stepCleanUp()
{
    for (const std::uint32_t model : m_toCleanUp) {
        for (const std::uint32_t copy : m_byModel[model]) {
            const PlacementCopy &entry = m_input.copies[copy];
            const PlacementRunner &runner = m_input.runners[entry.runner];
            if (entry.phase != CopyPhase::Serving || !runner.live || servingCopiesExcept(model, copy, true) == 0) {
                continue;
            }
            if (runner.draining) {
                return {evict(copy, MoveReason::Drain, LoadPurpose::Reachability)};
            }
            if (entry.obsolete && isReplaced(copy)) {
                return {evict(copy, MoveReason::Obsolete, LoadPurpose::Balance)};
            }
        }
    }
    return {};
}

Placement::Moves Placement::stepMinimumCopies()
{
    for (const std::uint32_t model : m_bySize) {
        const std::uint32_t copies = usefulCopies(model);
        if (m_noRoomForDeclared[model] || copies == 0 || copies >= m_input.models[model].minimumCopies) {
            continue;
        }
        auto runner = leastLoadedRunner(model, true);
        if (!runner) {
            runner = leastLoadedRunner(model, false);
        }
        if (runner) {
            return {load(model, *runner, MoveReason::MinimumCopies, LoadPurpose::Attainment, 0)};
        }
        if (const auto eviction = cheapestEvictions(model, false, NoLimit, false)) {
            return placeWithEvictions(model, *eviction, MoveReason::MinimumCopies, LoadPurpose::Attainment, 0);
        }
        m_noRoomForDeclared[model] = true;
        addShortage(model, MoveReason::MinimumCopies);
    }
    return {};
}

// Adds a copy in a second data centre where memory is free. While evictions are in progress, the memory they free is reserved for other
// copies.
Placement::Moves Placement::stepSecondDataCentre()
{
    const bool evicting = std::any_of(
        m_input.copies.begin(), m_input.copies.end(), [](const PlacementCopy &copy) { return copy.phase == CopyPhase::Evicting; });
    if (evicting) {
        return {};
    }
    for (const std::uint32_t model : m_bySize) {
        if (m_noRoomInSecondDataCentre[model] || usefulCopies(model) == 0 || inTwoDataCentres(model, std::nullopt)) {
            continue;
        }
        if (const auto runner = leastLoadedRunner(model, true)) {
            return {load(model, *runner, MoveReason::SecondDataCentre, LoadPurpose::Balance, 0)};
        }
        m_noRoomInSecondDataCentre[model] = true;
        addShortage(model, MoveReason::SecondDataCentre);
    }
    return {};
}

double Placement::moveCost(std::size_t moves) const
{
    return m_options.moveWeight * m_options.moveCost * static_cast<double>(moves);
}

// Adds the copy that serves the most unserved slots, if its gain within the horizon exceeds the cost of its load, its later eviction and
// the evictions that free its memory.
Placement::Moves Placement::stepDemand()
{
    const double seconds = std::chrono::duration<double>(m_options.horizon).count() * m_options.attainmentWeight;
    std::optional<Relocations> movable;
    while (true) {
        std::optional<std::uint32_t> best;
        double bestOverload = 0;
        for (std::uint32_t model = 0; model < m_input.models.size(); ++model) {
            const double found = m_noGain[model] ? 0 : overload(model) * m_input.models[model].priorityWeight;
            if (found > bestOverload) {
                best = model;
                bestOverload = found;
            }
        }
        if (!best) {
            return {};
        }
        const auto target = leastLoadedRunner(*best, false);
        if (target) {
            const double gain = std::min(bestOverload, capacityOf(*target) - m_loads[*target]) * seconds - moveCost(2);
            if (gain > 0) {
                return {load(*best, *target, MoveReason::Demand, LoadPurpose::Attainment, gain)};
            }
        }
        if (const auto eviction = cheapestEvictions(*best, false, bestOverload / m_options.hysteresis, true)) {
            const double spare = capacityOf(eviction->runner) - m_loads[eviction->runner];
            const double gain =
                (std::min(bestOverload, spare) - m_options.hysteresis * eviction->loss) * seconds - moveCost(2 + eviction->copies.size());
            if (gain > 0) {
                return placeWithEvictions(*best, *eviction, MoveReason::Demand, LoadPurpose::Attainment, gain);
            }
        }
        if (!movable) {
            movable = relocations();
        }
        Moves moves = relocateForDemand(*best, bestOverload, seconds, *movable);
        if (!moves.empty()) {
            return moves;
        }
        m_noGain[*best] = true;
    }
}

// Finds the possible relocations in the present state, for all models that a step tries.
Placement::Relocations Placement::relocations() const
{
    Relocations found;
    std::vector<bool> loading(m_input.models.size(), false);
    for (std::uint32_t model = 0; model < m_input.models.size(); ++model) {
        loading[model] = std::any_of(m_byModel[model].begin(), m_byModel[model].end(), [this](std::uint32_t copy) {
            return m_input.copies[copy].phase == CopyPhase::Loading;
        });
    }
    for (std::uint32_t model = 0; model < m_input.models.size(); ++model) {
        const auto target = loading[model] ? std::nullopt : leastLoadedRunner(model, false);
        for (const std::uint32_t copy : m_byModel[model]) {
            const PlacementCopy &entry = m_input.copies[copy];
            const bool movable = entry.phase == CopyPhase::Serving && !entry.obsolete && !pinned(model, entry.runner);
            if (!movable || spareOn(entry.runner) <= 0) {
                continue;
            }
            if (loading[model]) {
                found.inProgress.push_back(copy);
            } else if (target) {
                const double unserved = std::max(0.0, m_copySlots[copy] - spareOn(*target));
                found.possible.push_back({copy, *target, (SecondDataCentreSlots + unserved) * m_input.models[model].priorityWeight});
            }
        }
    }
    return found;
}

bool Placement::makesRoom(std::uint32_t copy, std::uint32_t model) const
{
    const PlacementCopy &entry = m_input.copies[copy];
    return entry.model != model && freeOn(entry.runner) + entry.bytes >= m_input.models[model].bytes && allowed(model, entry.runner, false);
}

// Loads a copy of another model on a runner with free memory, so that its former copy can be evicted for a copy of this model. The gain
// must cover both loads and both evictions, and the second data centre that the other model may lose. `unservedSlots` are the slots that
// one more copy could take over, weighted by priority; `seconds` is the weighted horizon.
Placement::Moves Placement::relocateForDemand(std::uint32_t model, double unservedSlots, double seconds, const Relocations &relocations)
{
    const auto &inProgress = relocations.inProgress;
    if (std::any_of(inProgress.begin(), inProgress.end(), [&](std::uint32_t copy) { return makesRoom(copy, model); })) {
        return {};
    }
    const Relocation *best = nullptr;
    double bestGain = 0;
    for (const Relocation &relocation : relocations.possible) {
        const double slots = std::min(unservedSlots, spareOn(m_input.copies[relocation.copy].runner));
        const double gain = (slots - m_options.hysteresis * relocation.loss) * seconds - moveCost(RelocationMoves);
        if (gain > bestGain && makesRoom(relocation.copy, model)) {
            best = &relocation;
            bestGain = gain;
        }
    }
    if (best == nullptr) {
        return {};
    }
    return {load(m_input.copies[best->copy].model, best->target, MoveReason::Room, LoadPurpose::Attainment, bestGain)};
}

} // namespace Hemlockhill
