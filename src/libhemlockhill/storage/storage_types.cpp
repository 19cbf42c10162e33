// Names of storage faults and reactions, and the reaction to each fault.
#include "hemlockhill/log_storage.h"

namespace Hemlockhill
{

std::string_view toText(StorageFault fault)
{
    switch (fault) {
    case StorageFault::Corrupt:
        return "corrupt";
    case StorageFault::DiskFull:
        return "disk_full";
    case StorageFault::SyncFailed:
        return "sync_failed";
    case StorageFault::FolderLost:
        return "folder_lost";
    case StorageFault::FolderInUse:
        return "folder_in_use";
    case StorageFault::InputOutput:
        break;
    }
    return "input_output";
}

std::string_view toText(StorageReaction reaction)
{
    switch (reaction) {
    case StorageReaction::RejoinAsLearner:
        return "rejoin_as_learner";
    case StorageReaction::Reopen:
        break;
    }
    return "reopen";
}

StorageReaction reactionTo(StorageFault fault)
{
    switch (fault) {
    case StorageFault::Corrupt:
    case StorageFault::FolderLost:
        return StorageReaction::RejoinAsLearner;
    // A killed process may hold its lock until its last disk operation has ended, beyond the start of its successor.
    case StorageFault::FolderInUse:
    case StorageFault::DiskFull:
    case StorageFault::SyncFailed:
    case StorageFault::InputOutput:
        break;
    }
    // Reopening reads the log from disk and rewrites the last segment, so no acknowledged data depends on a failed sync.
    return StorageReaction::Reopen;
}

StorageError::StorageError(StorageFault fault, const std::string &detail)
    : Error("storage " + std::string(toText(fault)) + ": " + detail)
    , m_fault(fault)
{
}

} // namespace Hemlockhill
