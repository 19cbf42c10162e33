// Failure tests of the data folder: each fault is reported with its class and reaction, and synced data is never lost without an error.
#include "hemlockhill/log_storage.h"

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <utility>

using namespace Hemlockhill;
namespace fs = std::filesystem;

namespace
{

struct TemporaryFolder {
    TemporaryFolder()
        : path(fs::temp_directory_path()
               / ("log_storage_test-" + std::to_string(std::random_device{}()) + "-" + std::to_string(std::random_device{}())))
    {
        fs::create_directories(path);
    }

    ~TemporaryFolder() { fs::remove_all(path); }

    StorageSettings settings(std::size_t segmentBytes = 1U << 20U) const { return StorageSettings{path / "data", segmentBytes}; }
    fs::path file(const std::string &name) const { return path / "data" / name; }

    fs::path path;
};

const std::string FirstSegment = "log-000000000001";

ConsensusActions entries(std::uint64_t from, std::uint64_t to, std::uint64_t term = 1)
{
    ConsensusActions actions;
    for (std::uint64_t index = from; index <= to; ++index) {
        actions.append.push_back(LogEntry{Term{term}, LogIndex{index}, EntryKind::Command, "command " + std::to_string(index)});
    }
    return actions;
}

ConsensusActions snapshotAt(std::uint64_t index, std::uint64_t term = 1)
{
    ConsensusActions actions;
    actions.snapshot = std::make_shared<const ConsensusSnapshot>(
        ConsensusSnapshot{LogIndex{index}, Term{term}, VoterMembership{{VoterId{"a"}}, {VoterId{"b"}}}, "state " + std::to_string(index)});
    return actions;
}

void writeSynced(LogStorage &storage, const ConsensusActions &actions)
{
    storage.write(actions);
    storage.sync();
}

std::uint64_t lastIndexOf(const RestoredState &state)
{
    if (!state.entries.empty()) {
        return state.entries.back().index.value;
    }
    return state.snapshot ? state.snapshot->index.value : 0;
}

void flipBit(const fs::path &path, std::uint64_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const char byte = static_cast<char>(file.get() ^ 1);
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(byte);
}

void zeroBytes(const fs::path &path, std::uint64_t from, std::uint64_t to)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(from));
    file << std::string(to - from, '\0');
}

template<typename Work>
std::optional<StorageFault> faultOf(const Work &work)
{
    try {
        work();
    } catch (const StorageError &error) {
        return error.fault();
    }
    return std::nullopt;
}

void requireFault(StorageFault expected, StorageReaction reaction, const std::function<void()> &work)
{
    const std::optional<StorageFault> found = faultOf(work);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(toText(*found) == toText(expected));
    BOOST_TEST(toText(reactionTo(*found)) == toText(reaction));
}

// Requires that opening the folder fails with the expected fault and reaction.
void requireFaultAtOpening(const TemporaryFolder &folder, StorageFault expected, StorageReaction reaction)
{
    requireFault(expected, reaction, [&folder] { LogStorage storage(folder.settings()); });
}

void writeThreeEntries(const TemporaryFolder &folder)
{
    LogStorage storage(folder.settings());
    writeSynced(storage, entries(1, 2));
    writeSynced(storage, entries(3, 3));
}

// Simulates a crash: every modifying file operation fails once the given number of them has succeeded.
struct CrashAt {
    int remainingOperations;

    bool crashed() { return --remainingOperations < 0; }

    FileHooks hooks()
    {
        FileHooks hooks = posixFileHooks();
        hooks.write = [this, real = hooks.write](int file, const char *bytes, std::size_t size) {
            errno = EIO;
            // The write at the crash point is only half written.
            const bool torn = remainingOperations == 0 && size > 1;
            return crashed() ? (torn ? real(file, bytes, size / 2) : -1) : real(file, bytes, size);
        };
        hooks.sync = [this, real = hooks.sync](int file) { return crashed() ? -1 : real(file); };
        hooks.syncFolder = [this, real = hooks.syncFolder](int file) { return crashed() ? -1 : real(file); };
        hooks.rename = [this, real = hooks.rename](const char *from, const char *to) { return crashed() ? -1 : real(from, to); };
        hooks.remove = [this, real = hooks.remove](const char *path) { return crashed() ? -1 : real(path); };
        return hooks;
    }
};

