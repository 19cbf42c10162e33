// A day's shape of demand for one deployment, and a fleet of runners that serves it in virtual time.
#pragma once

#include "placement/placement_simulation.h"

#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <cmath>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Hemlockhill::PlacementBench
{

constexpr int SecondsPerDay = 86'400;
constexpr int MinutesPerDay = 1'440;

struct Deployment {
    std::string name;
    int runners = 0;
    int dataCentres = 0;
    int models = 0;
    int adapters = 0;
    LoadLimits loads;
    double attainmentWeight = 1;
    double moveWeight = 1;
    // Lunch and dinner rushes that all models share, besides each model's own bursts.
    bool rushes = false;
};

// Requests of one second for one model, and which of them name an adapter.
struct Arrivals {
    std::uint32_t model = 0;
    std::uint32_t requests = 0;
};

// The arrivals of a day, the same for every policy.
class Day
{
public:
    Day(const Deployment &deployment, std::uint32_t seed);

    const std::vector<Arrivals> &at(int second) const { return m_seconds[static_cast<std::size_t>(second)]; }
    Bytes modelBytes(std::uint32_t model) const { return m_modelBytes[model]; }

private:
    std::vector<std::vector<Arrivals>> m_seconds;
    std::vector<Bytes> m_modelBytes;
};

struct DayResult {
    double attainment = 0;
    std::uint64_t moves = 0;
    std::uint64_t adapterMoves = 0;
    int unreachableMinutes = 0;
    std::uint64_t requests = 0;
    bool overcommitted = false;
};

// What a policy sees and does: the fleet calls it once a second, and at each request that found no copy or no free slot.
class Fleet;
struct Policy {
    std::string name;
    std::function<void(Fleet &, int second)> onSecond;
    std::function<void(Fleet &, std::uint32_t model, bool resident)> onMiss;
    // Whether a missing adapter is loaded in the request's own time.
    bool adaptersOnRequest = true;
};

class Fleet
{
public:
    static constexpr std::uint32_t SlotsPerRunner = 16;
    static constexpr int ServiceSeconds = 2;
    static constexpr std::uint64_t RunnerGigabytes = 80;

    Fleet(const Deployment &deployment, const Day &day);

    DayResult run(const Policy &policy);

    const Deployment &deployment() const { return m_deployment; }
    const Day &day() const { return m_day; }
    TimePoint now() const { return m_now; }
    std::vector<PlacementTest::Engine> &engines() { return m_engines; }
    MemoryItem modelItem(std::uint32_t model) const;
    MemoryItem adapterItem(std::uint32_t adapter) const;
    // Begins a load; counts the move. The weight store must allow it.
    void load(std::size_t runner, const MemoryItem &item, Bytes bytes);
    void evict(std::size_t runner, const MemoryItem &item);
    bool holds(std::size_t runner, const MemoryItem &item) const;
    bool loadingAnywhere(const MemoryItem &item) const;
    bool loadingOn(std::size_t runner, const MemoryItem &item) const;
    std::uint32_t busy(std::size_t runner) const;
    std::uint32_t loadsInFlight() const;
    void countMove(const MemoryItem &item)
    {
        ++m_moves;
        m_adapterMoves += item.adapter.empty() ? 0 : 1;
    }
    const DemandSample &sample() const { return m_sample; }
    int lastUsed(std::size_t runner, std::uint32_t model) const { return m_lastUsed[runner][model]; }

private:
    bool serveOne(const Arrivals &arrivals, std::uint32_t index, int second, const Policy &policy);
    std::optional<std::size_t> leastBusy(std::uint32_t model, std::optional<std::uint32_t> adapter) const;
    bool bringAdapter(std::size_t runner, std::uint32_t adapter, const Policy &policy);

    const Deployment &m_deployment;
    const Day &m_day;
    TimePoint m_now{std::chrono::seconds(1000)};
    std::vector<PlacementTest::Engine> m_engines;
    std::vector<std::vector<std::uint32_t>> m_started;
    std::vector<std::vector<int>> m_lastUsed;
    std::vector<std::vector<std::size_t>> m_copies;
    std::vector<std::uint32_t> m_servedNow;
    std::vector<std::uint32_t> m_adapterAsked;
    DemandSample m_sample;
    std::uint64_t m_moves = 0;
    std::uint64_t m_adapterMoves = 0;
    std::uint64_t m_orders = 0;
};

constexpr double Pi = 3.14159265358979;
// The share of all slots that the mean demand of a day fills.
constexpr double MeanFill = 0.45;
constexpr int BurstsPerDay = 8;

// Requests a second of each model, a minute each, relative to each other.
inline std::vector<std::vector<double>> shapeOfDay(const Deployment &deployment, boost::random::mt19937 &random)
{
    boost::random::uniform_real_distribution<> unit(0, 1);
    std::vector<std::vector<double>> shape;
    for (int model = 0; model < deployment.models; ++model) {
        const double popularity = 1.0 / (1 + model);
        std::vector<double> minutes;
        for (int minute = 0; minute < MinutesPerDay; ++minute) {
            double rate = 0.6 - 0.4 * std::cos(2 * Pi * minute / MinutesPerDay);
            const bool rush = deployment.rushes && ((minute >= 690 && minute < 810) || (minute >= 1080 && minute < 1170));
            rate *= rush ? 2.5 : 1;
            minutes.push_back(rate * popularity);
        }
        for (int burst = 0; burst < BurstsPerDay; ++burst) {
            const int from = static_cast<int>(unit(random) * MinutesPerDay);
            const int length = 3 + static_cast<int>(unit(random) * 40);
            const double factor = 3 + 7 * unit(random);
            for (int minute = from; minute < std::min(MinutesPerDay, from + length); ++minute) {
                minutes[static_cast<std::size_t>(minute)] *= factor;
            }
        }
        // The demand for a model shifts for good at some time of the day.
        const int shift = static_cast<int>(unit(random) * MinutesPerDay);
        const double factor = unit(random) < 0.5 ? 4 : 0.5;
        for (int minute = shift; minute < MinutesPerDay; ++minute) {
            minutes[static_cast<std::size_t>(minute)] *= factor;
        }
        shape.push_back(std::move(minutes));
    }
    return shape;
}

inline Day::Day(const Deployment &deployment, std::uint32_t seed)
{
    boost::random::mt19937 random(seed);
    auto shape = shapeOfDay(deployment, random);
    double total = 0;
    for (const auto &minutes : shape) {
        for (const double rate : minutes) {
            total += rate / MinutesPerDay;
        }
    }
    const double requestsPerSecond = MeanFill * deployment.runners * Fleet::SlotsPerRunner / Fleet::ServiceSeconds;
    for (int model = 0; model < deployment.models; ++model) {
        boost::random::uniform_int_distribution<std::uint64_t> gigabytes(14, 30);
        m_modelBytes.push_back(PlacementTest::gigabytes(gigabytes(random)));
    }
    for (int second = 0; second < SecondsPerDay; ++second) {
        std::vector<Arrivals> arrivals;
        for (int model = 0; model < deployment.models; ++model) {
            const double rate = shape[static_cast<std::size_t>(model)][static_cast<std::size_t>(second / 60)] * requestsPerSecond / total;
            const auto requests = static_cast<std::uint32_t>(boost::random::poisson_distribution<int>(rate)(random));
            if (requests > 0) {
                arrivals.push_back({static_cast<std::uint32_t>(model), requests});
            }
        }
        m_seconds.push_back(std::move(arrivals));
    }
}

inline Fleet::Fleet(const Deployment &deployment, const Day &day)
    : m_deployment(deployment)
    , m_day(day)
    , m_engines(static_cast<std::size_t>(deployment.runners))
    , m_started(m_engines.size(), std::vector<std::uint32_t>(ServiceSeconds, 0))
    , m_lastUsed(m_engines.size(), std::vector<int>(static_cast<std::size_t>(deployment.models), -1))
{
    for (PlacementTest::Engine &engine : m_engines) {
        engine.limit = PlacementTest::gigabytes(RunnerGigabytes);
        engine.loadTime = std::chrono::seconds(8);
    }
}

inline MemoryItem Fleet::modelItem(std::uint32_t model) const
{
    return {ModelId{"m" + std::to_string(model)}, AdapterId{}, VersionId{"v1"}};
}

// Adapters belong to the models in turn.
inline MemoryItem Fleet::adapterItem(std::uint32_t adapter) const
{
    const std::uint32_t model = adapter % static_cast<std::uint32_t>(m_deployment.models);
    return {ModelId{"m" + std::to_string(model)}, AdapterId{"a" + std::to_string(adapter)}, VersionId{"v1"}};
}

inline bool Fleet::holds(std::size_t runner, const MemoryItem &item) const
{
    return m_engines[runner].contents.contains(item);
}

inline bool Fleet::loadingOn(std::size_t runner, const MemoryItem &item) const
{
    const auto &loading = m_engines[runner].loading;
    return std::any_of(loading.begin(), loading.end(), [&](const auto &load) { return load.order.item == item; });
}

inline bool Fleet::loadingAnywhere(const MemoryItem &item) const
{
    for (std::size_t runner = 0; runner < m_engines.size(); ++runner) {
        if (loadingOn(runner, item)) {
            return true;
        }
    }
    return false;
}

inline std::uint32_t Fleet::loadsInFlight() const
{
    std::size_t loads = 0;
    for (const PlacementTest::Engine &engine : m_engines) {
        loads += static_cast<std::size_t>(
            std::count_if(engine.loading.begin(), engine.loading.end(), [](const auto &load) { return load.order.item.adapter.empty(); }));
    }
    return static_cast<std::uint32_t>(loads);
}

inline void Fleet::load(std::size_t runner, const MemoryItem &item, Bytes bytes)
{
    Order order;
    order.id = OrderId{"b-" + std::to_string(++m_orders)};
    order.incarnation = m_engines[runner].incarnation();
    order.item = item;
    order.bytes = bytes;
    m_engines[runner].receive(order, m_now);
    countMove(item);
}

inline void Fleet::evict(std::size_t runner, const MemoryItem &item)
{
    m_engines[runner].contents.erase(item);
    countMove(item);
}

inline std::uint32_t Fleet::busy(std::size_t runner) const
{
    std::uint32_t slots = 0;
    for (const std::uint32_t started : m_started[runner]) {
        slots += started;
    }
    return slots;
}

// An adapter that is missing is loaded within the request's target where the policy does so and memory allows.
inline bool Fleet::bringAdapter(std::size_t runner, std::uint32_t adapter, const Policy &policy)
{
    const MemoryItem item = adapterItem(adapter);
    if (holds(runner, item)) {
        return true;
    }
    PlacementTest::Engine &engine = m_engines[runner];
    const Bytes bytes = PlacementTest::gigabytes(1);
    if (!policy.adaptersOnRequest || engine.used() + bytes > engine.limit) {
        return false;
    }
    engine.contents[item] = bytes;
    countMove(item);
    return true;
}

// The copy with most free slots, of those that hold the adapter.
inline std::optional<std::size_t> Fleet::leastBusy(std::uint32_t model, std::optional<std::uint32_t> adapter) const
{
    std::optional<std::size_t> best;
    for (const std::size_t runner : m_copies[model]) {
        const std::uint32_t slots = busy(runner);
        if (slots < SlotsPerRunner && (!best || slots < busy(*best)) && (!adapter || holds(runner, adapterItem(*adapter)))) {
            best = runner;
        }
    }
    return best;
}

// One request: a copy that has the adapter is preferred; without a free slot it misses its target.
inline bool Fleet::serveOne(const Arrivals &arrivals, std::uint32_t index, int second, const Policy &policy)
{
    const auto ownAdapters = static_cast<std::uint32_t>(m_deployment.adapters / m_deployment.models);
    std::optional<std::uint32_t> adapter;
    if ((second + static_cast<int>(index)) % 2 == 0) {
        const std::uint32_t which = (static_cast<std::uint32_t>(second) / 7 + index) % ownAdapters;
        adapter = arrivals.model + which * static_cast<std::uint32_t>(m_deployment.models);
        ++m_adapterAsked[*adapter];
    }
    auto best = leastBusy(arrivals.model, adapter);
    if (!best) {
        best = leastBusy(arrivals.model, std::nullopt);
    }
    if (!best) {
        policy.onMiss(*this, arrivals.model, !m_copies[arrivals.model].empty());
        return false;
    }
    if (adapter && !bringAdapter(*best, *adapter, policy)) {
        return false;
    }
    ++m_started[*best][static_cast<std::size_t>(second % ServiceSeconds)];
    m_lastUsed[*best][arrivals.model] = second;
    ++m_servedNow[arrivals.model];
    return true;
}

inline DayResult Fleet::run(const Policy &policy)
{
    DayResult result;
    std::uint64_t attained = 0;
    int lastUnreachable = -1;
    constexpr int WarmUp = 600;
    const auto models = static_cast<std::size_t>(m_deployment.models);
    for (int second = 0; second < SecondsPerDay; ++second) {
        m_now += std::chrono::seconds(1);
        m_copies.assign(models, {});
        for (std::size_t runner = 0; runner < m_engines.size(); ++runner) {
            m_engines[runner].advance(m_now);
            m_started[runner][static_cast<std::size_t>(second % ServiceSeconds)] = 0;
            for (const auto &[item, bytes] : m_engines[runner].contents) {
                if (item.adapter.empty()) {
                    m_copies[std::stoul(item.model.value.substr(1))].push_back(runner);
                }
            }
        }
        const bool missing = std::any_of(m_copies.begin(), m_copies.end(), [](const auto &copies) { return copies.empty(); });
        if (second >= WarmUp && missing && lastUnreachable != second / 60) {
            lastUnreachable = second / 60;
            ++result.unreachableMinutes;
        }
        m_servedNow.assign(models, 0);
        m_adapterAsked.assign(static_cast<std::size_t>(m_deployment.adapters), 0);
        m_sample = DemandSample{};
        for (const Arrivals &arrivals : m_day.at(second)) {
            for (std::uint32_t index = 0; index < arrivals.requests; ++index) {
                attained += serveOne(arrivals, index, second, policy) ? 1 : 0;
            }
            result.requests += arrivals.requests;
            const double busySeconds = m_servedNow[arrivals.model] * static_cast<double>(ServiceSeconds);
            m_sample.models.push_back({modelItem(arrivals.model).model, arrivals.requests, busySeconds});
        }
        for (std::uint32_t adapter = 0; adapter < m_adapterAsked.size(); ++adapter) {
            if (m_adapterAsked[adapter] > 0) {
                m_sample.adapters.push_back({adapterItem(adapter).adapter, m_adapterAsked[adapter]});
            }
        }
        policy.onSecond(*this, second);
    }
    result.attainment = static_cast<double>(attained) / static_cast<double>(result.requests);
    result.moves = m_moves;
    result.adapterMoves = m_adapterMoves;
    for (const PlacementTest::Engine &engine : m_engines) {
        result.overcommitted = result.overcommitted || engine.overcommitted || engine.used() > engine.limit;
    }
    return result;
}

} // namespace Hemlockhill::PlacementBench
