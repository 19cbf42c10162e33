// Exponential moving averages of demand: one that rises quickly and falls slowly, and a long-term one.
#include "hemlockhill/demand.h"

#include <algorithm>
#include <cmath>

namespace Hemlockhill
{

namespace
{

// Weight of a new sample in an exponential moving average, from the interval it covers in seconds and the time constant.
double sampleWeight(double span, Duration constant)
{
    return 1.0 - std::exp(-span / std::chrono::duration<double>(constant).count());
}

// Weight of a new sample in the average service time.
constexpr double ServiceSampleWeight = 0.1;

} // namespace

void Demand::sample(const DemandSample &sample, TimePoint now)
{
    const double span = std::chrono::duration<double>(sample.span).count();
    if (span <= 0) {
        return;
    }
    std::map<ModelId, const ModelDemandCount *> modelCounts;
    for (const ModelDemandCount &count : sample.models) {
        modelCounts[count.model] = &count;
        DemandEstimate &estimate = m_models[count.model];
        if (count.requests > 0) {
            estimate.lastRequestAt = now;
        }
        if (count.requests > 0 && count.busySeconds > 0) {
            const double measured = count.busySeconds / static_cast<double>(count.requests);
            const double known = estimate.isServiceMeasured ? estimate.serviceSeconds : measured;
            estimate.serviceSeconds = known + ServiceSampleWeight * (measured - known);
            estimate.isServiceMeasured = true;
        }
    }
    for (auto &[model, estimate] : m_models) {
        const auto found = modelCounts.find(model);
        update(estimate, found == modelCounts.end() ? 0 : static_cast<double>(found->second->requests), span);
    }
    std::map<AdapterId, std::uint64_t> adapterCounts;
    for (const AdapterDemandCount &count : sample.adapters) {
        adapterCounts[count.adapter] += count.requests;
        if (count.requests > 0) {
            m_adapters[count.adapter].lastRequestAt = now;
        }
    }
    for (auto &[adapter, estimate] : m_adapters) {
        const auto found = adapterCounts.find(adapter);
        update(estimate, found == adapterCounts.end() ? 0 : static_cast<double>(found->second), span);
    }
}

void Demand::update(DemandEstimate &estimate, double requests, double span) const
{
    const double rate = requests / span;
    estimate.recentRate += sampleWeight(span, m_options.riseTimeConstant) * (rate - estimate.recentRate);
    estimate.rate += sampleWeight(span, m_options.fallTimeConstant) * (estimate.recentRate - estimate.rate);
    estimate.rate = std::max(estimate.rate, estimate.recentRate);
    estimate.longTermRate += sampleWeight(span, m_options.longTermTimeConstant) * (rate - estimate.longTermRate);
    if (!estimate.isServiceMeasured) {
        estimate.serviceSeconds = m_options.defaultServiceSeconds;
    }
}

DemandEstimate Demand::model(const ModelId &model) const
{
    const auto found = m_models.find(model);
    return found == m_models.end() ? DemandEstimate{} : found->second;
}

DemandEstimate Demand::adapter(const AdapterId &adapter) const
{
    const auto found = m_adapters.find(adapter);
    return found == m_adapters.end() ? DemandEstimate{} : found->second;
}

} // namespace Hemlockhill
