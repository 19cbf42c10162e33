// Placement policies for the simulated day: two baselines and the placement controller of Hemlockhill.
#pragma once

#include "placement_day.h"

#include <memory>
#include <numeric>

namespace Hemlockhill::PlacementBench
{

// Loads as many copies as fit at the start, one per model in turn, and moves nothing afterwards.
inline Policy staticSpread()
{
    Policy policy;
    policy.name = "static";
    policy.onMiss = [](Fleet &, std::uint32_t, bool) {};
    policy.onSecond = [](Fleet &fleet, int second) {
        if (second > 0) {
            return;
        }
        const auto models = static_cast<std::uint32_t>(fleet.deployment().models);
        // Memory reserved for adapters on each runner.
        const Bytes reserve = PlacementTest::gigabytes(10);
        bool placed = true;
        while (placed) {
            placed = false;
            for (std::uint32_t model = 0; model < models; ++model) {
                std::optional<std::size_t> best;
                for (std::size_t runner = 0; runner < fleet.engines().size(); ++runner) {
                    const PlacementTest::Engine &engine = fleet.engines()[runner];
                    const bool fits = engine.used() + fleet.day().modelBytes(model) + reserve <= engine.limit;
                    const bool loading = fleet.isLoadingOn(runner, fleet.modelItem(model));
                    if (fits && !loading && (!best || engine.used() < fleet.engines()[*best].used())) {
                        best = runner;
                    }
                }
                if (best) {
                    fleet.load(*best, fleet.modelItem(model), fleet.day().modelBytes(model));
                    placed = true;
                }
            }
        }
    };
    return policy;
}

// Loads every model on every runner, regardless of memory. An upper bound for the policies, set by the slots alone.
inline Policy unlimitedMemory()
{
    Policy policy;
    policy.name = "bound-without-memory";
    policy.onMiss = [](Fleet &, std::uint32_t, bool) {};
    policy.onSecond = [](Fleet &fleet, int second) {
        for (std::size_t runner = 0; second == 0 && runner < fleet.engines().size(); ++runner) {
            fleet.engines()[runner].limit = PlacementTest::gigabytes(100'000);
            for (std::uint32_t model = 0; model < static_cast<std::uint32_t>(fleet.deployment().models); ++model) {
                fleet.load(runner, fleet.modelItem(model), fleet.day().modelBytes(model));
            }
        }
    };
    return policy;
}

// Loads a model when a request finds no copy with a free slot, and evicts the least recently used items to make space.
class OnDemandLru
{
public:
    // With keepLastCopy, never evicts the last copy of a model; plain LRU eviction does.
    OnDemandLru(const LoadLimits &limits, bool keepLastCopy)
        : m_budget(limits)
        , m_keepLastCopy(keepLastCopy)
    {
    }

    void onMiss(Fleet &fleet, std::uint32_t model)
    {
        const MemoryItem item = fleet.modelItem(model);
        if (fleet.isLoadingAnywhere(item) || !m_budget.allowsModelLoad(LoadPurpose::Reachability, fleet.loadsInFlight(), fleet.now())) {
            return;
        }
        std::optional<std::size_t> best;
        for (std::size_t runner = 0; runner < fleet.engines().size(); ++runner) {
            const bool hasCapacity = fleet.busySlots(runner) < Fleet::SlotsPerRunner && fleet.engines()[runner].loading.empty();
            if (hasCapacity && !fleet.isLoaded(runner, item) && (!best || fleet.busySlots(runner) < fleet.busySlots(*best))) {
                best = runner;
            }
        }
        if (best && evictUntilFits(fleet, *best, fleet.day().modelBytes(model))) {
            m_budget.takeModelLoad(LoadPurpose::Reachability, fleet.loadsInFlight(), fleet.now());
            fleet.load(*best, item, fleet.day().modelBytes(model));
        }
    }

private:
    bool evictUntilFits(Fleet &fleet, std::size_t runner, Bytes bytes) const
    {
        PlacementTest::Engine &engine = fleet.engines()[runner];
        while (engine.used() + bytes > engine.limit) {
            const MemoryItem *oldest = nullptr;
            int oldestUse = 0;
            for (const auto &[item, loaded] : engine.contents) {
                const int used = fleet.lastUsed(runner, static_cast<std::uint32_t>(std::stoul(item.model.value.substr(1))));
                if (m_keepLastCopy && item.adapter.empty() && isLastCopy(fleet, item)) {
                    continue;
                }
                if (oldest == nullptr || used < oldestUse) {
                    oldest = &item;
                    oldestUse = used;
                }
            }
            if (oldest == nullptr) {
                return false;
            }
            fleet.evict(runner, MemoryItem(*oldest));
        }
        return true;
    }

    static bool isLastCopy(const Fleet &fleet, const MemoryItem &item)
    {
        std::size_t copies = 0;
        for (std::size_t runner = 0; runner < static_cast<std::size_t>(fleet.deployment().runners); ++runner) {
            copies += fleet.isLoaded(runner, item) ? 1 : 0;
        }
        return copies <= 1;
    }

    LoadBudget m_budget;
    bool m_keepLastCopy;
};

inline Policy onDemandLru(const Deployment &deployment, bool keepLastCopy = false)
{
    Policy policy;
    policy.name = keepLastCopy ? "on-demand-keeping-last-copies" : "on-demand";
    const auto state = std::make_shared<OnDemandLru>(deployment.loads, keepLastCopy);
    policy.onMiss = [state](Fleet &fleet, std::uint32_t model, bool) { state->onMiss(fleet, model); };
    policy.onSecond = [](Fleet &, int) {};
    return policy;
}

// Runs the placement controller against the engines of a fleet. Commands commit immediately; reports are one second old.
class ControllerDriver
{
public:
    explicit ControllerDriver(const ControllerOptions &options)
        : m_controller(options)
    {
    }

    void onSecond(Fleet &fleet, int second)
    {
        if (second == 0) {
            declare(fleet);
        }
        m_controller.onDemand(fleet.sample(), fleet.now());
        if (second % ReportSeconds == 0) {
            execute(fleet, m_controller.onReports(m_lastReports, fleet.now()));
            m_lastReports.clear();
            for (std::size_t runner = 0; runner < fleet.engines().size(); ++runner) {
                EndpointReport report = fleet.engines()[runner].report();
                report.requestedAt = fleet.now() + std::chrono::seconds(ReportSeconds);
                m_lastReports[EndpointId{nameOf(runner)}] = std::move(report);
            }
        }
        execute(fleet, m_controller.tick(fleet.now()));
    }

    PlacementController &controller() { return m_controller; }

    static constexpr int ReportSeconds = 1;

private:
    static std::string nameOf(std::size_t runner) { return "r" + std::to_string(runner); }

    void declare(Fleet &fleet)
    {
        RegionState state;
        for (std::size_t runner = 0; runner < fleet.engines().size(); ++runner) {
            Endpoint endpoint;
            endpoint.id = EndpointId{nameOf(runner)};
            endpoint.dataCentre = DataCentreId{"dc" + std::to_string(runner % static_cast<std::size_t>(fleet.deployment().dataCentres))};
            endpoint.memory = fleet.engines()[runner].limit;
            state.endpoints[endpoint.id] = endpoint;
        }
        for (std::uint32_t model = 0; model < static_cast<std::uint32_t>(fleet.deployment().models); ++model) {
            Model declared;
            declared.id = fleet.modelItem(model).model;
            declared.version = fleet.modelItem(model).version;
            declared.weights = fleet.day().modelBytes(model);
            state.models[declared.id] = declared;
        }
        for (std::uint32_t adapter = 0; adapter < static_cast<std::uint32_t>(fleet.deployment().adapters); ++adapter) {
            const MemoryItem item = fleet.adapterItem(adapter);
            state.adapters[item.adapter] = {item.adapter, item.model, item.version, PlacementTest::gigabytes(1), false};
        }
        m_controller.onState(state);
        execute(fleet, m_controller.onLeadership(FencingNumber{1}, fleet.now()));
    }

    void execute(Fleet &fleet, const PlacementActions &actions)
    {
        for (const PlacementAction &action : actions) {
            if (const auto *proposal = std::get_if<ProposeOrderCommand>(&action)) {
                execute(fleet, m_controller.onCommitted(proposal->command, fleet.now()));
            } else if (const auto *sending = std::get_if<SendOrder>(&action)) {
                deliver(fleet, sending->order);
            }
        }
    }

    // An adapter loads within milliseconds, here at once; weights take the engine's load time.
    void deliver(Fleet &fleet, const Order &order)
    {
        PlacementTest::Engine &engine = fleet.engines()[std::stoul(order.endpoint.value.substr(1))];
        const OrderAnswer answer = engine.receive(order, fleet.now());
        if (!order.item.adapter.empty()) {
            for (auto &load : engine.loading) {
                load.endsAt = load.order.id == order.id ? fleet.now() : load.endsAt;
            }
            engine.advance(fleet.now());
        }
        fleet.countMove(order.item);
        execute(fleet, m_controller.onOrderAnswer(order.id, answer, fleet.now()));
    }

    PlacementController m_controller;
    EndpointReports m_lastReports;
};

inline Policy controllerPolicy(const std::string &name, const ControllerOptions &options)
{
    Policy policy;
    policy.name = name;
    const auto state = std::make_shared<ControllerDriver>(options);
    policy.onMiss = [](Fleet &, std::uint32_t, bool) {};
    policy.onSecond = [state](Fleet &fleet, int second) { state->onSecond(fleet, second); };
    policy.adaptersOnRequest = false;
    return policy;
}

} // namespace Hemlockhill::PlacementBench
