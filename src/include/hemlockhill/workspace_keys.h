// The keys with which callers prove that they belong to a workspace.
//
// Only digests are kept, so that no key can leave the process with a log line, a memory dump of the gateway or a message.
#pragma once

#include "hemlockhill/world.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string_view>

namespace Hemlockhill
{

using WorkspaceId = Id<struct WorkspaceTag>;

// Cryptographic digest of a key. Comparing digests reveals nothing of the keys, however long it takes.
struct KeyDigest {
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const KeyDigest &) const = default;
};

KeyDigest digestOfKey(std::string_view key);

// What a request says of the workspace that it belongs to.
struct Credential {
    enum class Kind {
        // The request carries none.
        Absent,
        // The request carries something that is no key, or several that differ.
        Malformed,
        Key
    };

    Kind kind = Kind::Absent;
    // Digest of the key.
    KeyDigest key;
};

// The workspace of each key of a deployment.
class WorkspaceKeys
{
public:
    // Returns false if another workspace holds the key already. An empty key proves nothing and is left out.
    bool add(const WorkspaceId &workspace, std::string_view key);
    // Returns the workspace that holds the key; null if none does.
    const WorkspaceId *find(const KeyDigest &key) const;
    std::size_t size() const { return m_workspaces.size(); }

    bool operator==(const WorkspaceKeys &) const = default;

private:
    std::map<KeyDigest, WorkspaceId> m_workspaces;
};

} // namespace Hemlockhill
