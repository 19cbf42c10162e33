// Decides which models and adapters the runners of a deployment load and unload. A deterministic state machine without I/O that runs on the
// leader.
//
// Designed for demand that moves to other models every few seconds while the weight store allows only a few loads: no requested model loses
// its last copy to one that has a copy, additional copies are loaded on the least busy runners, and adapters are loaded where requests wait
// for them. Where not all models fit, idle ones make room for requested ones. No target that is requested waits forever behind more popular
// ones: after a time it may displace the least requested of them.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/gateway.h"
#include "hemlockhill/runner_paces.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// Number of orders that a runner has accepted in its current incarnation.
using OrderSequence = Quantity<struct OrderSequenceTag>;

// State reported by a runner. It is typically a few hundred milliseconds old when it arrives.
struct RunnerReport {
    Incarnation incarnation;
    OrderSequence sequence;
    // Whether a model is being loaded or unloaded.
    bool busy = false;
    bool leaving = false;
    std::set<RoutingTarget> held;
    // Adapters that are still being loaded from the store; they already occupy slots.
    std::set<RoutingTarget> pending;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    EventCounts events;
    // Models whose weights can be loaded without the store.
    std::set<ModelId> inMemory;
    std::set<ModelId> onDisk;
};

// Demand for a model and the copies that serve it, for logs.
struct ModelLoad {
    // Work in runner seconds per second: 1 keeps one runner busy.
    double work = 0;
    std::uint32_t copies = 0;
    std::uint32_t waiting = 0;
};

// Why a requested target is not loaded.
enum class PlacementObstacle {
    // It has only just been requested, or its load is in progress.
    None,
    // No runner holds the adapter's model.
    ModelAbsent,
    // The suitable runners are loading or unloading models, or have not confirmed the last order.
    RunnersBusy,
    // Room is being made: what has been displaced still runs requests.
    Displacing,
    // All memory or adapter slots are taken by targets that may not be displaced yet.
    NoRoom,
    // Copies of overloaded models are loaded first, as many callers wait for them.
    LoadsTaken,
    // The rate limit of the weight store is used up.
    StoreRate
};

std::string_view toText(PlacementObstacle obstacle);

// A target that is requested while no runner has it loaded.
struct UnservedTarget {
    RoutingTarget target;
    Duration duration{0};
    PlacementObstacle obstacle = PlacementObstacle::None;
};

enum class RunnerOperation { Load, Unload };

std::string_view toText(RunnerOperation operation);

// An order that the runner carries out only if it still has the expected incarnation and sequence number.
struct RunnerOrder {
    EndpointId endpoint;
    Incarnation incarnation;
    Address address;
    RunnerOperation operation = RunnerOperation::Load;
    RoutingTarget target;
    OrderSequence expected;

    bool operator==(const RunnerOrder &) const = default;
};

enum class OrderOutcome {
    // The runner is carrying out the order.
    Accepted,
    // The runner was already in the ordered state.
    AlreadyDone,
    // The runner has accepted another order in the meantime.
    Conflict,
    // The runner has accepted orders from a leader with a higher fencing number.
    Fenced,
    // The runner does not accept this order, or has another incarnation.
    Rejected,
    // No answer: the order may have been accepted, or may still arrive.
    Unknown
};

std::string_view toText(OrderOutcome outcome);

// A runner whose report is due.
struct DueReport {
    EndpointId endpoint;
    Address address;
};

