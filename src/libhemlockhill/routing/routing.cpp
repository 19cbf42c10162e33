// Candidates for model requests, their costs, and the selection among them.
#include "hemlockhill/routing.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Maximum age of recorded load changes; every report includes older ones.
constexpr Duration MaximumChangeAge = std::chrono::seconds(5);
// Assumed until times of the endpoint have been measured.
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(500);
constexpr Duration DefaultFirstToken = std::chrono::milliseconds(20);
constexpr int ServiceTimeDivisor = 8;
constexpr int FirstTokenDivisor = 64;
// Backoff after the first failure of an endpoint; it doubles with each further failure, up to MaximumBackoffDoublings times.
constexpr Duration InitialBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t MaximumBackoffDoublings = 4;
// Memory utilisation above which an engine has little memory left for its caches, and the cost at full utilisation.
constexpr double HighMemoryRatio = 0.9;
constexpr Duration FullMemoryCost = std::chrono::milliseconds(50);
// Requests that may be queued in an engine, as a fraction of its slots, so that no slot idles during the lag of a report.
constexpr double EngineQueueRatio = 0.25;

Duration smoothed(Duration old, Duration sample)
{
    return old == Duration(0) ? sample : old + (sample - old) / ServiceTimeDivisor;
}

bool holdsTarget(const EndpointReport &report, const RoutingTarget &target)
{
    const bool model =
        std::any_of(report.models.begin(), report.models.end(), [&](const LoadedModel &loaded) { return loaded.model == target.model; });
    const bool adapter =
        target.adapter.empty() || std::any_of(report.adapters.begin(), report.adapters.end(), [&](const LoadedAdapter &loaded) {
            return loaded.adapter == target.adapter && loaded.model == target.model;
        });
    return model && adapter;
}

Duration memoryCost(const EndpointReport &report)
{
    if (report.memoryTotal.value == 0) {
        return Duration(0);
    }
    const double ratio = static_cast<double>(report.memoryUsed.value) / static_cast<double>(report.memoryTotal.value);
    const double excess = std::clamp((ratio - HighMemoryRatio) / (1 - HighMemoryRatio), 0.0, 1.0);
    return std::chrono::duration_cast<Duration>(FullMemoryCost * excess);
}

std::uint32_t requestLimitOf(std::uint32_t batchLimit)
{
    return batchLimit + static_cast<std::uint32_t>(static_cast<double>(batchLimit) * EngineQueueRatio);
}

} // namespace

Routing::Routing(RoutingParameters parameters, std::uint64_t seed)
    : m_parameters(std::move(parameters))
    , m_random(seed)
    , m_state(std::make_shared<const RegionState>())
    , m_reports(std::make_shared<const EndpointReports>())
    , m_prefixes(m_parameters.prefixLimit)
{
}

void Routing::onState(std::shared_ptr<const RegionState> state)
{
    m_state = std::move(state);
    std::erase_if(m_localStates,
                  [this](const auto &entry) { return entry.second.inProgress == 0 && !m_state->endpoints.contains(entry.first); });
}

void Routing::onReports(std::shared_ptr<const EndpointReports> reports)
{
    m_reports = std::move(reports);
    for (const auto &[id, report] : *m_reports) {
        LocalState &local = m_localStates[id];
        discardChangesUntil(local, report.requestedAt - m_parameters.reportLag);
        if (local.incarnation == report.incarnation) {
            continue;
        }
        if (!local.incarnation.empty()) {
            m_prefixes.removeEndpoint(id);
        }
        // Failures of the previous incarnation do not apply to a restarted engine.
        local.incarnation = report.incarnation;
        local.failures = 0;
        local.backoffUntil = TimePoint{};
        local.leavingRefusalAt = TimePoint{};
    }
}

void Routing::onCacheEvents(const EndpointId &endpoint, const std::vector<CacheEvent> &events)
{
    m_prefixes.onEvents(endpoint, events);
}

std::optional<RoutingTarget> Routing::resolve(std::string_view name) const
{
    const ModelId model{std::string(name)};
    if (m_state->models.contains(model)) {
        return RoutingTarget{model, {}};
    }
    const auto adapter = m_state->adapters.find(AdapterId{std::string(name)});
    if (adapter != m_state->adapters.end()) {
        return RoutingTarget{adapter->second.model, adapter->first};
    }
    const std::size_t colon = name.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto named = m_state->adapters.find(AdapterId{std::string(name.substr(colon + 1))});
    if (named == m_state->adapters.end() || named->second.model.value != name.substr(0, colon)) {
        return std::nullopt;
    }
    return RoutingTarget{named->second.model, named->first};
}

