// Encoding, decoding and checksums of storage records.
#include "storage/record_codec.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <cstring>
#include <limits>

namespace Hemlockhill
{

namespace
{

constexpr std::string_view RecordMagic = "HHR1";
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t ChecksumBytes = 4;
constexpr std::size_t HeaderBytes = RecordMagic.size() + LengthBytes + ChecksumBytes;

std::uint32_t checksumOf(std::string_view length, std::string_view body)
{
    boost::crc_32_type crc;
    crc.process_bytes(length.data(), length.size());
    crc.process_bytes(body.data(), body.size());
    return crc.checksum();
}

template<typename Number>
void putNumber(std::string &out, Number number)
{
    number = boost::endian::native_to_little(number);
    out.append(reinterpret_cast<const char *>(&number), sizeof number);
}

void putText(std::string &out, std::string_view text)
{
    putNumber(out, static_cast<std::uint64_t>(text.size()));
    out += text;
}

class BodyReader
{
public:
    explicit BodyReader(std::string_view rest)
        : m_remaining(rest)
    {
    }

    template<typename Number>
    Number number()
    {
        Number value{};
        const std::string_view bytes = take(sizeof value);
        std::memcpy(&value, bytes.data(), sizeof value);
        return boost::endian::little_to_native(value);
    }

    std::string text() { return std::string(take(number<std::uint64_t>())); }

private:
    std::string_view take(std::size_t size)
    {
        if (size > m_remaining.size()) {
            throw DecodeError("storage record ends before its last field");
        }
        const std::string_view taken = m_remaining.substr(0, size);
        m_remaining.remove_prefix(size);
        return taken;
    }

    std::string_view m_remaining;
};

void putBody(std::string &out, const HardState &state)
{
    putNumber(out, state.term.value);
    putText(out, state.votedFor.value);
}

void putBody(std::string &out, const LogEntry &entry)
{
    putNumber(out, entry.term.value);
    putNumber(out, entry.index.value);
    putNumber(out, static_cast<std::uint8_t>(entry.kind));
    putText(out, entry.payload);
}

void putBody(std::string &out, const TruncateRecord &record)
{
    putNumber(out, record.from.value);
}

void putBody(std::string &out, const RestartRecord &record)
{
    putNumber(out, record.after.value);
}

void putBody(std::string &out, const SyncedRecord &record)
{
    putNumber(out, record.segment);
    putNumber(out, record.offset);
}

void putBody(std::string &out, const IdentityRecord &record)
{
    putText(out, record.voter.value);
}

void putBody(std::string &out, const ConsensusSnapshot &snapshot)
{
    putNumber(out, snapshot.index.value);
    putNumber(out, snapshot.term.value);
    putText(out, encodeMembership(snapshot.membership));
    putText(out, snapshot.data);
}

// The index of each alternative of StorageRecord is part of the file format.
StorageRecord readBody(std::size_t alternative, BodyReader &body)
{
    switch (alternative) {
    case 0: {
        const Term term{body.number<std::uint64_t>()};
        return HardState{term, VoterId{body.text()}};
    }
    case 1: {
        const Term term{body.number<std::uint64_t>()};
        const LogIndex index{body.number<std::uint64_t>()};
        const auto kind = static_cast<EntryKind>(body.number<std::uint8_t>());
        return LogEntry{term, index, kind, body.text()};
    }
    case 2:
        return TruncateRecord{LogIndex{body.number<std::uint64_t>()}};
    case 3:
        return RestartRecord{LogIndex{body.number<std::uint64_t>()}};
    case 4: {
        const auto segment = body.number<std::uint64_t>();
        return SyncedRecord{segment, body.number<std::uint64_t>()};
    }
    case 5:
        return IdentityRecord{VoterId{body.text()}};
    case 6: {
        const LogIndex index{body.number<std::uint64_t>()};
        const Term term{body.number<std::uint64_t>()};
        VoterMembership membership = decodeMembership(body.text());
        return ConsensusSnapshot{index, term, std::move(membership), body.text()};
    }
    default:
        throw DecodeError("storage record has an unknown type number");
    }
}

} // namespace

std::string encodeRecord(const StorageRecord &record)
{
    std::string body;
    putNumber(body, static_cast<std::uint8_t>(record.index()));
    std::visit([&body](const auto &value) { putBody(body, value); }, record);
    if (body.size() > std::numeric_limits<std::uint32_t>::max()) {
        throw Error("storage record exceeds the limit of 4294967295 bytes");
    }
    std::string length;
    putNumber(length, static_cast<std::uint32_t>(body.size()));
    std::string bytes(RecordMagic);
    bytes += length;
    putNumber(bytes, checksumOf(length, body));
    return bytes + body;
}

std::optional<DecodedRecord> decodeRecord(std::string_view bytes, std::size_t offset)
{
    if (bytes.size() < offset + HeaderBytes || bytes.substr(offset, RecordMagic.size()) != RecordMagic) {
        return std::nullopt;
    }
    BodyReader header(bytes.substr(offset + RecordMagic.size()));
    const auto length = header.number<std::uint32_t>();
    const auto checksum = header.number<std::uint32_t>();
    const std::size_t bodyOffset = offset + HeaderBytes;
    if (bytes.size() - bodyOffset < length) {
        return std::nullopt;
    }
    const std::string_view body = bytes.substr(bodyOffset, length);
    if (checksumOf(bytes.substr(offset + RecordMagic.size(), LengthBytes), body) != checksum) {
        return std::nullopt;
    }
    BodyReader reader(body);
    const auto alternative = reader.number<std::uint8_t>();
    return DecodedRecord{readBody(alternative, reader), bodyOffset + length};
}

std::uint64_t syncedOffsetFrom(std::string_view bytes, std::size_t offset)
{
    std::uint64_t synced = 0;
    for (std::size_t found = bytes.find(RecordMagic, offset); found != std::string_view::npos; found = bytes.find(RecordMagic, found + 1)) {
        const auto decoded = decodeRecord(bytes, found);
        if (decoded && std::holds_alternative<SyncedRecord>(decoded->record)) {
            synced = std::max(synced, std::get<SyncedRecord>(decoded->record).offset);
        }
    }
    return synced;
}

} // namespace Hemlockhill