// Thresholds and rate limits of fleet placement.
struct FleetLimits {
    // Utilization of a runner by one copy of a model, as a ratio of its time, above which another copy is worth a load.
    double replicationThreshold = 0.35;
    // A copy is evicted for an additional copy of another model only if the work per copy of both models is then at most this ratio of the
    // other model's present work per copy.
    double evictionWorkRatio = 0.8;
    // A model whose work takes less than this ratio of a runner's time is cold: it may be moved to another runner to free memory.
    double coldThreshold = 0.08;
    // Free memory is filled with further copies of requested models of which one copy takes more than this ratio of a runner's time.
    double preloadThreshold = 0.25;
    // Throughput of a runner: prompt tokens per second, and output tokens per second over all requests of a full batch.
    double promptTokensPerSecond = 25'800;
    double outputTokensPerSecond = 5'000;
    // Requests per second for one adapter on one runner above which the adapter is loaded on another runner too.
    double adapterReplicationRate = 1.5;
    // Limit on concurrent model loads: this number or this ratio of the runners, whichever is more.
    std::uint32_t concurrentLoads = 6;
    double concurrentLoadRatio = 0.5;
    // In a fleet where that ratio decides, models without a copy may take this ratio of the concurrent loads while others are overloaded.
    double absentModelLoadRatio = 0.5;
    // Concurrent loads from which on no load is started ahead of demand: this number or this ratio of the runners, whichever is more.
    std::uint32_t concurrentPreloads = 2;
    double concurrentPreloadRatio = 1.0 / 6;
    // A loaded adapter or model keeps its place for at least this long, so that the requests that wait for it are served.
    Duration adapterResidence = std::chrono::milliseconds(1500);
    Duration modelResidence = std::chrono::seconds(6);
    // A requested target that has not been served for this long may displace any other adapter, or the last copy of an idle model.
    Duration adapterStarvation = std::chrono::seconds(2);
    Duration modelStarvation = std::chrono::seconds(3);
    // After this long it may displace the last copy of a model that is requested too.
    Duration longModelStarvation = std::chrono::seconds(8);
    // The last copy of a model that has not been requested for this long makes room for a requested model without a copy at once.
    Duration modelIdlePeriod = std::chrono::seconds(4);
    // After this long it also makes room for one more copy of an overloaded model.
    Duration longModelIdlePeriod = std::chrono::seconds(8);
    // Utilization of a runner by each copy of a model above which the model is overloaded: the last copy of an idle model makes room for
    // one more copy, and several copies are loaded at a time.
    double overloadThreshold = 0.6;
    // Figures of a node that has not reported for this long are ignored.
    Duration figuresLifetime = std::chrono::seconds(5);
    // Interval between two searches for cold models to move onto one runner.
    Duration packingPeriod = std::chrono::milliseconds(500);
    // Memory that was freed for a model to be packed is reserved for this long.
    Duration packingReservation = std::chrono::milliseconds(2500);
    // Window over which loads from the weight store are counted.
    Duration storeRateWindow = std::chrono::seconds(5);
    // Loads allowed in one window in addition to the store's rate limit.
    double storeBurst = 1;
    // A new leader starts no load from the store for this long: reports must first show the loads that its predecessor started.
    Duration takeoverStoreDelay = std::chrono::milliseconds(600);
    // Time constant of the exponential decay of demand.
    Duration demandTimeConstant = std::chrono::milliseconds(1500);
    // A runner's report is requested at this period, or at this period per runner of the fleet where that is longer: the leader's processor
    // time limits the number of reports that it can parse per second.
    Duration reportPeriod = std::chrono::milliseconds(500);
    Duration reportPeriodPerRunner = std::chrono::milliseconds(7);
    // After an order without an answer, the runner receives no other order for at least this long, and until a later report has shown its
    // state.
    Duration unknownOutcomeBackoff = std::chrono::milliseconds(600);
};

// Tracks the runners of a fleet and their demand, and decides on loads and unloads.
class FleetPlacement
{
public:
    // Starts a leadership term. Orders of a former leader are known only from reports.
    FleetPlacement(FleetLimits limits, TimePoint now);

    void setDeployment(std::shared_ptr<const Deployment> deployment);
    // Replaces the list of endpoints with the complete list of the platform. State of an endpoint is kept as long as its incarnation stays
    // the same.
    void onListing(const EndpointsById &listing, TimePoint now);
    // Updates the state of a runner. A report of another incarnation than the listed one is ignored.
    void onReport(const EndpointId &endpoint, const RunnerReport &report, TimePoint now);
    // Adds the demand that a node reports, and replaces its counts of waiting requests.
    void onFigures(const VmId &node, const DemandByTarget &figures, TimePoint now);
    // Records the outcome of an order. Ignored if the runner has another incarnation by now.
    void onAnswered(const RunnerOrder &order, OrderOutcome outcome, TimePoint now);

