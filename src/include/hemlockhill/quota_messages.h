// Messages about the quotas of workspaces, and the shards that entries own.
//
// Each limited workspace has two shares, each a token bucket with half of the rate and half of the burst. A share belongs to a shard. The
// leader leases shards to entries; the entry that holds a shard decides on the shares in it.
#pragma once

#include "hemlockhill/strong_type.h"
#include "hemlockhill/workspace_keys.h"
#include "hemlockhill/world.h"

#include <array>
#include <bitset>
#include <cstdint>
#include <variant>
#include <vector>

namespace Hemlockhill
{

inline constexpr std::size_t ShardCount = 32;
// Numbers of shards and above are malformed from here on; those between are left for a later version with more shards.
inline constexpr std::size_t ShardNumberLimit = 64;
inline constexpr std::size_t SharesOfWorkspace = 2;

// How long an entry holds a shard after a claim. Longer than the group usually takes to elect a leader after the former one and its links
// were lost: otherwise all leases would end with it.
inline constexpr Duration QuotaLeaseDuration = std::chrono::seconds(6);

using ShardNumber = Quantity<struct ShardNumberTag, std::uint8_t>;
using ShareNumber = Quantity<struct ShareNumberTag, std::uint8_t>;
using ShardSet = std::bitset<ShardCount>;
// Identifies one run of a process, so that a restarted one does not inherit the leases of the former.
using ProcessId = Quantity<struct ProcessTag>;
using ShardTableDigest = Quantity<struct ShardTableDigestTag>;
using QuotaQueryId = Quantity<struct QuotaQueryTag>;

// The shard that a share belongs to. The shares of one workspace belong to different shards.
ShardNumber shardOf(const WorkspaceId &workspace, ShareNumber share);

// Part of a follow request of an entry whose document has limited workspaces.
struct QuotaClaim {
    ProcessId process;
    // The shards whose leases the entry holds.
    ShardSet held;
    // The entry has stopped granting for good, and gives its shards up.
    bool isLeaving = false;
    // Digest of the table of owners that the entry knows.
    ShardTableDigest table;

    bool operator==(const QuotaClaim &) const = default;
};

// The leader's answer to a claim.
struct QuotaLeases {
    // The shards that the entry holds from now on, for the time of a lease from when it sent the claim.
    ShardSet held;
    // Those of them for which nobody can have granted anything within the last window before this lease.
    ShardSet rested;
    // Digest of the leader's table, and the owner of each shard if the entry's table differs. An owner is empty if there is none. The
    // digest is zero while the leader does not know the owners yet.
    ShardTableDigest table;
    std::vector<VmId> owners;

    bool operator==(const QuotaLeases &) const = default;
};

// Asks the owner of a share to grant a request.
struct QuotaQuery {
    QuotaQueryId id;
    WorkspaceId workspace;
    ShareNumber share;
    // In the unit of the workspace's quota.
    std::uint64_t cost = 0;

    bool operator==(const QuotaQuery &) const = default;
};

enum class QuotaVerdict {
    Granted,
    Refused,
    // The receiver does not hold the shard, or does not know the workspace or its limit.
    NotOwner
};

struct QuotaReply {
    QuotaQueryId id;
    QuotaVerdict verdict = QuotaVerdict::NotOwner;
    // Time until there is room, if refused. In milliseconds on the wire, rounded up.
    Duration wait{0};

    bool operator==(const QuotaReply &) const = default;
};

// Gives back the units of a query that was granted, since its request has not run.
struct QuotaReturn {
    QuotaQueryId id;

    bool operator==(const QuotaReturn &) const = default;
};

using QuotaMessage = std::variant<QuotaQuery, QuotaReply, QuotaReturn>;

} // namespace Hemlockhill
