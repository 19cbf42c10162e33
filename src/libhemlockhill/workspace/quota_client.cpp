// Queries, their replies and timeouts.
#include "hemlockhill/quota_client.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

ShareNumber otherShare(ShareNumber share)
{
    return ShareNumber{static_cast<std::uint8_t>(1 - share.value)};
}

} // namespace

QuotaClient::QuotaClient(const QuotaClientLimits &limits, std::uint64_t firstQuery)
    : m_limits(limits)
    , m_lastQuery(firstQuery)
{
}

void QuotaClient::onTable(const QuotaLeases &leases)
{
    if (leases.owners.size() != ShardCount) {
        return;
    }
    m_table = leases.table;
    for (std::size_t number = 0; number < ShardCount; ++number) {
        if (!leases.owners.at(number).empty()) {
            m_owners.at(number) = leases.owners.at(number);
        }
    }
}

void QuotaClient::start(ChargeNumber charge, const WorkspaceId &workspace, std::uint64_t cost, TimePoint now)
{
    if (m_pending.size() >= m_limits.pending) {
        m_actions.emplace_back(QuotaDecision{charge, QuotaOutcome::Unknown, {}, m_limits.retryAfter});
        return;
    }
    Pending &pending = m_pending[charge];
    pending.workspace = workspace;
    pending.cost = cost;
    pending.deadline = now + m_limits.decisionTimeout;
    // Both shares are asked equally often.
    pending.next = ShareNumber{static_cast<std::uint8_t>(charge.value % SharesOfWorkspace)};
    ask(charge, pending, now);
}

// Without a known owner the query counts as lost: the table may arrive before the next attempt.
void QuotaClient::ask(ChargeNumber charge, Pending &pending, TimePoint now)
{
    const ShareNumber share = std::exchange(pending.next, otherShare(pending.next));
    pending.nextAt = now + m_limits.replyTimeout;
    const VmId &owner = m_owners.at(shardOf(pending.workspace, share).value);
    if (owner.empty()) {
        return;
    }
    ++pending.attempts;
    const QuotaQueryId id{++m_lastQuery};
    pending.queries.push_back(id);
    m_queries.emplace(id, Query{charge, owner, share});
    m_actions.emplace_back(SendQuotaQuery{owner, {id, pending.workspace, share, pending.cost}});
}

void QuotaClient::onReply(const VmId &from, const QuotaReply &reply, TimePoint now)
{
    if (const auto late = m_unanswered.find(reply.id); late != m_unanswered.end() && late->second == from) {
        if (reply.verdict == QuotaVerdict::Granted) {
            m_actions.emplace_back(SendQuotaReturn{from, {reply.id}});
        }
        m_unanswered.erase(late);
        return;
    }
    const auto found = m_queries.find(reply.id);
    if (found == m_queries.end() || found->second.to != from) {
        return;
    }
    const Query query = found->second;
    m_queries.erase(found);
    const auto pending = m_pending.find(query.charge);
    std::erase(pending->second.queries, reply.id);
    switch (reply.verdict) {
    case QuotaVerdict::Granted:
        decide(pending, {query.charge, QuotaOutcome::Granted, {from, reply.id}, Duration(0)}, now);
        return;
    case QuotaVerdict::Refused:
        pending->second.waits.at(query.share.value) = reply.wait;
        onRefused(query.charge, pending->second, query.share, now);
        return;
    case QuotaVerdict::NotOwner:
        onRefused(query.charge, pending->second, query.share, now);
        return;
    }
}

void QuotaClient::onRefused(ChargeNumber charge, Pending &pending, ShareNumber share, TimePoint now)
{
    const auto &waits = pending.waits;
    if (std::all_of(waits.begin(), waits.end(), [](const auto &wait) { return wait.has_value(); })) {
        const Duration wait = std::min(*waits.at(0), *waits.at(1));
        decide(m_pending.find(charge), {charge, QuotaOutcome::Exceeded, {}, wait}, now);
        return;
    }
    // A share that has refused is not asked again, nor one whose reply is still awaited.
    const ShareNumber other = otherShare(share);
    const bool isAwaited = std::any_of(
        pending.queries.begin(), pending.queries.end(), [&](const QuotaQueryId &id) { return m_queries.at(id).share == other; });
    pending.next = other;
    const bool isFirst = pending.attempts == 1;
    if (!isAwaited && (isFirst || waits.at(share.value))) {
        ask(charge, pending, now);
    }
}

void QuotaClient::cancel(ChargeNumber charge, TimePoint now)
{
    const auto pending = m_pending.find(charge);
    if (pending == m_pending.end()) {
        return;
    }
    decide(pending, {}, now);
    m_actions.pop_back();
}

void QuotaClient::tick(TimePoint now)
{
    std::vector<ChargeNumber> expired;
    for (auto &[charge, pending] : m_pending) {
        if (now >= pending.deadline) {
            expired.push_back(charge);
        } else if (now >= pending.nextAt && pending.attempts < m_limits.attempts) {
            // Only the share that has not refused can still grant.
            if (pending.waits.at(pending.next.value)) {
                pending.next = otherShare(pending.next);
            }
            ask(charge, pending, now);
        }
    }
    for (const ChargeNumber charge : expired) {
        const auto pending = m_pending.find(charge);
        // The share that has refused had no room; whether the other one has is not known.
        Duration wait = m_limits.retryAfter;
        for (const auto &refused : pending->second.waits) {
            wait = std::min(wait, std::max(refused.value_or(wait), m_limits.decisionTimeout));
        }
        decide(pending, {charge, QuotaOutcome::Unknown, {}, wait}, now);
    }
    dropUnanswered(now);
}

void QuotaClient::decide(PendingCharges::iterator pending, QuotaDecision decision, TimePoint now)
{
    dropUnanswered(now);
    for (const QuotaQueryId id : pending->second.queries) {
        const auto query = m_queries.extract(id);
        m_unanswered.emplace(id, query.mapped().to);
        m_unansweredOrder.emplace_back(now, id);
    }
    m_pending.erase(pending);
    m_actions.emplace_back(std::move(decision));
}

void QuotaClient::dropUnanswered(TimePoint now)
{
    while (!m_unansweredOrder.empty()
           && (now - m_unansweredOrder.front().first >= m_limits.unansweredMemory || m_unansweredOrder.size() >= m_limits.unanswered)) {
        m_unanswered.erase(m_unansweredOrder.front().second);
        m_unansweredOrder.pop_front();
    }
}

std::vector<QuotaAction> QuotaClient::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace Hemlockhill
