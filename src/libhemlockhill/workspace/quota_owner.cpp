// Token buckets of the shares that an entry owns.
#include "hemlockhill/quota_owner.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

TokenBucketLimits limitsOfShare(const WorkspaceQuota &quota)
{
    return {quota.ratePerSecond / SharesOfWorkspace, quota.burst / SharesOfWorkspace};
}

} // namespace

QuotaOwner::QuotaOwner(const QuotaOwnerLimits &limits)
    : m_limits(limits)
{
}

void QuotaOwner::setWorkspaces(const std::map<WorkspaceId, Workspace> &workspaces, BootTimePoint now)
{
    const std::map<WorkspaceId, WorkspaceQuota> former = std::exchange(m_quotas, {});
    for (const auto &[id, workspace] : workspaces) {
        if (workspace.quota) {
            m_quotas.emplace(id, *workspace.quota);
        }
    }
    // The level of a bucket means nothing in another unit.
    std::erase_if(m_buckets, [&](const auto &entry) {
        const auto before = former.find(entry.first.first);
        const auto quota = m_quotas.find(entry.first.first);
        return before != former.end() && quota != m_quotas.end() && before->second.unit != quota->second.unit;
    });
    // A workspace that is declared anew within the window has still used what it was granted before.
    std::erase_if(m_buckets, [&](const auto &entry) {
        const Bucket &bucket = entry.second;
        return !m_quotas.contains(entry.first.first) && (!bucket.lastGrantAt || now - *bucket.lastGrantAt >= m_limits.window);
    });
    for (auto &[key, bucket] : m_buckets) {
        if (const auto quota = m_quotas.find(key.first); quota != m_quotas.end()) {
            bucket.bucket.setLimits(limitsOfShare(quota->second), now);
        }
    }
}

void QuotaOwner::onLeases(const ShardSet &claimed, const QuotaLeases &leases, BootTimePoint sentAt, BootTimePoint now)
{
    const BootTimePoint until = sentAt + m_limits.lease;
    for (std::size_t number = 0; number < ShardCount; ++number) {
        Lease &lease = m_leases.at(number);
        if (!leases.held.test(number) || until <= now || m_isLeaving) {
            continue;
        }
        if (isHeld(lease, now)) {
            lease.until = std::max(lease.until, until);
            continue;
        }
        // A lease that has ended since the claim was sent is not continued: a new leader may have confirmed a claim that was overtaken by
        // the lease of another entry.
        if (claimed.test(number)) {
            continue;
        }
        const bool hasRested = lease.tenure == 0 || now - lease.until >= m_limits.window;
        lease = {until, now, lease.tenure + 1, leases.rested.test(number) && hasRested};
    }
}

void QuotaOwner::leave()
{
    m_isLeaving = true;
    m_buckets.clear();
    m_grants.clear();
    m_grantOrder.clear();
}

ShardSet QuotaOwner::held(BootTimePoint now) const
{
    ShardSet shards;
    for (std::size_t number = 0; number < ShardCount; ++number) {
        shards.set(number, isHeld(m_leases.at(number), now));
    }
    return shards;
}

QuotaReply QuotaOwner::decide(const VmId &from, const QuotaQuery &query, BootTimePoint now)
{
    const auto quota = m_quotas.find(query.workspace);
    const Lease &lease = leaseOf(query.workspace, query.share);
    if (quota == m_quotas.end() || query.share.value >= SharesOfWorkspace || !isHeld(lease, now)) {
        return {query.id, QuotaVerdict::NotOwner, Duration(0)};
    }
    dropExpired(now);
    const GrantKey key{from, query.id};
    if (const auto known = m_grants.find(key); known != m_grants.end() && known->second.tenure == lease.tenure) {
        // The datagram has arrived twice.
        return {query.id, QuotaVerdict::Granted, Duration(0)};
    }
    Bucket &bucket = bucketOf(query.workspace, query.share, quota->second, now);
    const auto number = bucket.bucket.take(static_cast<double>(query.cost), now);
    if (!number) {
        return {query.id, QuotaVerdict::Refused, bucket.bucket.untilRoom(now)};
    }
    bucket.lastGrantAt = now;
    remember(key, {query.workspace, query.share, lease.tenure, *number, query.cost}, now);
    return {query.id, QuotaVerdict::Granted, Duration(0)};
}

