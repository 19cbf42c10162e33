// Checksummed records, the format in which hard state, log entries and snapshots are stored in files.
//
// A record consists of the magic number "HHR1", the length of the body (4 bytes), the CRC-32 of length and body (4 bytes) and the body.
// Integers are little-endian.
#pragma once

#include "hemlockhill/consensus.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Hemlockhill
{

// Invalidates all earlier entries from an index on.
struct TruncateRecord {
    LogIndex from;
};

// Invalidates all earlier entries. The log continues after an index that a snapshot covers.
struct RestartRecord {
    LogIndex after;
};

// States that a segment has been synced up to an offset in bytes. Also precedes the first write after each sync in the segment itself.
struct SyncedRecord {
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
};

// Identity of the voter that owns the data folder.
struct IdentityRecord {
    VoterId voter;
};

using StorageRecord = std::variant<HardState, LogEntry, TruncateRecord, RestartRecord, SyncedRecord, IdentityRecord, ConsensusSnapshot>;

// Throws Error when the body does not fit into a 32-bit length.
std::string encodeRecord(const StorageRecord &record);

// A record and the offset in bytes of its end.
struct DecodedRecord {
    StorageRecord record;
    std::size_t nextOffset = 0;
};

// Decodes the record that starts at offset. Empty when there is no complete record with a matching checksum. Throws DecodeError when the
// checksum matches but the body is malformed.
std::optional<DecodedRecord> decodeRecord(std::string_view bytes, std::size_t offset);

// Offset up to which the bytes have been synced according to the complete records at or after an offset; 0 if none of them says so.
std::uint64_t syncedOffsetFrom(std::string_view bytes, std::size_t offset);

} // namespace Hemlockhill
