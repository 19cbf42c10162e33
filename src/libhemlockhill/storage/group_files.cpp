// Files of the data folder that say how a controller belongs to a group.
#include "storage/group_files.h"

#include "storage/storage_file.h"

namespace Hemlockhill
{

namespace
{

constexpr const char *InitialMembershipFile = "initial-membership.json";
constexpr const char *GroupCreationFile = "may-create-group";

} // namespace

std::optional<VoterMembership> readInitialMembership(const FileHooks &hooks, const std::filesystem::path &folder)
{
    const std::filesystem::path path = folder / InitialMembershipFile;
    if (!std::filesystem::exists(path)) {
        return std::nullopt;
    }
    try {
        return decodeMembership(readFile(hooks, path));
    } catch (const DecodeError &error) {
        throw StorageError(StorageFault::Corrupt, error.what());
    }
}

void writeInitialMembership(const FileHooks &hooks, const std::filesystem::path &folder, const VoterMembership &membership)
{
    replaceFile(hooks, folder / InitialMembershipFile, encodeMembership(membership));
}

bool isGroupCreationGranted(const std::filesystem::path &folder)
{
    return std::filesystem::exists(folder / GroupCreationFile);
}

void grantGroupCreation(const FileHooks &hooks, const std::filesystem::path &folder)
{
    replaceFile(hooks, folder / GroupCreationFile, {});
}

} // namespace Hemlockhill
