// Simulation for the placement tests in virtual time: engines that track their true memory, a network that loses, delays and duplicates
// messages, and replicas of one log.
#pragma once

#include "hemlockhill/placement_controller.h"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

namespace Hemlockhill::PlacementTest
{

using namespace std::chrono_literals;

constexpr Bytes GB{1'000'000'000};

inline Bytes gigabytes(std::uint64_t count)
{
    return Bytes{count * GB.value};
}

// A simulated engine that tracks its true memory. Weights occupy memory from the start of their load.
struct Engine {
    FencingMode fencingMode = FencingMode::Checked;
    Bytes limit;
    int restarts = 0;
    bool up = true;
    FencingNumber fencing;
    std::map<MemoryItem, Bytes> contents;
    struct Loading {
        Order order;
        TimePoint endsAt;
    };
    std::vector<Loading> loading;
    std::set<OrderId> seen;
    Duration loadTime = 1s;
    bool overcommitted = false;

    Incarnation incarnation() const { return Incarnation{"i" + std::to_string(restarts)}; }

    Bytes used() const
    {
        Bytes total;
        for (const auto &[item, bytes] : contents) {
            total += bytes;
        }
        for (const Loading &load : loading) {
            total += load.order.bytes;
        }
        return total;
    }

    OrderAnswer receive(const Order &order, TimePoint now)
    {
        if (fencingMode == FencingMode::Checked && order.fencing < fencing) {
            return OrderFenced{fencing};
        }
        if (fencingMode == FencingMode::Checked && order.incarnation != incarnation()) {
            return OrderOtherIncarnation{incarnation()};
        }
        fencing = std::max(fencing, order.fencing);
        if (seen.insert(order.id).second) {
            perform(order, now);
        }
        return OrderAccepted{};
    }

    void perform(const Order &order, TimePoint now)
    {
        if (order.action == OrderAction::Load) {
            loading.push_back({order, now + loadTime});
        } else {
            contents.erase(order.item);
        }
        overcommitted = overcommitted || used() > limit;
    }

    void advance(TimePoint now)
    {
        for (const Loading &load : loading) {
            if (load.endsAt <= now) {
                contents[load.order.item] += load.order.bytes;
            }
        }
        std::erase_if(loading, [&](const Loading &load) { return load.endsAt <= now; });
    }

    void restart(std::map<MemoryItem, Bytes> found)
    {
        ++restarts;
        contents = std::move(found);
        loading.clear();
        seen.clear();
        fencing = FencingNumber{};
    }

    EndpointReport report() const
    {
        EndpointReport report;
        report.incarnation = incarnation();
        report.fencing = fencing;
        report.memoryTotal = limit;
        for (const auto &[item, bytes] : contents) {
            report.memoryUsed += bytes;
            if (item.adapter.empty()) {
                report.models.push_back({item.model, item.version, bytes});
            } else {
                report.adapters.push_back({item.adapter, item.model, item.version, bytes});
            }
        }
        report.batchLimit = 16;
        return report;
    }
};

inline ControllerOptions fastOptions()
{
    ControllerOptions options;
    options.bounds = {2s, 3s, 500ms, 1s};
    options.loads = {4, 11, 90};
    options.reportTimeout = 2s;
    return options;
}

// Simulates controllers that share one order log, one of them leading, and a set of engines.
class Simulation
{
public:
    explicit Simulation(std::uint32_t seed, ControllerOptions options = fastOptions(), std::size_t replicas = 3)
        : random(seed)
        , m_options(options)
    {
        for (std::size_t replica = 0; replica < replicas; ++replica) {
            controllers.push_back(std::make_unique<PlacementController>(options));
            applied.push_back(0);
            disconnected.push_back(false);
        }
    }

    void addRunner(const std::string &name, const std::string &dataCentre, Bytes memory, FencingMode mode)
    {
        Endpoint endpoint;
        endpoint.id = EndpointId{name};
        endpoint.dataCentre = DataCentreId{dataCentre};
        endpoint.memory = memory;
        endpoint.fencing = mode;
        state.endpoints[endpoint.id] = endpoint;
        engines[endpoint.id].fencingMode = mode;
        engines[endpoint.id].limit = memory;
    }

    void addModel(const std::string &name, Bytes bytes, const std::string &version = "v1")
    {
        Model model;
        model.id = ModelId{name};
        model.version = VersionId{version};
        model.weights = bytes;
        state.models[model.id] = model;
    }

    void addAdapter(const std::string &name, const std::string &model, Bytes bytes, bool pinned)
    {
        state.adapters[AdapterId{name}] = {AdapterId{name}, ModelId{model}, VersionId{"a1"}, bytes, pinned};
    }

    void publishState()
    {
        for (auto &controller : controllers) {
            controller->onState(state);
        }
    }

    void elect(std::size_t replica)
    {
        ++term;
        const std::size_t former = leader;
        leader = replica;
        if (former != replica && former < controllers.size()) {
            disconnected[former] = true;
            m_deposed[former] = now + m_options.bounds.maxFormerLeaderTime / 2;
        }
        disconnected[replica] = false;
        catchUp(replica);
        perform(replica, controllers[replica]->onLeadership(FencingNumber{term}, now));
    }

    PlacementController &leadingController() { return *controllers[leader]; }

    void step(Duration by = 100ms)
    {
        now += by;
        while (!m_due.empty() && m_due.top().at <= now) {
            const auto act = m_due.top().act;
            m_due.pop();
            ++events;
            act();
        }
        for (auto &[id, engine] : engines) {
            engine.advance(now);
        }
        notifyDeposedLeaders();
        for (std::size_t replica = 0; replica < controllers.size(); ++replica) {
            catchUp(replica);
            ++events;
            perform(replica, controllers[replica]->tick(now));
        }
        poll();
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end;) {
            step();
        }
    }

    bool overcommitted() const
    {
        return std::any_of(engines.begin(), engines.end(), [](const auto &entry) { return entry.second.overcommitted; });
    }

    std::size_t copiesOf(const std::string &model, const std::string &version = "") const
    {
        return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [&](const auto &entry) {
            const auto &contents = entry.second.contents;
            return entry.second.up && std::any_of(contents.begin(), contents.end(), [&](const auto &held) {
                       return held.first.model.value == model && held.first.adapter.empty()
                              && (version.empty() || held.first.version.value == version);
                   });
        }));
    }

    std::vector<std::string> modelsWithoutCopy() const
    {
        std::vector<std::string> missing;
        for (const auto &[id, model] : state.models) {
            if (copiesOf(id.value) == 0) {
                missing.push_back(id.value);
            }
        }
        return missing;
    }

    bool chance(double probability) { return boost::random::bernoulli_distribution<>(probability)(random); }
    std::int64_t pick(std::int64_t low, std::int64_t high)
    {
        return boost::random::uniform_int_distribution<std::int64_t>(low, high)(random);
    }
    Duration pickDuration(Duration high) { return Duration(pick(0, high.count())); }
    void after(Duration delay, std::function<void()> act) { m_due.push({now + delay, m_sequence++, std::move(act)}); }

    // Delivers the order that a test holds back, unless it has been delivered already.
    void deliverDelayed(bool shouldDeliver)
    {
        if (delayedOrder && shouldDeliver) {
            engines[delayedOrder->endpoint].receive(*delayedOrder, now);
            delayedOrder.reset();
        }
    }

    std::optional<Order> delayedOrder;
    boost::random::mt19937 random;
    TimePoint now{1000s};
    RegionState state;
    std::map<EndpointId, Engine> engines;
    std::vector<std::unique_ptr<PlacementController>> controllers;
    std::vector<OrderCommand> log;
    std::vector<std::size_t> applied;
    std::vector<bool> disconnected;
    std::size_t leader = 99;
    std::uint64_t term = 0;
    std::uint64_t events = 0;
    // Faults of the network, as probabilities per message.
    double orderLoss = 0;
    double answerLoss = 0;
    double duplication = 0;
    double reportLoss = 0;
    bool delayOrders = false;
    std::vector<JournalLine> journal;
    // Called with each order before it is sent; returns false to hold it back.
    std::function<bool(const Order &)> onSend;

