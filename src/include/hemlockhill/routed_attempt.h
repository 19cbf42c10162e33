// What follows when an exchange of a routed request fails: another endpoint, a refusal, a failure, or a cut answer. Pure decisions.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Hemlockhill
{

// What has been done for one caller's request so far.
struct AttemptHistory {
    // Exchanges that were sent.
    std::uint32_t exchanges = 0;
    // Those after which the endpoint may have begun to run the request.
    std::uint32_t possibleRuns = 0;
    // True once some of the answer has gone to the caller.
    bool answerBegan = false;
};

enum class NextStep {
    // Send the request, or the rest of its stream, to another endpoint.
    TryAnother,
    // Tell the caller that the request did not run and when to come back.
    Refuse,
    // Tell the caller that the request failed and may have run.
    Fail,
    // End an answer that has begun so that it cannot be taken for a whole one.
    CutOff
};

// Exchanges that one request may use up, those included that were turned away unrun.
inline constexpr std::uint32_t ExchangeLimit = 4;

// timeLeft is the time until the caller's deadline; mayRetry tells whether the retry budget allows another exchange.
NextStep nextStep(const Route &route, const AttemptHistory &history, Duration timeLeft, bool mayRetry);

// Passes on the whole events of a stream and holds back the bytes of one that has not ended, so that the stream can go on elsewhere.
class ResumePoint
{
public:
    // The bytes up to the end of the last whole event.
    std::string feed(std::string_view bytes);
    // The id of the last event passed on; empty before the first.
    const std::string &lastEventId() const { return m_lastEventId; }
    // Forgets the bytes held back, before the stream goes on from another endpoint.
    void dropPartial() { m_partial.clear(); }
    bool hasPartial() const { return !m_partial.empty(); }
    // Takes what is held back as it is, at the end of a whole answer.
    std::string takePartial();

private:
    std::string m_partial;
    std::string m_lastEventId;
};

} // namespace Hemlockhill
