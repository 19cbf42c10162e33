// Recovery of the log from its segments, which tells an incomplete last write (torn tail) from corruption.
#pragma once

#include "hemlockhill/log_storage.h"
#include "storage/record_codec.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// Rebuilds hard state and entries by applying the records of all segments in order.
class LogReplay
{
public:
    explicit LogReplay(std::optional<ConsensusSnapshot> snapshot);

    // Applies the records of one segment and returns the size of its valid records in bytes. An invalid tail of the last segment is
    // ignored. Throws StorageError with StorageFault::Corrupt when an invalid record is in an earlier segment, or starts before syncedBytes
    // or an offset that a later record states to be synced.
    std::size_t apply(std::string_view bytes, bool lastSegment, std::size_t syncedBytes);

    // Index of the last entry of the log, or 0 when it has no entries.
    LogIndex lastIndex() const;
    // Highest entry index in the most recently applied segment.
    LogIndex highestInSegment() const { return m_highestInSegment; }
    // Whether the most recently applied segment holds the hard state.
    bool hasHardStateInSegment() const { return m_hasHardStateInSegment; }

    // Moves out the recovered state. Throws StorageError with StorageFault::Corrupt when entries are missing between snapshot and log.
    RestoredState finish();

private:
    void applyRecord(const StorageRecord &record);
    void applyEntry(const LogEntry &entry);

    RestoredState m_state;
    LogIndex m_highestInSegment;
    bool m_hasHardStateInSegment = false;
};

} // namespace Hemlockhill
