// How placement finds free memory, and how moves change its modelled state.
#include "hemlockhill/placement.h"

#include <algorithm>
#include <array>

namespace Hemlockhill
{

bool Placement::allowed(std::uint32_t model, std::uint32_t runner, bool otherDataCentre) const
{
    const PlacementRunner &entry = m_input.runners[runner];
    if (!entry.usable || entry.draining || holdsCurrent(model, runner)) {
        return false;
    }
    return !otherDataCentre || m_usefulIn[model * m_dataCentres + m_dataCentreOf[runner]] == 0;
}

// The runner with the lowest load that has enough free memory; of equally loaded runners the one with more free memory.
std::optional<std::uint32_t> Placement::leastLoadedRunner(std::uint32_t model, bool otherDataCentre) const
{
    std::optional<std::uint32_t> best;
    double bestFill = 0;
    for (std::uint32_t runner = 0; runner < m_input.runners.size(); ++runner) {
        const Bytes free = freeOn(runner);
        if (free < m_input.models[model].bytes) {
            continue;
        }
        const double fill = m_loads[runner] / std::max(1.0, capacityOf(runner));
        const bool better = !best || fill < bestFill || (fill == bestFill && free > freeOn(*best));
        if (better && allowed(model, runner, otherDataCentre)) {
            best = runner;
            bestFill = fill;
        }
    }
    return best;
}

// The copies on the runner whose eviction loses the fewest served slots and which together free enough memory. A runner never holds two
// copies of one model.
std::optional<Placement::Eviction> Placement::evictionsOn(std::uint32_t model, std::uint32_t runner, double maxLoss) const
{
    struct Candidate {
        std::uint32_t copy;
        double loss;
    };
    std::vector<Candidate> candidates;
    for (const std::uint32_t copy : m_byRunner[runner]) {
        if (m_input.copies[copy].model != model && evictable(copy)) {
            candidates.push_back({copy, evictionLoss(copy)});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) { return left.loss < right.loss; });
    Eviction eviction{runner, {}, 0};
    Bytes free = freeOn(runner);
    for (const Candidate &candidate : candidates) {
        if (free >= m_input.models[model].bytes || eviction.loss + candidate.loss > maxLoss) {
            break;
        }
        eviction.copies.push_back(candidate.copy);
        eviction.loss += candidate.loss;
        free += m_input.copies[candidate.copy].bytes;
    }
    return free >= m_input.models[model].bytes ? std::optional(eviction) : std::nullopt;
}

std::optional<Placement::Eviction>
Placement::cheapestEvictions(std::uint32_t model, bool otherDataCentre, double maxLoss, bool withSpareSlots) const
{
    std::optional<Eviction> best;
    double bestNetLoss = 0;
    for (std::uint32_t runner = 0; runner < m_input.runners.size(); ++runner) {
        const bool full = withSpareSlots && m_loads[runner] >= capacityOf(runner);
        if (full || !allowed(model, runner, otherDataCentre)) {
            continue;
        }
        const auto found = evictionsOn(model, runner, maxLoss);
        if (!found) {
            continue;
        }
        // Slots that go unserved, less those that the new copy can serve instead.
        const double gain = withSpareSlots ? std::min(maxLoss, spareOn(runner) / m_options.hysteresis) : 0;
        const double netLoss = found->loss - gain;
        const bool better = !best || netLoss < bestNetLoss || (netLoss == bestNetLoss && m_loads[runner] < m_loads[best->runner]);
        if (better) {
            best = found;
            bestNetLoss = netLoss;
        }
    }
    return best;
}

Placement::Moves
Placement::placeWithEvictions(std::uint32_t model, const Eviction &eviction, MoveReason reason, LoadPurpose purpose, double gain)
{
    Moves moves;
    for (const std::uint32_t copy : eviction.copies) {
        moves.push_back(evict(copy, MoveReason::Room, purpose));
    }
    moves.push_back(load(model, eviction.runner, reason, purpose, gain));
    return moves;
}

// Whether a copy of another model is being loaded whose former copy can then be evicted.
bool Placement::relocationInFlight(std::uint32_t model) const
{
    return std::any_of(m_input.copies.begin(), m_input.copies.end(), [&](const PlacementCopy &copy) {
        return copy.phase == CopyPhase::Loading && copy.model != model && servingCopies(copy.model) > 0;
    });
}

// Loads a copy of another model on a second runner, so that its former copy can be evicted for this model.
Placement::Moves Placement::relocateFor(std::uint32_t model)
{
    if (relocationInFlight(model)) {
        return {};
    }
    std::optional<std::uint32_t> chosen;
    std::optional<std::uint32_t> target;
    for (std::uint32_t copy = 0; copy < m_input.copies.size(); ++copy) {
        const PlacementCopy &entry = m_input.copies[copy];
        const bool movable =
            entry.phase == CopyPhase::Serving && !entry.obsolete && !pinned(entry.model, entry.runner)
            && std::find(m_byRunner[entry.runner].begin(), m_byRunner[entry.runner].end(), copy) != m_byRunner[entry.runner].end();
        const bool enough = movable && freeOn(entry.runner) + entry.bytes >= m_input.models[model].bytes;
        if (!enough || !allowed(model, entry.runner, false) || (chosen && m_input.copies[*chosen].bytes <= entry.bytes)) {
            continue;
        }
        if (const auto runner = leastLoadedRunner(entry.model, false)) {
            chosen = copy;
            target = runner;
        }
    }
    if (!chosen) {
        return {};
    }
    return {load(m_input.copies[*chosen].model, *target, MoveReason::Room, LoadPurpose::Reachability, 0)};
}

PlacementMove Placement::load(std::uint32_t model, std::uint32_t runner, MoveReason reason, LoadPurpose purpose, double gain)
{
    removeLoad(model);
    const PlacementModel &entry = m_input.models[model];
    m_input.copies.push_back({model, runner, m_assumeCompleted ? CopyPhase::Serving : CopyPhase::Loading, false, entry.bytes});
    addToIndex(static_cast<std::uint32_t>(m_input.copies.size() - 1));
    distributeLoad(model);
    m_noGain[model] = false;
    return {true, entry.id, m_input.runners[runner].id, false, reason, purpose, gain};
}

PlacementMove Placement::evict(std::uint32_t copy, MoveReason reason, LoadPurpose purpose)
{
    const PlacementCopy entry = m_input.copies[copy];
    removeLoad(entry.model);
    countUseful(entry, -1);
    std::erase(m_byModel[entry.model], copy);
    std::erase(m_byRunner[entry.runner], copy);
    m_used[entry.runner] -= entry.bytes;
    distributeLoad(entry.model);
    return {false, m_input.models[entry.model].id, m_input.runners[entry.runner].id, entry.obsolete, reason, purpose, 0};
}

void Placement::addShortage(std::uint32_t model, MoveReason reason)
{
    Bytes most;
    for (std::uint32_t runner = 0; runner < m_input.runners.size(); ++runner) {
        if (allowed(model, runner, false)) {
            most = std::max(most, freeOn(runner));
        }
    }
    const Bytes needed = m_input.models[model].bytes;
    m_shortages.push_back({m_input.models[model].id, reason, most < needed ? needed - most : Bytes{}});
}

double Placement::servedRatio() const
{
    double demanded = 0;
    double served = 0;
    for (std::uint32_t model = 0; model < m_input.models.size(); ++model) {
        const double slots = effectiveSlots(model);
        demanded += slots;
        for (const std::uint32_t copy : m_byModel[model]) {
            const std::uint32_t runner = m_input.copies[copy].runner;
            served += m_copySlots[copy] * std::min(1.0, m_input.runners[runner].slots / std::max(m_loads[runner], 1e-9));
        }
    }
    return demanded > 0 ? served / demanded : 1;
}

std::string_view toText(MoveReason reason)
{
    constexpr std::array<std::string_view, 10> Names{"no copy serves",
                                                     "the declared version is not loaded",
                                                     "its endpoint is draining",
                                                     "pinned",
                                                     "no copy in a second data centre",
                                                     "fewer copies than declared",
                                                     "demand",
                                                     "surplus",
                                                     "frees memory for another copy",
                                                     "not the declared version"};
    return Names.at(static_cast<std::size_t>(reason));
}

} // namespace Hemlockhill
