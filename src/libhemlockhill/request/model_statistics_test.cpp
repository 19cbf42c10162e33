// Tests of target attainment and of the totals by model.
#include "hemlockhill/model_statistics.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace std::chrono_literals;

namespace
{

RequestOutcome completeOutcome(Duration firstToken, Duration total, std::uint64_t tokens)
{
    RequestOutcome outcome;
    outcome.complete = true;
    outcome.firstToken = firstToken;
    outcome.total = total;
    outcome.tokens = TokenCount{tokens};
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_CASE(attainment_requires_a_complete_response_within_both_targets)
{
    const Service service;
    BOOST_TEST(meetsTargets(service, completeOutcome(470ms, 470ms + 25ms * 10, 11)));
    BOOST_TEST(!meetsTargets(service, completeOutcome(471ms, 500ms, 11)));
    BOOST_TEST(!meetsTargets(service, completeOutcome(100ms, 100ms + 26ms * 10, 11)));
    RequestOutcome broken = completeOutcome(100ms, 200ms, 11);
    broken.complete = false;
    BOOST_TEST(!meetsTargets(service, broken));
    RequestOutcome plain = completeOutcome(0ms, 470ms + 25ms * 4, 4);
    plain.firstToken.reset();
    BOOST_TEST(meetsTargets(service, plain));
    plain.total += 1ms;
    BOOST_TEST(!meetsTargets(service, plain));
}

BOOST_AUTO_TEST_CASE(totals_accumulate_by_model)
{
    ModelStatistics statistics;
    const ModelId scribe{"scribe"};
    statistics.record(scribe, Service{}, completeOutcome(100ms, 200ms, 5));
    statistics.record(scribe, Service{}, completeOutcome(300ms, 400ms, 5));
    statistics.record(scribe, Service{}, RequestOutcome{});
    const ModelTotals &totals = statistics.totals().at(scribe);
    BOOST_TEST(totals.requests == 3U);
    BOOST_TEST(totals.attained == 2U);
    BOOST_TEST(totals.refused == 1U);
    BOOST_TEST(totals.tokens.value == 10U);
    BOOST_TEST((totals.firstTokenMean() == 200ms));
}
