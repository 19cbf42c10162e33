// The replicated register of suspected requests.
#include "hemlockhill/quarantine.h"

#include <algorithm>
#include <tuple>

namespace Hemlockhill
{

namespace
{

// Maximum number of losses stored per suspect. The oldest is forgotten for a further one.
constexpr std::size_t MaxLossesPerSuspect = 8;
constexpr std::uint32_t FullWeight = 1000;
constexpr std::size_t LossesUntilRefusal = 2;

} // namespace

bool Suspect::has(LossId loss) const
{
    return std::any_of(losses.begin(), losses.end(), [loss](const Loss &known) { return known.loss == loss; });
}

bool Suspect::refused() const
{
    const bool allAttributed = std::all_of(losses.begin(), losses.end(), [](const Loss &loss) { return loss.attributedToOther; });
    return losses.size() >= LossesUntilRefusal && !allAttributed;
}

QuarantineOutcome QuarantineRegister::apply(const QuarantineCommand &command)
{
    m_now = std::max(m_now, command.proposedAt);
    expire();
    return std::visit([this](const auto &step) { return apply(step); }, command.step);
}

const Suspect *QuarantineRegister::find(Fingerprint fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? nullptr : &found->second;
}

bool QuarantineRegister::hasTrialOn(const EndpointId &endpoint) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto &entry) {
        return entry.second.trial.has_value() && entry.second.trialEndpoint == endpoint;
    });
}

QuarantineOutcome QuarantineRegister::apply(const ReportLoss &step)
{
    const auto weight = static_cast<std::uint32_t>(FullWeight / std::max<std::size_t>(step.running.size(), 1));
    std::vector<LossId> lossesOfRefused;
    for (const Fingerprint fingerprint : step.running) {
        if (!m_suspects.contains(fingerprint)) {
            evictIfFull();
        }
        Suspect &suspect = m_suspects[fingerprint];
        if (addLoss(suspect, step.loss, weight)) {
            for (const Suspect::Loss &loss : suspect.losses) {
                lossesOfRefused.push_back(loss.loss);
            }
        }
    }
    attributeLosses(lossesOfRefused, step);
    return QuarantineOutcome::Applied;
}

bool QuarantineRegister::addLoss(Suspect &suspect, LossId loss, std::uint32_t weight)
{
    suspect.trial.reset();
    if (suspect.has(loss)) {
        return false;
    }
    if (suspect.losses.size() >= MaxLossesPerSuspect) {
        suspect.losses.erase(suspect.losses.begin());
    }
    suspect.losses.push_back({loss, false});
    suspect.weight += weight;
    if (!suspect.refused()) {
        suspect.expiresAt = m_now + m_limits.suspicionPeriod;
        return false;
    }
    constexpr std::uint32_t DoublingLimit = 16;
    const auto refusal = m_limits.suspicionPeriod * (1U << std::min(suspect.refusals, DoublingLimit));
    suspect.expiresAt = m_now + std::min(refusal, m_limits.maxRefusalPeriod);
    ++suspect.refusals;
    return true;
}

// A request that was running during an earlier loss of a refused request, but not during the latest one, is not the cause of that
// earlier loss.
void QuarantineRegister::attributeLosses(const std::vector<LossId> &losses, const ReportLoss &latest)
{
    if (losses.empty()) {
        return;
    }
    for (auto &[fingerprint, suspect] : m_suspects) {
        if (std::find(latest.running.begin(), latest.running.end(), fingerprint) != latest.running.end()) {
            continue;
        }
        for (Suspect::Loss &loss : suspect.losses) {
            loss.attributedToOther = loss.attributedToOther || std::find(losses.begin(), losses.end(), loss.loss) != losses.end();
        }
    }
}

QuarantineOutcome QuarantineRegister::apply(const StartTrial &step)
{
    const auto found = m_suspects.find(step.fingerprint);
    if (found == m_suspects.end()) {
        return QuarantineOutcome::TrialGranted;
    }
    Suspect &suspect = found->second;
    const bool refusedNow = suspect.refused() && m_now < suspect.expiresAt;
    const bool isDuplicate = suspect.trial == step.trial;
    if (refusedNow || (!isDuplicate && (suspect.trial || hasTrialOn(step.endpoint)))) {
        return QuarantineOutcome::TrialRefused;
    }
    suspect.trial = step.trial;
    suspect.trialEndpoint = step.endpoint;
    suspect.trialDeadline = m_now + m_limits.trialTimeout;
    return QuarantineOutcome::TrialGranted;
}

QuarantineOutcome QuarantineRegister::apply(const EndTrial &step)
{
    const auto found = m_suspects.find(step.fingerprint);
    if (found != m_suspects.end() && found->second.trial == step.trial) {
        found->second.trial.reset();
    }
    return QuarantineOutcome::Applied;
}

QuarantineOutcome QuarantineRegister::apply(const ClearSuspect &step)
{
    m_suspects.erase(step.fingerprint);
    return QuarantineOutcome::Applied;
}

void QuarantineRegister::expire()
{
    for (auto &[fingerprint, suspect] : m_suspects) {
        if (suspect.trial && m_now > suspect.trialDeadline) {
            // The result of the trial is unknown, so it counts as a loss.
            addLoss(suspect, lossIdOf(suspect.trialEndpoint, Incarnation{suspect.trial->value}), FullWeight);
        }
    }
    std::erase_if(m_suspects, [this](const auto &entry) {
        const Suspect &suspect = entry.second;
        // After its refusal a request stays a suspect for maxRefusalPeriod, during which it runs only as a trial.
        const auto trialPeriod = suspect.refused() ? m_limits.maxRefusalPeriod : std::chrono::milliseconds(0);
        return !suspect.trial && m_now > suspect.expiresAt + trialPeriod;
    });
}

// Evicts one suspect when the register is full. Suspects that are not refused go first, then those with the lowest weight, then those
// that expire first.
void QuarantineRegister::evictIfFull()
{
    if (m_suspects.size() < m_limits.maxSuspects) {
        return;
    }
    const auto rank = [](const auto &entry) { return std::tuple(entry.second.refused(), entry.second.weight, entry.second.expiresAt); };
    const auto least = std::min_element(
        m_suspects.begin(), m_suspects.end(), [&rank](const auto &left, const auto &right) { return rank(left) < rank(right); });
    m_suspects.erase(least);
}

} // namespace Hemlockhill
