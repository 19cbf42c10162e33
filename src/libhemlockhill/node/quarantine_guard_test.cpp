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
const Fingerprint Asked{7};
const Fingerprint Other{8};

struct Guarded {
    Guarded()
        : guard(VmId{"vm-a"}, timers, metrics, loop)
    {
        report("1");
    }

    // Delivers reports of both endpoints, the first with the given incarnation. An empty one omits the first endpoint's report.
    void report(const std::string &incarnation)
    {
        EndpointReports reports;
        reports[Second].incarnation = Incarnation{"1"};
        reports[Second].askedAt = currentTime();
        if (!incarnation.empty()) {
            reports[First].incarnation = Incarnation{incarnation};
            reports[First].askedAt = currentTime();
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
        guard.onFailed(attempt, true, [this](std::size_t together) { released.push_back(together); });
    }

    QuarantineVerdict verdict(std::size_t copies = Copies) const { return guard.decide(Asked, copies).verdict; }

    boost::asio::io_context loop;
    TimerService timers;
    Metrics metrics;
    QuarantineGuard guard;
    std::vector<QuarantineCommand> commands;
    std::vector<QuarantineReply> replies;
    std::vector<std::size_t> released;
};

} // namespace

BOOST_AUTO_TEST_CASE(lost_connection_makes_no_suspect)
{
    Guarded test;
    test.guard.onDispatched(AttemptId{1}, Asked, First);
    test.fail(AttemptId{1});
    BOOST_TEST(test.released.empty());
    test.report("1");
    BOOST_TEST(test.released == std::vector<std::size_t>{0}, boost::test_tools::per_element());
    BOOST_CHECK(test.verdict() == QuarantineVerdict::Allowed);
}

BOOST_AUTO_TEST_CASE(all_that_ran_on_a_lost_endpoint_is_suspect_until_answered_whole)
{
    for (const std::string incarnation : {"", "2"}) {
        Guarded test;
        test.guard.onDispatched(AttemptId{1}, Other, First);
        test.guard.onDispatched(AttemptId{2}, Asked, First);
        test.fail(AttemptId{1});
        test.report(incarnation);
        BOOST_TEST(test.released == std::vector<std::size_t>{2}, boost::test_tools::per_element());
        BOOST_CHECK(test.verdict() == QuarantineVerdict::RunAlone);
        BOOST_CHECK(test.verdict(1) == QuarantineVerdict::Refused);
        test.guard.onEnded(AttemptId{2}, Asked, true);
        BOOST_CHECK(test.verdict() == QuarantineVerdict::Allowed);
    }
}

BOOST_AUTO_TEST_CASE(request_reported_before_it_was_known_not_to_have_run_goes_on_like_the_others)
{
    Guarded test;
    test.guard.onDispatched(AttemptId{1}, Other, First);
    test.guard.onDispatched(AttemptId{2}, Asked, First);
    test.fail(AttemptId{1});
    test.report("");
    test.guard.onNotRun(AttemptId{2});
    test.fail(AttemptId{2});
    BOOST_TEST(test.released == (std::vector<std::size_t>{2, 2}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(request_whose_caller_has_left_is_suspect_too)
{
    Guarded test;
    test.guard.onDispatched(AttemptId{1}, Asked, First);
    test.guard.onEnded(AttemptId{1}, Asked, false);
    test.report("");
    BOOST_CHECK(test.verdict() == QuarantineVerdict::RunAlone);
}

BOOST_AUTO_TEST_CASE(lost_request_waits_for_the_commit_and_a_refused_report_is_remembered)
{
    Guarded test;
    test.connectPort();
    test.guard.onDispatched(AttemptId{1}, Asked, First);
    test.fail(AttemptId{1});
    test.report("");
    BOOST_REQUIRE(test.replies.size() == 1);
    BOOST_TEST(test.released.empty());
    test.replies.front()(Refusal{Reason::NoQuorum, Ran::Unknown, {}, {}, {}});
    BOOST_TEST(test.released == std::vector<std::size_t>{1}, boost::test_tools::per_element());
    BOOST_CHECK(test.verdict() == QuarantineVerdict::RunAlone);
}

BOOST_AUTO_TEST_CASE(trial_is_granted_by_the_port_and_exclusive)
{
    Guarded test;
    test.connectPort();
    std::vector<TrialReply> trials;
    const auto listener = [&trials](const TrialReply &reply) { trials.push_back(reply); };
    test.guard.startTrial(AttemptId{1}, Asked, {{First, 4}, {Second, 1}}, listener);
    BOOST_TEST(trials.empty());
    test.guard.startTrial(AttemptId{2}, Asked, {{First, 4}}, listener);
    test.guard.startTrial(AttemptId{3}, Other, {{Second, 1}}, listener);
    BOOST_REQUIRE(trials.size() == 2);
    BOOST_TEST((trials[0].busy && trials[1].busy));
    test.replies.front()(QuarantineOutcome::TrialGranted);
    BOOST_REQUIRE(trials.size() == 3);
    BOOST_CHECK(trials[2].endpoint == Second);
    // The trial ends with its attempt.
    test.guard.onEnded(AttemptId{1}, Asked, false);
    BOOST_REQUIRE(test.commands.size() == 2);
    BOOST_TEST(std::holds_alternative<EndTrial>(test.commands.back().step));
}

} // namespace Hemlockhill
