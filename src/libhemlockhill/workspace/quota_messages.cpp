// The shards of a workspace's shares.
#include "hemlockhill/quota_messages.h"

#include <xxhash.h>

namespace Hemlockhill
{

ShardNumber shardOf(const WorkspaceId &workspace, ShareNumber share)
{
    const std::uint64_t hash = XXH3_64bits(workspace.value.data(), workspace.value.size());
    const std::uint64_t first = hash % ShardCount;
    // Between 1 and ShardCount - 1, from other bits of the hash than the first.
    const std::uint64_t distance = 1 + (hash >> 32U) % (ShardCount - 1);
    return ShardNumber{static_cast<std::uint8_t>((first + (share.value % SharesOfWorkspace) * distance) % ShardCount)};
}

} // namespace Hemlockhill
