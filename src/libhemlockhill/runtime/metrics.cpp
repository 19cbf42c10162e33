// Metric families, based on prometheus-cpp.
#include "hemlockhill/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Hemlockhill
{

namespace
{

const prometheus::Histogram::BucketBoundaries LatencySecondsBuckets{
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.47, 1, 2.5, 5, 10, 30};

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
    prometheus::Family<prometheus::Gauge> &gauges =
        prometheus::BuildGauge().Name("hemlockhill_state").Help("Present values, by name.").Register(registry);
    prometheus::Histogram &firstToken =
        latencyHistogram(registry, "hemlockhill_first_token_seconds", "From the arrival of a request to the first byte of its answer.");
    prometheus::Histogram &wholeAnswer =
        latencyHistogram(registry, "hemlockhill_whole_answer_seconds", "From the arrival of a request to the end of its answer.");
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