// Files that were removed since their folder was last synced, with their content. A loss of power may bring any of them back.
struct UnsyncedRemovals {
    std::map<fs::path, std::string> files;

    FileHooks hooks(FileHooks hooks)
    {
        hooks.remove = [this, real = hooks.remove](const char *path) {
            std::ifstream file(path, std::ios::binary);
            const std::string bytes(std::istreambuf_iterator<char>(file), {});
            const int result = real(path);
            if (result == 0) {
                files[path] = bytes;
            }
            return result;
        };
        hooks.syncFolder = [this, real = hooks.syncFolder](int folder) {
            const int result = real(folder);
            if (result == 0) {
                files.clear();
            }
            return result;
        };
        return hooks;
    }
};

// A disk without room: from the given modifying file operation on, a number of them fail. Syncs are only counted.
struct FullDiskAt {
    int remainingOperations;
    int failures;
    // The first failing write is carried out by half.
    bool isTorn;

    bool isFull() { return --remainingOperations < 0 && -remainingOperations <= failures; }
    bool wasFull() const { return remainingOperations < 0; }

    int resultOf(int result)
    {
        const bool full = isFull();
        errno = full ? ENOSPC : errno;
        return full ? -1 : result;
    }

    FileHooks hooks()
    {
        FileHooks hooks = posixFileHooks();
        hooks.open = [this, real = hooks.open](const char *path, int flags) {
            const bool failed = (flags & O_CREAT) != 0 && !fs::exists(path) && resultOf(0) != 0;
            return failed ? -1 : real(path, flags);
        };
        hooks.write = [this, real = hooks.write](int file, const char *bytes, std::size_t size) -> std::int64_t {
            const bool torn = isTorn && remainingOperations == 0 && size > 1;
            if (resultOf(0) == 0) {
                return real(file, bytes, size);
            }
            // The rest of a torn write fails as the next operation.
            failures += torn ? 1 : 0;
            return torn ? real(file, bytes, size / 2) : -1;
        };
        hooks.sync = [this](int) { return resultOf(0); };
        hooks.syncFolder = [this](int) { return resultOf(0); };
        hooks.rename = [this, real = hooks.rename](const char *from, const char *to) { return resultOf(0) != 0 ? -1 : real(from, to); };
        hooks.remove = [this, real = hooks.remove](const char *path) { return resultOf(0) != 0 ? -1 : real(path); };
        return hooks;
    }
};

// A voter that writes hard states, entries and snapshots, and opens its folder again after each failure.
class FullDiskVoter
{
public:
    FullDiskVoter(const TemporaryFolder &folder, FullDiskAt &disk)
        : m_folder(folder)
        , m_disk(disk)
    {
    }

    void run()
    {
        open();
        for (std::uint64_t step = 1; step <= Steps; ++step) {
            while (!write(step)) {
                open();
            }
            // The process is started again.
            open();
        }
    }

private:
    static constexpr std::uint64_t Steps = 12;
    static constexpr int MaxOpenings = 40;

    void open()
    {
        for (int attempt = 0; attempt < MaxOpenings; ++attempt) {
            m_storage.reset();
            const auto fault = faultOf([this] { m_storage.emplace(m_folder.settings(300), m_disk.hooks()); });
            if (!fault) {
                checkRestored(m_storage->takeRestoredState());
                return;
            }
            BOOST_REQUIRE_MESSAGE(reactionTo(*fault) == StorageReaction::Reopen, toText(*fault));
        }
        BOOST_REQUIRE_MESSAGE(false, "the folder does not open although the disk has room");
    }

    void checkRestored(const RestoredState &state)
    {
        BOOST_REQUIRE(m_identity.value_or(m_storage->identity()) == m_storage->identity());
        m_identity = m_storage->identity();
        m_lastIndex = lastIndexOf(state);
        BOOST_REQUIRE_GE(state.hardState.term.value, m_syncedTerm);
        BOOST_REQUIRE_GE(m_lastIndex, m_syncedIndex);
        BOOST_REQUIRE_GE(state.snapshot ? state.snapshot->index.value : 0, m_syncedSnapshot);
        for (const LogEntry &entry : state.entries) {
            BOOST_REQUIRE_EQUAL(entry.payload, "command " + std::to_string(entry.index.value));
        }
    }

