// Durable storage of one voter: identity, hard state, log and snapshot under one data folder.
//
// Hard state and log entries are records of one append-only log in segments, so that one fdatasync covers all of them. Synchronous, and
// used by one thread at a time.
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

// What went wrong with the data folder.
enum class StorageFault {
    // A record or file that was synced does not match its checksum.
    Corrupt,
    // A write found no space.
    DiskFull,
    // A sync failed: what is on disk is unknown until the folder is opened again.
    SyncFailed,
    // The folder or a file in it has gone, or the identity is missing beside data.
    FolderLost,
    // Another process holds the folder.
    FolderInUse,
    // Any other error of the file system.
    InputOutput,
};

// The one reaction to a fault. StopVoter: the voter takes no further part until the process is started again, and says so.
// RejoinAsLearner: the folder is set aside, and a new one with a new identity is repaired by replication.
// Reopen: the voter takes no part until the folder could be opened again, as at a start of the process.
enum class StorageReaction { StopVoter, RejoinAsLearner, Reopen };

std::string_view toText(StorageFault fault);
std::string_view toText(StorageReaction reaction);
StorageReaction reactionTo(StorageFault fault);

// A failure of the data folder. After one, the storage object refuses all further work with the same fault.
class StorageError : public Error
{
public:
    StorageError(StorageFault fault, const std::string &detail);

    StorageFault fault() const { return m_fault; }
    StorageReaction reaction() const { return reactionTo(m_fault); }

private:
    StorageFault m_fault;
};

// The file operations that may fail at run time, as POSIX functions: -1 and errno on failure. Tests replace them.
struct FileHooks {
    std::function<int(const char *path, int flags)> open;
    std::function<std::int64_t(int file, const char *bytes, std::size_t size)> write;
    std::function<std::int64_t(int file, char *bytes, std::size_t size)> read;
    // Syncs the contents of a file.
    std::function<int(int file)> sync;
    // Syncs the names in a folder.
    std::function<int(int folder)> syncFolder;
    std::function<int(const char *from, const char *to)> rename;
    std::function<int(const char *path)> remove;
};

// The operating system's own operations.
FileHooks posixFileHooks();

struct StorageSettings {
    std::filesystem::path folder;
    // A segment that has grown beyond this is closed, and removed once a snapshot covers it.
    std::size_t segmentBytes = 4U << 20U;
};

// What opening the folder found.
struct StorageReport {
    bool created = false;
    // Bytes after the last whole record that had never been synced, and were cut off.
    std::uint64_t tornBytes = 0;
};

// An open data folder. Every member function throws StorageError.
class LogStorage
{
public:
    // Opens the folder, or makes it with a new identity when it is missing or empty. Everything found is synced before this returns.
    explicit LogStorage(StorageSettings settings, FileHooks hooks = posixFileHooks());
    ~LogStorage();
    LogStorage(LogStorage &&) noexcept;
    LogStorage &operator=(LogStorage &&) noexcept;

    const VoterId &identity() const;
    const StorageReport &report() const;

    // Takes what was found at opening; the initial membership is left empty for the host to fill. To be called once.
    RestoredState takeRestored();

    // Writes the hard state, snapshot, truncation and entries of these actions. Not durable before sync(), except for snapshots.
    void write(const ConsensusActions &actions);

    // Makes all that was written durable. One call covers any number of write() calls.
    void sync();

    // Bytes of all segments, for metrics.
    std::uint64_t logBytes() const;

private:
    class Folder;
    std::unique_ptr<Folder> m_folder;
};

// Renames the folder to a free name beside it and returns that name, so that a new one can be made in its place.
std::filesystem::path setFolderAside(const std::filesystem::path &folder);

} // namespace Hemlockhill