private:
    struct Due {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> act;
        bool operator<(const Due &other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    // Lets deposed leaders send orders until their lease ends, then tells them about their loss of leadership.
    void notifyDeposedLeaders()
    {
        std::erase_if(m_deposed, [&](const auto &entry) {
            if (entry.second > now) {
                return false;
            }
            if (entry.first != leader) {
                disconnected[entry.first] = false;
                perform(entry.first, controllers[entry.first]->onLeadership(std::nullopt, now));
            }
            return true;
        });
    }

    void catchUp(std::size_t replica)
    {
        while (!disconnected[replica] && applied[replica] < log.size()) {
            const OrderCommand command = log[applied[replica]++];
            perform(replica, controllers[replica]->onCommitted(command, now));
        }
    }

    void perform(std::size_t replica, const PlacementActions &actions)
    {
        for (const PlacementAction &action : actions) {
            if (const auto *proposal = std::get_if<ProposeOrderCommand>(&action)) {
                if (!disconnected[replica] && replica == leader) {
                    log.push_back(proposal->command);
                }
            } else if (const auto *sending = std::get_if<SendOrder>(&action)) {
                sendOrder(replica, sending->order);
            } else {
                journal.push_back(std::get<JournalLine>(action));
            }
        }
    }

    void sendOrder(std::size_t replica, const Order &order)
    {
        if (onSend && !onSend(order)) {
            return;
        }
        const int copies = chance(duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (!chance(orderLoss)) {
                const Duration late = m_options.bounds.maxOrderDelay - 200ms;
                after(delayOrders ? pickDuration(late) : pickDuration(5ms), [this, replica, order] { arrive(replica, order); });
            }
        }
    }

    void arrive(std::size_t replica, const Order &order)
    {
        Engine &engine = engines[order.endpoint];
        if (!engine.up) {
            return;
        }
        engine.advance(now);
        const OrderAnswer answer = engine.receive(order, now);
        if (!chance(answerLoss)) {
            perform(replica, controllers[replica]->onOrderAnswer(order.id, answer, now));
        }
    }

    void poll()
    {
        for (auto &[id, engine] : engines) {
            if (!engine.up || chance(reportLoss) || !state.endpoints.contains(id)) {
                continue;
            }
            const EndpointReport figures = engine.report();
            const Duration lag = pickDuration(m_options.bounds.maxReportAge - 100ms);
            after(lag, [this, id = id, figures] { deliver(id, figures); });
        }
    }

    void deliver(const EndpointId &id, EndpointReport report)
    {
        report.requestedAt = now;
        for (std::size_t replica = 0; replica < controllers.size(); ++replica) {
            if (controllers[replica]->leading()) {
                perform(replica, controllers[replica]->onReports({{id, report}}, now));
            }
        }
    }

    ControllerOptions m_options;
    std::priority_queue<Due> m_due;
    std::uint64_t m_sequence = 0;
    std::map<std::size_t, TimePoint> m_deposed;
};

} // namespace Hemlockhill::PlacementTest
