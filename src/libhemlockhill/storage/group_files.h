// Files of the data folder that say how a controller belongs to a group.
#pragma once

#include "hemlockhill/log_storage.h"

#include <filesystem>
#include <optional>

namespace Hemlockhill
{

// Returns the membership that the group was created with; empty if this folder's controller has not joined a group. Throws StorageError.
std::optional<VoterMembership> readInitialMembership(const FileHooks &hooks, const std::filesystem::path &folder);

// Persists the membership that the group was created with. Throws StorageError.
void writeInitialMembership(const FileHooks &hooks, const std::filesystem::path &folder, const VoterMembership &membership);

// Whether this folder was created at the first start of the whole system by a controller that may create the group.
bool isGroupCreationGranted(const std::filesystem::path &folder);

// Persists that the controller of this new folder may create the group. The folder keeps this over restarts, and loses it with its disk.
void grantGroupCreation(const FileHooks &hooks, const std::filesystem::path &folder);

} // namespace Hemlockhill
