// Recovery of the log from its segments.
#include "storage/log_replay.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

[[noreturn]] void throwCorrupt(const std::string &detail)
{
    throw StorageError(StorageFault::Corrupt, detail);
}

} // namespace

LogReplay::LogReplay(std::optional<ConsensusSnapshot> snapshot)
{
    m_state.snapshot = std::move(snapshot);
}

std::size_t LogReplay::apply(std::string_view bytes, bool lastSegment, std::size_t syncedBytes)
{
    m_highestInSegment = LogIndex{};
    m_hasHardStateInSegment = false;
    std::size_t offset = 0;
    std::size_t validBytes = 0;
    while (const auto decoded = decodeRecord(bytes, offset)) {
        applyRecord(decoded->record);
        offset = decoded->nextOffset;
        // A note of what was synced belongs to the record that follows it in the same write.
        validBytes = std::holds_alternative<SyncedRecord>(decoded->record) ? validBytes : offset;
    }
    const bool complete = offset == bytes.size();
    // After a loss of power, a write that no sync had covered may be missing or torn although a later one is present.
    const std::uint64_t synced = std::max<std::uint64_t>(syncedBytes, complete ? 0 : syncedOffsetFrom(bytes, offset));
    if (offset < synced || (!complete && !lastSegment)) {
        throwCorrupt("invalid log record at byte " + std::to_string(offset));
    }
    return validBytes;
}

void LogReplay::applyRecord(const StorageRecord &record)
{
    if (const auto *hardState = std::get_if<HardState>(&record)) {
        m_state.hardState = *hardState;
        m_hasHardStateInSegment = true;
    } else if (const auto *entry = std::get_if<LogEntry>(&record)) {
        applyEntry(*entry);
    } else if (const auto *truncate = std::get_if<TruncateRecord>(&record)) {
        std::erase_if(m_state.entries, [truncate](const LogEntry &held) { return held.index >= truncate->from; });
    } else if (std::holds_alternative<RestartRecord>(record)) {
        m_state.entries.clear();
    } else if (!std::holds_alternative<SyncedRecord>(record)) {
        throwCorrupt("the log contains a record type that is not allowed in it");
    }
}

void LogReplay::applyEntry(const LogEntry &entry)
{
    if (!m_state.entries.empty() && entry.index != lastIndex() + LogIndex{1}) {
        throwCorrupt("log entry " + std::to_string(entry.index.value) + " does not follow " + std::to_string(lastIndex().value));
    }
    m_highestInSegment = std::max(m_highestInSegment, entry.index);
    m_state.entries.push_back(entry);
}

LogIndex LogReplay::lastIndex() const
{
    return m_state.entries.empty() ? LogIndex{} : m_state.entries.back().index;
}

RestoredState LogReplay::finish()
{
    std::vector<LogEntry> &entries = m_state.entries;
    const LogIndex base = m_state.snapshot ? m_state.snapshot->index : LogIndex{};
    if (!entries.empty() && entries.front().index > base + LogIndex{1}) {
        throwCorrupt("log entries are missing after index " + std::to_string(base.value));
    }
    const auto atBase = std::find_if(entries.begin(), entries.end(), [base](const LogEntry &entry) { return entry.index == base; });
    const bool conflictsWithSnapshot = atBase != entries.end() && atBase->term != m_state.snapshot->term;
    if (conflictsWithSnapshot) {
        // The process crashed after replacing the snapshot and before writing the record that invalidates the log entries.
        entries.clear();
    }
    std::erase_if(entries, [base](const LogEntry &entry) { return entry.index <= base; });
    return std::move(m_state);
}

} // namespace Hemlockhill
