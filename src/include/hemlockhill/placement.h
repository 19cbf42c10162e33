// Computes which runners hold copies of each model: optimizes served demand against the cost of moves, with hysteresis and a planning
// horizon.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/load_budget.h"
#include "hemlockhill/region_state.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

struct PlacementOptions {
    // Weights of the objective. Attainment is measured in batch slots served, moves in loads and evictions.
    double attainmentWeight = 1.0;
    double moveWeight = 1.0;
    // Gains are summed over this time; a move must gain more than it costs within it.
    Duration horizon = std::chrono::minutes(10);
    // Cost of one move in slot seconds of served work, at a move weight of 1.
    double moveCost = 60;
    // Factor by which the gain of a new copy must exceed the loss of an evicted copy.
    double hysteresis = 1.3;
    // Ratio of a runner's batch slots that is planned to be used.
    double targetUtilization = 0.8;
};

// A runner as input to placement.
struct PlacementRunner {
    EndpointId id;
    DataCentreId dataCentre;
    Bytes limit;
    // Memory in use by anything but the listed copies.
    Bytes otherBytes;
    // Part of that memory which can be freed at once, such as that of idle adapters.
    Bytes reclaimable;
    double slots = 16;
    // Copies may be placed on it: it reports and is active.
    bool usable = true;
    // Its copies must be moved to other runners.
    bool draining = false;
    // Its copies serve requests.
    bool live = true;
};

struct PlacementModel {
    ModelId id;
    VersionId version;
    // Memory of one copy, including its KV reserve and the adapters that each copy loads.
    Bytes bytes;
    std::uint32_t minimumCopies = 1;
    // Batch slots that the current and the long-term demand occupy.
    double slots = 0;
    double longTermSlots = 0;
    double priorityWeight = 1;
    // Indexes of the runners that must hold a copy.
    std::vector<std::uint32_t> pinnedOn;
};

enum class CopyPhase { Serving, Loading, Evicting };

// A copy of a model, by indexes into the input's models and runners.
struct PlacementCopy {
    std::uint32_t model = 0;
    std::uint32_t runner = 0;
    CopyPhase phase = CopyPhase::Serving;
    // Whether it has another version than the declared one. It serves until a copy of the declared version does.
    bool obsolete = false;
    Bytes bytes;
};

struct PlacementInput {
    std::vector<PlacementRunner> runners;
    std::vector<PlacementModel> models;
    std::vector<PlacementCopy> copies;
};

enum class MoveReason { NoCopy, NewVersion, Drain, Pin, SecondDataCentre, MinimumCopies, Demand, Surplus, Room, Obsolete };

// One load or eviction.
struct PlacementMove {
    bool load = true;
    ModelId model;
    EndpointId runner;
    // For an eviction, whether the copy has another version than the declared one.
    bool obsolete = false;
    MoveReason reason = MoveReason::NoCopy;
    LoadPurpose purpose = LoadPurpose::Reachability;
    // Gain over the horizon less the cost of the moves, in slot seconds; zero for moves that a constraint requires.
    double gain = 0;
};

// A model that needs a copy which fits on no runner, and the memory that the runner with the most free memory lacks.
struct PlacementShortage {
    ModelId model;
    MoveReason reason = MoveReason::NoCopy;
    Bytes missing;
};

// Computes moves on a model of the region's state. step() finds the next moves and applies them to that state.
class Placement
{
public:
    Placement(PlacementInput input, const PlacementOptions &options);

    // Returns the next moves: one load, the evictions that free memory for a load together with that load, or one eviction of a copy that
    // is not needed. Empty when no move has a positive gain. The moves are applied to the modelled state at once; the actual memory for a
    // load is available only when its evictions have been reported.
    std::vector<PlacementMove> step();
    // Applies steps until no move has a positive gain and returns all moves. Each move is taken as completed at once.
    std::vector<PlacementMove> compute();
    // Sets the current and the long-term demand of a model, in batch slots.
    void setDemand(std::uint32_t model, double slots, double longTermSlots);

    const PlacementInput &input() const { return m_input; }
    const std::vector<PlacementShortage> &shortages() const { return m_shortages; }
    // The ratio of the demanded slots that the copies can serve.
    double servedRatio() const;
    std::uint32_t servingCopies(std::uint32_t model) const;

private:
    using Moves = std::vector<PlacementMove>;

