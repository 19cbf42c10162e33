// State of the runners of a deployment and of the demand for their models, updated from listings, reports and answers.
#include "hemlockhill/fleet_placement.h"

#include "fleet_targets.h"

#include <algorithm>
#include <cmath>

namespace Hemlockhill
{

namespace
{

// Upper bound on the load time of an adapter from the store at full speed.
constexpr Duration AdapterLoadTime = std::chrono::milliseconds(20);
// Time for which an order's effect is assumed without a report that shows it, since reports lag.
constexpr Duration ReportLag = std::chrono::milliseconds(900);
// A report requested this long after an order with an unknown outcome shows whether the order was carried out.
constexpr Duration OutcomeReportDelay = std::chrono::milliseconds(350);
// Limit on the reports requested in one call: a base number plus one for each RunnersPerReport runners.
constexpr std::size_t BaseReportsPerCall = 12;
constexpr std::size_t RunnersPerReport = 16;
// Requests per second below which demand counts as zero.
constexpr double NegligibleRate = 0.02;
} // namespace

std::string_view toText(RunnerOperation operation)
{
    return operation == RunnerOperation::Load ? "load" : "unload";
}

std::string_view toText(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::AlreadyDone:
        return "already_done";
    case OrderOutcome::Conflict:
        return "conflict";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::Rejected:
        return "rejected";
    case OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

FleetPlacement::FleetPlacement(FleetLimits limits, TimePoint now)
    : m_limits(limits)
    , m_startedAt(now)
{
}

void FleetPlacement::setDeployment(std::shared_ptr<const Deployment> deployment)
{
    m_deployment = std::move(deployment);
}

void FleetPlacement::onListing(const EndpointsById &listing, TimePoint)
{
    std::erase_if(m_runners, [&](const auto &entry) { return !listing.contains(entry.first); });
    m_paces.onListing(listing);
    for (const auto &[id, listed] : listing) {
        Runner &runner = m_runners[id];
        const bool isNewIncarnation = runner.live.incarnation != listed.incarnation;
        const bool isReported = runner.report.has_value();
        if (isNewIncarnation) {
            runner = Runner{};
        }
        runner.live = listed;
        if (isNewIncarnation || !isReported) {
            runner.held = listed.held;
        }
    }
}

void FleetPlacement::onReport(const EndpointId &endpoint, const RunnerReport &report, TimePoint now)
{
    const auto found = m_runners.find(endpoint);
    if (found == m_runners.end() || found->second.live.incarnation != report.incarnation) {
        return;
    }
    m_paces.onReport(endpoint, report.incarnation, report.events, now);
    Runner &runner = found->second;
    const bool isOld = runner.report && report.sequence < runner.sequence;
    runner.report = report;
    runner.live.leaving = runner.live.leaving || report.leaving;
    if (runner.outcomeUnknownSince) {
        // Only a state that is more recent than the order shows its outcome.
        if (now - *runner.outcomeUnknownSince < OutcomeReportDelay) {
            return;
        }
        runner.outcomeUnknownSince.reset();
        if (!report.busy) {
            runner.unloading.clear();
        }
    } else if (isOld) {
        applyStaleReport(runner, report);
        return;
    }
    const bool wasBusyWithForeignOrder = runner.busyWithForeignOrder;
    runner.busyWithForeignOrder = report.busy && runner.loading.empty() && runner.unloading.empty();
    if (runner.busyWithForeignOrder && !wasBusyWithForeignOrder) {
        m_storeLoads.push_back(now);
    }
    std::erase_if(runner.unloading, [&](const RoutingTarget &target) { return !report.held.contains(target); });
    if (runner.unresolvedOrder && report.sequence > runner.unresolvedOrder->expected) {
        runner.unresolvedOrder.reset();
    }
    std::erase_if(runner.loadingAdapters,
                  [&](const auto &entry) { return report.held.contains(entry.first) || now >= entry.second + ReportLag; });
    runner.sequence = report.sequence;
    runner.held = report.held;
    std::erase_if(runner.withdrawn, [&](const RoutingTarget &target) { return !report.held.contains(target); });
    std::erase_if(runner.held,
                  [&](const RoutingTarget &target) { return runner.unloading.contains(target) || runner.withdrawn.contains(target); });
    if (!report.busy && (runner.loading.empty() || runner.held.contains(baseOf(runner.loading)) || now >= runner.loadEndsAt + ReportLag)) {
        runner.loading = ModelId{};
    }
}

// Applies a report that is older than the last order: it still shows the completion of earlier orders.
void FleetPlacement::applyStaleReport(Runner &runner, const RunnerReport &report) const
{
    if (!runner.loading.empty() && report.held.contains(baseOf(runner.loading))) {
        runner.held.insert(baseOf(runner.loading));
        runner.loading = ModelId{};
    }
    for (auto entry = runner.loadingAdapters.begin(); entry != runner.loadingAdapters.end();) {
        const bool isThere = report.held.contains(entry->first);
        if (isThere) {
            runner.held.insert(entry->first);
        }
        entry = isThere ? runner.loadingAdapters.erase(entry) : std::next(entry);
    }
}

void FleetPlacement::onFigures(const VmId &node, const DemandByTarget &figures, TimePoint now)
{
    NodeFigures &own = m_figures[node];
    own = NodeFigures{now, {}, {}};
    const double memory = std::chrono::duration<double>(m_limits.demandTimeConstant).count();
    for (const auto &[target, figure] : figures) {
        if (figure.waiting > 0) {
            own.waiting[target] = figure.waiting;
        }
        for (const auto &[endpoint, count] : figure.running) {
            own.running[endpoint][target] = count;
        }
        if (figure.arrivals > 0) {
            m_firstDemandAt = m_firstDemandAt.value_or(now);
            Demand &demand = m_demand[target];
            const double left = decayFactor(demand, now);
            const double work = static_cast<double>(figure.promptTokens) / m_limits.promptTokensPerSecond
                                + static_cast<double>(figure.expectedTokens) / m_limits.outputTokensPerSecond;
            demand.rate = demand.rate * left + figure.arrivals / memory;
            demand.work = demand.work * left + work / memory;
            demand.at = now;
        }
    }
}

void FleetPlacement::onAnswered(const RunnerOrder &order, OrderOutcome outcome, TimePoint now)
{
    const auto found = m_runners.find(order.endpoint);
    if (found == m_runners.end() || found->second.live.incarnation != order.incarnation) {
        return;
    }
    Runner &runner = found->second;
    runner.orderInFlight = false;
    if (outcome == OrderOutcome::Unknown) {
        runner.unresolvedOrder = order;
    } else if (outcome == OrderOutcome::Accepted) {
        runner.unresolvedOrder.reset();
    }
    const bool isModel = order.target.adapter.empty();
    const EngineProfile *profile = profileOf(runner);
    if (outcome == OrderOutcome::Accepted || outcome == OrderOutcome::AlreadyDone) {
        // An adapter is unloaded at once, and the runner answers as if the order had been carried out already.
        const bool isUnloadedAdapter = !isModel && order.operation == RunnerOperation::Unload;
        if (outcome == OrderOutcome::Accepted || isUnloadedAdapter) {
            runner.sequence = order.expected + OrderSequence{1};
        }
        if (order.operation == RunnerOperation::Unload) {
            if (outcome == OrderOutcome::Accepted) {
                // Requests that use the target are still running; a report shows when it has been unloaded.
                runner.reportRequestedAt = TimePoint{};
            } else {
                runner.unloading.erase(order.target);
            }
        } else if (!isModel) {
            runner.loadingAdapters[order.target] = now + AdapterLoadTime;
            runner.loadedAt[order.target] = now + AdapterLoadTime;
        } else if (outcome == OrderOutcome::AlreadyDone) {
            runner.held.insert(order.target);
        } else {
            const auto model =
                profile != nullptr ? profile->models.find(order.target.model) : std::map<ModelId, EngineModel>::const_iterator{};
            const bool known = profile != nullptr && model != profile->models.end();
            const bool warm = runner.report && runner.report->inMemory.contains(order.target.model);
            const bool disk = runner.report && runner.report->onDisk.contains(order.target.model);
            runner.loading = order.target.model;
            runner.loadEndsAt = now;
            if (known) {
                runner.loadEndsAt += warm ? model->second.warmLoadTime : disk ? model->second.diskLoadTime : model->second.loadTime;
            }
            runner.loadedAt[order.target] = runner.loadEndsAt;
        }
        return;
    }
    if (isModel && order.operation == RunnerOperation::Load && outcome != OrderOutcome::Unknown) {
        runner.loading = ModelId{};
    }
    if (order.operation == RunnerOperation::Unload && outcome != OrderOutcome::Unknown) {
        runner.unloading.erase(order.target);
    }
    // The runner's present state is known only from its next report.
    runner.pausedUntil = now + (outcome == OrderOutcome::Unknown ? m_limits.unknownOutcomeBackoff : Duration(0));
    runner.outcomeUnknownSince = now;
    // Schedules the next report for the time at which it shows the outcome.
    runner.reportRequestedAt = now + OutcomeReportDelay - m_limits.reportPeriod;
}

std::vector<DueReport> FleetPlacement::reportsDue(TimePoint now, double slowdown)
{
    std::vector<DueReport> due;
    const Duration unhurried = std::max<Duration>(m_limits.reportPeriod, m_limits.reportPeriodPerRunner * m_runners.size());
    const auto regular = std::chrono::duration_cast<Duration>(unhurried * slowdown);
    // Limited, so that the answers do not arrive all at once.
    const std::size_t limit = BaseReportsPerCall + m_runners.size() / RunnersPerReport;
    for (auto &[id, runner] : m_runners) {
        const bool expectsLoad = !runner.loading.empty() && now >= runner.loadEndsAt;
        const bool isAwaited = !runner.unloading.empty() || runner.outcomeUnknownSince;
        const Duration period = expectsLoad ? m_limits.reportPeriod / 3 : isAwaited ? m_limits.reportPeriod : regular;
        if (due.size() < limit && profileOf(runner) != nullptr && now - runner.reportRequestedAt >= period) {
            runner.reportRequestedAt = now;
            due.push_back({id, runner.live.address});
        }
    }
    return due;
}

EndpointsById FleetPlacement::directory(TimePoint now) const
{
    EndpointsById endpoints;
    for (const auto &[id, runner] : m_runners) {
        LiveEndpoint endpoint = runner.live;
        endpoint.held = runner.held;
        for (const auto &[target, readyAt] : runner.loadingAdapters) {
            if (now >= readyAt) {
                endpoint.held.insert(target);
            }
        }
        endpoint.eventInterval = m_paces.eventInterval(id);
        endpoint.loading = runner.loading;
        endpoint.loadingLeft = runner.loading.empty() ? Duration(0) : std::max(Duration(0), runner.loadEndsAt - now);
        endpoint.loadingLeft = std::chrono::duration_cast<std::chrono::milliseconds>(endpoint.loadingLeft);
        endpoints.emplace(id, std::move(endpoint));
    }
    return endpoints;
}

std::map<ModelId, ModelLoad> FleetPlacement::loads(TimePoint now) const
{
    std::map<ModelId, ModelLoad> loads;
    for (const auto &[target, demand] : m_demand) {
        if (rateOf(target, now) > 0) {
            loads[target.model].work += demand.work * decayFactor(demand, now);
        }
    }
    for (auto &[model, load] : loads) {
        const ModelState &state = stateOf(model);
        load.copies = state.copies;
        load.waiting = state.waiting;
    }
    return loads;
}

const EngineProfile *FleetPlacement::profileOf(const Runner &runner) const
{
    if (!m_deployment) {
        return nullptr;
    }
    const auto service = m_deployment->services.find(runner.live.service);
    return service != m_deployment->services.end() && service->second.engine ? &*service->second.engine : nullptr;
}

double FleetPlacement::rateOf(const RoutingTarget &target, TimePoint now) const
{
    const auto found = m_demand.find(target);
    if (found == m_demand.end()) {
        return 0;
    }
    const double rate = found->second.rate * decayFactor(found->second, now);
    return rate < NegligibleRate ? 0 : rate;
}

// Factor by which a moving average has decayed since it was last updated.
double FleetPlacement::decayFactor(const Demand &demand, TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - demand.at) / std::chrono::duration<double>(m_limits.demandTimeConstant);
    return std::exp(-age);
}

void FleetPlacement::updateModelStates(TimePoint now)
{
    m_modelStates.clear();
    m_waitingByTarget.clear();
    for (const auto &[target, demand] : m_demand) {
        ModelState &state = m_modelStates[target.model];
        state.work += demand.work * decayFactor(demand, now);
        state.requestedAt = std::max(state.requestedAt, demand.at);
    }
    m_running.clear();
    std::erase_if(m_figures, [&](const auto &entry) { return now - entry.second.at >= m_limits.figuresLifetime; });
    for (const auto &[node, figures] : m_figures) {
        for (const auto &[target, count] : figures.waiting) {
            m_waitingByTarget[target] += count;
            m_modelStates[target.model].waiting += count;
        }
        for (const auto &[endpoint, targets] : figures.running) {
            for (const auto &[target, count] : targets) {
                m_running[endpoint][target] += count;
            }
        }
    }
    for (auto &[id, runner] : m_runners) {
        updateUsage(runner);
        if (runner.live.leaving) {
            continue;
        }
        for (const RoutingTarget &target : runner.held) {
            if (target.adapter.empty()) {
                ModelState &state = m_modelStates[target.model];
                ++state.copies;
                ++state.readyCopies;
                state.holders.push_back(&runner);
            }
        }
        if (!runner.loading.empty() && !runner.held.contains(baseOf(runner.loading))) {
            ++m_modelStates[runner.loading].copies;
        }
    }
}

const FleetPlacement::ModelState &FleetPlacement::stateOf(const ModelId &model) const
{
    static const ModelState unknown;
    const auto found = m_modelStates.find(model);
    return found == m_modelStates.end() ? unknown : found->second;
}

double FleetPlacement::runnerWork(const Runner &runner) const
{
    const auto workPerCopy = [this](const ModelId &model) {
        const ModelState &state = stateOf(model);
        return state.work / std::max(1U, state.copies);
    };
    double work = runner.loading.empty() ? 0 : workPerCopy(runner.loading);
    for (const RoutingTarget &target : runner.held) {
        work += target.adapter.empty() ? workPerCopy(target.model) : 0;
    }
    return work;
}

// Sums up everything that occupies memory on the runner, or may do so before a report shows it.
void FleetPlacement::updateUsage(Runner &runner) const
{
    runner.usedWeights = 0;
    runner.usedAdapterSlots = 0;
    const EngineProfile *profile = profileOf(runner);
    if (profile == nullptr) {
        return;
    }
    const auto add = [&](const RoutingTarget &target) {
        runner.usedAdapterSlots += target.adapter.empty() ? 0 : 1;
        const auto model = profile->models.find(target.model);
        if (model != profile->models.end()) {
            runner.usedWeights += target.adapter.empty() ? model->second.weights.value : model->second.adapterWeights.value;
        }
    };
    std::set<RoutingTarget> present = runner.held;
    present.insert(runner.unloading.begin(), runner.unloading.end());
    present.insert(runner.withdrawn.begin(), runner.withdrawn.end());
    const auto isCounted = [&](const RoutingTarget &target) { return present.contains(target); };
    for (const RoutingTarget &target : present) {
        add(target);
    }
    if (!runner.loading.empty() && !isCounted(baseOf(runner.loading))) {
        add(baseOf(runner.loading));
    }
    for (const auto &[target, readyAt] : runner.loadingAdapters) {
        if (!isCounted(target)) {
            add(target);
        }
    }
    if (!runner.report) {
        return;
    }
    for (const RoutingTarget &target : runner.report->pending) {
        const bool isLoading = runner.loadingAdapters.contains(target) || target == baseOf(runner.loading);
        if (!isCounted(target) && !isLoading) {
            add(target);
        }
    }
}

bool FleetPlacement::adapterFits(const Runner &runner, const EngineProfile &profile, const EngineModel &model) const
{
    const bool hasSlot = runner.usedAdapterSlots < profile.adapterSlots;
    return hasSlot && runner.usedWeights + model.adapterWeights.value <= profile.weightCapacity.value;
}

bool FleetPlacement::takesOrders(const Runner &runner, TimePoint now) const
{
    return runner.report && !runner.busyWithForeignOrder && !runner.outcomeUnknownSince && !runner.live.leaving && !runner.orderInFlight
           && now >= runner.pausedUntil;
}

bool FleetPlacement::isBusyWithModel(const Runner &runner) const
{
    const auto isModel = [](const RoutingTarget &target) { return target.adapter.empty(); };
    const bool unloadsAnyModel = std::any_of(runner.unloading.begin(), runner.unloading.end(), isModel);
    return !runner.loading.empty() || unloadsAnyModel || (runner.report && runner.report->busy);
}

std::uint32_t FleetPlacement::loadsInFlight() const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_runners.begin(), m_runners.end(), [](const auto &entry) { return !entry.second.loading.empty(); }));
}

