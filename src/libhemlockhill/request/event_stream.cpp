// Parsing of server-sent events.
#include "hemlockhill/event_stream.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace Hemlockhill
{

namespace
{

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data:";

std::string dataOf(std::string_view event)
{
    std::string data;
    std::size_t position = 0;
    while (position < event.size()) {
        const std::size_t lineEnd = std::min(event.find('\n', position), event.size());
        std::string_view line = event.substr(position, lineEnd - position);
        position = lineEnd + 1;
        if (!line.starts_with(DataField)) {
            continue;
        }
        line.remove_prefix(DataField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        data += data.empty() ? "" : "\n";
        data += line;
    }
    return data;
}

} // namespace

std::vector<StreamEvent> EventStreamSplitter::feed(std::string_view bytes)
{
    // Removes carriage returns, so that a blank line always appears as two line feeds.
    std::copy_if(bytes.begin(), bytes.end(), std::back_inserter(m_pending), [](char byte) { return byte != '\r'; });
    std::vector<StreamEvent> events;
    std::size_t start = 0;
    for (std::size_t end = m_pending.find(EventEnd); end != std::string::npos; end = m_pending.find(EventEnd, start)) {
        const std::size_t next = end + EventEnd.size();
        const std::string raw = m_pending.substr(start, next - start);
        events.push_back({raw, dataOf(raw)});
        start = next;
    }
    m_pending.erase(0, start);
    return events;
}

std::size_t EventBoundaryTracker::feed(std::string_view bytes)
{
    std::size_t complete = 0;
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        const char byte = bytes[index];
        const bool endsPreviousLine = byte == '\n' && m_afterCarriageReturn;
        m_afterCarriageReturn = byte == '\r';
        if (byte != '\n' && byte != '\r') {
            m_insideLine = true;
            m_insideEvent = true;
        } else if (!endsPreviousLine) {
            endLine();
        }
        if (!m_insideEvent) {
            complete = index + 1;
        }
    }
    m_incompleteBytes = (complete == 0 ? m_incompleteBytes : 0) + bytes.size() - complete;
    return complete;
}

// A blank line ends an event.
void EventBoundaryTracker::endLine()
{
    if (m_insideEvent && !m_insideLine) {
        m_insideEvent = false;
        ++m_completeEvents;
    }
    m_insideLine = false;
}

void EventBoundaryTracker::discardIncomplete()
{
    m_insideEvent = false;
    m_insideLine = false;
    m_afterCarriageReturn = false;
    m_incompleteBytes = 0;
}

bool isWellFormed(const StreamEvent &event)
{
    boost::json::error_code error;
    return event.data.empty() || (boost::json::parse(event.data, error).is_object() && !error);
}

std::optional<TokenCount> tokenOffsetOf(const StreamEvent &event)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(event.data, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const boost::json::value *offset = value.get_object().if_contains("token_offset");
    if (offset == nullptr) {
        return std::nullopt;
    }
    const auto number = offset->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(TokenCount{number});
}

} // namespace Hemlockhill
