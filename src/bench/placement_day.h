// Simulates one day of demand for a deployment on a fleet of runners, in virtual time.
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

// Size, load limits and placement weights of a simulated deployment.
struct Deployment {
    std::string name;
    int runners = 0;
    int dataCentres = 0;
    int models = 0;
    int adapters = 0;
    LoadLimits loads;
    double attainmentWeight = 1;
    double moveWeight = 1;
    // Adds demand peaks at lunch and dinner that all models share, in addition to the bursts of each model.
    bool mealPeaks = false;
};

// The number of requests for one model within one second.
struct Arrivals {
    std::uint32_t model = 0;
    std::uint32_t requests = 0;
};

// The request arrivals of a day, generated from a seed so that every policy sees the same ones.
class Day
{
public:
    Day(const Deployment &deployment, std::uint32_t seed);

    // Arrivals of a second of the day, at least zero and below SecondsPerDay.
    const std::vector<Arrivals> &at(int second) const { return m_seconds[static_cast<std::size_t>(second)]; }
    Bytes modelBytes(std::uint32_t model) const { return m_modelBytes[model]; }

private:
    std::vector<std::vector<Arrivals>> m_seconds;
    std::vector<Bytes> m_modelBytes;
};

struct DayResult {
    // Ratio of requests that met their target, from 0 to 1.
    double attainment = 0;
    std::uint64_t moves = 0;
    std::uint64_t adapterMoves = 0;
    // Minutes, after the warm-up, in which some model had no loaded copy.
    int unreachableMinutes = 0;
    std::uint64_t requests = 0;
    bool overcommitted = false;
};

// Callbacks of a placement policy. The fleet calls onSecond once per second, and onMiss for each request that found no loaded copy with
// a free slot; resident tells whether any copy is loaded.
class Fleet;
struct Policy {
    std::string name;
    std::function<void(Fleet &, int second)> onSecond;
    std::function<void(Fleet &, std::uint32_t model, bool resident)> onMiss;
    // Whether a missing adapter is loaded while its request is served.
    bool adaptersOnRequest = true;
};

// A fleet of simulated runners that serves the arrivals of a day under a placement policy.
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
    // Starts a load and counts it as a move. The caller must have checked the limits of the weight store.
    void load(std::size_t runner, const MemoryItem &item, Bytes bytes);
    void evict(std::size_t runner, const MemoryItem &item);
    bool isLoaded(std::size_t runner, const MemoryItem &item) const;
    bool isLoadingAnywhere(const MemoryItem &item) const;
    bool isLoadingOn(std::size_t runner, const MemoryItem &item) const;
    std::uint32_t busySlots(std::size_t runner) const;
    std::uint32_t loadsInFlight() const;
    void countMove(const MemoryItem &item)
    {
        ++m_moves;
        m_adapterMoves += item.adapter.empty() ? 0 : 1;
    }
    // The demand of the current second.
    const DemandSample &sample() const { return m_sample; }
    // The second in which the runner last served the model, or -1.
    int lastUsed(std::size_t runner, std::uint32_t model) const { return m_lastUsed[runner][model]; }

private:
    bool serveRequest(const Arrivals &arrivals, std::uint32_t index, int second, const Policy &policy);
    std::optional<std::size_t> leastBusyCopy(std::uint32_t model, std::optional<std::uint32_t> adapter) const;
    bool ensureAdapter(std::size_t runner, std::uint32_t adapter, const Policy &policy);

    const Deployment &m_deployment;
    const Day &m_day;
    TimePoint m_now{std::chrono::seconds(1000)};
    std::vector<PlacementTest::Engine> m_engines;
    std::vector<std::vector<std::uint32_t>> m_started;
    std::vector<std::vector<int>> m_lastUsed;
    std::vector<std::vector<std::size_t>> m_copies;
    std::vector<std::uint32_t> m_servedThisSecond;
    std::vector<std::uint32_t> m_adapterRequests;
    DemandSample m_sample;
    std::uint64_t m_moves = 0;
    std::uint64_t m_adapterMoves = 0;
    std::uint64_t m_orders = 0;
};

constexpr double Pi = 3.14159265358979;
// Mean ratio of busy slots over a day.
constexpr double MeanUtilization = 0.45;
constexpr int BurstsPerDay = 8;