EndpointPhase Routing::servingPhase(const RoutingTarget &target, TimePoint now) const
{
    const bool hasActive = std::any_of(m_reports->begin(), m_reports->end(), [&](const auto &entry) {
        return usable(entry.first, entry.second, target, EndpointPhase::Active, now);
    });
    return hasActive ? EndpointPhase::Active : EndpointPhase::Draining;
}

bool Routing::usable(
    const EndpointId &id, const EndpointReport &report, const RoutingTarget &target, EndpointPhase phase, TimePoint now) const
{
    const auto endpoint = m_state->endpoints.find(id);
    const bool inPhase = endpoint != m_state->endpoints.end() && endpoint->second.phase == phase;
    const bool fresh = report.requestedAt + m_parameters.maximumReportAge >= now;
    if (!inPhase || !fresh || report.leaving || m_leaving.contains(id) || !holdsTarget(report, target)) {
        return false;
    }
    // The endpoint's refusal takes precedence until a report that was made after it.
    const auto local = m_localStates.find(id);
    const bool refusedAsLeaving = local != m_localStates.end() && local->second.leavingRefusalAt != TimePoint{}
                                  && report.requestedAt < local->second.leavingRefusalAt + m_parameters.reportLag * 2;
    return !refusedAsLeaving;
}

std::uint32_t Routing::loadOf(const EndpointId &endpoint) const
{
    const auto report = m_reports->find(endpoint);
    const auto local = m_localStates.find(endpoint);
    const std::uint32_t inProgress = local == m_localStates.end() ? 0 : local->second.inProgress;
    if (report == m_reports->end()) {
        return inProgress;
    }
    std::int64_t load = std::int64_t{report->second.running} + report->second.waiting;
    if (local != m_localStates.end()) {
        load += local->second.net - local->second.netAtReport;
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(load, inProgress));
}

std::vector<RoutingCandidate> Routing::candidates(const RoutingRequest &request, TimePoint now) const
{
    std::vector<RoutingCandidate> found;
    std::vector<RoutingCandidate> lastResort;
    const EndpointPhase phase = servingPhase(request.target, now);
    for (const auto &[id, report] : *m_reports) {
        if (!usable(id, report, request.target, phase, now)) {
            continue;
        }
        RoutingCandidate candidate;
        candidate.endpoint = id;
        candidate.load = loadOf(id);
        candidate.batchLimit = report.batchLimit;
        candidate.prefixHitRatio = m_prefixes.hitRatio(id, request.prefixes);
        candidate.cost = costOf(id, report, candidate);
        const auto local = m_localStates.find(id);
        const bool avoided = request.avoided.contains(id) || (local != m_localStates.end() && local->second.backoffUntil > now);
        (avoided ? lastResort : found).push_back(std::move(candidate));
    }
    return found.empty() ? lastResort : found;
}

Duration Routing::costOf(const EndpointId &id, const EndpointReport &report, const RoutingCandidate &candidate) const
{
    const auto local = m_localStates.find(id);
    const Duration measured = local == m_localStates.end() ? Duration(0) : local->second.serviceTime;
    const Duration serviceTime = measured == Duration(0) ? DefaultServiceTime : measured;
    // A fuller batch slows down all its requests slightly. When it is full, the next request has to wait.
    const double occupancy = static_cast<double>(candidate.load) / static_cast<double>(report.batchLimit);
    Duration cost = std::chrono::duration_cast<Duration>(m_parameters.prefixMissCost * std::min(occupancy, 1.0));
    if (candidate.load >= report.batchLimit) {
        cost += serviceTime * (candidate.load - report.batchLimit + 1) / report.batchLimit;
    }
    cost += std::chrono::duration_cast<Duration>(m_parameters.prefixMissCost * (1 - candidate.prefixHitRatio));
    cost += memoryCost(report);
    const auto endpoint = m_state->endpoints.find(id);
    const bool sameDataCentre = endpoint != m_state->endpoints.end() && endpoint->second.dataCentre == m_parameters.dataCentre;
    return sameDataCentre ? cost : cost + m_parameters.otherDataCentreCost;
}

std::optional<EndpointId> Routing::choose(const RoutingRequest &request, TimePoint now)
{
    const std::vector<RoutingCandidate> found = candidates(request, now);
    if (found.empty()) {
        return std::nullopt;
    }
    const std::size_t index = m_hook ? m_hook(found, m_random) : pick(found);
    return found.at(index).endpoint;
}