std::uint32_t FleetPlacement::absentModelLoads() const
{
    return static_cast<std::uint32_t>(std::count_if(m_runners.begin(), m_runners.end(), [this](const auto &entry) {
        return !entry.second.loading.empty() && stateOf(entry.second.loading).readyCopies == 0;
    }));
}

std::uint32_t FleetPlacement::loadLimit() const
{
    const auto limitByRatio = static_cast<std::uint32_t>(m_limits.concurrentLoadRatio * static_cast<double>(m_runners.size()));
    return std::max(m_limits.concurrentLoads, limitByRatio);
}

bool FleetPlacement::mayPreload() const
{
    const auto limitByRatio = static_cast<std::uint32_t>(m_limits.concurrentPreloadRatio * static_cast<double>(m_runners.size()));
    return loadsInFlight() < std::max(m_limits.concurrentPreloads, limitByRatio);
}

bool FleetPlacement::storeRateAllows(const EngineProfile &profile, TimePoint now)
{
    while (!m_storeLoads.empty() && now - m_storeLoads.front() > m_limits.storeRateWindow) {
        m_storeLoads.pop_front();
    }
    const double window = std::chrono::duration<double>(m_limits.storeRateWindow).count();
    const bool takeoverEnded = now - m_startedAt >= m_limits.takeoverStoreDelay;
    return takeoverEnded && static_cast<double>(m_storeLoads.size()) + 1 <= profile.loadsPerSecond * window + m_limits.storeBurst;
}

bool FleetPlacement::loadsWithoutStore(const Runner &runner, const ModelId &model) const
{
    return runner.report && (runner.report->inMemory.contains(model) || runner.report->onDisk.contains(model));
}

} // namespace Hemlockhill