    // Runners whose report must be requested now; marks them as requested. The slowdown, 1 or more, multiplies the regular period; reports
    // that show the outcome of an order are not delayed.
    std::vector<DueReport> reportsDue(TimePoint now, double slowdown = 1);
    // Orders to send now, at most one for each runner. The outcome of each must be passed to onAnswered().
    std::vector<RunnerOrder> decide(TimePoint now);
    // Requested targets that no runner has loaded, the longest unserved first, as of the last decision.
    std::vector<UnservedTarget> unserved(TimePoint now) const;
    // Load of the models that have demand.
    std::map<ModelId, ModelLoad> loads(TimePoint now) const;
    // The endpoints as the nodes that route requests should see them.
    EndpointsById directory(TimePoint now) const;
    std::size_t runners() const { return m_runners.size(); }

private:
    struct Runner {
        LiveEndpoint live;
        std::optional<RunnerReport> report;
        TimePoint reportRequestedAt;
        std::set<RoutingTarget> held;
        OrderSequence sequence;
        bool orderInFlight = false;
        TimePoint pausedUntil;
        // The model that is being loaded, and when its load is expected to finish.
        ModelId loading;
        TimePoint loadEndsAt;
        // Adapters that were ordered but are not yet in a report, with the expected end of their load.
        std::map<RoutingTarget, TimePoint> loadingAdapters;
        // Targets whose unload was ordered. They still occupy memory, since requests may be using them.
        std::set<RoutingTarget> unloading;
        // Adapters that get no new requests and are unloaded once none runs: an unload that waits for requests blocks all other orders.
        std::set<RoutingTarget> withdrawn;
        // When the targets were loaded, as far as this leader has ordered it.
        std::map<RoutingTarget, TimePoint> loadedAt;
        // The model for which a copy of another one is being evicted here.
        ModelId evictingFor;
        // A report showed a load or unload in progress that this leader did not order.
        bool busyWithForeignOrder = false;
        // An order without an answer. It may still be carried out unless the runner accepts another order first.
        std::optional<RunnerOrder> unresolvedOrder;
        // Time since which the orders accepted by the runner are unknown.
        std::optional<TimePoint> outcomeUnknownSince;
        TimePoint reservedUntil;
        // Memory and adapter slots in use when the model states were last updated.
        double usedWeights = 0;
        std::uint32_t usedAdapterSlots = 0;
    };

    // State of a model at the time of a decision.
    struct ModelState {
        // Work in runner seconds per second.
        double work = 0;
        std::uint32_t waiting = 0;
        // When the last request for the model or one of its adapters arrived.
        TimePoint requestedAt;
        // Copies loaded or being loaded, and copies that can run requests.
        std::uint32_t copies = 0;
        std::uint32_t readyCopies = 0;
        std::vector<Runner *> holders;
    };
    using ModelStates = std::map<ModelId, ModelState>;

    // The only copy of a cold model, and how many more copies of large models fit on its runner without it.
    struct ColdCopy {
        const Runner *runner;
        const EngineModel *model;
        double gain;
    };

    // The next order of a plan that packs cold models onto one runner.
    struct PackingStep {
        Runner *runner;
        const EngineModel *model;
        // Set if an idle copy must be evicted first.
        std::optional<ModelId> evicted;
        // Additional copies of large models that fit in the fleet once the models have moved.
        double gain;
    };

    // A target that has been requested while no runner had it loaded.
    struct Unserved {
        TimePoint since;
        TimePoint lastRequestedAt;
        PlacementObstacle obstacle = PlacementObstacle::None;
    };

    // The last figures of a node.
    struct NodeFigures {
        TimePoint at;
        std::map<RoutingTarget, std::uint32_t> waiting;
        std::map<EndpointId, std::map<RoutingTarget, std::uint32_t>> running;
    };

    // An adapter that is requested, and how many runners hold it or are loading it.
    struct AdapterCandidate {
        RoutingTarget target;
        const EngineModel *model;
        double rate = 0;
        std::uint32_t holders = 0;
        // How long it has been requested without being loaded anywhere.
        Duration unservedFor{0};
    };

