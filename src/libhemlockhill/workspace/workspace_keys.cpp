// Digests of keys, and the workspace of each.
#include "hemlockhill/workspace_keys.h"

#include <sodium/crypto_generichash.h>

namespace Hemlockhill
{

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest digest;
    crypto_generichash(
        digest.bytes.data(), digest.bytes.size(), reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    return digest;
}

bool WorkspaceKeys::add(const WorkspaceId &workspace, std::string_view key)
{
    if (key.empty()) {
        return true;
    }
    const auto [entry, isNew] = m_workspaces.emplace(digestOfKey(key), workspace);
    return isNew || entry->second == workspace;
}

const WorkspaceId *WorkspaceKeys::find(const KeyDigest &key) const
{
    const auto found = m_workspaces.find(key);
    return found == m_workspaces.end() ? nullptr : &found->second;
}

} // namespace Hemlockhill
