// Error handling for routed requests: decides whether to retry, refuse, fail or abort after a failed exchange. Without I/O or state.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/event_stream.h"
#include "hemlockhill/not_run_proof.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// What part of the response the caller has received.
enum class ResponseProgress {
    Nothing,
    // Events, after the last of which another endpoint can resume the stream if the route allows it.
    ResumableEvents,
    // Bytes that only the endpoint that sent them can continue.
    UnresumableBytes
};

// Exchanges of one caller's request so far.
class AttemptHistory
{
public:
    void onBegun();
    // The current exchange has ended. Without a proof its endpoint may have run the request, or may still run it.
    void onEnded(const std::optional<NotRunProof> &proof);
    // The caller has received this part of the response.
    void onResponse(ResponseProgress progress) { m_response = progress; }

    // Number of exchanges.
    std::uint32_t exchanges() const { return m_exchanges; }
    // Number of ended exchanges after which the endpoint may have begun to run the request.
    std::uint32_t possibleRuns() const { return m_possibleRuns; }
    // Number of exchanges that failed before anything was sent to an endpoint.
    std::uint32_t unsent() const { return m_unsent; }
    ResponseProgress response() const { return m_response; }
    // Evidence that no endpoint has run the request or will; empty if one may have, or if an exchange is in progress.
    std::optional<NeverRan> neverRan() const;
    // What proved that an ended exchange has not run the request; empty where nothing did.
    const std::vector<std::optional<NotRunGround>> &ends() const { return m_ends; }

private:
    std::uint32_t m_exchanges = 0;
    std::uint32_t m_possibleRuns = 0;
    std::uint32_t m_unsent = 0;
    ResponseProgress m_response = ResponseProgress::Nothing;
    std::vector<std::optional<NotRunGround>> m_ends;
};

// How a request proceeds after a failed exchange.
enum class RetryDecision {
    // Send the request, or the remainder of its stream, to another endpoint.
    Retry,
    // Report to the caller that the request did not run, and when to retry.
    Refuse,
    // Report to the caller that the request failed and may have run.
    Fail,
    // Abort a response that has started, so that the caller cannot mistake it for a complete one.
    Abort
};

// Maximum number of exchanges for one request, including those that the endpoint refused without running it.
inline constexpr std::uint32_t ExchangeLimit = 4;
// Maximum number of exchanges that fail before anything is sent. They load no endpoint, and are not limited by the retry budget.
inline constexpr std::uint32_t UnsentExchangeLimit = 6;

// Decides how to proceed after a failed exchange. timeLeft is the time until the caller's deadline; mayRetry is whether the retry
// budget allows another exchange after one that was sent.
RetryDecision decideRetry(const Route &route, const AttemptHistory &history, Duration timeLeft, bool mayRetry);

// When the bytes of an incomplete event are forwarded.
enum class PartialEvents {
    // As they arrive.
    Forwarded,
    // Once the event is complete, so that the stream can be resumed at another endpoint.
    Buffered
};

// Tracks the events of a stream on their way from an endpoint to the caller.
class EventForwarder
{
public:
    explicit EventForwarder(PartialEvents partialEvents)
        : m_partialEvents(partialEvents)
    {
    }

    // Takes bytes of the endpoint and returns what is to be forwarded now.
    std::string feed(std::string bytes);
    // Id of the last forwarded event that has one, if incomplete events are buffered. Empty before the first.
    const std::string &lastEventId() const { return m_lastEventId; }
    // Discards the incomplete event, before the stream resumes at another endpoint.
    void dropPartial();
    // Whether the bytes so far end within an event.
    bool isInsideEvent() const { return m_boundary.isInsideEvent(); }
    // Number of bytes of the incomplete event so far.
    std::uint64_t incompleteBytes() const { return m_boundary.incompleteBytes(); }
    // Number of complete events so far.
    std::uint64_t completeEvents() const { return m_boundary.completeEvents(); }

private:
    PartialEvents m_partialEvents;
    EventBoundaryTracker m_boundary;
    std::string m_partial;
    std::string m_lastEventId;
};

} // namespace Hemlockhill
