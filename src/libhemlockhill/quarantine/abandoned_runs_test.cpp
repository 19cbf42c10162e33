// Tests of the runs that are watched after their callers have left.
#include "hemlockhill/abandoned_runs.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::seconds(1000);
constexpr Duration Second = std::chrono::seconds(1);

RoutedRequestHead request(std::uint64_t fingerprint)
{
    RoutedRequestHead head;
    head.fingerprint = Fingerprint{fingerprint};
    head.promptParts = {Fingerprint{fingerprint + 100}};
    return head;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_lost_endpoint_gives_its_abandoned_runs_once)
{
    AbandonedRuns runs;
    runs.add(request(1), LossId{7}, Start);
    runs.add(request(2), LossId{8}, Start);
    const auto lost = runs.takeLost(LossId{7}, Start + Second);
    BOOST_REQUIRE_EQUAL(lost.size(), 1);
    BOOST_CHECK(lost[0].fingerprint == Fingerprint{1});
    BOOST_CHECK(lost[0].promptParts == std::vector<Fingerprint>{Fingerprint{101}});
    BOOST_CHECK(lost[0].abandonedAt == Start);
    BOOST_CHECK(runs.takeLost(LossId{7}, Start + Second).empty());
    BOOST_CHECK_EQUAL(runs.takeUnlisted({{}, Start}, Start + Second).size(), 1);
    BOOST_CHECK(runs.empty());
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_answers_a_later_request_was_not_crashed)
{
    AbandonedRuns runs;
    runs.add(request(1), LossId{7}, Start);
    runs.onEndpointAnswered({LossId{7}, Start - 2 * Second, Start - Second}, Start);
    BOOST_CHECK(!runs.empty());
    runs.onEndpointAnswered({LossId{7}, Start - 2 * Second, Start + Second}, Start + Second);
    BOOST_CHECK(runs.empty());
}

// Guards against a run that crashed its endpoint and is forgotten because the next incarnation answers in its name.
BOOST_AUTO_TEST_CASE(run_is_forgotten_because_the_next_incarnation_answers)
{
    AbandonedRuns runs;
    runs.add(request(1), LossId{7}, Start);
    runs.add(request(2), LossId{8}, Start);
    for (const LossId loss : {LossId{7}, LossId{8}}) {
        runs.onEndpointAnswered({loss, Start + 3 * Second, Start + 3 * Second}, Start + 3 * Second);
    }
    BOOST_CHECK(runs.takeUnlisted({{LossId{7}, LossId{8}}, Start + 4 * Second}, Start + 4 * Second).empty());
    const auto lost = runs.takeUnlisted({{LossId{7}}, Start + 6 * Second}, Start + 6 * Second);
    BOOST_REQUIRE_EQUAL(lost.size(), 1);
    BOOST_CHECK(lost[0].loss == LossId{8});
    BOOST_CHECK(runs.empty());
}

BOOST_AUTO_TEST_CASE(runs_are_watched_for_a_limited_time_and_in_limited_number)
{
    AbandonedRuns runs({.watchPeriod = 5 * Second, .runs = 3});
    for (std::uint64_t run = 1; run <= 4; ++run) {
        runs.add(request(run), LossId{run}, Start + run * Second);
    }
    BOOST_CHECK(runs.takeLost(LossId{1}, Start + 4 * Second).empty());
    BOOST_CHECK_EQUAL(runs.takeUnlisted({{LossId{3}}, Start}, Start + 7 * Second).size(), 1);
    BOOST_CHECK(!runs.takeLost(LossId{3}, Start + 7 * Second).empty());
}
