// The leader's leases of shards to entries. Deterministic, without I/O: claims in, leases and table out.
//
// A shard must never have two owners. An entry counts its lease from when it sent the claim, the leader from when it writes the reply, with
// a margin on top, so the entry's lease always ends first. A new leader knows no leases: until all that a former leader may have granted
// have ended, it only confirms to each entry what that entry claims to hold.
#pragma once

#include "hemlockhill/quota_messages.h"
#include "hemlockhill/world.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hemlockhill
{

struct QuotaLeaseTimes {
    Duration lease = QuotaLeaseDuration;
    // By which the leader counts longer than the entry.
    Duration margin = std::chrono::milliseconds(500);
    // The time over which the use of a workspace is limited.
    Duration window = std::chrono::seconds(8);
    // How long the leader collects claims before it leases shards for the first time, so that not all go to the first entry that asks.
    Duration gathering = std::chrono::seconds(1);
    // An entry without a claim for this time gets no further shards.
    Duration silence = std::chrono::milliseconds(1500);
    // How long a process may believe that it leads after it has been suspended.
    Duration leadership = std::chrono::milliseconds(600);
};

// The present time on both clocks. They drift apart when the machine is suspended.
struct NodeTime {
    TimePoint running;
    BootTimePoint total;
};

class QuotaShards
{
public:
    // The process has become the leader.
    QuotaShards(const QuotaLeaseTimes &times, const NodeTime &now);

    // No entry can hold a lease of a former leader, because no deployment has been declared until now.
    void onNothingLeasedBefore();
    // Returns the answer to write now; empty if this process cannot be sure that it still leads.
    std::optional<QuotaLeases> onClaim(const VmId &node, const QuotaClaim &claim, const NodeTime &now);

private:
    struct Holder {
        VmId node;
        ProcessId process;

        auto operator<=>(const Holder &) const = default;
    };

    struct Shard {
        Holder holder;
        // The shard is leased before this time and free from then on.
        BootTimePoint until;
        // Whether nobody can have granted anything within a window before the lease.
        bool isRested = false;
    };

    // Returns false if the machine was suspended a moment ago: another process may lead by now.
    bool isCertain(const NodeTime &now);
    void giveUp(const Holder &holder, BootTimePoint now);
    void honour(const Holder &holder, const ShardSet &claimed, BootTimePoint now);
    void assignFree(BootTimePoint now);
    // The entry that holds the fewest shards, among those that have claimed lately; null if there is none.
    const Holder *leastLoaded(BootTimePoint now) const;
    void lease(Shard &shard, const Holder &holder, BootTimePoint now) const;
    void describeTable(QuotaLeases &leases, const QuotaClaim &claim, BootTimePoint now) const;

    QuotaLeaseTimes m_times;
    // When the last lease of a former leader has ended.
    BootTimePoint m_formerLeasesEnd;
    Duration m_clockDifference;
    std::optional<TimePoint> m_uncertainUntil;
    std::optional<BootTimePoint> m_firstClaimAt;
    bool m_nothingLeasedBefore = false;
    std::array<Shard, ShardCount> m_shards;
    std::map<Holder, BootTimePoint> m_claimedAt;
};

} // namespace Hemlockhill
