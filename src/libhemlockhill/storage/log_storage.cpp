// Data folder of a voter: opening, appending, syncing, and replacing snapshots.
#include "hemlockhill/log_storage.h"

#include "storage/log_replay.h"
#include "storage/record_codec.h"
#include "storage/storage_file.h"

#include <fcntl.h>

#include <algorithm>
#include <deque>
#include <iomanip>
#include <optional>
#include <random>
#include <sstream>
#include <utility>

namespace Hemlockhill
{

namespace
{

namespace fs = std::filesystem;

constexpr std::string_view SegmentPrefix = "log-";
constexpr std::string_view TemporaryExtension = ".new";
constexpr int SegmentDigits = 12;
constexpr int IdentityWords = 4;
constexpr int HexDigitsOfWord = 8;

fs::path segmentName(std::uint64_t number)
{
    std::ostringstream name;
    name << SegmentPrefix << std::setw(SegmentDigits) << std::setfill('0') << number;
    return name.str();
}

VoterId newIdentity()
{
    std::random_device random;
    std::ostringstream text;
    for (int word = 0; word < IdentityWords; ++word) {
        text << std::hex << std::setw(HexDigitsOfWord) << std::setfill('0') << random();
    }
    return VoterId{text.str()};
}

// Decodes a file that must hold exactly one record, of the given type.
template<typename Record>
Record decodeSingleRecord(const std::string &bytes, const fs::path &path)
{
    auto decoded = decodeRecord(bytes, 0);
    if (!decoded || decoded->nextOffset != bytes.size() || !std::holds_alternative<Record>(decoded->record)) {
        throw StorageError(StorageFault::Corrupt, path.string());
    }
    return std::get<Record>(std::move(decoded->record));
}

} // namespace

class LogStorage::Folder
{
public:
    Folder(StorageSettings settings, FileHooks hooks);

    void write(const ConsensusActions &actions);
    void sync();
    RestoredState takeRestoredState() { return std::move(m_restored); }
    const VoterId &identity() const { return m_identity; }
    const StorageOpenReport &report() const { return m_report; }
    std::uint64_t logBytes() const;

private:
    struct Segment {
        std::uint64_t number = 0;
        std::uint64_t bytes = 0;
        LogIndex highestIndex;
    };

    fs::path pathOf(const fs::path &name) const { return m_settings.folder / name; }
    fs::path segmentPath(const Segment &segment) const { return pathOf(segmentName(segment.number)); }
    void createFolder();
    void lock();
    void removeTemporaryFiles();
    std::vector<std::uint64_t> segmentNumbers() const;
    void openIdentity();
    void openLog();
    std::optional<ConsensusSnapshot> readSnapshot() const;
    std::optional<SyncedRecord> readSynced() const;
    void rewriteLast(std::string_view bytes);
    void startSegment();
    void append(const StorageRecord &record);
    void appendEntry(const LogEntry &entry);
    void restartAfter(LogIndex index);
    void flush();
    void syncSegment();
    void writeSyncedRecord();
    void replaceSnapshot(const ConsensusSnapshot &snapshot);
    void removeCoveredSegments(LogIndex index);
    void checkFolderContents() const;
    void writeActions(const ConsensusActions &actions);
    void runUnlessFailed(const std::function<void()> &work);

