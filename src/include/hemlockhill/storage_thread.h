// Writes and syncs a controller's data folder on a dedicated thread.
#pragma once

#include "hemlockhill/event_loop_thread.h"
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

// Number of a successful opening of the data folder within the lifetime of the process.
using StorageOpening = Quantity<struct StorageOpeningTag>;

// The folder was opened; holds its identity and content.
struct StorageOpened {
    StorageOpening opening;
    VoterId identity;
    RestoredState restored;
    // Membership that the group was created with; empty if this controller has not joined a group.
    std::optional<VoterMembership> initialMembership;
    // Whether this controller may create the group: its folder was created at the first start of the whole system.
    bool mayCreateGroup = false;
};

// All batches up to this mark, which were written for this opening, are on disk.
struct StorageSynced {
    StorageOpening opening;
    PersistedMark mark;
};

// The folder cannot be used. StorageOpened follows once the folder, or for RejoinAsLearner a new one in its place, is opened.
struct StorageFailed {
    StorageFault fault;
};

using StorageEvent = std::variant<StorageOpened, StorageSynced, StorageFailed>;

struct StorageThreadSettings {
    std::filesystem::path folder;
    // Whether this is the first start of the whole system, so that the controller of a new folder may create the group.
    bool mayCreateGroup = false;
};

// Owner of the storage thread. start(), saveInitialMembership() and write() post work to it and return immediately.
//
// Work belongs to the opening for which it was posted: once the folder has failed, what was posted before the owner learned of that is
// discarded. It continues a log that the folder may not have when it is open again.
class StorageThread
{
public:
    // Receives the events. Called on the storage thread.
    using EventHandler = std::function<void(StorageEvent)>;

    StorageThread(StorageThreadSettings settings, Metrics &metrics, EventHandler eventHandler, FileHooks hooks = posixFileHooks());
    ~StorageThread();
    StorageThread(const StorageThread &) = delete;
    StorageThread &operator=(const StorageThread &) = delete;

    // Starts the thread and opens the folder; StorageOpened or StorageFailed follows.
    void start();
    // Stops and joins the thread.
    void stop();
    // Persists the membership that the group was created with. Only a failure is reported, as StorageFailed.
    void saveInitialMembership(StorageOpening opening, VoterMembership membership);
    // Writes the data of the actions; StorageSynced follows. Pending writes are covered by one sync.
    void write(StorageOpening opening, ConsensusActions actions);

private:
    void open();
    // Whether work that was posted for this opening may still be done. Counts it as discarded otherwise.
    bool isCurrent(StorageOpening opening);
    void scheduleReopen();
    void syncWritten();
    void fail(const StorageError &error);
    // Sets the failed folder aside and opens a new one in its place; tries again later if that fails, for instance on a full disk.
    void replaceFolder();

    std::filesystem::path m_folder;
    // Whether the controller of a folder that this process creates may create the group, until one has been opened or set aside.
    bool m_grantsGroupCreation;
    FileHooks m_hooks;
    Metrics &m_metrics;
    EventHandler m_eventHandler;
    EventLoopThread m_thread;
    boost::asio::steady_timer m_reopen;
    std::unique_ptr<LogStorage> m_storage;
    StorageOpening m_opening;
    std::optional<PersistedMark> m_writtenMark;
    bool m_syncScheduled = false;
    // The folder has failed for good and must be set aside before one is opened again.
    bool m_isReplacementDue = false;
};

} // namespace Hemlockhill
