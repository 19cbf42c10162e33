// Leases of shards to entries.
#include "hemlockhill/quota_shards.h"

#include <xxhash.h>

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Difference between the clocks that only a suspension explains; reading one after the other takes far less.
constexpr Duration SuspensionLimit = std::chrono::milliseconds(50);

Duration differenceOf(const NodeTime &now)
{
    return now.total.time_since_epoch() - now.running.time_since_epoch();
}

} // namespace

QuotaShards::QuotaShards(const QuotaLeaseTimes &times, const NodeTime &now)
    : m_times(times)
    , m_formerLeasesEnd(now.total + times.lease + times.margin)
    , m_clockDifference(differenceOf(now))
{
    for (Shard &shard : m_shards) {
        shard.until = m_formerLeasesEnd;
    }
}

void QuotaShards::onNothingLeasedBefore()
{
    m_nothingLeasedBefore = true;
    m_formerLeasesEnd = BootTimePoint::min();
    for (Shard &shard : m_shards) {
        if (shard.holder == Holder{}) {
            shard.until = BootTimePoint::min();
        }
    }
}

std::optional<QuotaLeases> QuotaShards::onClaim(const VmId &node, const QuotaClaim &claim, const NodeTime &now)
{
    if (!isCertain(now)) {
        return std::nullopt;
    }
    const Holder holder{node, claim.process};
    QuotaLeases leases;
    if (claim.isLeaving) {
        giveUp(holder, now.total);
        describeTable(leases, claim, now.total);
        return leases;
    }
    m_claimedAt[holder] = now.total;
    m_firstClaimAt = m_firstClaimAt.value_or(now.total);
    const bool mayAssign = now.total >= m_formerLeasesEnd;
    if (!mayAssign) {
        honour(holder, claim.held, now.total);
    } else if (now.total - *m_firstClaimAt >= m_times.gathering) {
        assignFree(now.total);
    }
    for (std::size_t number = 0; number < ShardCount; ++number) {
        Shard &shard = m_shards.at(number);
        // An entry that does not claim a shard may have lost it to another one under the former leader.
        const bool isKnown = mayAssign || claim.held.test(number);
        if (shard.holder == holder && shard.until > now.total && isKnown) {
            shard.until = now.total + m_times.lease + m_times.margin;
            leases.held.set(number);
            leases.rested.set(number, shard.isRested);
        }
    }
    describeTable(leases, claim, now.total);
    return leases;
}

bool QuotaShards::isCertain(const NodeTime &now)
{
    const Duration difference = differenceOf(now);
    if (difference - m_clockDifference >= SuspensionLimit) {
        m_uncertainUntil = now.running + m_times.leadership;
    }
    m_clockDifference = difference;
    return !m_uncertainUntil || now.running >= *m_uncertainUntil;
}

void QuotaShards::giveUp(const Holder &holder, BootTimePoint now)
{
    m_claimedAt.erase(holder);
    for (Shard &shard : m_shards) {
        if (shard.holder == holder) {
            shard.until = std::min(shard.until, now);
        }
    }
}

void QuotaShards::honour(const Holder &holder, const ShardSet &claimed, BootTimePoint now)
{
    for (std::size_t number = 0; number < ShardCount; ++number) {
        if (claimed.test(number) && m_shards.at(number).holder == Holder{}) {
            lease(m_shards.at(number), holder, now);
        }
    }
}

void QuotaShards::assignFree(BootTimePoint now)
{
    std::erase_if(m_claimedAt, [&](const auto &entry) { return now - entry.second >= m_times.silence; });
    for (Shard &shard : m_shards) {
        if (shard.until > now) {
            continue;
        }
        const Holder *holder = leastLoaded(now);
        if (holder == nullptr) {
            return;
        }
        const bool neverLeased = m_nothingLeasedBefore && shard.holder == Holder{};
        shard.isRested = neverLeased || now - shard.until >= m_times.window;
        lease(shard, *holder, now);
    }
}

const QuotaShards::Holder *QuotaShards::leastLoaded(BootTimePoint now) const
{
    std::map<Holder, std::size_t> counts;
    for (const Shard &shard : m_shards) {
        if (shard.until > now) {
            ++counts[shard.holder];
        }
    }
    const auto countOf = [&counts](const Holder &holder) {
        const auto found = counts.find(holder);
        return found == counts.end() ? 0 : found->second;
    };
    const Holder *best = nullptr;
    for (const auto &[holder, claimedAt] : m_claimedAt) {
        if (best == nullptr || countOf(holder) < countOf(*best)) {
            best = &holder;
        }
    }
    return best;
}

void QuotaShards::lease(Shard &shard, const Holder &holder, BootTimePoint now) const
{
    shard.holder = holder;
    shard.until = now + m_times.lease + m_times.margin;
}

void QuotaShards::describeTable(QuotaLeases &leases, const QuotaClaim &claim, BootTimePoint now) const
{
    if (now < m_formerLeasesEnd) {
        // Owners that have not claimed yet still decide.
        return;
    }
    std::string names;
    std::vector<VmId> owners;
    for (const Shard &shard : m_shards) {
        owners.push_back(shard.until > now ? shard.holder.node : VmId{});
        names += owners.back().value + '\n';
    }
    leases.table = ShardTableDigest{XXH3_64bits(names.data(), names.size())};
    if (leases.table != claim.table) {
        leases.owners = std::move(owners);
    }
}

} // namespace Hemlockhill
