// Tests how QuarantineGuard classifies failed exchanges, with a simulated replicated register.
#include "quarantine_guard.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t Copies = 3;
const EndpointId First{"r1"};
const EndpointId Second{"r2"};
const Fingerprint SuspectFingerprint{7};
const Fingerprint OtherFingerprint{8};

struct GuardFixture {
    GuardFixture()
        : guard(VmId{"vm-a"}, timers, metrics, loop)
    {
        report("1");
    }

    // Delivers reports of both endpoints, the first with the given incarnation. An empty one omits the first endpoint's report.
    void report(const std::string &incarnation)
    {
        EndpointReports reports;
        reports[Second].incarnation = Incarnation{"1"};
        reports[Second].requestedAt = currentTime();
        if (!incarnation.empty()) {
            reports[First].incarnation = Incarnation{incarnation};
            reports[First].requestedAt = currentTime();
        }
        guard.onReports(std::make_shared<const EndpointReports>(std::move(reports)));
    }

    void connectPort()
    {
        guard.connect([this](QuarantineCommand command, QuarantineReply reply) {
            commands.push_back(std::move(command));
            replies.push_back(std::move(reply));
        });
    }

    void fail(AttemptId attempt)
    {
        guard.onFailed(attempt, true, [this](std::size_t lostTogether) { released.push_back(lostTogether); });
    }

    QuarantineVerdict verdict(std::size_t copies = Copies) const { return guard.decide(SuspectFingerprint, copies).verdict; }

    boost::asio::io_context loop;
    TimerService timers;
    Metrics metrics;
    QuarantineGuard guard;
    std::vector<QuarantineCommand> commands;
    std::vector<QuarantineReply> replies;
    std::vector<std::size_t> released;
};

} // namespace

BOOST_AUTO_TEST_CASE(lost_connection_does_not_create_a_suspect)
{
    GuardFixture test;
    test.guard.onDispatched(AttemptId{1}, SuspectFingerprint, First);
    test.fail(AttemptId{1});
    BOOST_TEST(test.released.empty());
    test.report("1");
    BOOST_TEST(test.released == std::vector<std::size_t>{0}, boost::test_tools::per_element());
    BOOST_CHECK(test.verdict() == QuarantineVerdict::Allowed);
}

BOOST_AUTO_TEST_CASE(requests_on_a_lost_endpoint_are_suspects_until_answered_completely)
{
    for (const std::string incarnation : {"", "2"}) {
        GuardFixture test;
        test.guard.onDispatched(AttemptId{1}, OtherFingerprint, First);
        test.guard.onDispatched(AttemptId{2}, SuspectFingerprint, First);
        test.fail(AttemptId{1});
        test.report(incarnation);
        BOOST_TEST(test.released == std::vector<std::size_t>{2}, boost::test_tools::per_element());
        BOOST_CHECK(test.verdict() == QuarantineVerdict::TrialOnly);
        BOOST_CHECK(test.verdict(1) == QuarantineVerdict::Refused);
        test.guard.onEnded(AttemptId{2}, SuspectFingerprint, true);
        BOOST_CHECK(test.verdict() == QuarantineVerdict::Allowed);
    }
}

BOOST_AUTO_TEST_CASE(request_recorded_as_lost_is_released_like_the_others_although_it_did_not_run)
{
    GuardFixture test;
    test.guard.onDispatched(AttemptId{1}, OtherFingerprint, First);
    test.guard.onDispatched(AttemptId{2}, SuspectFingerprint, First);
    test.fail(AttemptId{1});
    test.report("");
    test.guard.onHarmless(AttemptId{2});
    test.fail(AttemptId{2});
    BOOST_TEST(test.released == (std::vector<std::size_t>{2, 2}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(request_whose_caller_disconnected_is_a_suspect)
{
    GuardFixture test;
    test.guard.onDispatched(AttemptId{1}, SuspectFingerprint, First);
    test.guard.onEnded(AttemptId{1}, SuspectFingerprint, false);
    test.report("");
    BOOST_CHECK(test.verdict() == QuarantineVerdict::TrialOnly);
}

BOOST_AUTO_TEST_CASE(lost_request_is_held_until_commit_and_stays_a_suspect_when_the_commit_is_refused)
{
    GuardFixture test;
    test.connectPort();
    test.guard.onDispatched(AttemptId{1}, SuspectFingerprint, First);
    test.fail(AttemptId{1});
    test.report("");
    BOOST_REQUIRE(test.replies.size() == 1);
    BOOST_TEST(test.released.empty());
    test.replies.front()(Refusal{Reason::NoQuorum, Ran::Unknown, {}, {}, {}});
    BOOST_TEST(test.released == std::vector<std::size_t>{1}, boost::test_tools::per_element());
    BOOST_CHECK(test.verdict() == QuarantineVerdict::TrialOnly);
}

BOOST_AUTO_TEST_CASE(trial_is_exclusive_and_starts_after_it_was_granted)
{
    GuardFixture test;
    test.connectPort();
    std::vector<TrialReply> trials;
    const auto listener = [&trials](const TrialReply &reply) { trials.push_back(reply); };
    test.guard.startTrial(AttemptId{1}, SuspectFingerprint, {{First, 4}, {Second, 1}}, listener);
    BOOST_TEST(trials.empty());
    test.guard.startTrial(AttemptId{2}, SuspectFingerprint, {{First, 4}}, listener);
    test.guard.startTrial(AttemptId{3}, OtherFingerprint, {{Second, 1}}, listener);
    BOOST_REQUIRE(trials.size() == 2);
    BOOST_TEST((trials[0].busy && trials[1].busy));
    test.replies.front()(QuarantineOutcome::TrialGranted);
    BOOST_REQUIRE(trials.size() == 3);
    BOOST_CHECK(trials[2].endpoint == Second);
    // The trial ends with its attempt.
    test.guard.onEnded(AttemptId{1}, SuspectFingerprint, false);
    BOOST_REQUIRE(test.commands.size() == 2);
    BOOST_TEST(std::holds_alternative<EndTrial>(test.commands.back().step));
}

} // namespace Hemlockhill
