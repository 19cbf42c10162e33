// The quota queries of an entry for the requests that have arrived at it. Deterministic, without I/O: messages may be lost, late or
// repeated.
//
// A share of the workspace is asked for each request. If its owner refuses, or does not answer in time, the other share is asked. A grant
// that arrives after the decision is given back.
#pragma once

#include "hemlockhill/quota_messages.h"
#include "hemlockhill/world.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Hemlockhill
{

struct QuotaClientLimits {
    // Time without a reply after which the next share is asked.
    Duration replyTimeout = std::chrono::milliseconds(40);
    // Time in which a request must be decided.
    Duration decisionTimeout = std::chrono::milliseconds(150);
    // Queries for one request from which on no further ones are sent for want of a reply.
    std::uint32_t attempts = 3;
    // Requests that wait for a decision. With more, the owners do not answer, or this node is overloaded.
    std::size_t pending = 4'096;
    // How long, and how many queries without a reply are remembered after the decision.
    Duration unansweredMemory = std::chrono::seconds(2);
    std::size_t unanswered = 8'192;
    // When callers may come back if no owner has answered.
    Duration retryAfter = std::chrono::seconds(1);
};

// Identifies a request of this node that is to be charged.
using ChargeNumber = Quantity<struct ChargeNumberTag>;

// Units that were granted for a request.
struct QuotaGrant {
    VmId owner;
    QuotaQueryId query;

    bool operator==(const QuotaGrant &) const = default;
};

enum class QuotaOutcome { Granted, Exceeded, Unknown };

struct QuotaDecision {
    ChargeNumber charge;
    QuotaOutcome outcome = QuotaOutcome::Unknown;
    // Set if granted.
    QuotaGrant grant;
    // When there is room, unless granted.
    Duration retryAfter{0};
};

struct SendQuotaQuery {
    VmId to;
    QuotaQuery query;
};

struct SendQuotaReturn {
    VmId to;
    QuotaReturn message;
};

using QuotaAction = std::variant<SendQuotaQuery, SendQuotaReturn, QuotaDecision>;

class QuotaClient
{
public:
    // Ids of queries begin at a number that no earlier process of this node is likely to have used.
    QuotaClient(const QuotaClientLimits &limits, std::uint64_t firstQuery);

    // The leader's table of the owners has arrived. An owner that it does not name may still hold its shard.
    void onTable(const QuotaLeases &leases);
    ShardTableDigest table() const { return m_table; }
    // Asks for the units of a request.
    void start(ChargeNumber charge, const WorkspaceId &workspace, std::uint64_t cost, TimePoint now);
    void onReply(const VmId &from, const QuotaReply &reply, TimePoint now);
    // The request has ended before the decision: what is granted now is given back.
    void cancel(ChargeNumber charge, TimePoint now);
    // Must be called regularly while requests are pending.
    void tick(TimePoint now);
    std::size_t pending() const { return m_pending.size(); }
    // What is to be done, in order.
    std::vector<QuotaAction> takeActions();

private:
    struct Query {
        ChargeNumber charge;
        VmId to;
        ShareNumber share;
    };

    struct Pending {
        WorkspaceId workspace;
        std::uint64_t cost = 0;
        TimePoint deadline;
        // When the next share is asked unless a reply arrives.
        TimePoint nextAt;
        ShareNumber next;
        std::uint32_t attempts = 0;
        // What the shares have said; empty for those that have not refused.
        std::array<std::optional<Duration>, SharesOfWorkspace> waits;
        std::vector<QuotaQueryId> queries;
    };

    using PendingCharges = std::map<ChargeNumber, Pending>;

    void ask(ChargeNumber charge, Pending &pending, TimePoint now);
    void onRefused(ChargeNumber charge, Pending &pending, ShareNumber share, TimePoint now);
    void decide(PendingCharges::iterator pending, QuotaDecision decision, TimePoint now);
    void dropUnanswered(TimePoint now);

    QuotaClientLimits m_limits;
    std::uint64_t m_lastQuery;
    ShardTableDigest m_table;
    std::array<VmId, ShardCount> m_owners;
    PendingCharges m_pending;
    // The queries of pending charges.
    std::map<QuotaQueryId, Query> m_queries;
    // The owners of queries whose charge was decided before they were answered.
    std::map<QuotaQueryId, VmId> m_unanswered;
    std::deque<std::pair<TimePoint, QuotaQueryId>> m_unansweredOrder;
    std::vector<QuotaAction> m_actions;
};

} // namespace Hemlockhill
