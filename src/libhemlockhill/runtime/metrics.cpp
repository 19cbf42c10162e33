// Metric families, based on prometheus-cpp.
#include "hemlockhill/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <set>

namespace Hemlockhill
{

namespace
{

const prometheus::Histogram::BucketBoundaries LatencySecondsBuckets{
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.47, 1, 2.5, 5, 10, 30};

// Number of workspaces with metrics of their own.
constexpr std::size_t NamedWorkspaceLimit = 64;
// The name under which the other ones are counted; no workspace can have it, since names are not empty.
constexpr const char *OtherWorkspaces = "";

prometheus::Family<prometheus::Counter> &counterFamily(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Histogram &latencyHistogram(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, LatencySecondsBuckets);
}

double seconds(Duration elapsed)
{
    return std::chrono::duration<double>(elapsed).count();
}

} // namespace

struct Metrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests =
        counterFamily(registry, "hemlockhill_requests_total", "Requests that callers and operators sent, by route.");
    prometheus::Family<prometheus::Counter> &refusals =
        counterFamily(registry, "hemlockhill_refusals_total", "Requests and commands refused or ended early, by reason.");
    prometheus::Family<prometheus::Counter> &retries =
        counterFamily(registry, "hemlockhill_retries_total", "Attempts repeated at another endpoint, by reason.");
    prometheus::Family<prometheus::Counter> &events = counterFamily(registry, "hemlockhill_events_total", "Other counted events, by name.");
    prometheus::Family<prometheus::Counter> &quotaUnits = counterFamily(
        registry, "hemlockhill_quota_units_total", "Units of workspaces' quotas that this node has decided on, by workspace and outcome.");
    prometheus::Family<prometheus::Gauge> &quotaFill =
        prometheus::BuildGauge()
            .Name("hemlockhill_quota_fill")
            .Help("Level of a share of a workspace's quota when this node last decided on it, as a part of its capacity.")
            .Register(registry);
    prometheus::Family<prometheus::Gauge> &gauges =
        prometheus::BuildGauge().Name("hemlockhill_state").Help("Present values, by name.").Register(registry);
    prometheus::Histogram &firstToken =
        latencyHistogram(registry, "hemlockhill_first_token_seconds", "From the arrival of a request to the first byte of its answer.");
    prometheus::Histogram &wholeAnswer =
        latencyHistogram(registry, "hemlockhill_whole_answer_seconds", "From the arrival of a request to the end of its answer.");
    std::mutex namedWorkspacesMutex;
    // Workspaces with metrics of their own.
    std::set<WorkspaceId> namedWorkspaces;

    bool isNamed(const WorkspaceId &workspace)
    {
        const std::lock_guard lock(namedWorkspacesMutex);
        if (namedWorkspaces.size() < NamedWorkspaceLimit) {
            namedWorkspaces.insert(workspace);
        }
        return namedWorkspaces.contains(workspace);
    }
};

Metrics::Metrics()
    : m_families(std::make_unique<Families>())
{
    for (const ReasonTraits &traits : allReasons()) {
        m_families->refusals.Add({{"reason", std::string(traits.name)}});
    }
}

Metrics::~Metrics() = default;

void Metrics::countRequest(std::string_view route)
{
    m_families->requests.Add({{"route", std::string(route)}}).Increment();
}

void Metrics::countRefusal(Reason reason)
{
    m_families->refusals.Add({{"reason", std::string(toText(reason))}}).Increment();
}

void Metrics::countRetry(Reason reason)
{
    m_families->retries.Add({{"reason", std::string(toText(reason))}}).Increment();
}

void Metrics::countEvent(std::string_view event)
{
    m_families->events.Add({{"event", std::string(event)}}).Increment();
}

void Metrics::countQuotaUnits(const WorkspaceId &workspace, std::string_view outcome, std::uint64_t units)
{
    const std::string name = m_families->isNamed(workspace) ? workspace.value : OtherWorkspaces;
    m_families->quotaUnits.Add({{"workspace", name}, {"outcome", std::string(outcome)}}).Increment(static_cast<double>(units));
}

void Metrics::setQuotaFill(const WorkspaceId &workspace, std::string_view share, double fill)
{
    if (m_families->isNamed(workspace)) {
        m_families->quotaFill.Add({{"workspace", workspace.value}, {"share", std::string(share)}}).Set(fill);
    }
}

void Metrics::observeFirstToken(Duration elapsed)
{
    m_families->firstToken.Observe(seconds(elapsed));
}

void Metrics::observeWholeAnswer(Duration elapsed)
{
    m_families->wholeAnswer.Observe(seconds(elapsed));
}

void Metrics::setGauge(std::string_view name, double value)
{
    m_families->gauges.Add({{"name", std::string(name)}}).Set(value);
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer{}.Serialize(m_families->registry.Collect());
}

} // namespace Hemlockhill