// Returns the relative request rate of each model, per minute of the day.
inline std::vector<std::vector<double>> dailyDemand(const Deployment &deployment, boost::random::mt19937 &random)
{
    boost::random::uniform_real_distribution<> unit(0, 1);
    std::vector<std::vector<double>> demand;
    for (int model = 0; model < deployment.models; ++model) {
        const double popularity = 1.0 / (1 + model);
        std::vector<double> minutes;
        for (int minute = 0; minute < MinutesPerDay; ++minute) {
            double rate = 0.6 - 0.4 * std::cos(2 * Pi * minute / MinutesPerDay);
            const bool mealPeak = deployment.mealPeaks && ((minute >= 690 && minute < 810) || (minute >= 1080 && minute < 1170));
            rate *= mealPeak ? 2.5 : 1;
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
        // Demand for a model shifts permanently at a random time of the day.
        const int shift = static_cast<int>(unit(random) * MinutesPerDay);
        const double factor = unit(random) < 0.5 ? 4 : 0.5;
        for (int minute = shift; minute < MinutesPerDay; ++minute) {
            minutes[static_cast<std::size_t>(minute)] *= factor;
        }
        demand.push_back(std::move(minutes));
    }
    return demand;
}

inline Day::Day(const Deployment &deployment, std::uint32_t seed)
{
    boost::random::mt19937 random(seed);
    auto demand = dailyDemand(deployment, random);
    double total = 0;
    for (const auto &minutes : demand) {
        for (const double rate : minutes) {
            total += rate / MinutesPerDay;
        }
    }
    const double requestsPerSecond = MeanUtilization * deployment.runners * Fleet::SlotsPerRunner / Fleet::ServiceSeconds;
    for (int model = 0; model < deployment.models; ++model) {
        boost::random::uniform_int_distribution<std::uint64_t> gigabytes(14, 30);
        m_modelBytes.push_back(PlacementTest::gigabytes(gigabytes(random)));
    }
    for (int second = 0; second < SecondsPerDay; ++second) {
        std::vector<Arrivals> arrivals;
        for (int model = 0; model < deployment.models; ++model) {
            const double rate = demand[static_cast<std::size_t>(model)][static_cast<std::size_t>(second / 60)] * requestsPerSecond / total;
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

// Adapters are assigned to the models round robin.
inline MemoryItem Fleet::adapterItem(std::uint32_t adapter) const
{
    const std::uint32_t model = adapter % static_cast<std::uint32_t>(m_deployment.models);
    return {ModelId{"m" + std::to_string(model)}, AdapterId{"a" + std::to_string(adapter)}, VersionId{"v1"}};
}

inline bool Fleet::isLoaded(std::size_t runner, const MemoryItem &item) const
{
    return m_engines[runner].contents.contains(item);
}

inline bool Fleet::isLoadingOn(std::size_t runner, const MemoryItem &item) const
{
    const auto &loading = m_engines[runner].loading;
    return std::any_of(loading.begin(), loading.end(), [&](const auto &load) { return load.order.item == item; });
}

inline bool Fleet::isLoadingAnywhere(const MemoryItem &item) const
{
    for (std::size_t runner = 0; runner < m_engines.size(); ++runner) {
        if (isLoadingOn(runner, item)) {
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

inline std::uint32_t Fleet::busySlots(std::size_t runner) const
{
    std::uint32_t slots = 0;
    for (const std::uint32_t started : m_started[runner]) {
        slots += started;
    }
    return slots;
}

// Ensures that the runner holds the adapter. A missing one is loaded at once if the policy loads adapters on request and memory
// allows; otherwise returns false.
inline bool Fleet::ensureAdapter(std::size_t runner, std::uint32_t adapter, const Policy &policy)
{
    const MemoryItem item = adapterItem(adapter);
    if (isLoaded(runner, item)) {
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

// Returns the runner with the most free slots among those that hold a copy of the model and, if given, the adapter.
inline std::optional<std::size_t> Fleet::leastBusyCopy(std::uint32_t model, std::optional<std::uint32_t> adapter) const
{
    std::optional<std::size_t> best;
    for (const std::size_t runner : m_copies[model]) {
        const std::uint32_t slots = busySlots(runner);
        if (slots < SlotsPerRunner && (!best || slots < busySlots(*best)) && (!adapter || isLoaded(runner, adapterItem(*adapter)))) {
            best = runner;
        }
    }
    return best;
}

// Serves one request and returns whether it meets its target. Copies with the request's adapter are preferred. Without a free slot the
// request misses its target.
inline bool Fleet::serveRequest(const Arrivals &arrivals, std::uint32_t index, int second, const Policy &policy)
{
    const auto adaptersPerModel = static_cast<std::uint32_t>(m_deployment.adapters / m_deployment.models);
    std::optional<std::uint32_t> adapter;
    if ((second + static_cast<int>(index)) % 2 == 0) {
        const std::uint32_t adapterOfModel = (static_cast<std::uint32_t>(second) / 7 + index) % adaptersPerModel;
        adapter = arrivals.model + adapterOfModel * static_cast<std::uint32_t>(m_deployment.models);
        ++m_adapterRequests[*adapter];
    }
    auto best = leastBusyCopy(arrivals.model, adapter);
    if (!best) {
        best = leastBusyCopy(arrivals.model, std::nullopt);
    }
    if (!best) {
        policy.onMiss(*this, arrivals.model, !m_copies[arrivals.model].empty());
        return false;
    }
    if (adapter && !ensureAdapter(*best, *adapter, policy)) {
        return false;
    }
    ++m_started[*best][static_cast<std::size_t>(second % ServiceSeconds)];
    m_lastUsed[*best][arrivals.model] = second;
    ++m_servedThisSecond[arrivals.model];
    return true;
}

inline DayResult Fleet::run(const Policy &policy)
{
    DayResult result;
    std::uint64_t attained = 0;
    int lastUnreachable = -1;
    constexpr int WarmUpSeconds = 600;
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
        const bool anyModelMissing = std::any_of(m_copies.begin(), m_copies.end(), [](const auto &copies) { return copies.empty(); });
        if (second >= WarmUpSeconds && anyModelMissing && lastUnreachable != second / 60) {
            lastUnreachable = second / 60;
            ++result.unreachableMinutes;
        }
        m_servedThisSecond.assign(models, 0);
        m_adapterRequests.assign(static_cast<std::size_t>(m_deployment.adapters), 0);
        m_sample = DemandSample{};
        for (const Arrivals &arrivals : m_day.at(second)) {
            for (std::uint32_t index = 0; index < arrivals.requests; ++index) {
                attained += serveRequest(arrivals, index, second, policy) ? 1 : 0;
            }
            result.requests += arrivals.requests;
            const double busySeconds = m_servedThisSecond[arrivals.model] * static_cast<double>(ServiceSeconds);
            m_sample.models.push_back({modelItem(arrivals.model).model, arrivals.requests, busySeconds});
        }
        for (std::uint32_t adapter = 0; adapter < m_adapterRequests.size(); ++adapter) {
            if (m_adapterRequests[adapter] > 0) {
                m_sample.adapters.push_back({adapterItem(adapter).adapter, m_adapterRequests[adapter]});
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
