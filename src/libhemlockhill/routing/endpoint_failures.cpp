// Comparison of the failures of a service's endpoints, and backoff.
#include "hemlockhill/endpoint_failures.h"

#include <algorithm>
#include <cmath>

namespace Hemlockhill
{

namespace
{

// Weight of one request in the moving average of an endpoint's failures.
constexpr double FailureRateWeight = 0.15;
// Weight of one request in the moving average that others are compared with: about the last 40 requests, so that the comparison depends
// little on chance.
constexpr double ComparedRateWeight = 0.05;
constexpr Duration NoWorseLogPeriod = std::chrono::seconds(10);
// With more doublings the backoff exceeds its maximum.
constexpr std::uint32_t MaximumDoublings = 3;

std::set<ModelId> modelsOf(const LiveEndpoint &endpoint)
{
    std::set<ModelId> models;
    for (const RoutingTarget &target : endpoint.held) {
        models.insert(target.model);
    }
    return models;
}

} // namespace

std::string_view toText(FailureVerdict verdict)
{
    switch (verdict) {
    case FailureVerdict::Tolerated:
        return "tolerated";
    case FailureVerdict::NoWorse:
        return "no_worse";
    case FailureVerdict::BackedOff:
        break;
    }
    return "backed_off";
}

EndpointFailures::EndpointFailures(EndpointFailureLimits limits)
    : m_limits(limits)
{
}

void EndpointFailures::addSample(Record &record, bool hasFailed) const
{
    const double outcome = hasFailed ? 1 : 0;
    record.failureRate += (outcome - record.failureRate) * FailureRateWeight;
    record.comparedRate += (outcome - record.comparedRate) * ComparedRateWeight;
    record.comparedWeight += (1 - record.comparedWeight) * ComparedRateWeight;
    ++record.samples;
}

void EndpointFailures::onSucceeded(const EndpointId &endpoint)
{
    Record &record = m_records[endpoint];
    addSample(record, false);
    record.consecutiveFailures = 0;
    record.backoffs = 0;
    record.hasSucceeded = true;
    record.isUnreachable = false;
}

FailureAssessment EndpointFailures::onFailed(const EndpointId &endpoint, EndpointFailureKind kind, TimePoint now)
{
    Record &record = m_records[endpoint];
    addSample(record, true);
    ++record.consecutiveFailures;
    FailureAssessment assessment{FailureVerdict::Tolerated, record.failureRate, othersRate(endpoint), record.consecutiveFailures};
    const bool isRun = record.consecutiveFailures >= m_limits.consecutiveFailures;
    if (!isRun && record.failureRate < m_limits.failureRateThreshold) {
        return assessment;
    }
    if (isRun && kind == EndpointFailureKind::NotConnected) {
        record.isUnreachable = true;
    }
    const bool isLost = isRun && (record.isUnreachable || answersNothing(record));
    if (isLost || !assessment.othersRate || isWorse(record, *assessment.othersRate)) {
        backOff(record, now, assessment);
        return assessment;
    }
    assessment.verdict = FailureVerdict::NoWorse;
    assessment.isNew = !record.foundNoWorseAt || now - *record.foundNoWorseAt >= NoWorseLogPeriod;
    if (assessment.isNew) {
        record.foundNoWorseAt = now;
    }
    return assessment;
}

FailureAssessment EndpointFailures::onUnreachable(const EndpointId &endpoint, TimePoint now)
{
    Record &record = m_records[endpoint];
    record.consecutiveFailures = std::max(record.consecutiveFailures + 1, m_limits.consecutiveFailures);
    record.isUnreachable = true;
    FailureAssessment assessment{FailureVerdict::Tolerated, record.failureRate, othersRate(endpoint), record.consecutiveFailures};
    backOff(record, now, assessment);
    return assessment;
}

bool EndpointFailures::answersNothing(const Record &record) const
{
    return !record.hasSucceeded || record.consecutiveFailures >= m_limits.answersNothingAfter;
}

// Of an even number of others, the lower median: beside one bad endpoint of three, the good ones are compared with each other.
std::optional<double> EndpointFailures::othersRate(const EndpointId &endpoint) const
{
    const auto listed = m_listed.find(endpoint);
    if (listed == m_listed.end()) {
        return std::nullopt;
    }
    std::vector<double> rates;
    for (const EndpointId &other : m_services.at(listed->second.service)) {
        const auto found = m_records.find(other);
        if (other != endpoint && found != m_records.end() && found->second.samples >= m_limits.minimumSamples) {
            rates.push_back(found->second.comparedRate / found->second.comparedWeight);
        }
    }
    if (rates.empty()) {
        return std::nullopt;
    }
    const auto median = rates.begin() + static_cast<std::ptrdiff_t>((rates.size() - 1) / 2);
    std::nth_element(rates.begin(), median, rates.end());
    return *median;
}

bool EndpointFailures::isWorse(const Record &record, double othersRate) const
{
    // Standard deviation of the moving average of independent failures at the others' rate.
    const double deviation = std::sqrt(othersRate * (1 - othersRate) * FailureRateWeight / (2 - FailureRateWeight));
    const double margin = std::max(m_limits.minimumMargin, m_limits.marginDeviations * deviation);
    if (record.failureRate >= m_limits.failureRateThreshold && record.failureRate > othersRate + margin) {
        return true;
    }
    const bool isRun = record.consecutiveFailures >= m_limits.consecutiveFailures;
    return isRun && std::pow(othersRate, record.consecutiveFailures) < m_limits.improbable;
}

// The doublings count from the failure that led to the backoff: beside others that fail too, it may be a late one.
void EndpointFailures::backOff(Record &record, TimePoint now, FailureAssessment &assessment) const
{
    const std::uint32_t doublings = std::min({record.consecutiveFailures - 1, record.backoffs + 1, MaximumDoublings});
    ++record.backoffs;
    assessment.verdict = FailureVerdict::BackedOff;
    assessment.backoff = std::min(m_limits.initialBackoff * (1U << doublings), m_limits.maximumBackoff);
    assessment.isNew = now >= record.backoffUntil;
    record.backoffUntil = now + assessment.backoff;
}

bool EndpointFailures::isBackedOff(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_records.find(endpoint);
    return found != m_records.end() && now < found->second.backoffUntil;
}

bool EndpointFailures::isInBackoff(const EndpointId &endpoint, TimePoint now) const
{
    return isBackedOff(endpoint, now) && !isNeeded(endpoint, now);
}

bool EndpointFailures::isNeeded(const EndpointId &endpoint, TimePoint now) const
{
    const Record &record = m_records.at(endpoint);
    const auto listed = m_listed.find(endpoint);
    if (record.isUnreachable || answersNothing(record) || listed == m_listed.end()) {
        return false;
    }
    std::set<ModelId> missing = listed->second.models;
    bool isAnyInUse = false;
    for (const EndpointId &id : m_services.at(listed->second.service)) {
        const Listed &other = m_listed.at(id);
        if (id == endpoint || other.leaving || isBackedOff(id, now)) {
            continue;
        }
        isAnyInUse = true;
        for (const ModelId &model : other.models) {
            missing.erase(model);
        }
        if (missing.empty()) {
            return false;
        }
    }
    return !isAnyInUse || !missing.empty();
}

void EndpointFailures::onDirectory(const EndpointsById &endpoints)
{
    for (const auto &[id, endpoint] : endpoints) {
        const auto [known, isNew] = m_listed.try_emplace(id);
        if (!isNew && known->second.service != endpoint.service) {
            m_services[known->second.service].erase(id);
        }
        known->second = {endpoint.service, modelsOf(endpoint), endpoint.leaving};
        m_services[endpoint.service].insert(id);
    }
    for (const auto &[id, listed] : m_listed) {
        if (!endpoints.contains(id)) {
            m_services[listed.service].erase(id);
        }
    }
    std::erase_if(m_listed, [&](const auto &entry) { return !endpoints.contains(entry.first); });
    std::erase_if(m_services, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(m_records, [&](const auto &entry) { return !endpoints.contains(entry.first); });
}

} // namespace Hemlockhill