    StorageSettings m_settings;
    FileHooks m_hooks;
    std::optional<StorageError> m_failure;
    StorageOpenReport m_report;
    VoterId m_identity;
    RestoredState m_restored;
    HardState m_hardState;
    // Index of the last entry in the segments, or the index given by a later RestartRecord.
    LogIndex m_lastIndex;
    std::unique_ptr<StorageFile> m_lock;
    std::unique_ptr<StorageFile> m_syncedFile;
    std::unique_ptr<StorageFile> m_active;
    // In order of their numbers. The last one is the active segment.
    std::deque<Segment> m_segments;
    std::string m_buffer;
    bool m_dirty = false;
};

LogStorage::Folder::Folder(StorageSettings settings, FileHooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
{
    createFolder();
    lock();
    removeTemporaryFiles();
    openIdentity();
    openLog();
}

void LogStorage::Folder::createFolder()
{
    std::error_code error;
    const fs::path folder = fs::absolute(m_settings.folder);
    const bool made = fs::create_directories(folder, error);
    if (error) {
        throw StorageError(StorageFault::InputOutput, folder.string() + ": " + error.message());
    }
    m_settings.folder = folder;
    // An attempt that made the folder may have ended before its name was durable.
    if (made || !fs::exists(pathOf("identity"))) {
        syncFolder(m_hooks, folder.parent_path());
    }
}

void LogStorage::Folder::lock()
{
    m_lock = std::make_unique<StorageFile>(m_hooks, pathOf("lock"), O_RDWR | O_CREAT);
    if (!m_lock->tryLock()) {
        throw StorageError(StorageFault::FolderInUse, m_settings.folder.string());
    }
}

// Removes files that were not written to their end, whose room the opening may need.
void LogStorage::Folder::removeTemporaryFiles()
{
    std::vector<fs::path> temporary;
    for (const fs::directory_entry &entry : fs::directory_iterator(m_settings.folder)) {
        if (entry.path().extension() == TemporaryExtension) {
            temporary.push_back(entry.path());
        }
    }
    for (const fs::path &path : temporary) {
        removeFile(m_hooks, path);
    }
}

std::vector<std::uint64_t> LogStorage::Folder::segmentNumbers() const
{
    std::vector<std::uint64_t> numbers;
    for (const fs::directory_entry &entry : fs::directory_iterator(m_settings.folder)) {
        const std::string name = entry.path().filename().string();
        const bool isSegment = name.rfind(SegmentPrefix, 0) == 0 && name.size() == SegmentPrefix.size() + SegmentDigits;
        if (isSegment) {
            numbers.push_back(std::stoull(name.substr(SegmentPrefix.size())));
        }
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

// Creates the first segment before the identity, so that an identity without a log proves that the log was lost.
void LogStorage::Folder::openIdentity()
{
    const fs::path path = pathOf("identity");
    const std::vector<std::uint64_t> numbers = segmentNumbers();
    if (!fs::exists(path)) {
        const bool hasData =
            fs::exists(pathOf("snapshot")) || numbers.size() > 1
            || std::any_of(numbers.begin(), numbers.end(), [this](auto number) { return fs::file_size(pathOf(segmentName(number))) > 0; });
        if (hasData) {
            throw StorageError(StorageFault::FolderLost, "log or snapshot found without an identity file in " + m_settings.folder.string());
        }
        StorageFile(m_hooks, pathOf(segmentName(1)), O_WRONLY | O_CREAT).sync();
        if (m_settings.prepareNewFolder) {
            m_settings.prepareNewFolder();
        }
        replaceFile(m_hooks, path, encodeRecord(IdentityRecord{newIdentity()}));
        m_report.created = true;
    } else if (numbers.empty()) {
        throw StorageError(StorageFault::FolderLost, "identity found without any log segment in " + m_settings.folder.string());
    }
    m_identity = decodeSingleRecord<IdentityRecord>(readFile(m_hooks, path), path).voter;
}

std::optional<ConsensusSnapshot> LogStorage::Folder::readSnapshot() const
{
    const fs::path path = pathOf("snapshot");
    if (!fs::exists(path)) {
        return std::nullopt;
    }
    return decodeSingleRecord<ConsensusSnapshot>(readFile(m_hooks, path), path);
}

std::optional<SyncedRecord> LogStorage::Folder::readSynced() const
{
    const fs::path path = pathOf("synced");
    if (!fs::exists(path)) {
        return std::nullopt;
    }
    // This file is not synced after each write, so a machine crash may leave it torn. It is then ignored.
    const auto decoded = decodeRecord(readFile(m_hooks, path), 0);
    const bool usable = decoded && std::holds_alternative<SyncedRecord>(decoded->record);
    return usable ? std::optional(std::get<SyncedRecord>(decoded->record)) : std::nullopt;
}

void LogStorage::Folder::openLog()
{
    LogReplay replay(readSnapshot());
    const std::optional<SyncedRecord> synced = readSynced();
    const std::vector<std::uint64_t> numbers = segmentNumbers();
    const std::uint64_t last = numbers.back();
    if (last - numbers.front() + 1 != numbers.size() || (synced && synced->segment > last)) {
        throw StorageError(StorageFault::Corrupt, "a log segment is missing in " + m_settings.folder.string());
    }
    std::string bytes;
    for (const std::uint64_t number : numbers) {
        bytes = readFile(m_hooks, pathOf(segmentName(number)));
        const std::size_t syncedBytes = synced && synced->segment == number ? synced->offset : 0;
        const std::size_t validBytes = replay.apply(bytes, number == last, syncedBytes);
        m_report.tornBytes += bytes.size() - validBytes;
        bytes.resize(validBytes);
        m_segments.push_back(Segment{number, validBytes, replay.highestInSegment()});
    }
    m_lastIndex = replay.lastIndex();
    m_restored = replay.finish();
    m_hardState = m_restored.hardState;
    m_syncedFile = std::make_unique<StorageFile>(m_hooks, pathOf("synced"), O_RDWR | O_CREAT);
    rewriteLast(bytes);
    if (!replay.hasHardStateInSegment()) {
        // The last segment may have been begun on a disk that was full before it could repeat the hard state.
        append(m_hardState);
    }
    const bool logFollowsSnapshot = !m_restored.entries.empty() || !m_restored.snapshot || m_restored.snapshot->index == m_lastIndex;
    if (!logFollowsSnapshot) {
        restartAfter(m_restored.snapshot->index);
    }
    flush();
    syncSegment();
}

// Rewrites the last segment. After a failed sync the page cache may hold bytes that are not on disk, and only a new write makes them
// durable.
void LogStorage::Folder::rewriteLast(std::string_view bytes)
{
    const fs::path path = segmentPath(m_segments.back());
    fs::path temporary = path;
    temporary += TemporaryExtension;
    m_active = std::make_unique<StorageFile>(m_hooks, temporary, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
    m_active->write(bytes);
    m_active->sync();
    renameFile(m_hooks, temporary, path);
    m_active->setPath(path);
    syncFolder(m_hooks, m_settings.folder);
    writeSyncedRecord();
    m_syncedFile->sync();
}

void LogStorage::Folder::append(const StorageRecord &record)
{
    m_buffer += encodeRecord(record);
}

void LogStorage::Folder::appendEntry(const LogEntry &entry)
{
    append(entry);
    m_lastIndex = entry.index;
    m_segments.back().highestIndex = std::max(m_segments.back().highestIndex, entry.index);
}

void LogStorage::Folder::restartAfter(LogIndex index)
{
    append(RestartRecord{index});
    m_lastIndex = index;
}

void LogStorage::Folder::flush()
{
    if (m_buffer.empty()) {
        return;
    }
    if (!std::exchange(m_dirty, true)) {
        m_buffer.insert(0, encodeRecord(SyncedRecord{m_segments.back().number, m_segments.back().bytes}));
    }
    m_active->write(m_buffer);
    m_segments.back().bytes += m_buffer.size();
    m_buffer.clear();
}

void LogStorage::Folder::syncSegment()
{
    if (!m_dirty) {
        return;
    }
    m_active->sync();
    checkFolderContents();
    m_dirty = false;
    writeSyncedRecord();
}

// Records the synced size, by which the next start tells a torn tail from corruption of synced data.
void LogStorage::Folder::writeSyncedRecord()
{
    m_syncedFile->overwrite(encodeRecord(SyncedRecord{m_segments.back().number, m_segments.back().bytes}));
}

// Detects a deleted or moved folder. Writes and syncs to a deleted file still succeed, but its data is lost when the process ends. Checks
// the paths rather than inode numbers, because some file systems report different inode numbers for a path and for a descriptor.
void LogStorage::Folder::checkFolderContents() const
{
    std::error_code missing;
    const bool hasLog = fs::file_size(segmentPath(m_segments.back()), missing) == m_segments.back().bytes && !missing;
    const fs::path path = pathOf("identity");
    const bool hasIdentity =
        fs::exists(path, missing) && decodeSingleRecord<IdentityRecord>(readFile(m_hooks, path), path).voter == m_identity;
    if (!hasLog || !hasIdentity) {
        throw StorageError(StorageFault::FolderLost, m_settings.folder.string());
    }
}

void LogStorage::Folder::startSegment()
{
    syncSegment();
    m_segments.push_back(Segment{m_segments.back().number + 1, 0, LogIndex{}});
    m_active = std::make_unique<StorageFile>(m_hooks, segmentPath(m_segments.back()), O_WRONLY | O_CREAT | O_EXCL | O_APPEND);
    syncFolder(m_hooks, m_settings.folder);
    // Repeats the hard state, because the earlier segments that hold it may be removed.
    append(m_hardState);
    flush();
}

void LogStorage::Folder::replaceSnapshot(const ConsensusSnapshot &snapshot)
{
    // The hard state must be durable before the snapshot, whose term it covers.
    flush();
    syncSegment();
    replaceFile(m_hooks, pathOf("snapshot"), encodeRecord(snapshot));
}

void LogStorage::Folder::removeCoveredSegments(LogIndex index)
{
    while (m_segments.size() > 1 && m_segments.front().highestIndex <= index) {
        removeFile(m_hooks, segmentPath(m_segments.front()));
        m_segments.pop_front();
        // After a loss of power, any names that were removed without a sync may be back, without those between them and the rest.
        syncFolder(m_hooks, m_settings.folder);
    }
}

void LogStorage::Folder::writeActions(const ConsensusActions &actions)
{
    if (actions.hardState) {
        m_hardState = *actions.hardState;
        append(m_hardState);
    }
    if (actions.snapshot) {
        replaceSnapshot(*actions.snapshot);
    }
    if (actions.snapshot && (actions.discardLog || actions.snapshot->index > m_lastIndex)) {
        restartAfter(actions.snapshot->index);
    }
    if (actions.truncateFrom) {
        append(TruncateRecord{*actions.truncateFrom});
    }
    for (const LogEntry &entry : actions.append) {
        appendEntry(entry);
    }
    flush();
    if (m_segments.back().bytes > m_settings.segmentBytes) {
        startSegment();
    }
    if (actions.snapshot) {
        // The record that invalidates old entries must be durable before their segments are removed.
        syncSegment();
        removeCoveredSegments(actions.snapshot->index);
    }
}

void LogStorage::Folder::runUnlessFailed(const std::function<void()> &work)
{
    if (m_failure) {
        throw StorageError(*m_failure);
    }
    try {
        work();
    } catch (const StorageError &error) {
        m_failure = error;
        throw;
    }
}

void LogStorage::Folder::write(const ConsensusActions &actions)
{
    runUnlessFailed([this, &actions] { writeActions(actions); });
}

void LogStorage::Folder::sync()
{
    runUnlessFailed([this] { syncSegment(); });
}

std::uint64_t LogStorage::Folder::logBytes() const
{
    std::uint64_t bytes = 0;
    for (const Segment &segment : m_segments) {
        bytes += segment.bytes;
    }
    return bytes;
}

LogStorage::LogStorage(StorageSettings settings, FileHooks hooks)
{
    try {
        m_folder = std::make_unique<Folder>(std::move(settings), std::move(hooks));
    } catch (const fs::filesystem_error &error) {
        throw StorageError(StorageFault::InputOutput, error.what());
    } catch (const DecodeError &error) {
        throw StorageError(StorageFault::Corrupt, error.what());
    }
}

LogStorage::~LogStorage() = default;
LogStorage::LogStorage(LogStorage &&) noexcept = default;
LogStorage &LogStorage::operator=(LogStorage &&) noexcept = default;

const VoterId &LogStorage::identity() const
{
    return m_folder->identity();
}

const StorageOpenReport &LogStorage::report() const
{
    return m_folder->report();
}

RestoredState LogStorage::takeRestoredState()
{
    return m_folder->takeRestoredState();
}

void LogStorage::write(const ConsensusActions &actions)
{
    m_folder->write(actions);
}

void LogStorage::sync()
{
    m_folder->sync();
}

std::uint64_t LogStorage::logBytes() const
{
    return m_folder->logBytes();
}

std::filesystem::path setFolderAside(const std::filesystem::path &folder, const FileHooks &hooks)
{
    for (int number = 1;; ++number) {
        fs::path aside = folder;
        aside += ".aside-" + std::to_string(number);
        if (!pathExists(aside)) {
            renameFile(hooks, folder, aside);
            return aside;
        }
    }
}

} // namespace Hemlockhill
