// Tests of the state machine of one at-most-once call, driven event by event.
#include "hemlockhill/once_call.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using std::chrono::milliseconds;

namespace
{

TimePoint at(std::int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

template<typename Action>
const Action &only(const std::vector<OnceCallAction> &actions)
{
    BOOST_REQUIRE_EQUAL(actions.size(), 1U);
    return std::get<Action>(actions.front());
}

ClaimReplied verdict(OnceVerdict verdict)
{
    return ClaimReplied{StepOutcome{verdict, {}}};
}

// Returns a call whose claim was granted and that was dispatched at 10 ms.
OnceCall dispatched()
{
    OnceCall call(ClaimKey{IdempotencyKey{"k"}, ServiceId{"register"}, {}, {}, VmId{"vm-a"}, ClaimId{"c1"}, {}});
    only<ProposeClaim>(call.start(at(0)));
    only<DispatchCall>(call.handle(verdict(OnceVerdict::Granted), at(10)));
    return call;
}

const StoredAnswer Answer{200, "text/plain", {}, "deed"};

} // namespace

BOOST_AUTO_TEST_CASE(caller_is_answered_after_outcome_commit)
{
    OnceCall call = dispatched();
    const auto actions = call.handle(CallAnswered{Answer}, at(20));
    BOOST_CHECK(std::get<RecordOutcome>(std::get<ProposeResolution>(actions.at(0)).step).answer == Answer);
    BOOST_CHECK(std::holds_alternative<StartOutcomeTimer>(actions.at(1)));
    const auto last = call.handle(ResolutionReplied{true}, at(25));
    BOOST_CHECK(std::get<AnswerCaller>(last.at(0)).answer == Answer);
    BOOST_TEST(call.closed());
    BOOST_TEST(call.handle(verdict(OnceVerdict::Granted), at(30)).empty());
}

BOOST_AUTO_TEST_CASE(caller_is_answered_on_outcome_timeout_without_quorum)
{
    OnceCall call = dispatched();
    call.handle(CallAnswered{Answer}, at(20));
    only<AnswerCaller>(call.handle(OutcomeTimedOut{}, at(320)));
    BOOST_CHECK(only<ProposeResolution>(call.handle(ResolutionReplied{false}, at(400))).delay > Duration(0));
    only<CallClosed>(call.handle(ResolutionReplied{true}, at(500)));
}

BOOST_AUTO_TEST_CASE(claim_granted_after_dispatch_window_is_released_unsent)
{
    OnceCall call(ClaimKey{});
    call.start(at(0));
    const auto actions = call.handle(verdict(OnceVerdict::Granted), at(5000));
    BOOST_CHECK(std::get<RefuseCall>(actions.at(0)).refusal.ran == Ran::No);
    BOOST_CHECK(std::holds_alternative<ReleaseClaim>(std::get<ProposeResolution>(actions.at(1)).step));
}

BOOST_AUTO_TEST_CASE(unsent_call_is_retried_on_other_endpoints_then_released)
{
    OnceCall call = dispatched();
    only<DispatchCall>(call.handle(CallFailed{Reason::EndpointLost, false}, at(20)));
    only<DispatchCall>(call.handle(CallFailed{Reason::EndpointLost, false}, at(30)));
    const auto actions = call.handle(CallFailed{Reason::EndpointLost, false}, at(40));
    BOOST_CHECK(std::get<RefuseCall>(actions.at(0)).refusal.ran == Ran::No);
    BOOST_CHECK(std::holds_alternative<ReleaseClaim>(std::get<ProposeResolution>(actions.at(1)).step));
}

BOOST_AUTO_TEST_CASE(sent_call_is_never_sent_again)
{
    OnceCall call = dispatched();
    const auto actions = call.handle(CallFailed{Reason::EndpointLost, true}, at(20));
    BOOST_CHECK(std::get<RefuseCall>(actions.at(0)).refusal.ran == Ran::Unknown);
    BOOST_CHECK(!std::get<RecordOutcome>(std::get<ProposeResolution>(actions.at(1)).step).answer);
    BOOST_TEST(call.handle(CallFailed{Reason::EndpointLost, false}, at(30)).empty());
    BOOST_TEST(call.handle(CallAnswered{Answer}, at(30)).empty());
}

BOOST_AUTO_TEST_CASE(claim_without_reply_is_refused_with_unknown_outcome)
{
    OnceCall call(ClaimKey{});
    call.start(at(0));
    const auto actions = call.handle(ClaimFailed{Refusal{Reason::NoQuorum}}, at(2000));
    BOOST_CHECK(std::get<RefuseCall>(actions.at(0)).refusal.ran == Ran::Unknown);
    BOOST_TEST(call.handle(verdict(OnceVerdict::Granted), at(2100)).empty());
}

BOOST_AUTO_TEST_CASE(caller_disconnect_does_not_stop_the_call)
{
    OnceCall call = dispatched();
    call.handle(CallerDisconnected{}, at(15));
    BOOST_TEST(call.handle(CallAnswered{Answer}, at(20)).size() == 2U);
    only<CallClosed>(call.handle(ResolutionReplied{true}, at(25)));
}

BOOST_AUTO_TEST_CASE(repeated_call_returns_the_registered_outcome)
{
    for (const OnceVerdict held : {OnceVerdict::InProgress, OnceVerdict::Unknown, OnceVerdict::KeyReused, OnceVerdict::AnswerNotKept}) {
        OnceCall call(ClaimKey{});
        call.start(at(0));
        const auto actions = call.handle(verdict(held), at(5));
        BOOST_CHECK(std::get<RefuseCall>(actions.at(0)).refusal == refusalOf(held));
        BOOST_TEST(call.closed());
    }
    OnceCall call(ClaimKey{});
    call.start(at(0));
    const auto actions = call.handle(ClaimReplied{StepOutcome{OnceVerdict::Answered, Answer}}, at(5));
    BOOST_TEST(std::get<AnswerCaller>(actions.at(0)).replayed);
}
