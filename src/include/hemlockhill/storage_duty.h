// The storage duty: writes and syncs a controller's data folder on a thread of its own.
#pragma once

#include "hemlockhill/duty.h"
#include "hemlockhill/log_storage.h"
#include "hemlockhill/metrics.h"

#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace Hemlockhill
{

// The folder is open: its identity and what it holds.
struct StorageOpened {
    VoterId identity;
    RestoredState restored;
    // The membership that the group began with; empty when this controller has not adopted one.
    std::optional<VoterMembership> initialMembership;
};

// Everything up to this mark is on disk.
struct StorageSynced {
    PersistedMark mark;
};

// The folder cannot be used. StorageOpened follows once it, or with RejoinAsLearner a new one in its place, could be opened.
struct StorageFailed {
    StorageFault fault;
};

using StorageEvent = std::variant<StorageOpened, StorageSynced, StorageFailed>;

class StorageDuty
{
public:
    // Called on the storage thread.
    using Outlet = std::function<void(StorageEvent)>;

    StorageDuty(std::filesystem::path folder, Metrics &metrics, Outlet outlet, FileHooks hooks = posixFileHooks());
    ~StorageDuty();
    StorageDuty(const StorageDuty &) = delete;
    StorageDuty &operator=(const StorageDuty &) = delete;

    // Opens the folder; StorageOpened or StorageFailed follows.
    void start();
    void stop();
    // Remembers the membership that the group began with.
    void adopt(VoterMembership membership);
    // Writes what the actions hold. All that is waiting is covered by one sync.
    void write(ConsensusActions actions);

private:
    void open();
    void reopenLater();
    void syncWritten();
    void fail(const StorageError &error);

    std::filesystem::path m_folder;
    FileHooks m_hooks;
    Metrics &m_metrics;
    Outlet m_outlet;
    Duty m_duty;
    boost::asio::steady_timer m_reopen;
    std::unique_ptr<LogStorage> m_storage;
    std::optional<PersistedMark> m_writtenMark;
    bool m_syncScheduled = false;
};

} // namespace Hemlockhill