std::optional<QuotaOwner::Returned> QuotaOwner::giveBack(const VmId &from, const QuotaReturn &message, BootTimePoint now)
{
    dropExpired(now);
    const auto found = m_grants.extract(GrantKey{from, message.id});
    if (found.empty()) {
        return std::nullopt;
    }
    const Grant &grant = found.mapped();
    const Lease &lease = leaseOf(grant.workspace, grant.share);
    const auto bucket = m_buckets.find({grant.workspace, grant.share});
    // The bucket of a later tenure has not granted the units.
    if (!isHeld(lease, now) || bucket == m_buckets.end() || grant.tenure != bucket->second.tenure || grant.tenure != lease.tenure) {
        return std::nullopt;
    }
    bucket->second.bucket.giveBack(grant.number, static_cast<double>(grant.cost), now);
    return Returned{grant.workspace, grant.cost};
}

std::optional<double> QuotaOwner::fillOf(const WorkspaceId &workspace, ShareNumber share, BootTimePoint now) const
{
    const Lease &lease = leaseOf(workspace, share);
    const auto bucket = m_buckets.find({workspace, share});
    if (!isHeld(lease, now) || bucket == m_buckets.end() || bucket->second.tenure != lease.tenure) {
        return std::nullopt;
    }
    const double capacity = std::max(1.0, bucket->second.bucket.limits().capacity);
    return bucket->second.bucket.level(now) / capacity;
}

const QuotaOwner::Lease &QuotaOwner::leaseOf(const WorkspaceId &workspace, ShareNumber share) const
{
    return m_leases.at(shardOf(workspace, share).value);
}

// The former owner may have granted the burst and gone into debt just before. So a new bucket begins with that debt, and refills as if it
// had existed since the entry became the owner. Once nothing has been granted for a window, the bucket is full.
QuotaOwner::Bucket &QuotaOwner::bucketOf(const WorkspaceId &workspace, ShareNumber share, const WorkspaceQuota &quota, BootTimePoint now)
{
    const Lease &lease = leaseOf(workspace, share);
    const TokenBucketLimits limits = limitsOfShare(quota);
    const ShareKey key{workspace, share};
    auto found = m_buckets.find(key);
    if (found != m_buckets.end() && found->second.tenure != lease.tenure) {
        m_buckets.erase(found);
        found = m_buckets.end();
    }
    if (found == m_buckets.end()) {
        const double formerDebt = quota.unit == QuotaUnit::Tokens ? m_limits.formerDebtTokens : m_limits.formerDebtRequests;
        const double level = lease.isRested ? limits.capacity : -formerDebt;
        found = m_buckets.emplace(key, Bucket{TokenBucket(limits, level, lease.since), lease.tenure, std::nullopt}).first;
    }
    Bucket &bucket = found->second;
    if (bucket.bucket.limits() != limits) {
        bucket.bucket.setLimits(limits, now);
    }
    if (!bucket.lastGrantAt && now - lease.since >= m_limits.window) {
        bucket.bucket.fill(now);
    }
    return bucket;
}

void QuotaOwner::remember(const GrantKey &key, Grant grant, BootTimePoint now)
{
    while (m_grantOrder.size() >= m_limits.grants) {
        m_grants.erase(m_grantOrder.front().second);
        m_grantOrder.pop_front();
    }
    m_grants.insert_or_assign(key, std::move(grant));
    m_grantOrder.emplace_back(now, key);
}

void QuotaOwner::dropExpired(BootTimePoint now)
{
    while (!m_grantOrder.empty() && now - m_grantOrder.front().first >= m_limits.grantMemory) {
        m_grants.erase(m_grantOrder.front().second);
        m_grantOrder.pop_front();
    }
}

} // namespace Hemlockhill
