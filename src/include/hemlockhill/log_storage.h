// Durable storage of one Raft voter: identity, hard state, log and snapshot in one data folder.
//
// Hard state and log entries are records of a single append-only segmented log, so that one fdatasync makes all of them durable. All
// calls are synchronous. A storage object must not be used by several threads at the same time.
#pragma once

#include "hemlockhill/consensus.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// Classes of data folder failures.
enum class StorageFault {
    // A synced record or file is missing, malformed or fails its checksum.
    Corrupt,
    // A write failed for lack of space or quota.
    DiskFull,
    // A sync failed. The contents of the disk are unknown until the folder is reopened.
    SyncFailed,
    // The folder or one of its files was removed, or the folder holds a log or snapshot but no identity.
    FolderLost,
    // Another process has locked the folder.
    FolderInUse,
    // Any other file system error.
    InputOutput,
};

// How the voter responds to a storage fault.
// RejoinAsLearner: the folder is renamed, and a new folder with a new identity is filled by replication.
// Reopen: the voter is inactive until the folder has been reopened and read as at process start.
enum class StorageReaction { RejoinAsLearner, Reopen };

std::string_view toText(StorageFault fault);
std::string_view toText(StorageReaction reaction);
StorageReaction reactionTo(StorageFault fault);

// A data folder failure. Once write() or sync() has thrown it, the storage object throws the same error on every further call of them.
class StorageError : public Error
{
public:
    StorageError(StorageFault fault, const std::string &detail);

    StorageFault fault() const { return m_fault; }
    StorageReaction reaction() const { return reactionTo(m_fault); }

private:
    StorageFault m_fault;
};

// File operations with POSIX semantics: they return -1 and set errno on failure. Tests replace them to inject failures.
struct FileHooks {
    std::function<int(const char *path, int flags)> open;
    std::function<std::int64_t(int file, const char *bytes, std::size_t size)> write;
    std::function<std::int64_t(int file, char *bytes, std::size_t size)> read;
    // Makes the contents of a file durable, as fdatasync does.
    std::function<int(int file)> sync;
    // Makes the directory entries of a folder durable, as fsync on its descriptor does.
    std::function<int(int folder)> syncFolder;
    std::function<int(const char *from, const char *to)> rename;
    std::function<int(const char *path)> remove;
    // Locks a file for this process without waiting, as flock does; fails with EWOULDBLOCK if another process has locked it.
    std::function<int(int file)> lock;
};

// The file operations of the operating system.
FileHooks posixFileHooks();

struct StorageSettings {
    std::filesystem::path folder;
    // Segment size in bytes above which a new segment is started. Full segments are removed once a snapshot covers their entries.
    std::size_t segmentBytes = 4U << 20U;
    // Writes further files of a new folder; may be empty. Called before the folder gets its identity, so that a folder with an identity has
    // them, and again if the folder could not be opened then.
    std::function<void()> prepareNewFolder = {};
};

// Result of opening a data folder.
struct StorageOpenReport {
    // True when the folder was missing or empty and a new identity was created.
    bool created = false;
    // Size in bytes of the incomplete, never synced tail that was removed from the log.
    std::uint64_t tornBytes = 0;
};

// An open data folder, locked against other processes. The constructor, write() and sync() throw StorageError.
class LogStorage
{
public:
    // Opens the folder, or creates it with a new identity when it is missing or empty. The recovered log is durable on return.
    explicit LogStorage(StorageSettings settings, FileHooks hooks = posixFileHooks());
    ~LogStorage();
    LogStorage(LogStorage &&) noexcept;
    LogStorage &operator=(LogStorage &&) noexcept;

    const VoterId &identity() const;
    const StorageOpenReport &report() const;

    // Moves out the state recovered on opening. The initial membership is empty and must be set by the caller. Must be called only once.
    RestoredState takeRestoredState();

    // Writes the hard state, snapshot, truncation and entries of the actions. Snapshots are durable on return, the rest after sync().
    void write(const ConsensusActions &actions);

    // Makes all preceding writes durable. One call covers any number of write() calls.
    void sync();

    // Total size of all log segments in bytes, for metrics.
    std::uint64_t logBytes() const;

private:
    class Folder;
    std::unique_ptr<Folder> m_folder;
};

// Renames the folder to an unused sibling name, so that a new one can be created at its path. Returns the new path. Throws StorageError.
std::filesystem::path setFolderAside(const std::filesystem::path &folder, const FileHooks &hooks = posixFileHooks());

} // namespace Hemlockhill
