// What the runners of a deployment hold: which models and adapters are loaded and unloaded where. A pure core of the leader.
//
// Answers the load pattern of demand that moves to other models every few seconds while loads from the weight store are few: no model
// loses its last copy, a copy more goes where the least is asked, and adapters follow the requests that wait for them.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/gateway.h"
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

// Counts the orders that a runner has accepted in its present life.
using OrderSequence = Quantity<struct OrderSequenceTag>;

// What a runner says of itself; it was so some hundred milliseconds ago.
struct RunnerReport {
    Incarnation incarnation;
    OrderSequence sequence;
    // Whether a model is being loaded or unloaded.
    bool busy = false;
    bool leaving = false;
    std::set<RoutingTarget> held;
    // Adapters on their way from the store; they take places already.
    std::set<RoutingTarget> pending;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Weights that load without the store.
    std::set<ModelId> inMemory;
    std::set<ModelId> onDisk;
};

// What is asked of a model and what carries it, for logs.
struct ModelLoad {
    // Seconds of a runner's time in a second.
    double work = 0;
    std::uint32_t copies = 0;
    std::uint32_t waiting = 0;
};

enum class RunnerOperation { Load, Unload };

std::string_view toText(RunnerOperation operation);

// An order that the runner carries out only in the state that it was meant for.
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
    // It is being carried out.
    Accepted,
    // The runner was already as ordered.
    AlreadyDone,
    // Another order came first.
    Conflict,
    // A leader with a higher fencing number has given orders.
    Fenced,
    // The runner does not take this order, or is another one.
    Rejected,
    // No answer: it may have been accepted, or may be later.
    Unknown
};

std::string_view toText(OrderOutcome outcome);

struct FleetLimits {
    // The share of a runner's time that one copy of a model may take before another copy is worth a load.
    double busyShare = 0.35;
    // A copy makes room for another model's when the busier of the two then has at most this part of what the other one has now.
    double reliefPart = 0.8;
    // A model that takes less of a runner's time may be moved elsewhere to make room.
    double coldShare = 0.08;
    // Room is filled ahead of demand by models of which one copy takes more than this.
    double fillShare = 0.25;
    // What a runner reads of prompts, and the tokens that it generates for all requests of a full batch together.
    double promptTokensPerSecond = 25'800;
    double outputTokensPerSecond = 5'000;
    // Requests a second for one adapter on one runner, from which on it is loaded on another one too.
    double busyAdapterRate = 1.5;
    // Models being loaded at one time: so many, or this part of the runners where that is more.
    std::uint32_t concurrentLoads = 6;
    double loadingPart = 0.5;
    // Of these, loads that only prepare for demand to come.
    std::uint32_t concurrentPreparations = 2;
    double preparingPart = 1.0 / 6;
    // Adapters loaded at one time before anything asks for them, and places of each runner that are kept free of these.
    std::uint32_t concurrentAdapterPreparations = 8;
    std::uint32_t spareAdapterSlots = 1;
    // Pause between two searches for models to pack together.
    Duration packingPeriod = std::chrono::milliseconds(500);
    // Room that was made for a model to be packed is kept for it for this long.
    Duration packingReservation = std::chrono::milliseconds(2500);
    // The store's loads are counted over this time.
    Duration storeWindow = std::chrono::seconds(5);
    // Loads beyond the store's pace that one window bears.
    double storeBurst = 1;
    // A new leader begins no load from the store for this long, until reports have shown what its predecessor began.
    Duration takeoverPause = std::chrono::milliseconds(600);
    // The time after which demand counts a third.
    Duration demandMemory = std::chrono::milliseconds(1500);
    // A runner's report is asked for at this period, or at this one for each runner of the fleet where that is more: a leader's
    // processor time bounds the reports that it can read in a second.
    Duration reportPeriod = std::chrono::milliseconds(500);
    Duration reportPeriodPerRunner = std::chrono::milliseconds(7);
    // After an order without an answer the runner gets no other one for this long, unless a report shows that it was carried out.
    Duration unknownPause = std::chrono::milliseconds(600);
};

class FleetPlacement
{
public:
    // Begins a term of office. What a former leader has ordered shows only in the reports.
    FleetPlacement(FleetLimits limits, TimePoint now);

    void setDeployment(std::shared_ptr<const Deployment> deployment);
    // Everything that the platform lists.
    void onListing(const EndpointsById &listing, TimePoint now);
    void onReport(const EndpointId &endpoint, const RunnerReport &report, TimePoint now);
    void onFigures(const VmId &node, const DemandByTarget &figures, TimePoint now);
    void onAnswered(const RunnerOrder &order, OrderOutcome outcome, TimePoint now);

