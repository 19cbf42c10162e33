// Files of the data folder that say how a controller belongs to a group.
#include "storage/group_files.h"

#include "storage/storage_file.h"

#include <boost/json.hpp>

namespace Hemlockhill
{

namespace
{

constexpr const char *InitialMembershipFile = "initial-membership.json";
constexpr const char *FoundersFile = "founders.json";

} // namespace

std::optional<VoterMembership> readInitialMembership(const FileHooks &hooks, const std::filesystem::path &folder)
{
    const std::filesystem::path path = folder / InitialMembershipFile;
    if (!pathExists(path)) {
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

std::optional<std::set<VmId>> readFounders(const FileHooks &hooks, const std::filesystem::path &folder)
{
    const std::filesystem::path path = folder / FoundersFile;
    if (!pathExists(path)) {
        return std::nullopt;
    }
    try {
        std::set<VmId> founders;
        const boost::json::value names = boost::json::parse(readFile(hooks, path));
        for (const boost::json::value &name : names.as_array()) {
            founders.insert(VmId{std::string(name.as_string())});
        }
        return founders;
    } catch (const boost::system::system_error &error) {
        throw StorageError(StorageFault::Corrupt, path.string() + ": " + error.what());
    } catch (const std::invalid_argument &error) {
        throw StorageError(StorageFault::Corrupt, path.string() + ": " + error.what());
    }
}

void writeFounders(const FileHooks &hooks, const std::filesystem::path &folder, const std::set<VmId> &founders)
{
    boost::json::array names;
    for (const VmId &founder : founders) {
        names.emplace_back(founder.value);
    }
    replaceFile(hooks, folder / FoundersFile, boost::json::serialize(names));
}

} // namespace Hemlockhill
