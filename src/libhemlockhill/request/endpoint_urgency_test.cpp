// Tests of the urgency that endpoints are told.
#include "hemlockhill/endpoint_urgency.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::seconds(100);

WaitingRank rank(std::uint32_t workspace, std::uint32_t route, Duration timeToTarget)
{
    return {workspace, route, true, timeToTarget <= Duration(0), Start + timeToTarget, Start};
}

} // namespace

// Guards against overnight requests that are read before interactive ones, at the start of each batch.
BOOST_AUTO_TEST_CASE(overnight_request_is_as_urgent_as_an_interactive_one)
{
    constexpr Duration Interactive = std::chrono::milliseconds(400);
    constexpr Duration Overnight = std::chrono::seconds(14);
    BOOST_CHECK_EQUAL(endpointUrgency(rank(0, 0, Interactive), Start), 0);
    BOOST_CHECK_EQUAL(endpointUrgency(rank(0, 0, Overnight), Start), 1);
    BOOST_CHECK_EQUAL(endpointUrgency(rank(0, 2, Overnight), Start), 3);
    // A late one makes others late.
    BOOST_CHECK_EQUAL(endpointUrgency(rank(0, 0, Duration(0)), Start), 1);
}

BOOST_AUTO_TEST_CASE(workspace_priority_counts_less_than_that_of_the_route)
{
    constexpr Duration Interactive = std::chrono::milliseconds(400);
    BOOST_CHECK_LE(endpointUrgency(rank(0, 9, Duration(0)), Start), endpointUrgency(rank(1, 0, Interactive), Start));
    BOOST_CHECK_EQUAL(endpointUrgency(rank(7, 7, Duration(0)), Start), LeastUrgency);
}

BOOST_AUTO_TEST_CASE(rest_of_a_stream_waits_at_its_endpoint)
{
    WaitingRank rest = rank(0, 1, Duration(0));
    rest.isNew = false;
    BOOST_CHECK_EQUAL(endpointUrgency(rest, Start), 1);
}