    // Runners whose report should be asked for now.
    std::vector<EndpointId> reportsDue(TimePoint now);
    // Orders to send now, at most one for each runner.
    std::vector<RunnerOrder> decide(TimePoint now);
    // The models that are asked for.
    std::map<ModelId, ModelLoad> loads(TimePoint now) const;
    // The endpoints as callers' nodes should see them.
    EndpointsById directory(TimePoint now) const;
    std::size_t runners() const { return m_runners.size(); }

private:
    struct Runner {
        LiveEndpoint live;
        std::optional<RunnerReport> report;
        TimePoint reportAskedAt;
        std::set<RoutingTarget> held;
        OrderSequence sequence;
        bool orderUnderWay = false;
        TimePoint pausedUntil;
        // The model that is being loaded, and when it should be there.
        ModelId loading;
        TimePoint loadedAt;
        // Adapters that were ordered and are not in a report yet.
        std::map<RoutingTarget, TimePoint> appearing;
        // What was ordered to go and still takes its room, since requests may be using it.
        std::set<RoutingTarget> vacating;
        // A report showed a load or unload under way that this leader has not ordered.
        bool foreignBusy = false;
        // An order without an answer that may still be carried out, unless another one comes first.
        std::optional<RunnerOrder> doubtful;
        // Since when it is not known which orders the runner has accepted.
        std::optional<TimePoint> uncertainSince;
        TimePoint reservedUntil;
        // What takes room as of the survey.
        double usedWeights = 0;
        std::uint32_t usedAdapterSlots = 0;
    };

    // What is known of a model at a decision.
    struct ModelState {
        // Seconds of a runner's time in a second.
        double work = 0;
        std::uint32_t waiting = 0;
        // Copies that are there or being loaded, and those that run requests.
        std::uint32_t copies = 0;
        std::uint32_t readyCopies = 0;
        std::vector<Runner *> holders;
    };
    using Survey = std::map<ModelId, ModelState>;

    // The only copy of a model that is hardly asked for, and how many copies of large models more fit on its runner without it.
    struct ColdCopy {
        const Runner *runner;
        const EngineModel *model;
        double gain;
    };

    // The next order that packs cold models together on a runner.
    struct PackingStep {
        Runner *runner;
        const EngineModel *model;
        // Set where an idle copy has to go first.
        std::optional<ModelId> evicted;
        // Copies of large models that fit in the fleet beyond those that fit now, once the models have moved.
        double gain;
    };

    // What is asked of a target, as moving averages.
    struct Demand {
        // Requests a second.
        double rate = 0;
        // Seconds of a runner's time in a second.
        double work = 0;
        TimePoint at;
    };

    const EngineProfile *profileOf(const Runner &runner) const;
    double rateOf(const RoutingTarget &target, TimePoint now) const;
    double fading(const Demand &demand, TimePoint now) const;
    // Takes stock of models and runners once, so that a decision's cost grows with their number and not with its square.
    void survey(TimePoint now);
    const ModelState &stateOf(const ModelId &model) const;
    double runnerWork(const Runner &runner) const;
    void takeProgress(Runner &runner, const RunnerReport &report) const;
    std::set<RoutingTarget> charged(const Runner &runner) const;
    void chargeRoom(Runner &runner) const;
    // Whether one more adapter of the model fits, by places and by weight.
    bool hasAdapterPlace(const Runner &runner, const EngineProfile &profile, const EngineModel &model) const;
    bool takesOrders(const Runner &runner, TimePoint now) const;
    bool isBusyWithModel(const Runner &runner) const;
    std::uint32_t loadsUnderWay() const;
    bool mayLoad() const;
    bool mayPrepare() const;
    bool storeAllows(const EngineProfile &profile, TimePoint now);
    bool loadsWithoutStore(const Runner &runner, const ModelId &model) const;

    void placeAdapters(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    // Loads adapters that no runner has where places are free, so that the first request for them need not wait.
    void prepareAdapters(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    void placeModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    bool placeModel(
        const ServiceId &service, const EngineProfile &profile, const EngineModel &model, TimePoint now, std::vector<RunnerOrder> &orders);
    // Makes sure that an order without an answer cannot be carried out late, by giving it again or another one before it.
    void settleDoubtful(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    double urgency(const ModelId &model) const;
    // Moves models that are hardly asked for together, so that more runners have room for copies of the others.
    void packColdModels(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    std::vector<ColdCopy> movableColdCopies(const ServiceId &service, const EngineProfile &profile) const;
    std::optional<PackingStep>
    packingStep(Runner &runner, const EngineProfile &profile, const std::vector<ColdCopy> &movable, bool storeOpen) const;
    bool isCold(const ModelId &model) const;
    double coldWeights(const Runner &runner, const EngineProfile &profile) const;
    // Copies of the largest model that no longer fit beside the runner's cold models once it holds that much more of these.
    double lostRoom(const Runner &runner, const EngineProfile &profile, double weights) const;
    // What each copy of a model would have to do with one copy less.
    double workWithout(const ModelId &model) const;
    // Gives what is left of room to the models that are asked for most.
    void fillRoom(const ServiceId &service, const EngineProfile &profile, TimePoint now, std::vector<RunnerOrder> &orders);
    RunnerOrder orderLoad(Runner &runner, const EngineModel &model, TimePoint now);
    std::optional<RoutingTarget> evictableAdapter(const Runner &runner, TimePoint now) const;
    std::optional<ModelId> evictableModel(const Runner &runner, const ModelId &inFavourOf) const;
    RunnerOrder order(Runner &runner, RunnerOperation operation, const RoutingTarget &target);

    FleetLimits m_limits;
    TimePoint m_beganAt;
    std::shared_ptr<const Deployment> m_deployment;
    std::map<EndpointId, Runner> m_runners;
    std::map<RoutingTarget, Demand> m_demand;
    std::map<VmId, std::map<RoutingTarget, std::uint32_t>> m_waiting;
    std::deque<TimePoint> m_storeLoads;
    Survey m_survey;
    std::map<RoutingTarget, std::uint32_t> m_waitingByTarget;
    TimePoint m_packedAt;
};

} // namespace Hemlockhill
