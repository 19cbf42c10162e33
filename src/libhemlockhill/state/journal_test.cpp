// Tests of the journal: capacity per kind, selection, truncation.
#include "hemlockhill/journal.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

TimePoint at(int seconds)
{
    return TimePoint(std::chrono::seconds(seconds));
}

Decision decisionOf(int seconds, DecisionKind kind, const char *model, const char *endpoint)
{
    Decision decision;
    decision.time = at(seconds);
    decision.kind = kind;
    decision.subjects.model = ModelId{model};
    decision.subjects.endpoint = EndpointId{endpoint};
    return decision;
}

} // namespace

BOOST_AUTO_TEST_CASE(many_refusals_do_not_evict_other_kinds)
{
    Journal journal(10);
    journal.record(decisionOf(1, DecisionKind::ModelLoad, "scribe", "r1"));
    for (int second = 2; second < 102; ++second) {
        journal.record(decisionOf(second, DecisionKind::RequestRefused, "scribe", ""));
    }
    JournalFilter loads;
    loads.kind = DecisionKind::ModelLoad;
    BOOST_TEST(journal.select(loads).size() == 1U);
    BOOST_TEST(journal.size() == 11U);
    BOOST_TEST(journal.dropped() == 90U);
    BOOST_TEST(journal.dropped(DecisionKind::RequestRefused) == 90U);
    BOOST_TEST(journal.dropped(DecisionKind::ModelLoad) == 0U);
}

BOOST_AUTO_TEST_CASE(decisions_are_selected_by_subject_and_time_in_order)
{
    Journal journal;
    journal.record(decisionOf(1, DecisionKind::ModelMove, "scribe", "r1"));
    Decision move = decisionOf(2, DecisionKind::ModelMove, "scribe", "r2");
    move.subjects.from = EndpointId{"r1"};
    journal.record(move);
    journal.record(decisionOf(3, DecisionKind::ModelLoad, "oracle", "r1"));
    JournalFilter ofEndpoint;
    ofEndpoint.endpoint = EndpointId{"r1"};
    BOOST_TEST(journal.select(ofEndpoint).size() == 3U);
    JournalFilter ofModel;
    ofModel.model = ModelId{"scribe"};
    ofModel.since = at(2);
    const auto found = journal.select(ofModel);
    BOOST_TEST(found.size() == 1U);
    BOOST_CHECK(found.at(0) == move);
    const auto all = journal.select({});
    BOOST_CHECK(all.front().time < all.back().time);
}

BOOST_AUTO_TEST_CASE(long_details_are_truncated)
{
    Journal journal;
    Decision decision = decisionOf(1, DecisionKind::CommandRefused, "", "");
    decision.detail = std::string(10'000, 'x');
    journal.record(decision);
    BOOST_TEST(journal.select({}).at(0).detail.size() == Journal::MaxDetailBytes);
}
