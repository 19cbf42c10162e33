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

// The folder was opened; holds its identity and content.
struct StorageOpened {
    VoterId identity;
    RestoredState restored;
    // Membership that the group was created with; empty if this controller has not joined a group.
    std::optional<VoterMembership> initialMembership;
};

// All batches up to this mark are on disk.
struct StorageSynced {
    PersistedMark mark;
};

// The folder cannot be used. For a fault with the reaction Reopen or RejoinAsLearner, StorageOpened follows once the folder, or for
// RejoinAsLearner a new one in its place, is opened.
struct StorageFailed {
    StorageFault fault;
};

using StorageEvent = std::variant<StorageOpened, StorageSynced, StorageFailed>;

// Owner of the storage thread. start(), saveInitialMembership() and write() post work to it and return immediately.
class StorageThread
{
public:
    // Receives the events. Called on the storage thread.
    using EventHandler = std::function<void(StorageEvent)>;

    StorageThread(std::filesystem::path folder, Metrics &metrics, EventHandler eventHandler, FileHooks hooks = posixFileHooks());
    ~StorageThread();
    StorageThread(const StorageThread &) = delete;
    StorageThread &operator=(const StorageThread &) = delete;

    // Starts the thread and opens the folder; StorageOpened or StorageFailed follows.
    void start();
    // Stops and joins the thread.
    void stop();
    // Persists the membership that the group was created with. Only a failure is reported, as StorageFailed.
    void saveInitialMembership(VoterMembership membership);
    // Writes the data of the actions; StorageSynced follows. Pending writes are covered by one sync.
    void write(ConsensusActions actions);

private:
    void open();
    void scheduleReopen();
    void syncWritten();
    void fail(const StorageError &error);

    std::filesystem::path m_folder;
    FileHooks m_hooks;
    Metrics &m_metrics;
    EventHandler m_eventHandler;
    EventLoopThread m_thread;
    boost::asio::steady_timer m_reopen;
    std::unique_ptr<LogStorage> m_storage;
    std::optional<PersistedMark> m_writtenMark;
    bool m_syncScheduled = false;
};

} // namespace Hemlockhill