    // A copy that is evicted to make room, and what its loss costs as a ratio of a runner's time.
    struct Displacement {
        ModelId model;
        double cost = 0;
    };

    // Demand for a target, as exponentially decaying averages.
    struct Demand {
        // Requests per second.
        double rate = 0;
        // Work in runner seconds per second.
        double work = 0;
        TimePoint at;
    };

    const EngineProfile *profileOf(const Runner &runner) const;
    double rateOf(const RoutingTarget &target, TimePoint now) const;
    double decayFactor(const Demand &demand, TimePoint now) const;
    // Updates the state of all models and runners once, so that the cost of a decision grows linearly with their number.
    void updateModelStates(TimePoint now);
    const ModelState &stateOf(const ModelId &model) const;
    double runnerWork(const Runner &runner) const;
    void applyStaleReport(Runner &runner, const RunnerReport &report) const;
    void updateUsage(Runner &runner) const;
    // Whether one more adapter of the model fits, by adapter slots and by memory.
    bool adapterFits(const Runner &runner, const EngineProfile &profile, const EngineModel &model) const;
    bool takesOrders(const Runner &runner, TimePoint now) const;
    bool takesAdapterOrders(const Runner &runner, TimePoint now) const;
    bool isBusyWithModel(const Runner &runner) const;
    std::uint32_t loadsInFlight() const;
    std::uint32_t loadLimit() const;
    // Loads in progress of models that have no ready copy.
    std::uint32_t absentModelLoads() const;
    bool mayPreload() const;
    bool storeRateAllows(const EngineProfile &profile, TimePoint now);
    bool loadsWithoutStore(const Runner &runner, const ModelId &model) const;

