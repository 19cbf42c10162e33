// Test support: simulates one randomised schedule of at-most-once calls on virtual time. The simulated service counts the runs of each
// call and so provides the ground truth. Several nodes share one register. Proposals and replies are delayed, duplicated and lost;
// nodes are killed and frozen, also between the check of the dispatch deadline and the first byte; callers resend at all nodes; keys
// expire.
#pragma once

#include "hemlockhill/exchange_messages.h"
#include "hemlockhill/once_call.h"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <array>
#include <functional>
#include <iomanip>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace Hemlockhill::Testing
{

// Counts of one schedule. The first five are faults and must be zero.
struct OnceScheduleResult {
    // Runs of a call beyond its first.
    std::uint64_t extraRuns = 0;
    // Refusals stating that the call did not run although it had run before or was sent by the same attempt.
    std::uint64_t falseNotRun = 0;
    // Answers that differ from that of the first run.
    std::uint64_t wrongAnswers = 0;
    // Refusals stating that the call ran although it had not.
    std::uint64_t falseRun = 0;
    // Callers that stayed connected to a node that was not killed, but received no response.
    std::uint64_t unanswered = 0;
    std::uint64_t runs = 0;
    std::uint64_t answered = 0;
    std::uint64_t unknown = 0;
    std::uint64_t notRun = 0;
    // Calls whose first byte was sent after the dispatch deadline because the node was frozen in between.
    std::uint64_t lateRuns = 0;

    std::uint64_t faults() const { return extraRuns + falseNotRun + wrongAnswers + falseRun + unanswered; }
};

class OnceSchedule
{
public:
    explicit OnceSchedule(std::uint64_t seed)
        : m_random(seed)
    {
        m_lossPercent = pick(0, 30);
        m_killPercent = pick(0, 15);
        m_freezePercent = pick(0, 15);
    }

    OnceScheduleResult run()
    {
        for (std::size_t index = 0; index < m_calls.size(); ++index) {
            prepareCall(index);
        }
        for (int expiry = 0; expiry < ExpiryCount; ++expiry) {
            at(pick(0, HorizonMs), [this] { propose(expire(), [](const OnceOutcome &) {}); });
        }
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_nowMs = first->first;
            const auto event = std::move(first->second);
            m_events.erase(first);
            event();
        }
        checkAtEnd();
        return m_result;
    }

private:
    static constexpr std::int64_t HorizonMs = 60'000;
    static constexpr std::int64_t RetentionMs = 15'000;
    static constexpr std::int64_t StartMs = 1'700'000'000'000;
    static constexpr int ExpiryCount = 4;
    static constexpr int NodeCount = 3;

    struct Node {
        std::uint64_t incarnation = 1;
        std::int64_t frozenUntilMs = 0;
        std::int64_t clockSkewMs = 0;
    };

    // One call from its caller's point of view. All resends carry the same key.
    struct Call {
        IdempotencyKey key;
        std::uint64_t runs = 0;
        std::string firstAnswer;
    };

    // One request of a call at one node.
    struct Attempt {
        std::size_t call;
        std::size_t node;
        std::uint64_t incarnation;
        OnceCall machine;
        bool sent = false;
        bool reportedNotRun = false;
        // The caller was answered or refused, or has disconnected.
        bool done = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    using Handler = std::function<void()>;

    std::int64_t pick(std::int64_t low, std::int64_t high)
    {
        return boost::random::uniform_int_distribution<std::int64_t>(low, high)(m_random);
    }
    bool chance(std::int64_t percent) { return pick(1, 100) <= percent; }
    void at(std::int64_t timeMs, Handler handler) { m_events.emplace(timeMs, std::move(handler)); }
    void after(std::int64_t delayMs, Handler handler) { at(m_nowMs + delayMs, std::move(handler)); }
    TimePoint now() const { return TimePoint(std::chrono::milliseconds(m_nowMs)); }

    // Runs the handler at the attempt's node after the delay. It is dropped if the node was killed and deferred while the node is frozen.
    void atNode(const AttemptPtr &attempt, std::int64_t delayMs, const Handler &handler)
    {
        after(delayMs, [this, attempt, handler] {
            Node &node = m_nodes[attempt->node];
            if (node.incarnation != attempt->incarnation) {
                return;
            }
            if (node.frozenUntilMs > m_nowMs) {
                atNode(attempt, node.frozenUntilMs - m_nowMs, handler);
                return;
            }
            handler();
        });
    }

    void prepareCall(std::size_t index)
    {
        const std::int64_t createdMs = pick(0, HorizonMs / 2);
        m_calls[index].key.value = chance(50) ? timedKey(createdMs, index) : "transfer-" + std::to_string(index);
        std::int64_t timeMs = createdMs;
        for (std::int64_t sends = pick(1, 6); sends > 0; --sends) {
            at(timeMs, [this, index] { send(index); });
            timeMs += chance(50) ? pick(0, 20) : pick(0, HorizonMs);
        }
    }

    static std::string timedKey(std::int64_t createdMs, std::size_t index)
    {
        std::ostringstream text;
        text << std::hex << std::setw(12) << std::setfill('0') << StartMs + createdMs;
        const std::string time = text.str();
        return time.substr(0, 8) + "-" + time.substr(8) + "-7000-8000-00000000000" + std::to_string(index);
    }

    void send(std::size_t index)
    {
        const auto nodeIndex = static_cast<std::size_t>(pick(0, NodeCount - 1));
        Node &node = m_nodes[nodeIndex];
        node.clockSkewMs = pick(-200, 200);
        ClaimKey claim;
        claim.key = m_calls[index].key;
        claim.service = ServiceId{"register"};
        claim.call = Digest{1, index};
        claim.claim = ClaimId{std::to_string(nodeIndex) + "-" + std::to_string(node.incarnation) + "-" + std::to_string(++m_lastClaim)};
        OnceCallOptions options;
        options.dispatchWindow = std::chrono::milliseconds(1000);
        options.proposalLimit = 4;
        const auto attempt = std::make_shared<Attempt>(Attempt{index, nodeIndex, node.incarnation, OnceCall(std::move(claim), options)});
        m_attempts.push_back(attempt);
        execute(attempt, attempt->machine.start(now()));
        if (chance(10)) {
            atNode(attempt, pick(0, 500), [this, attempt] {
                attempt->done = true;
                handle(attempt, CallerDisconnected{});
            });
        }
    }

    void handle(const AttemptPtr &attempt, const OnceCallEvent &event) { execute(attempt, attempt->machine.handle(event, now())); }

    void execute(const AttemptPtr &attempt, const std::vector<OnceCallAction> &actions)
    {
        for (const OnceCallAction &action : actions) {
            injectFault(attempt);
            std::visit([this, &attempt](const auto &typed) { execute(attempt, typed); }, action);
        }
    }

    // Randomly kills or freezes the node before one of its actions.
    void injectFault(const AttemptPtr &attempt)
    {
        Node &node = m_nodes[attempt->node];
        if (chance(m_killPercent)) {
            after(pick(0, 30), [&node] { ++node.incarnation; });
        }
        if (chance(m_freezePercent)) {
            node.frozenUntilMs = m_nowMs + (chance(80) ? pick(0, 2000) : pick(0, HorizonMs));
        }
    }

    void execute(const AttemptPtr &attempt, const ProposeClaim &action)
    {
        propose(
            command(attempt, action.claim),
            [this, attempt](const OnceOutcome &outcome) { handle(attempt, ClaimReplied{outcome.steps.at(0)}); },
            attempt);
        atNode(attempt, 1500, [this, attempt] { handle(attempt, ClaimFailed{Refusal{Reason::NoQuorum}}); });
    }

    void execute(const AttemptPtr &attempt, const ProposeResolution &action)
    {
        atNode(attempt, std::chrono::duration_cast<std::chrono::milliseconds>(action.delay).count(), [this, attempt, action] {
            propose(
                command(attempt, action.step),
                [this, attempt](const OnceOutcome &outcome) {
                    const OnceVerdict verdict = outcome.steps.at(0).verdict;
                    const bool committed = verdict == OnceVerdict::Recorded || verdict == OnceVerdict::Released;
                    handle(attempt, ResolutionReplied{committed});
                },
                attempt);
            atNode(attempt, 1500, [this, attempt] { handle(attempt, ResolutionReplied{false}); });
        });
    }

    void execute(const AttemptPtr &attempt, const StartOutcomeTimer &action)
    {
        atNode(attempt, std::chrono::duration_cast<std::chrono::milliseconds>(action.delay).count(), [this, attempt] {
            handle(attempt, OutcomeTimedOut{});
        });
    }

    void execute(const AttemptPtr &attempt, const DispatchCall &action)
    {
        if (chance(m_lossPercent)) {
            atNode(attempt, pick(1, 300), [this, attempt] { handle(attempt, CallFailed{Reason::EndpointLost, false}); });
            return;
        }
        atNode(attempt, pick(1, 50), [this, attempt, sendBefore = action.sendBefore] {
            if (now() >= sendBefore) {
                handle(attempt, CallFailed{Reason::DeadlineExceeded, false});
                return;
            }
            injectFault(attempt);
            atNode(attempt, 0, [this, attempt, sendBefore] { sendBytes(attempt, sendBefore); });
        });
    }

    void sendBytes(const AttemptPtr &attempt, TimePoint sendBefore)
    {
        attempt->sent = true;
        m_result.lateRuns += now() >= sendBefore ? 1 : 0;
        atNode(attempt, 3000, [this, attempt] { handle(attempt, CallFailed{Reason::EndpointSilent, true}); });
        if (chance(m_lossPercent)) {
            atNode(attempt, pick(1, 1000), [this, attempt] { handle(attempt, CallFailed{Reason::EndpointLost, true}); });
        }
        if (chance(m_lossPercent / 2)) {
            return;
        }
        after(pick(1, 100), [this, attempt] { runAtService(attempt); });
    }

    void runAtService(const AttemptPtr &attempt)
    {
        Call &call = m_calls[attempt->call];
        ++call.runs;
        StoredAnswer answer;
        answer.body = "run " + std::to_string(call.runs) + " of call " + std::to_string(attempt->call);
        if (call.firstAnswer.empty()) {
            call.firstAnswer = answer.body;
        }
        if (!chance(m_lossPercent)) {
            atNode(attempt, pick(1, 50), [this, attempt, answer] { handle(attempt, CallAnswered{answer}); });
        }
    }

    void execute(const AttemptPtr &attempt, const AnswerCaller &action)
    {
        ++m_result.answered;
        attempt->done = true;
        const Call &call = m_calls[attempt->call];
        m_result.wrongAnswers += action.answer.body == call.firstAnswer && !call.firstAnswer.empty() ? 0 : 1;
    }

    void execute(const AttemptPtr &attempt, const RefuseCall &action)
    {
        attempt->done = true;
        const Call &call = m_calls[attempt->call];
        if (action.refusal.ran == Ran::No) {
            ++m_result.notRun;
            attempt->reportedNotRun = true;
        } else if (action.refusal.ran == Ran::Yes) {
            m_result.falseRun += call.runs > 0 ? 0 : 1;
        } else {
            ++m_result.unknown;
        }
    }

    void execute(const AttemptPtr &, const CallClosed &) { }

    OnceCommand command(const AttemptPtr &attempt, OnceStep step)
    {
        const std::int64_t wallMs = StartMs + m_nowMs + m_nodes[attempt->node].clockSkewMs;
        return OnceCommand{WallTime(std::chrono::milliseconds(wallMs)), {std::move(step)}};
    }

    OnceCommand expire() const
    {
        return OnceCommand{WallTime(std::chrono::milliseconds(StartMs + m_nowMs)), {ExpireKeys{std::chrono::milliseconds(RetentionMs)}}};
    }

    // Delivers a command to the register once, twice or not at all, each time with a reply that may be lost.
    void propose(const OnceCommand &proposal, const std::function<void(const OnceOutcome &)> &reply, const AttemptPtr &attempt = {})
    {
        const int copies = chance(m_lossPercent) ? 0 : (chance(10) ? 2 : 1);
        for (int copy = 0; copy < copies; ++copy) {
            after(chance(90) ? pick(1, 20) : pick(1, 5000), [this, proposal, reply, attempt] {
                const OnceOutcome outcome = applied(proposal, attempt);
                if (attempt && !chance(m_lossPercent)) {
                    atNode(attempt, chance(90) ? pick(1, 20) : pick(1, 5000), [reply, outcome] { reply(outcome); });
                }
            });
        }
    }

    OnceOutcome applied(const OnceCommand &proposal, const AttemptPtr &attempt)
    {
        if (chance(2)) {
            m_register = OnceRegister::restore(m_register.snapshot(), m_limits);
        }
        OnceOutcome outcome = m_register.apply(decodeOnceCommand(encode(proposal)));
        const bool isClaim = std::holds_alternative<ClaimKey>(proposal.steps.at(0));
        const OnceVerdict verdict = outcome.steps.at(0).verdict;
        if (isClaim && verdict != OnceVerdict::Granted && refusalOf(verdict).ran == Ran::No) {
            m_result.falseNotRun += m_calls[attempt->call].runs;
        }
        return outcome;
    }

    void checkAtEnd()
    {
        for (const Call &call : m_calls) {
            m_result.runs += call.runs;
            m_result.extraRuns += call.runs > 1 ? call.runs - 1 : 0;
        }
        for (const AttemptPtr &attempt : m_attempts) {
            m_result.falseNotRun += attempt->reportedNotRun && attempt->sent ? 1 : 0;
            const bool nodeSurvived = m_nodes[attempt->node].incarnation == attempt->incarnation;
            m_result.unanswered += nodeSurvived && !attempt->done ? 1 : 0;
        }
    }

    boost::random::mt19937_64 m_random;
    std::int64_t m_lossPercent = 0;
    std::int64_t m_killPercent = 0;
    std::int64_t m_freezePercent = 0;
    std::int64_t m_nowMs = 0;
    std::multimap<std::int64_t, Handler> m_events;
    OnceLimits m_limits{.outcomeGracePeriod = std::chrono::milliseconds(2000), .maxClockSkew = std::chrono::milliseconds(1000)};
    OnceRegister m_register{m_limits};
    std::array<Node, NodeCount> m_nodes;
    std::array<Call, 2> m_calls;
    std::vector<AttemptPtr> m_attempts;
    std::uint64_t m_lastClaim = 0;
    OnceScheduleResult m_result;
};

} // namespace Hemlockhill::Testing