// Drawing a few random candidates prevents nodes with the same outdated reports from all selecting the same endpoint.
std::size_t Routing::pick(const std::vector<RoutingCandidate> &candidates)
{
    // The others are drawn as an offset from the first, so that the first is not drawn again.
    boost::random::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    const std::size_t first = draw(m_random);
    std::size_t best = first;
    const auto consider = [&](std::size_t index) {
        if (candidates[index].cost < candidates[best].cost) {
            best = index;
        }
    };
    for (std::uint32_t choice = 1; choice < m_parameters.randomCandidates && candidates.size() > 1; ++choice) {
        boost::random::uniform_int_distribution<std::size_t> step(1, candidates.size() - 1);
        consider((first + step(m_random)) % candidates.size());
    }
    const auto holder = std::max_element(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return left.prefixHitRatio < right.prefixHitRatio;
    });
    if (holder->prefixHitRatio > 0) {
        consider(static_cast<std::size_t>(std::distance(candidates.begin(), holder)));
    }
    return best;
}

void Routing::recordChange(LocalState &local, TimePoint now, int delta)
{
    local.net += delta;
    local.changes.push_back({now, local.net});
    discardChangesUntil(local, now - MaximumChangeAge);
}

void Routing::discardChangesUntil(LocalState &local, TimePoint time)
{
    while (!local.changes.empty() && local.changes.front().at <= time) {
        local.netAtReport = local.changes.front().net;
        local.changes.pop_front();
    }
}

void Routing::onDispatched(const EndpointId &endpoint, const RoutingRequest &request, TimePoint now)
{
    LocalState &local = m_localStates[endpoint];
    ++local.inProgress;
    recordChange(local, now, 1);
    m_prefixes.onPromptSent(endpoint, request.prefixes);
}

void Routing::onFirstToken(const EndpointId &endpoint, Duration sinceDispatch)
{
    LocalState &local = m_localStates[endpoint];
    // Times above the minimum include queueing in the engine, which the load already accounts for.
    const bool shorter = local.firstToken == Duration(0) || sinceDispatch < local.firstToken;
    local.firstToken = shorter ? sinceDispatch : local.firstToken + (sinceDispatch - local.firstToken) / FirstTokenDivisor;
    local.failures = 0;
}

void Routing::onEnded(const EndpointId &endpoint, std::optional<Duration> wholeAfter, TimePoint now)
{
    LocalState &local = m_localStates[endpoint];
    local.inProgress -= local.inProgress > 0 ? 1 : 0;
    recordChange(local, now, -1);
    if (wholeAfter) {
        local.serviceTime = smoothed(local.serviceTime, *wholeAfter);
        local.failures = 0;
    }
}

void Routing::onFailed(const EndpointId &endpoint, Reason, TimePoint now)
{
    LocalState &local = m_localStates[endpoint];
    local.backoffUntil = now + InitialBackoff * (1U << std::min(local.failures, MaximumBackoffDoublings));
    ++local.failures;
}

void Routing::onEndpointLeaving(const EndpointId &endpoint, TimePoint now)
{
    m_localStates[endpoint].leavingRefusalAt = now;
}

ModelForecast Routing::forecast(const RoutingTarget &target, TimePoint now) const
{
    ModelForecast forecast;
    const EndpointPhase phase = servingPhase(target, now);
    Duration serviceTotal{0};
    Duration firstTokenTotal{0};
    std::uint32_t localLoad = 0;
    for (const auto &[id, report] : *m_reports) {
        if (!usable(id, report, target, phase, now)) {
            continue;
        }
        const auto local = m_localStates.find(id);
        const bool measured = local != m_localStates.end() && local->second.serviceTime != Duration(0);
        localLoad += local == m_localStates.end() ? 0 : local->second.inProgress;
        ++forecast.endpoints;
        forecast.slots += report.batchLimit;
        forecast.load += loadOf(id);
        forecast.lag = std::max(forecast.lag, std::chrono::duration_cast<Duration>(now - report.requestedAt) + m_parameters.reportLag);
        serviceTotal += measured ? local->second.serviceTime : DefaultServiceTime;
        const bool started = local != m_localStates.end() && local->second.firstToken != Duration(0);
        firstTokenTotal += started ? local->second.firstToken : DefaultFirstToken;
    }
    if (forecast.endpoints > 0) {
        forecast.serviceTime = serviceTotal / forecast.endpoints;
        forecast.firstToken = firstTokenTotal / forecast.endpoints;
        // This node knows its own requests without delay; only requests of other nodes may have ended since the report.
        const std::uint32_t others = forecast.load - std::min(forecast.load, localLoad);
        forecast.lag = forecast.lag * others / std::max<std::uint32_t>(1, forecast.load);
    }
    return forecast;
}

bool Routing::hasCapacity(const RoutingTarget &target, TimePoint now) const
{
    const EndpointPhase phase = servingPhase(target, now);
    return std::any_of(m_reports->begin(), m_reports->end(), [&](const auto &entry) {
        return usable(entry.first, entry.second, target, phase, now) && loadOf(entry.first) < requestLimitOf(entry.second.batchLimit);
    });
}

} // namespace Hemlockhill
