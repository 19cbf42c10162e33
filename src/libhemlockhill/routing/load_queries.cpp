// Pacing of load queries, and owners that do not answer.
#include "hemlockhill/load_queries.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace Hemlockhill
{

LoadQueries::LoadQueries(LoadQueryLimits limits, Metrics &metrics, std::uint64_t seed)
    : m_limits(limits)
    , m_metrics(metrics)
    , m_random(seed)
    , m_allowance(limits.burst)
{
}

LoadQueryPlan LoadQueries::plan(const LoadSubject &subject, LoadPurpose purpose, LoadOwners &owners, TimePoint now, OwnerChoice choice)
{
    const bool asksAny = choice == OwnerChoice::Any;
    if (asksAny ? owners.isOwner(subject.service, now) : decider(subject.service, owners, now) == owners.self()) {
        return {};
    }
    dropOutdated(now);
    State &state = m_states[subject];
    if (!state.asked.empty()) {
        if (now - state.askedAt < m_limits.answerTimeout) {
            return {LoadKnowledge::Awaited, {}};
        }
        m_metrics.countEvent("load_query_unanswered");
        if (++m_unanswered[state.asked] >= (asksAny ? 1 : m_limits.unansweredLimit)) {
            m_silentUntil[state.asked] = now + m_limits.silencePeriod;
        }
        state.asked = {};
    }
    if (!state.isInvited && state.answeredAt != TimePoint{} && now - state.answeredAt < m_limits.reuse) {
        return {};
    }
    purpose = state.isInvited ? LoadPurpose::Dispatch : purpose;
    const VmId owner =
        asksAny ? chooseOwner(owners.others(subject.service, now), now) : decider(subject.service, owners, now).value_or(VmId{});
    if (owner == owners.self()) {
        return {};
    }
    if (owner.empty()) {
        m_metrics.countEvent("load_query_without_owner");
        return {};
    }
    if (!takeTurn(state, purpose, owners.nodes(), now)) {
        return {LoadKnowledge::Awaited, {}};
    }
    if (state.turnAwaitedSince) {
        // It has waited for its turn in vain.
        m_metrics.countEvent("load_query_paced");
        state.turnAwaitedSince.reset();
        return {};
    }
    m_metrics.countEvent("load_query_sent");
    state.asked = owner;
    state.askedAt = now;
    state.isInvited = false;
    return {LoadKnowledge::QueryDue, owner};
}

void LoadQueries::onInvitation(const LoadSubject &subject)
{
    if (const auto found = m_states.find(subject); found != m_states.end()) {
        found->second.isInvited = true;
    }
}

void LoadQueries::onReport(const VmId &owner, const LoadReport &report, TimePoint now)
{
    m_silentUntil.erase(owner);
    m_unanswered.erase(owner);
    const auto found = m_states.find(report.subject);
    if (found != m_states.end()) {
        found->second.asked = {};
        found->second.answeredAt = now;
    }
}

// Callers name models and adapters of their requests, so that there may be any number.
void LoadQueries::dropOutdated(TimePoint now)
{
    if (m_states.size() >= m_limits.subjects) {
        std::erase_if(m_states, [&](const auto &entry) { return now - entry.second.askedAt >= m_limits.silencePeriod; });
    }
}

VmId LoadQueries::chooseOwner(const std::vector<VmId> &owners, TimePoint now)
{
    std::vector<VmId> answering;
    for (const VmId &owner : owners) {
        if (!isSilent(owner, now)) {
            answering.push_back(owner);
        }
    }
    if (answering.empty()) {
        return {};
    }
    boost::random::uniform_int_distribution<std::size_t> draw(0, answering.size() - 1);
    return answering[draw(m_random)];
}

bool LoadQueries::isSilent(const VmId &owner, TimePoint now) const
{
    const auto silent = m_silentUntil.find(owner);
    return silent != m_silentUntil.end() && silent->second > now;
}

std::optional<VmId> LoadQueries::decider(const ServiceId &service, LoadOwners &owners, TimePoint now) const
{
    const auto &deciders = owners.deciders(service, now);
    const auto found = std::find_if(deciders.begin(), deciders.end(), [&](const VmId &owner) { return !isSilent(owner, now); });
    return found == deciders.end() ? std::nullopt : std::optional(*found);
}

bool LoadQueries::takeTurn(State &state, LoadPurpose purpose, std::size_t nodes, TimePoint now)
{
    const double rate = m_limits.fleetRate / static_cast<double>(std::max<std::size_t>(nodes, 1));
    refill(rate, now);
    if (purpose == LoadPurpose::Recheck) {
        state.recheckedAt = now;
        if (now - state.answeredAt < recheckInterval(rate, now) || m_allowance < 1 + m_limits.newRequestShare * m_limits.burst) {
            return false;
        }
    } else if (m_allowance < 1) {
        state.turnAwaitedSince = state.turnAwaitedSince.value_or(now);
        return now - *state.turnAwaitedSince >= m_limits.turnTimeout;
    }
    state.turnAwaitedSince.reset();
    m_allowance -= 1;
    return true;
}

Duration LoadQueries::recheckInterval(double rate, TimePoint now) const
{
    const auto subjects = std::count_if(
        m_states.begin(), m_states.end(), [&](const auto &entry) { return now - entry.second.recheckedAt < m_limits.recheckMemory; });
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(subjects) / rate));
}

void LoadQueries::refill(double rate, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
    m_allowance = std::min(m_limits.burst, m_allowance + rate * elapsed);
    m_filledAt = now;
}

} // namespace Hemlockhill
