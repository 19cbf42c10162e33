// Parser for the server-sent events of a streamed response.
#pragma once

#include "hemlockhill/world.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// Maximum size of one event. A stream with a larger one is broken off.
inline constexpr std::size_t EventLimitBytes = 262'144;

// One event: its raw bytes including the terminating blank line, and its data.
struct StreamEvent {
    std::string bytes;
    std::string data;

    // True for the event that marks the end of a complete response.
    bool isEndMarker() const { return data == "[DONE]"; }
};

// Splits a byte stream into events. The bytes of an incomplete event are buffered.
class EventStreamSplitter
{
public:
    std::vector<StreamEvent> feed(std::string_view bytes);
    // Number of buffered bytes of an incomplete event.
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    std::string m_pending;
};

// Finds the boundaries of events in a byte stream whose lines end with LF, CR or CRLF. Buffers nothing.
class EventBoundaryTracker
{
public:
    // Returns how many of the bytes precede the event that is still incomplete: all of them if none is.
    std::size_t feed(std::string_view bytes);
    // Whether the bytes so far end within an event.
    bool isInsideEvent() const { return m_insideEvent; }
    // Number of bytes of the incomplete event so far.
    std::uint64_t incompleteBytes() const { return m_incompleteBytes; }
    // Number of complete events so far.
    std::uint64_t completeEvents() const { return m_completeEvents; }
    // Discards the incomplete event.
    void discardIncomplete();

private:
    void endLine();

    bool m_insideEvent = false;
    bool m_insideLine = false;
    bool m_afterCarriageReturn = false;
    std::uint64_t m_incompleteBytes = 0;
    std::uint64_t m_completeEvents = 0;
};

// True when the event's data is a JSON object or empty. Anything else was corrupted in transit.
bool isWellFormed(const StreamEvent &event);

// Returns the offset of the event's token from the start of the response, or nothing when the event carries no token.
std::optional<TokenCount> tokenOffsetOf(const StreamEvent &event);

} // namespace Hemlockhill
