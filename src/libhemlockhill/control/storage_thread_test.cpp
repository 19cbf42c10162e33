// A voter resumes after a temporarily full disk.
#include "hemlockhill/storage_thread.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace Hemlockhill;

namespace
{

// Queue of events from the storage thread.
class Events
{
public:
    void push(StorageEvent event)
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_arrived.notify_one();
    }

    StorageEvent next()
    {
        std::unique_lock lock(m_mutex);
        const bool arrived = m_arrived.wait_for(lock, std::chrono::seconds(20), [this] { return !m_events.empty(); });
        BOOST_REQUIRE(arrived);
        StorageEvent event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<StorageEvent> m_events;
};

const std::set<VmId> Founders{VmId{"10.0.0.1"}, VmId{"10.0.0.2"}};

ConsensusActions entry(std::uint64_t index)
{
    ConsensusActions actions;
    actions.mark = PersistedMark{index};
    actions.append.push_back({Term{1}, LogIndex{index}, EntryKind::Command, "entry " + std::to_string(index)});
    return actions;
}

} // namespace

BOOST_AUTO_TEST_CASE(voter_resumes_once_disk_has_free_space_again)
{
    const auto folder = std::filesystem::temp_directory_path() / ("storage_thread_test-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    std::atomic<bool> isFull{false};
    FileHooks hooks = posixFileHooks();
    hooks.write = [&isFull, write = hooks.write](int file, const char *bytes, std::size_t size) -> std::int64_t {
        if (isFull) {
            errno = ENOSPC;
            return -1;
        }
        return write(file, bytes, size);
    };
    Metrics metrics;
    Events events;
    StorageThread storage(
        {folder}, metrics, [&events](StorageEvent event) { events.push(std::move(event)); }, hooks);
    storage.start();
    const auto opened = std::get<StorageOpened>(events.next());
    storage.write(opened.opening, entry(1));
    BOOST_CHECK(std::get<StorageSynced>(events.next()).mark == PersistedMark{1});
    isFull = true;
    storage.write(opened.opening, entry(2));
    BOOST_CHECK(std::get<StorageFailed>(events.next()).fault == StorageFault::DiskFull);
    // The folder is opened again while the disk is still full.
    BOOST_CHECK(std::get<StorageFailed>(events.next()).fault == StorageFault::DiskFull);
    isFull = false;
    const auto again = std::get<StorageOpened>(events.next());
    BOOST_CHECK_EQUAL(again.identity, opened.identity);
    BOOST_REQUIRE_EQUAL(again.restored.entries.size(), 1);
    BOOST_CHECK_EQUAL(again.restored.entries[0].payload, "entry 1");
    storage.write(again.opening, entry(2));
    BOOST_CHECK(std::get<StorageSynced>(events.next()).mark == PersistedMark{2});
    storage.stop();
    std::filesystem::remove_all(folder);
}

// Guards against a write of a lost folder's voter that is carried out in the folder that takes its place: its log would begin with an entry
// that follows nothing, and the next voter would take the sync for one of its own.
BOOST_AUTO_TEST_CASE(late_write_for_a_lost_folder_reaches_the_new_folder)
{
    const auto folder = std::filesystem::temp_directory_path() / ("storage_thread_late_write-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    Metrics metrics;
    Events events;
    auto storage = std::make_unique<StorageThread>(
        StorageThreadSettings{folder / "data"}, metrics, [&events](StorageEvent event) { events.push(std::move(event)); });
    storage->start();
    const auto opened = std::get<StorageOpened>(events.next());
    storage->write(opened.opening, entry(1));
    BOOST_CHECK(std::get<StorageSynced>(events.next()).mark == PersistedMark{1});
    std::filesystem::remove_all(folder / "data");
    storage->write(opened.opening, entry(2));
    BOOST_CHECK(std::get<StorageFailed>(events.next()).fault == StorageFault::FolderLost);
    const auto again = std::get<StorageOpened>(events.next());
    BOOST_CHECK_NE(again.identity, opened.identity);
    // The owner has not yet learned of the failure.
    storage->write(opened.opening, entry(3));
    storage->write(again.opening, entry(1));
    const auto synced = std::get<StorageSynced>(events.next());
    BOOST_CHECK(synced.opening == again.opening);
    BOOST_CHECK(synced.mark == PersistedMark{1});
    storage.reset();
    const RestoredState restored = LogStorage(StorageSettings{folder / "data"}).takeRestoredState();
    BOOST_REQUIRE_EQUAL(restored.entries.size(), 1);
    BOOST_CHECK_EQUAL(restored.entries[0].payload, "entry 1");
    std::filesystem::remove_all(folder);
}

// Guards against a voter that stays out until its process is restarted because its predecessor still held the lock when it started.
BOOST_AUTO_TEST_CASE(voter_stays_out_after_its_folder_was_in_use)
{
    const auto folder = std::filesystem::temp_directory_path() / ("storage_thread_in_use-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    auto predecessor = std::make_unique<LogStorage>(StorageSettings{folder / "data"});
    Metrics metrics;
    Events events;
    StorageThread storage({folder / "data"}, metrics, [&events](StorageEvent event) { events.push(std::move(event)); });
    storage.start();
    BOOST_CHECK(std::get<StorageFailed>(events.next()).fault == StorageFault::FolderInUse);
    const VoterId identity = predecessor->identity();
    predecessor.reset();
    BOOST_CHECK_EQUAL(std::get<StorageOpened>(events.next()).identity, identity);
    storage.stop();
    std::filesystem::remove_all(folder);
}

// Guards against a voter that stays out until its process is restarted because its folder could not be set aside on a full disk.
BOOST_AUTO_TEST_CASE(voter_stays_out_after_its_folder_could_not_be_set_aside)
{
    const auto folder = std::filesystem::temp_directory_path() / ("storage_thread_aside-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    const std::filesystem::path data = folder / "data";
    std::atomic<int> failures{0};
    FileHooks hooks = posixFileHooks();
    hooks.rename = [&failures, data, rename = hooks.rename](const char *from, const char *to) {
        if (data == from && failures++ == 0) {
            errno = ENOSPC;
            return -1;
        }
        return rename(from, to);
    };
    Metrics metrics;
    Events events;
    StorageThread storage(
        {data}, metrics, [&events](StorageEvent event) { events.push(std::move(event)); }, hooks);
    storage.start();
    const auto opened = std::get<StorageOpened>(events.next());
    std::filesystem::remove(data / "identity");
    storage.write(opened.opening, entry(1));
    BOOST_CHECK(std::get<StorageFailed>(events.next()).fault == StorageFault::FolderLost);
    const auto again = std::get<StorageOpened>(events.next());
    BOOST_CHECK_EQUAL(failures, 2);
    BOOST_CHECK_NE(again.identity, opened.identity);
    BOOST_CHECK(again.restored.entries.empty());
    storage.stop();
    std::filesystem::remove_all(folder);
}

// Guards against a system that can never be founded because the disk of the controller that may create the group was full at its first
// start, or its process was killed before the others answered.
BOOST_AUTO_TEST_CASE(controller_forgets_that_it_may_create_the_group)
{
    const auto folder = std::filesystem::temp_directory_path() / ("storage_thread_founding-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    const std::filesystem::path data = folder / "data";
    std::atomic<bool> isFull{false};
    FileHooks hooks = posixFileHooks();
    hooks.open = [&isFull, open = hooks.open](const char *path, int flags) {
        if (isFull && (flags & O_CREAT) != 0 && std::filesystem::path(path).filename() == "founders.json.new") {
            errno = ENOSPC;
            return -1;
        }
        return open(path, flags);
    };
    Metrics metrics;
    const auto start = [&](bool isFirstStart, Events &events) {
        auto storage = std::make_unique<StorageThread>(
            StorageThreadSettings{data, isFirstStart ? std::optional(Founders) : std::nullopt},
            metrics,
            [&events](StorageEvent event) { events.push(std::move(event)); },
            hooks);
        storage->start();
        return storage;
    };
    isFull = true;
    {
        Events events;
        const auto storage = start(true, events);
        BOOST_CHECK(std::get<StorageFailed>(events.next()).fault == StorageFault::DiskFull);
        isFull = false;
        BOOST_CHECK(std::get<StorageOpened>(events.next()).founders == Founders);
    }
    {
        Events events;
        const auto storage = start(false, events);
        const auto opened = std::get<StorageOpened>(events.next());
        BOOST_CHECK(opened.founders == Founders);
        // A folder that takes the place of a lost one may not.
        std::filesystem::remove_all(data);
        storage->write(opened.opening, entry(1));
        BOOST_CHECK(std::get<StorageFailed>(events.next()).fault == StorageFault::FolderLost);
        BOOST_CHECK(!std::get<StorageOpened>(events.next()).founders);
    }
    std::filesystem::remove_all(folder);
}

// Guards against a system that can never be founded: the disk of the controller was full after its identity was written at the first start.
BOOST_AUTO_TEST_CASE(right_to_create_the_group_is_lost_on_a_disk_that_is_full_after_the_identity)
{
    const auto folder = std::filesystem::temp_directory_path() / ("storage_thread_full_grant-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    std::atomic<bool> isFull{true};
    FileHooks hooks = posixFileHooks();
    hooks.open = [&isFull, open = hooks.open](const char *path, int flags) {
        if (isFull && (flags & O_CREAT) != 0 && std::filesystem::path(path).filename() == "synced") {
            isFull = false;
            errno = ENOSPC;
            return -1;
        }
        return open(path, flags);
    };
    Metrics metrics;
    Events events;
    StorageThread storage(
        {folder / "data", Founders}, metrics, [&events](StorageEvent event) { events.push(std::move(event)); }, hooks);
    storage.start();
    BOOST_CHECK(std::get<StorageFailed>(events.next()).fault == StorageFault::DiskFull);
    BOOST_CHECK(std::get<StorageOpened>(events.next()).founders == Founders);
    storage.stop();
    std::filesystem::remove_all(folder);
}

// Guards against a group that can never be created: the process was killed between the identity and the right to create the group, or its
// blank folder was created by an earlier build, and the settings still allow it.
BOOST_AUTO_TEST_CASE(right_to_create_the_group_is_refused_to_a_blank_folder_that_exists)
{
    const auto folder = std::filesystem::temp_directory_path() / ("storage_thread_late_grant-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    std::make_unique<LogStorage>(StorageSettings{folder / "data"}).reset();
    Metrics metrics;
    Events events;
    StorageThread storage({folder / "data", Founders}, metrics, [&events](StorageEvent event) { events.push(std::move(event)); });
    storage.start();
    BOOST_CHECK(std::get<StorageOpened>(events.next()).founders == Founders);
    storage.stop();
    std::filesystem::remove_all(folder);
}

// Guards against a process that ends because the state of its data folder can't be looked up.
BOOST_AUTO_TEST_CASE(process_ends_because_its_folder_cannot_be_looked_up)
{
    const auto folder = std::filesystem::temp_directory_path() / ("storage_thread_loop-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const std::filesystem::path data = folder / "data";
    Metrics metrics;
    Events events;
    StorageThread storage({data}, metrics, [&events](StorageEvent event) { events.push(std::move(event)); });
    storage.start();
    const auto opened = std::get<StorageOpened>(events.next());
    std::filesystem::remove_all(data);
    std::filesystem::create_symlink(data, data);
    storage.write(opened.opening, entry(1));
    BOOST_CHECK(std::holds_alternative<StorageFailed>(events.next()));
    while (metrics.exposition().find("storage_folder_not_replaced") == std::string::npos) {
        std::this_thread::yield();
    }
    std::filesystem::remove(data);
    BOOST_CHECK_NE(std::get<StorageOpened>(events.next()).identity, opened.identity);
    storage.stop();
    std::filesystem::remove_all(folder);
}

// Guards against a system that can never be founded because the disk was full, or the process was killed, at any file operation of the
// first opening: the folder had its identity, but not the right to create the group.
BOOST_AUTO_TEST_CASE(right_to_create_the_group_is_lost_at_the_first_opening)
{
    struct FirstStart {
        std::filesystem::path folder;
        std::atomic<int> remainingOperations{0};
        int failures = 0;
        Events events;
        std::unique_ptr<StorageThread> storage;

        bool fails()
        {
            const int remaining = --remainingOperations;
            errno = ENOSPC;
            return remaining < 0 && -remaining <= failures;
        }
        FileHooks hooks()
        {
            FileHooks hooks = posixFileHooks();
            hooks.write = [this, real = hooks.write](int file, const char *bytes, std::size_t size) {
                return fails() ? -1 : real(file, bytes, size);
            };
            hooks.sync = [this](int) { return fails() ? -1 : 0; };
            hooks.syncFolder = hooks.sync;
            hooks.rename = [this, real = hooks.rename](const char *from, const char *to) { return fails() ? -1 : real(from, to); };
            return hooks;
        }
    };
    constexpr int Operations = 25;
    constexpr int UntilKilled = 1'000'000;
    const auto folder = std::filesystem::temp_directory_path() / ("storage_thread_first-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    Metrics metrics;
    std::deque<FirstStart> starts;
    for (const int failures : {1, UntilKilled}) {
        for (int operation = 0; operation < Operations; ++operation) {
            const auto data = folder / (std::to_string(operation) + "-" + std::to_string(failures));
            FirstStart &start = starts.emplace_back();
            start.folder = data;
            start.remainingOperations = operation;
            start.failures = failures;
            start.storage = std::make_unique<StorageThread>(
                StorageThreadSettings{data, Founders},
                metrics,
                [&start](StorageEvent event) { start.events.push(std::move(event)); },
                start.hooks());
            start.storage->start();
        }
    }
    bool hasOpenedAtOnce = false;
    for (FirstStart &start : starts) {
        BOOST_TEST_CONTEXT(start.folder.filename().string())
        {
            StorageEvent event = start.events.next();
            hasOpenedAtOnce = hasOpenedAtOnce || std::holds_alternative<StorageOpened>(event);
            if (std::holds_alternative<StorageFailed>(event) && start.failures == UntilKilled) {
                start.storage.reset();
                if (!std::filesystem::exists(start.folder / "identity")) {
                    continue;
                }
                start.storage = std::make_unique<StorageThread>(
                    StorageThreadSettings{start.folder}, metrics, [&start](StorageEvent opened) { start.events.push(std::move(opened)); });
                start.storage->start();
            }
            while (!std::holds_alternative<StorageOpened>(event)) {
                event = start.events.next();
            }
            BOOST_CHECK(std::get<StorageOpened>(event).founders == Founders);
        }
    }
    // All operations of the first opening were covered.
    BOOST_CHECK(hasOpenedAtOnce);
    starts.clear();
    std::filesystem::remove_all(folder);
}
