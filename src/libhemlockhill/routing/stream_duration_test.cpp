// Tests which endpoints of different speed suit a stream.
#include "hemlockhill/stream_duration.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Slow = milliseconds(120);
constexpr Duration Fast = milliseconds(30);

} // namespace

// A stream of 150 events takes 18 s at the slow endpoint: it keeps its slot until its caller leaves after 15 s, and is lost.
BOOST_AUTO_TEST_CASE(long_stream_fits_only_at_the_fast_endpoint)
{
    const StreamDemand longStream{150, seconds(15)};
    BOOST_CHECK(exceedsDeadline(longStream, Slow));
    BOOST_CHECK(!exceedsDeadline(longStream, Fast));
    const StreamDemand shortStream{20, seconds(15)};
    BOOST_CHECK(!exceedsDeadline(shortStream, Slow));
}

// Speed matters little for a short stream, so that it goes where there is less to do.
BOOST_AUTO_TEST_CASE(speed_counts_in_proportion_to_the_length_of_the_stream)
{
    const auto difference = [](double events) {
        const StreamDemand demand{events, seconds(15)};
        return streamDurationCost(demand, Slow) - streamDurationCost(demand, Fast);
    };
    BOOST_CHECK_LT(difference(5), 0.05);
    BOOST_CHECK_GT(difference(100), 0.3);
}

BOOST_AUTO_TEST_CASE(unknown_speed_and_unknown_length_cost_nothing)
{
    BOOST_CHECK_EQUAL(streamDurationCost({100, seconds(15)}, Duration(0)), 0);
    BOOST_CHECK_EQUAL(streamDurationCost({0, seconds(15)}, Slow), 0);
    BOOST_CHECK(!exceedsDeadline({100, seconds(15)}, Duration(0)));
    BOOST_CHECK(!exceedsDeadline({0, Duration(0)}, Slow));
}

BOOST_AUTO_TEST_CASE(unknown_endpoints_are_taken_for_typical)
{
    LiveEndpoint slow;
    slow.eventInterval = Slow;
    LiveEndpoint fast;
    fast.eventInterval = Fast;
    const LiveEndpoint unknown;
    BOOST_CHECK(typicalEventInterval({&slow, &unknown, &fast, &fast}) == Fast);
    BOOST_CHECK(typicalEventInterval({&unknown}) == Duration(0));
}