    void index();
    void addToIndex(std::uint32_t copy);
    // Distributes the model's demand over its useful copies as routing would: the least loaded runners are filled first.
    void distributeLoad(std::uint32_t model);
    void removeLoad(std::uint32_t model);
    Bytes freeOn(std::uint32_t runner) const;
    double capacityOf(std::uint32_t runner) const;
    double effectiveSlots(std::uint32_t model) const;
    bool holdsCurrent(std::uint32_t model, std::uint32_t runner) const;
    bool pinned(std::uint32_t model, std::uint32_t runner) const;
    // Whether the copy is loaded or loading, has the declared version, and is on a live runner that is not draining.
    bool useful(const PlacementCopy &copy) const;
    std::uint32_t usefulCopies(std::uint32_t model) const { return m_useful[model]; }
    void countUseful(const PlacementCopy &copy, int sign);
    // Free slots on the runners of the model's useful copies.
    double spareOfCopies(std::uint32_t model) const;
    double spareOn(std::uint32_t runner) const { return std::max(0.0, capacityOf(runner) - m_loads[runner]); }
    std::uint32_t servingCopiesExcept(std::uint32_t model, std::uint32_t copy, bool currentOnly) const;
    bool inTwoDataCentres(std::uint32_t model, std::optional<std::uint32_t> without) const;
    double overload(std::uint32_t model) const;
    double evictionLoss(std::uint32_t copy) const;
    bool evictable(std::uint32_t copy) const;
    bool isReplaced(std::uint32_t copy) const;
    Moves stepReachability();
    Moves stepPins();
    Moves stepCleanUp();
    Moves stepMinimumCopies();
    Moves stepSecondDataCentre();
    Moves stepDemand();
    MoveReason reachabilityReason(std::uint32_t model) const;
    bool allowed(std::uint32_t model, std::uint32_t runner, bool otherDataCentre) const;
    std::optional<std::uint32_t> leastLoadedRunner(std::uint32_t model, bool otherDataCentre) const;
    struct Eviction {
        std::uint32_t runner = 0;
        std::vector<std::uint32_t> copies;
        double loss = 0;
    };
    std::optional<Eviction> evictionsOn(std::uint32_t model, std::uint32_t runner, double maxLoss) const;
    // With `withSpareSlots`, runners without free slots are left out.
    std::optional<Eviction> cheapestEvictions(std::uint32_t model, bool otherDataCentre, double maxLoss, bool withSpareSlots) const;
    Moves placeWithEvictions(std::uint32_t model, const Eviction &eviction, MoveReason reason, LoadPurpose purpose, double gain);
    Moves relocateFor(std::uint32_t model);
    // A copy that could be loaded on another runner to replace its present copy, and the slots lost by that, weighted by priority.
    struct Relocation {
        std::uint32_t copy = 0;
        std::uint32_t target = 0;
        double loss = 0;
    };
    struct Relocations {
        std::vector<Relocation> possible;
        // Serving copies of models that are already being loaded on another runner.
        std::vector<std::uint32_t> inProgress;
    };
    Relocations relocations() const;
    bool makesRoom(std::uint32_t copy, std::uint32_t model) const;
    Moves relocateForDemand(std::uint32_t model, double unservedSlots, double seconds, const Relocations &relocations);
    bool relocationInFlight(std::uint32_t model) const;
    PlacementMove load(std::uint32_t model, std::uint32_t runner, MoveReason reason, LoadPurpose purpose, double gain);
    PlacementMove evict(std::uint32_t copy, MoveReason reason, LoadPurpose purpose);
    void addShortage(std::uint32_t model, MoveReason reason);
    double moveCost(std::size_t moves) const;

    PlacementInput m_input;
    PlacementOptions m_options;
    std::vector<PlacementShortage> m_shortages;
    // Indexes of copies, by model and by runner. Evicted copies are in neither.
    std::vector<std::vector<std::uint32_t>> m_byModel;
    std::vector<std::vector<std::uint32_t>> m_byRunner;
    std::vector<Bytes> m_used;
    std::vector<double> m_loads;
    // Numbers of the data centres by runner; counts of useful copies by model, and by model and data centre.
    std::vector<std::uint32_t> m_dataCentreOf;
    std::uint32_t m_dataCentres = 0;
    std::vector<std::uint32_t> m_useful;
    std::vector<std::uint32_t> m_usefulIn;
    // Slots of the model's demand that each copy takes.
    std::vector<double> m_copySlots;
    // Cached results of spareOfCopies(), valid until the load of a runner changes.
    mutable std::vector<double> m_spare;
    mutable std::vector<std::uint64_t> m_spareAt;
    std::uint64_t m_loadChanges = 1;
    // Models that may have copies on draining runners or of other versions than the declared one.
    std::vector<std::uint32_t> m_toCleanUp;
    // Models in order of descending memory per copy.
    std::vector<std::uint32_t> m_bySize;
    // Models for which no runner was found: for any copy, for a pin or the minimum number of copies, for a second data centre, and for
    // demand with a positive gain.
    std::vector<bool> m_noRoom;
    std::vector<bool> m_noRoomForDeclared;
    std::vector<bool> m_noRoomInSecondDataCentre;
    std::vector<bool> m_noGain;
    // Whether moves are taken as completed as soon as they are found.
    bool m_assumeCompleted = false;
};

// Returns the refusal for a declared state whose models cannot all be resident, or nothing. Packs the largest models first, each onto the
// runner with the most free memory, so a state that only a better packing could fit is refused too.
std::optional<Refusal> findInfeasibility(const RegionState &state);

std::string_view toText(MoveReason reason);

} // namespace Hemlockhill
