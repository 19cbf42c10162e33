// The quarantine decisions at one node.
#include "hemlockhill/quarantine.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::chrono::seconds RetryAfterTrial(2);
constexpr std::chrono::seconds RetryAfterLastCopy(30);

QuarantineDecision refusedUntil(WallTime end, WallTime now)
{
    const auto left = std::chrono::ceil<std::chrono::seconds>(end - now);
    return {QuarantineVerdict::Refused, std::max(left, std::chrono::seconds(1))};
}

} // namespace

Quarantine::Quarantine(VmId node, QuarantineLimits limits)
    : m_node(std::move(node))
    , m_limits(limits)
    , m_replica(std::make_shared<const QuarantineRegister>(limits))
{
}

void Quarantine::updateReplica(std::shared_ptr<const QuarantineRegister> replica, WallTime now)
{
    m_replica = std::move(replica);
    for (auto &[fingerprint, losses] : m_reported) {
        const Suspect *suspect = m_replica->find(fingerprint);
        std::erase_if(losses, [&](const LocalLoss &local) {
            return (suspect != nullptr && suspect->has(local.loss)) || now > local.at + m_limits.suspicionPeriod;
        });
    }
    std::erase_if(m_reported, [](const auto &entry) { return entry.second.empty(); });
}

QuarantineDecision Quarantine::decide(Fingerprint fingerprint, std::size_t copies, WallTime now) const
{
    Suspect suspect;
    if (const Suspect *replicated = m_replica->find(fingerprint)) {
        suspect = *replicated;
    }
    if (const auto reported = m_reported.find(fingerprint); reported != m_reported.end()) {
        for (const LocalLoss &local : reported->second) {
            if (!suspect.has(local.loss)) {
                suspect.losses.push_back({local.loss, false});
                suspect.expiresAt = std::max(suspect.expiresAt, local.at + m_limits.suspicionPeriod);
            }
        }
    }
    const bool allAttributed =
        std::all_of(suspect.losses.begin(), suspect.losses.end(), [](const Suspect::Loss &loss) { return loss.attributedToOther; });
    const bool expired = !suspect.refused() && !suspect.trial && now > suspect.expiresAt;
    if (allAttributed || expired) {
        return {};
    }
    if (suspect.refused() && now < suspect.expiresAt) {
        return refusedUntil(suspect.expiresAt, now);
    }
    if (suspect.trial) {
        return now > suspect.trialDeadline ? refusedUntil(suspect.trialDeadline + m_limits.suspicionPeriod, now)
                                           : QuarantineDecision{QuarantineVerdict::Refused, RetryAfterTrial};
    }
    if (copies < 2) {
        return {QuarantineVerdict::Refused, RetryAfterLastCopy};
    }
    return {QuarantineVerdict::TrialOnly, {}};
}

std::optional<EndpointId> Quarantine::chooseTrialEndpoint(const std::vector<TrialCandidate> &candidates) const
{
    const TrialCandidate *best = nullptr;
    for (const TrialCandidate &candidate : candidates) {
        if (!m_replica->hasTrialOn(candidate.endpoint) && (best == nullptr || candidate.running < best->running)) {
            best = &candidate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->endpoint);
}

std::vector<QuarantineCommand> Quarantine::onEndpointLost(const EndpointId &endpoint,
                                                          const Incarnation &incarnation,
                                                          const std::vector<Fingerprint> &running,
                                                          WallTime now)
{
    if (running.empty()) {
        return {};
    }
    ReportLoss report{lossIdOf(endpoint, incarnation), running};
    std::sort(report.running.begin(), report.running.end());
    report.running.erase(std::unique(report.running.begin(), report.running.end()), report.running.end());
    for (const Fingerprint fingerprint : report.running) {
        m_reported[fingerprint].push_back({report.loss, now});
        m_trials.erase(fingerprint);
    }
    return {QuarantineCommand{now, std::move(report)}};
}

QuarantineCommand Quarantine::startTrial(Fingerprint fingerprint, const EndpointId &endpoint, WallTime now)
{
    const auto time = std::to_string(now.time_since_epoch().count());
    TrialId trial{m_node.value + "-" + time + "-" + std::to_string(++m_lastTrial)};
    m_trials[fingerprint] = trial;
    return QuarantineCommand{now, StartTrial{fingerprint, std::move(trial), endpoint}};
}

std::vector<QuarantineCommand> Quarantine::onCompleted(Fingerprint fingerprint, WallTime now)
{
    const bool reported = m_reported.erase(fingerprint) > 0;
    const bool hadTrial = m_trials.erase(fingerprint) > 0;
    if (!reported && !hadTrial && m_replica->find(fingerprint) == nullptr) {
        return {};
    }
    return {QuarantineCommand{now, ClearSuspect{fingerprint}}};
}

std::vector<QuarantineCommand> Quarantine::onCancelled(Fingerprint fingerprint, WallTime now)
{
    const auto found = m_trials.find(fingerprint);
    if (found == m_trials.end()) {
        return {};
    }
    const TrialId trial = found->second;
    m_trials.erase(found);
    return {QuarantineCommand{now, EndTrial{fingerprint, trial}}};
}

} // namespace Hemlockhill
