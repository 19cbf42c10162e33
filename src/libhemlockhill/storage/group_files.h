// Files of the data folder that say how a controller belongs to a group.
#pragma once

#include "hemlockhill/log_storage.h"

#include <filesystem>
#include <optional>
#include <set>

namespace Hemlockhill
{

// Returns the membership that the group was created with; empty if this folder's controller has not joined a group. Throws StorageError.
std::optional<VoterMembership> readInitialMembership(const FileHooks &hooks, const std::filesystem::path &folder);

// Persists the membership that the group was created with. Throws StorageError.
void writeInitialMembership(const FileHooks &hooks, const std::filesystem::path &folder, const VoterMembership &membership);

// Returns the VMs of the founding controllers if the controller of this folder is one of them and may create the group; otherwise empty.
// Throws StorageError.
std::optional<std::set<VmId>> readFounders(const FileHooks &hooks, const std::filesystem::path &folder);

// Persists that the controller of this blank folder may create the group together with these. The folder keeps this over restarts, whatever
// seeds the settings name then, and loses it with its disk. Throws StorageError.
void writeFounders(const FileHooks &hooks, const std::filesystem::path &folder, const std::set<VmId> &founders);

} // namespace Hemlockhill
