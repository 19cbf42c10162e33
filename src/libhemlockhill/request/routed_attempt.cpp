// Error handling for routed requests, and buffering of streams for resumption.
#include "hemlockhill/routed_attempt.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

// Minimum remaining time for a retry; with less, it would only add load to an endpoint.
constexpr Duration MinimumRetryTime = std::chrono::milliseconds(30);
constexpr std::string_view IdField = "id:";

// Returns the id of the last event that has one, or an empty string.
std::string lastEventIdIn(std::string_view events)
{
    std::size_t lineEnd = events.size();
    while (lineEnd > 0) {
        const std::size_t before = lineEnd >= 1 ? events.rfind('\n', lineEnd - 1) : std::string_view::npos;
        const std::size_t start = before == std::string_view::npos ? 0 : before + 1;
        std::string_view line = events.substr(start, lineEnd - start);
        if (line.starts_with(IdField)) {
            line.remove_prefix(IdField.size());
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            if (line.ends_with('\r')) {
                line.remove_suffix(1);
            }
            return std::string(line);
        }
        if (before == std::string_view::npos) {
            break;
        }
        lineEnd = before;
    }
    return {};
}

} // namespace

void AttemptHistory::onBegun()
{
    ++m_exchanges;
}

void AttemptHistory::onEnded(const std::optional<NotRunProof> &proof)
{
    m_ends.push_back(proof ? std::optional(proof->ground()) : std::nullopt);
    if (!proof) {
        ++m_possibleRuns;
    } else if (proof->ground() != NotRunGround::EndpointStatement) {
        ++m_unsent;
    }
}

std::optional<NeverRan> AttemptHistory::neverRan() const
{
    const bool hasEnded = m_ends.size() == m_exchanges;
    return hasEnded && m_possibleRuns == 0 ? std::optional(NeverRan()) : std::nullopt;
}

RetryDecision decideRetry(const Route &route, const AttemptHistory &history, Duration timeLeft, bool mayRetry)
{
    const bool mayRunAgain = history.possibleRuns() == 0 || (route.idempotent() && history.possibleRuns() < route.attemptLimit);
    const bool isWithinLimits = history.exchanges() - history.unsent() < ExchangeLimit && history.unsent() < UnsentExchangeLimit;
    const bool retryAllowed = mayRetry && timeLeft >= MinimumRetryTime && isWithinLimits;
    if (history.response() != ResponseProgress::Nothing) {
        const bool resumes =
            route.kind == RouteKind::Streaming && route.resumable && history.response() == ResponseProgress::ResumableEvents;
        return resumes && mayRunAgain && retryAllowed ? RetryDecision::Retry : RetryDecision::Abort;
    }
    if (mayRunAgain && retryAllowed) {
        return RetryDecision::Retry;
    }
    return history.possibleRuns() == 0 ? RetryDecision::Refuse : RetryDecision::Fail;
}

std::string EventForwarder::feed(std::string bytes)
{
    const std::size_t complete = m_boundary.feed(bytes);
    if (m_partialEvents == PartialEvents::Forwarded) {
        return bytes;
    }
    if (complete == 0) {
        m_partial += bytes;
        return {};
    }
    std::string forwarded = std::exchange(m_partial, bytes.substr(complete));
    forwarded.append(bytes, 0, complete);
    if (std::string id = lastEventIdIn(forwarded); !id.empty()) {
        m_lastEventId = std::move(id);
    }
    return forwarded;
}

void EventForwarder::dropPartial()
{
    m_partial.clear();
    m_boundary.discardIncomplete();
}

} // namespace Hemlockhill
