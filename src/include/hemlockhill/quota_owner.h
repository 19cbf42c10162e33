// The decisions of an entry on the shares whose shards it holds. Deterministic, without I/O: query in, reply out.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/quota_messages.h"
#include "hemlockhill/token_bucket.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace Hemlockhill
{

struct QuotaOwnerLimits {
    Duration lease = QuotaLeaseDuration;
    // The time over which the use of a workspace is limited.
    Duration window = std::chrono::seconds(8);
    // Debt that the former owner of a share may have left behind: half of the slack of 11,000 tokens that a workspace has for the debts of
    // its two shares. A request of the other unit costs 1.
    double formerDebtTokens = 5'500;
    double formerDebtRequests = 1;
    // How long and how many grants are remembered, to be given back.
    Duration grantMemory = std::chrono::seconds(15);
    std::size_t grants = 8'192;
};

class QuotaOwner
{
public:
    explicit QuotaOwner(const QuotaOwnerLimits &limits);

    // The workspaces of the document in force.
    void setWorkspaces(const std::map<WorkspaceId, Workspace> &workspaces, BootTimePoint now);
    // The leader has answered a claim that named these shards and was sent at sentAt.
    void onLeases(const ShardSet &claimed, const QuotaLeases &leases, BootTimePoint sentAt, BootTimePoint now);
    // Grants nothing from now on.
    void leave();
    bool isLeaving() const { return m_isLeaving; }
    // The shards whose leases run.
    ShardSet held(BootTimePoint now) const;

    QuotaReply decide(const VmId &from, const QuotaQuery &query, BootTimePoint now);
    // What a grant has cost, for the figures; empty if the grant is not remembered.
    struct Returned {
        WorkspaceId workspace;
        std::uint64_t cost = 0;
    };
    std::optional<Returned> giveBack(const VmId &from, const QuotaReturn &message, BootTimePoint now);
    // Level of a share as a part of its capacity and negative if in debt; empty if this entry does not decide on it.
    std::optional<double> fillOf(const WorkspaceId &workspace, ShareNumber share, BootTimePoint now) const;
    std::size_t grants() const { return m_grants.size(); }

private:
    struct Lease {
        BootTimePoint until;
        BootTimePoint since;
        // Number of times that this entry has become the owner.
        std::uint32_t tenure = 0;
        // Whether nobody has granted anything within a window before this tenure.
        bool isRested = false;
    };

    struct Bucket {
        TokenBucket bucket;
        std::uint32_t tenure = 0;
        // Empty if it has granted nothing.
        std::optional<BootTimePoint> lastGrantAt;
    };

    struct Grant {
        WorkspaceId workspace;
        ShareNumber share;
        std::uint32_t tenure = 0;
        GrantNumber number;
        std::uint64_t cost = 0;
    };

    using ShareKey = std::pair<WorkspaceId, ShareNumber>;
    using GrantKey = std::pair<VmId, QuotaQueryId>;

    bool isHeld(const Lease &lease, BootTimePoint now) const { return !m_isLeaving && lease.tenure > 0 && now < lease.until; }
    const Lease &leaseOf(const WorkspaceId &workspace, ShareNumber share) const;
    Bucket &bucketOf(const WorkspaceId &workspace, ShareNumber share, const WorkspaceQuota &quota, BootTimePoint now);
    void remember(const GrantKey &key, Grant grant, BootTimePoint now);
    void dropExpired(BootTimePoint now);

    QuotaOwnerLimits m_limits;
    bool m_isLeaving = false;
    std::array<Lease, ShardCount> m_leases;
    std::map<WorkspaceId, WorkspaceQuota> m_quotas;
    std::map<ShareKey, Bucket> m_buckets;
    std::map<GrantKey, Grant> m_grants;
    // In the order in which they were made; some may have been given back.
    std::deque<std::pair<BootTimePoint, GrantKey>> m_grantOrder;
};

} // namespace Hemlockhill