    // Returns false if the disk refused the step, so that it must be repeated.
    bool write(std::uint64_t step)
    {
        const bool received = step % 5 == 0;
        ConsensusActions actions = received ? snapshotAt(m_lastIndex + 10) : entries(m_lastIndex + 1, m_lastIndex + 3);
        if (!received && step % 2 == 0) {
            actions.snapshot = snapshotAt(m_syncedIndex).snapshot;
        }
        // Most segments hold no hard state of their own.
        const bool votes = step % 6 == 1;
        if (votes) {
            actions.hardState = HardState{Term{step}, VoterId{"a"}};
        }
        const auto fault = faultOf([&] { writeSynced(*m_storage, actions); });
        if (fault) {
            BOOST_REQUIRE_MESSAGE(reactionTo(*fault) == StorageReaction::Reopen, toText(*fault));
            return false;
        }
        m_lastIndex += received ? 10 : 3;
        m_syncedIndex = m_lastIndex;
        m_syncedTerm = votes ? step : m_syncedTerm;
        m_syncedSnapshot = actions.snapshot ? actions.snapshot->index.value : m_syncedSnapshot;
        return true;
    }

    const TemporaryFolder &m_folder;
    FullDiskAt &m_disk;
    std::optional<LogStorage> m_storage;
    std::optional<VoterId> m_identity;
    std::uint64_t m_lastIndex = 0;
    std::uint64_t m_syncedIndex = 0;
    std::uint64_t m_syncedTerm = 0;
    std::uint64_t m_syncedSnapshot = 0;
};

