// The life cycle of one at-most-once call at one node, from the claim of its idempotency key to its recorded outcome.
// A deterministic state machine without I/O: the host executes the returned actions and reports their results as events.
#pragma once

#include "hemlockhill/once_register.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace Hemlockhill
{

struct OnceCallOptions {
    // Time from the proposal of the claim during which the first byte of the call may be sent.
    Duration dispatchWindow = std::chrono::seconds(5);
    // Maximum number of endpoints tried while no byte of the call has been sent.
    std::uint32_t dispatchLimit = 3;
    // Maximum number of proposals of the outcome or release. If all fail, the register counts the claim as unknown after a timeout.
    std::uint32_t proposalLimit = 20;
    // Delay before the outcome or release is proposed again.
    Duration proposalRetryDelay = std::chrono::milliseconds(250);
    // Maximum time that the caller's answer is held back until its outcome is committed.
    Duration outcomeTimeout = std::chrono::milliseconds(300);
};

// The register has applied the claim.
struct ClaimReplied {
    StepOutcome outcome;
};

// The proposal of the claim failed or timed out. The claim may still be committed later.
struct ClaimFailed {
    Refusal refusal;
};

// The exchange ended without a complete answer, or could not be started. In the latter case nothing has reached an endpoint.
struct CallFailed {
    Reason reason = Reason::EndpointLost;
    // True when the endpoint may have received part of the call.
    bool mayHaveReached = false;
};

// The endpoint returned a complete answer.
struct CallAnswered {
    StoredAnswer answer;
};

// The proposal of the outcome or release was committed, or failed.
struct ResolutionReplied {
    bool committed = false;
};

// The timer set by StartOutcomeTimer has expired.
struct OutcomeTimedOut {
};

// The caller closed its connection. The call continues and its outcome is recorded.
struct CallerDisconnected {
};

using OnceCallEvent =
    std::variant<ClaimReplied, ClaimFailed, CallFailed, CallAnswered, ResolutionReplied, OutcomeTimedOut, CallerDisconnected>;

// Propose the claim to the replicated register.
struct ProposeClaim {
    ClaimKey claim;
};

// Send the call on a new connection to an endpoint that this call has not tried yet. The first byte must be sent before sendBefore.
struct DispatchCall {
    TimePoint sendBefore;
};

// Propose the outcome or release of the claim after the delay.
struct ProposeResolution {
    OnceStep step;
    Duration delay{0};
};

// Report OutcomeTimedOut after the delay.
struct StartOutcomeTimer {
    Duration delay{0};
};

// Send the answer to the caller.
struct AnswerCaller {
    StoredAnswer answer;
    // True when the answer was stored by an earlier call with the same key.
    bool replayed = false;
};

// Send the refusal to the caller.
struct RefuseCall {
    Refusal refusal;
};

// The call has ended; no further actions follow.
struct CallClosed {
};

using OnceCallAction = std::variant<ProposeClaim, DispatchCall, ProposeResolution, StartOutcomeTimer, AnswerCaller, RefuseCall, CallClosed>;

// The state machine of one call. start() is called once, handle() for each event; both return the actions to execute, in order.
// Events that do not apply in the current state are ignored.
class OnceCall
{
public:
    OnceCall(ClaimKey claim, OnceCallOptions options = {});
    ~OnceCall();
    OnceCall(OnceCall &&) noexcept;
    OnceCall &operator=(OnceCall &&) noexcept;
    OnceCall(const OnceCall &) = delete;
    OnceCall &operator=(const OnceCall &) = delete;

    std::vector<OnceCallAction> start(TimePoint now);
    std::vector<OnceCallAction> handle(const OnceCallEvent &event, TimePoint now);

    // True once CallClosed has been returned.
    bool closed() const;

private:
    class LifeCycle;
    std::unique_ptr<LifeCycle> m_lifeCycle;
};

} // namespace Hemlockhill