    // Updates which requested targets no runner has loaded.
    void updateUnserved(TimePoint now);
    bool isHeldAnywhere(const RoutingTarget &target) const;
    Duration unservedFor(const RoutingTarget &target, TimePoint now) const;
    Duration unservedFor(const ModelId &model, TimePoint now) const;
    void setObstacle(const RoutingTarget &target, PlacementObstacle obstacle);
    std::uint32_t running(const Runner &runner, const RoutingTarget &target) const;
    // Unloads an adapter, at once if no request runs on it. Otherwise it gets no new requests from now on.
    void withdraw(Runner &runner, const RoutingTarget &adapter, std::vector<RunnerOrder> &orders);
    void unloadWithdrawn(const ServiceId &service, TimePoint now, std::vector<RunnerOrder> &orders);
    std::vector<AdapterCandidate> adapterCandidates(const ServiceId &service, const EngineProfile &profile, TimePoint now) const;
    void placeAdapter(const ServiceId &service,
                      const EngineProfile &profile,
                      const AdapterCandidate &candidate,
                      TimePoint now,
                      std::vector<RunnerOrder> &orders);
    void placeAdapters(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    void placeModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    bool placeModel(
        const ServiceId &service, const EngineProfile &profile, const EngineModel &model, TimePoint now, std::vector<RunnerOrder> &orders);
    // Resolves the unknown outcomes of orders: repeats the order, or sends another one, so that the lost order cannot be carried out late.
    void resolveUnknownOutcomes(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    double urgency(const ModelId &model, TimePoint now) const;
    // Whether the runners have places for all models of the service and for enough further copies.
    bool allModelsFit(const ServiceId &service, const EngineProfile &profile) const;
    // Moves cold models together onto fewer runners, so that more runners have memory for copies of the others.
    void packColdModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    std::vector<ColdCopy> movableColdCopies(const ServiceId &service, const EngineProfile &profile) const;
    std::optional<PackingStep>
    packingStep(Runner &runner, const EngineProfile &profile, const std::vector<ColdCopy> &movable, bool storeAvailable) const;
    bool isCold(const ModelId &model) const;
    double coldWeights(const Runner &runner, const EngineProfile &profile) const;
    // Copies of the largest model that no longer fit next to the runner's cold models once these grow by `weights`.
    double displacedLargeCopies(const Runner &runner, const EngineProfile &profile, double weights) const;
    // Work per ready copy of a model if it had one ready copy less.
    double workWithOneCopyLess(const ModelId &model) const;
    // Loads copies of the models with the most demand into free memory.
    void preloadModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    RunnerOrder orderLoad(Runner &runner, const EngineModel &model, TimePoint now);
    // The adapter that may be displaced by one that has been unserved for the given time.
    std::optional<RoutingTarget>
    evictableAdapter(const Runner &runner, const EngineProfile &profile, Duration unservedFor, TimePoint now) const;
    std::optional<ModelId> evictableModel(const Runner &runner, const ModelId &incoming, TimePoint now) const;
    std::optional<Displacement>
    displacementFor(const Runner &runner, const EngineProfile &profile, const EngineModel &incoming, TimePoint now) const;
    // The model whose last copy may be displaced by a model that is requested and has none, or whose copies are overloaded.
    std::optional<ModelId> evictableLastCopy(const Runner &runner, const ModelId &incoming, TimePoint now) const;
    // The model whose last copy is on the runner and that has been idle for the longest time, at least for the given period.
    std::optional<ModelId> longestIdleLastCopy(const Runner &runner, Duration idlePeriod, TimePoint now) const;
    // Whether the target is the last copy of a model and has been on the runner for long enough to be displaced.
    bool isDisplaceableLastCopy(const Runner &runner, const RoutingTarget &target, TimePoint now) const;
    // Whether a request for the model or one of its adapters waits or has arrived lately.
    bool isRequested(const ModelId &model, TimePoint now) const;
    // How long no request for the model has arrived, as far as this leader has had figures.
    Duration idleFor(const ModelId &model, TimePoint now) const;
    // When the last request for the target was reported; the beginning of time if this leader has seen none.
    TimePoint lastRequestedAt(const RoutingTarget &target) const;
    // The adapter of the model that callers request most, or requested last, of those that are not on the runner.
    std::optional<RoutingTarget> mostRequestedAdapter(const Runner &runner, const ModelId &model, TimePoint now) const;
    // The adapter on the runner that nobody requests and no request uses, and that was requested the longest time ago.
    std::optional<RoutingTarget> unusedAdapter(const Runner &runner, TimePoint now) const;
    bool isResident(const Runner &runner, const RoutingTarget &target, Duration residence, TimePoint now) const;
    void updateRoomBeingMade(const ServiceId &service, const EngineProfile &profile);
    // Reserves room that unloads in progress make, if the model fits nowhere else. Returns whether there is enough.
    bool takeRoomBeingMade(const ServiceId &service, const EngineProfile &profile, const EngineModel &model);
    // Whether a copy of another model is being evicted for this one, or the model is being loaded in its place.
    bool isRoomBeingMade(const ModelId &model) const;
    // Whether the copies of the model, those being loaded included, have more work than the overload threshold.
    bool isOverloaded(const ModelId &model) const;
    RunnerOrder order(Runner &runner, RunnerOperation operation, const RoutingTarget &target);

    FleetLimits m_limits;
    TimePoint m_startedAt;
    std::shared_ptr<const Deployment> m_deployment;
    std::map<EndpointId, Runner> m_runners;
    std::map<RoutingTarget, Demand> m_demand;
    RunnerPaces m_paces;
    // When the first request was reported.
    std::optional<TimePoint> m_firstDemandAt;
    std::map<VmId, NodeFigures> m_figures;
    std::map<RoutingTarget, Unserved> m_unserved;
    // Weights in MB that fit on runners once the unloads in progress have ended, less what has been reserved in this decision.
    std::map<EndpointId, double> m_roomBeingMade;
    // Whether all models are kept loaded, requested or not. As of the last decision.
    bool m_allModelsFit = false;
    std::deque<TimePoint> m_storeLoads;
    ModelStates m_modelStates;
    std::map<RoutingTarget, std::uint32_t> m_waitingByTarget;
    std::map<EndpointId, std::map<RoutingTarget, std::uint32_t>> m_running;
    TimePoint m_packedAt;
};

} // namespace Hemlockhill