// Names of the files of a folder that were not written to their end.
std::vector<std::string> temporaryFiles(const TemporaryFolder &folder)
{
    std::vector<std::string> names;
    for (const fs::directory_entry &entry : fs::directory_iterator(folder.path / "data")) {
        if (entry.path().extension() == ".new") {
            names.push_back(entry.path().filename().string());
        }
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_CASE(synced_data_is_recovered)
{
    const TemporaryFolder folder;
    VoterId identity;
    {
        LogStorage storage(folder.settings());
        BOOST_TEST(storage.report().created);
        identity = storage.identity();
        ConsensusActions actions = entries(1, 5);
        actions.hardState = HardState{Term{7}, VoterId{"a"}};
        writeSynced(storage, actions);
        ConsensusActions replaced = entries(4, 4, 8);
        replaced.truncateFrom = LogIndex{4};
        writeSynced(storage, replaced);
    }
    LogStorage storage(folder.settings());
    const RestoredState state = storage.takeRestoredState();
    BOOST_TEST(storage.identity() == identity);
    BOOST_TEST(!storage.report().created);
    BOOST_TEST((state.hardState == HardState{Term{7}, VoterId{"a"}}));
    BOOST_REQUIRE(state.entries.size() == 4U);
    BOOST_TEST((state.entries[3] == LogEntry{Term{8}, LogIndex{4}, EntryKind::Command, "command 4"}));
}

BOOST_AUTO_TEST_CASE(one_sync_covers_all_writes_before_it)
{
    const TemporaryFolder folder;
    int syncs = 0;
    FileHooks hooks = posixFileHooks();
    hooks.sync = [&syncs, real = hooks.sync](int file) {
        ++syncs;
        return real(file);
    };
    LogStorage storage(folder.settings(), hooks);
    syncs = 0;
    storage.write(entries(1, 3));
    storage.write(entries(4, 6));
    storage.write(entries(7, 9));
    BOOST_TEST(syncs == 0);
    storage.sync();
    BOOST_TEST(syncs == 1);
}

BOOST_AUTO_TEST_CASE(segment_is_synced_before_the_next_one_is_created)
{
    const TemporaryFolder folder;
    int syncs = 0;
    int syncsBeforeSecond = -1;
    FileHooks hooks = posixFileHooks();
    hooks.sync = [&syncs, real = hooks.sync](int file) {
        ++syncs;
        return real(file);
    };
    hooks.open = [&syncs, &syncsBeforeSecond, real = hooks.open](const char *path, int flags) {
        syncsBeforeSecond = fs::path(path).filename() == "log-000000000002" ? syncs : syncsBeforeSecond;
        return real(path, flags);
    };
    LogStorage storage(folder.settings(64), hooks);
    syncs = 0;
    storage.write(entries(1, 3));
    BOOST_TEST(syncsBeforeSecond == 1);
}

BOOST_AUTO_TEST_CASE(torn_tail_is_truncated_and_the_log_remains_writable)
{
    const TemporaryFolder folder;
    writeThreeEntries(folder);
    const auto size = fs::file_size(folder.file(FirstSegment));
    {
        // The first bytes of a fourth record, as left by a crash during a write.
        std::ofstream(folder.file(FirstSegment), std::ios::app | std::ios::binary) << "HHR1\x20";
        LogStorage storage(folder.settings());
        BOOST_TEST(storage.report().tornBytes == 5U);
        BOOST_TEST(lastIndexOf(storage.takeRestoredState()) == 3U);
        BOOST_TEST(fs::file_size(folder.file(FirstSegment)) == size);
        writeSynced(storage, entries(4, 4));
    }
    LogStorage storage(folder.settings());
    BOOST_TEST(lastIndexOf(storage.takeRestoredState()) == 4U);
}

BOOST_AUTO_TEST_CASE(bit_flip_anywhere_in_the_synced_log_is_detected)
{
    const TemporaryFolder folder;
    writeThreeEntries(folder);
    const auto size = fs::file_size(folder.file(FirstSegment));
    for (std::uint64_t offset = 0; offset < size; ++offset) {
        flipBit(folder.file(FirstSegment), offset);
        requireFaultAtOpening(folder, StorageFault::Corrupt, StorageReaction::RejoinAsLearner);
        flipBit(folder.file(FirstSegment), offset);
    }
    LogStorage storage(folder.settings());
    BOOST_TEST(lastIndexOf(storage.takeRestoredState()) == 3U);
}

BOOST_AUTO_TEST_CASE(bit_flip_before_a_valid_record_is_detected_without_the_synced_file)
{
    const TemporaryFolder folder;
    writeThreeEntries(folder);
    fs::remove(folder.file("synced"));
    const auto sizeOfRecord = fs::file_size(folder.file(FirstSegment)) / 3;
    for (std::uint64_t offset = 0; offset < 2 * sizeOfRecord; ++offset) {
        flipBit(folder.file(FirstSegment), offset);
        requireFaultAtOpening(folder, StorageFault::Corrupt, StorageReaction::RejoinAsLearner);
        flipBit(folder.file(FirstSegment), offset);
    }
}

BOOST_AUTO_TEST_CASE(bit_flip_in_identity_or_snapshot_is_detected)
{
    const TemporaryFolder folder;
    {
        LogStorage storage(folder.settings());
        writeSynced(storage, entries(1, 3));
        writeSynced(storage, snapshotAt(2));
    }
    for (const std::string name : {"identity", "snapshot"}) {
        for (std::uint64_t offset = 0; offset < fs::file_size(folder.file(name)); ++offset) {
            flipBit(folder.file(name), offset);
            requireFaultAtOpening(folder, StorageFault::Corrupt, StorageReaction::RejoinAsLearner);
            flipBit(folder.file(name), offset);
        }
    }
}

BOOST_AUTO_TEST_CASE(truncated_or_missing_segment_is_detected)
{
    const TemporaryFolder folder;
    {
        LogStorage storage(folder.settings(64));
        for (std::uint64_t index = 1; index <= 6; ++index) {
            writeSynced(storage, entries(index, index));
        }
    }
    fs::path last;
    for (const auto &entry : fs::directory_iterator(folder.path / "data")) {
        last = entry.path().filename().string().rfind("log-", 0) == 0 ? std::max(last, entry.path()) : last;
    }
    const fs::path aside = folder.path / "aside";
    fs::rename(last, aside);
    requireFaultAtOpening(folder, StorageFault::Corrupt, StorageReaction::RejoinAsLearner);
    fs::rename(aside, last);
    fs::rename(folder.file(FirstSegment), aside);
    requireFaultAtOpening(folder, StorageFault::Corrupt, StorageReaction::RejoinAsLearner);
    fs::rename(aside, folder.file(FirstSegment));
    fs::resize_file(last, 0);
    requireFaultAtOpening(folder, StorageFault::Corrupt, StorageReaction::RejoinAsLearner);
}

BOOST_AUTO_TEST_CASE(full_disk_stops_writes_and_keeps_synced_data)
{
    const TemporaryFolder folder;
    bool full = false;
    std::size_t remainingSpace = 40;
    FileHooks hooks = posixFileHooks();
    hooks.write = [&full, &remainingSpace, real = hooks.write](int file, const char *bytes, std::size_t size) -> std::int64_t {
        if (!full) {
            return real(file, bytes, size);
        }
        if (remainingSpace > 0) {
            return real(file, bytes, std::exchange(remainingSpace, 0));
        }
        errno = ENOSPC;
        return -1;
    };
    {
        LogStorage storage(folder.settings(), hooks);
        writeSynced(storage, entries(1, 3));
        full = true;
        requireFault(StorageFault::DiskFull, StorageReaction::Reopen, [&storage] { storage.write(entries(4, 9)); });
        full = false;
        // Later writes must keep failing, since they would leave a gap in the log.
        requireFault(StorageFault::DiskFull, StorageReaction::Reopen, [&storage] { storage.write(entries(10, 10)); });
        requireFault(StorageFault::DiskFull, StorageReaction::Reopen, [&storage] { storage.sync(); });
    }
    LogStorage storage(folder.settings());
    BOOST_TEST(lastIndexOf(storage.takeRestoredState()) == 3U);
    BOOST_TEST(storage.report().tornBytes == 40U);
}

BOOST_AUTO_TEST_CASE(data_is_rewritten_on_reopen_after_a_failed_sync)
{
    const TemporaryFolder folder;
    bool failing = false;
    std::uint64_t written = 0;
    FileHooks hooks = posixFileHooks();
    hooks.sync = [&failing, real = hooks.sync](int file) {
        errno = EIO;
        return failing ? -1 : real(file);
    };
    hooks.write = [&written, real = hooks.write](int file, const char *bytes, std::size_t size) {
        written += size;
        return real(file, bytes, size);
    };
    {
        LogStorage storage(folder.settings(), hooks);
        storage.write(entries(1, 3));
        failing = true;
        requireFault(StorageFault::SyncFailed, StorageReaction::Reopen, [&storage] { storage.sync(); });
        failing = false;
        requireFault(StorageFault::SyncFailed, StorageReaction::Reopen, [&storage] { storage.sync(); });
    }
    written = 0;
    LogStorage storage(folder.settings(), hooks);
    BOOST_TEST(lastIndexOf(storage.takeRestoredState()) == 3U);
    BOOST_TEST(written >= fs::file_size(folder.file(FirstSegment)));
}

BOOST_AUTO_TEST_CASE(folder_deleted_or_moved_at_run_time_is_detected_by_the_next_sync)
{
    for (const bool moved : {false, true}) {
        const TemporaryFolder folder;
        LogStorage storage(folder.settings());
        writeSynced(storage, entries(1, 3));
        if (moved) {
            setFolderAside(folder.path / "data");
        } else {
            fs::remove_all(folder.path / "data");
        }
        requireFault(StorageFault::FolderLost, StorageReaction::RejoinAsLearner, [&storage] { writeSynced(storage, entries(4, 4)); });
    }
}

BOOST_AUTO_TEST_CASE(new_identity_is_created_only_for_a_new_folder)
{
    const TemporaryFolder folder;
    writeThreeEntries(folder);
    const VoterId before = LogStorage(folder.settings()).identity();
    fs::remove(folder.file("identity"));
    requireFaultAtOpening(folder, StorageFault::FolderLost, StorageReaction::RejoinAsLearner);
    const fs::path aside = setFolderAside(folder.path / "data");
    BOOST_TEST(fs::exists(aside / FirstSegment));
    LogStorage storage(folder.settings());
    BOOST_TEST(storage.report().created);
    BOOST_TEST(storage.identity() != before);
    BOOST_TEST(lastIndexOf(storage.takeRestoredState()) == 0U);
}

BOOST_AUTO_TEST_CASE(identity_without_a_log_is_reported_as_folder_lost)
{
    const TemporaryFolder folder;
    writeThreeEntries(folder);
    fs::remove(folder.file(FirstSegment));
    requireFaultAtOpening(folder, StorageFault::FolderLost, StorageReaction::RejoinAsLearner);
}

BOOST_AUTO_TEST_CASE(folder_cannot_be_opened_twice)
{
    const TemporaryFolder folder;
    LogStorage storage(folder.settings());
    requireFaultAtOpening(folder, StorageFault::FolderInUse, StorageReaction::Reopen);
}

// Guards against a voter that stops for good because the file system could not lock its folder at the moment.
BOOST_AUTO_TEST_CASE(failed_lock_is_taken_for_another_process)
{
    const TemporaryFolder folder;
    for (const int error : {EINTR, ENOLCK, EIO}) {
        FileHooks hooks = posixFileHooks();
        bool failed = false;
        hooks.lock = [&failed, error, real = hooks.lock](int file) {
            if (std::exchange(failed, true)) {
                return real(file);
            }
            errno = error;
            return -1;
        };
        if (error == EINTR) {
            const LogStorage storage(folder.settings(), hooks);
            continue;
        }
        requireFault(StorageFault::InputOutput, StorageReaction::Reopen, [&] { const LogStorage storage(folder.settings(), hooks); });
    }
}

// Guards against a write that makes no progress and is tried again without end.
BOOST_AUTO_TEST_CASE(write_of_no_bytes_is_repeated_without_end)
{
    const TemporaryFolder folder;
    FileHooks hooks = posixFileHooks();
    int calls = 0;
    bool stuck = false;
    hooks.write = [&calls, &stuck, real = hooks.write](int file, const char *bytes, std::size_t size) -> std::int64_t {
        if (!stuck) {
            return real(file, bytes, size);
        }
        BOOST_REQUIRE_LE(++calls, 100);
        return 0;
    };
    LogStorage storage(folder.settings(), hooks);
    stuck = true;
    requireFault(StorageFault::InputOutput, StorageReaction::Reopen, [&storage] { storage.write(entries(1, 1)); });
}

BOOST_AUTO_TEST_CASE(snapshot_removes_the_segments_it_covers)
{
    const TemporaryFolder folder;
    {
        LogStorage storage(folder.settings(200));
        ConsensusActions first = entries(1, 30);
        first.hardState = HardState{Term{3}, VoterId{"a"}};
        writeSynced(storage, first);
        writeSynced(storage, entries(31, 60));
        const std::uint64_t before = storage.logBytes();
        writeSynced(storage, snapshotAt(55));
        BOOST_TEST(storage.logBytes() < before);
        BOOST_TEST(!fs::exists(folder.file(FirstSegment)));
    }
    LogStorage storage(folder.settings());
    const RestoredState state = storage.takeRestoredState();
    BOOST_TEST((state.snapshot == *snapshotAt(55).snapshot));
    BOOST_TEST((state.hardState == HardState{Term{3}, VoterId{"a"}}));
    BOOST_TEST(lastIndexOf(state) == 60U);
}

BOOST_AUTO_TEST_CASE(received_snapshot_replaces_a_shorter_or_conflicting_log)
{
    const TemporaryFolder folder;
    {
        LogStorage storage(folder.settings());
        writeSynced(storage, entries(1, 50));
        ConsensusActions received = snapshotAt(40, 2);
        received.discardLog = true;
        received.append = entries(41, 42, 2).append;
        writeSynced(storage, received);
        ConsensusActions ahead = snapshotAt(90, 2);
        ahead.append = entries(91, 92, 2).append;
        writeSynced(storage, ahead);
    }
    LogStorage storage(folder.settings());
    const RestoredState state = storage.takeRestoredState();
    BOOST_REQUIRE(state.entries.size() == 2U);
    BOOST_TEST(state.snapshot->index.value == 90U);
    BOOST_TEST(state.entries.front().index.value == 91U);
}

BOOST_AUTO_TEST_CASE(crash_at_any_operation_keeps_synced_data)
{
    bool finished = false;
    for (int operation = 0; !finished; ++operation) {
        BOOST_TEST_CONTEXT("crash at operation " << operation)
        {
            const TemporaryFolder folder;
            {
                LogStorage storage(folder.settings(300));
                writeSynced(storage, entries(1, 4));
            }
            std::uint64_t synced = 4;
            CrashAt crash{operation};
            finished = !faultOf([&] {
                            LogStorage storage(folder.settings(300), crash.hooks());
                            for (std::uint64_t index = 5; index <= 20; index += 3) {
                                writeSynced(storage, entries(index, index + 2));
                                synced = index + 2;
                                writeSynced(storage, snapshotAt(index));
                            }
                            ConsensusActions received = snapshotAt(40, 2);
                            received.discardLog = true;
                            writeSynced(storage, received);
                            synced = 40;
                            writeSynced(storage, entries(41, 43, 2));
                            synced = 43;
                        }).has_value();
            LogStorage storage(folder.settings(300));
            const std::uint64_t found = lastIndexOf(storage.takeRestoredState());
            BOOST_TEST(found >= synced);
            BOOST_TEST(found <= 43U);
            // The recovered log must accept new entries and be intact at the next start.
            writeSynced(storage, entries(found + 1, found + 1, 2));
            storage = LogStorage(StorageSettings{folder.path / "other"});
            BOOST_TEST(lastIndexOf(LogStorage(folder.settings()).takeRestoredState()) == found + 1);
        }
    }
}

// Guards against a voter that forgets its vote: the segment that it began on a full disk did not repeat it, and the segments before are
// removed once a snapshot covers them.
BOOST_AUTO_TEST_CASE(hard_state_is_lost_after_a_segment_was_begun_on_a_full_disk)
{
    const TemporaryFolder folder;
    bool isFull = false;
    FileHooks hooks = posixFileHooks();
    hooks.open = [&isFull, real = hooks.open](const char *path, int flags) {
        const int file = real(path, flags);
        isFull = isFull || fs::path(path).filename() == "log-000000000002";
        return file;
    };
    hooks.write = [&isFull, real = hooks.write](int file, const char *bytes, std::size_t size) {
        errno = ENOSPC;
        return isFull ? -1 : real(file, bytes, size);
    };
    const HardState voted{Term{3}, VoterId{"a"}};
    {
        LogStorage storage(folder.settings(200), hooks);
        ConsensusActions first = entries(1, 30);
        first.hardState = voted;
        requireFault(StorageFault::DiskFull, StorageReaction::Reopen, [&] { writeSynced(storage, first); });
    }
    {
        LogStorage storage(folder.settings());
        writeSynced(storage, snapshotAt(30));
        BOOST_TEST(!fs::exists(folder.file(FirstSegment)));
    }
    BOOST_TEST((LogStorage(folder.settings()).takeRestoredState().hardState == voted));
}

// Guards against a folder that vanishes with what was acknowledged at a loss of power: its name was not synced since the first attempt to
// open it failed there, and later openings find it made.
BOOST_AUTO_TEST_CASE(name_of_the_folder_is_never_synced_after_a_failed_first_opening)
{
    const TemporaryFolder folder;
    std::optional<int> parent;
    std::size_t syncs = 0;
    bool isFailing = true;
    FileHooks hooks = posixFileHooks();
    hooks.open = [&parent, &folder, real = hooks.open](const char *path, int flags) {
        const int file = real(path, flags);
        parent = fs::path(path) == folder.path ? std::optional(file) : std::nullopt;
        return file;
    };
    hooks.syncFolder = [&, real = hooks.syncFolder](int file) {
        if (parent != file) {
            return real(file);
        }
        if (std::exchange(isFailing, false)) {
            errno = ENOSPC;
            return -1;
        }
        ++syncs;
        return real(file);
    };
    requireFault(StorageFault::SyncFailed, StorageReaction::Reopen, [&] { const LogStorage storage(folder.settings(), hooks); });
    const LogStorage storage(folder.settings(), hooks);
    BOOST_CHECK_GE(syncs, 1);
}

// Guards against synced data that is lost, a hard state that goes back, or a folder that stays unusable, after a full disk refused any
// one operation or several in a row.
BOOST_AUTO_TEST_CASE(full_disk_at_any_operation_loses_synced_data)
{
    for (const bool isTorn : {false, true}) {
        for (const int failures : {1, 3, 30}) {
            bool wasFull = true;
            for (int operation = 0; wasFull; ++operation) {
                BOOST_TEST_CONTEXT("full at operation " << operation << " for " << failures << ", torn " << isTorn)
                {
                    const TemporaryFolder folder;
                    FullDiskAt disk{operation, failures, isTorn};
                    FullDiskVoter(folder, disk).run();
                    wasFull = disk.wasFull();
                }
            }
        }
    }
}

// Guards against a disk that stays full of files that a full disk left half-written: no later write may ever replace them.
BOOST_AUTO_TEST_CASE(half_written_files_are_left_on_a_full_disk)
{
    const TemporaryFolder folder;
    writeThreeEntries(folder);
    for (const std::string name : {"snapshot.new", "log-000000000007.new", "initial-membership.json.new"}) {
        std::ofstream(folder.file(name)) << "half";
    }
    // There is no room for anything until they are removed.
    FileHooks hooks = posixFileHooks();
    hooks.write = [&folder, real = hooks.write](int file, const char *bytes, std::size_t size) -> std::int64_t {
        errno = ENOSPC;
        return fs::exists(folder.file("snapshot.new")) ? -1 : real(file, bytes, size);
    };
    const LogStorage storage(folder.settings(), hooks);
    BOOST_TEST(temporaryFiles(folder).empty());
}

// Guards against a voter that sets its folder aside after a loss of power: of several segments that were removed without a sync of the
// folder, an earlier one was back and a later one was not, which passed as a segment that is missing.
BOOST_AUTO_TEST_CASE(removed_segment_is_back_after_a_loss_of_power)
{
    bool crashed = true;
    for (int operation = 0; crashed; ++operation) {
        const TemporaryFolder folder;
        {
            LogStorage storage(folder.settings(200));
            ConsensusActions voted;
            voted.hardState = HardState{Term{3}, VoterId{"a"}};
            writeSynced(storage, voted);
            for (std::uint64_t index = 1; index <= 20; ++index) {
                writeSynced(storage, entries(index, index));
            }
        }
        CrashAt crash{operation};
        UnsyncedRemovals removals;
        crashed = faultOf([&] {
                      LogStorage storage(folder.settings(200), removals.hooks(crash.hooks()));
                      writeSynced(storage, snapshotAt(18));
                  }).has_value();
        for (const auto &[path, bytes] : removals.files) {
            BOOST_TEST_CONTEXT("crash at operation " << operation << ", only " << path << " is back")
            {
                const TemporaryFolder copy;
                fs::copy(folder.path / "data", copy.path / "data");
                std::ofstream(copy.file(path.filename()), std::ios::binary) << bytes;
                const RestoredState state = LogStorage(copy.settings()).takeRestoredState();
                BOOST_TEST(lastIndexOf(state) == 20U);
                BOOST_TEST((state.hardState == HardState{Term{3}, VoterId{"a"}}));
            }
        }
    }
}

// Guards against a voter that sets its folder aside after a loss of power: one of several writes that no sync had covered was missing or
// torn and a later one was present, which passed as corruption of synced data.
BOOST_AUTO_TEST_CASE(unsynced_write_is_missing_before_a_later_one)
{
    for (const bool keepsSyncedFile : {true, false}) {
        for (const std::size_t lost : {0U, 1U}) {
            for (const std::size_t keptBytes : {0U, 1U, 20U}) {
                BOOST_TEST_CONTEXT("write " << lost << " keeps " << keptBytes << " bytes, synced file " << keepsSyncedFile)
                {
                    const TemporaryFolder folder;
                    std::vector<std::uintmax_t> ends;
                    {
                        LogStorage storage(folder.settings());
                        writeSynced(storage, entries(1, 2));
                        for (std::uint64_t index = 3; index <= 5; ++index) {
                            ends.push_back(fs::file_size(folder.file(FirstSegment)));
                            storage.write(entries(index, index));
                        }
                    }
                    // Bytes that were never written read as zeros.
                    zeroBytes(folder.file(FirstSegment), ends[lost] + keptBytes, ends[lost + 1]);
                    if (!keepsSyncedFile) {
                        fs::remove(folder.file("synced"));
                    }
                    {
                        LogStorage storage(folder.settings());
                        BOOST_TEST(lastIndexOf(storage.takeRestoredState()) == 2 + lost);
                        writeSynced(storage, entries(3 + lost, 3 + lost));
                    }
                    BOOST_TEST(lastIndexOf(LogStorage(folder.settings()).takeRestoredState()) == 3 + lost);
                }
            }
        }
    }
}
