// Tests when a node takes endpoints for unreachable, and itself for cut off from all of them.
#include "hemlockhill/endpoint_reachability.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

const EndpointId First{"e1"};
const EndpointId Second{"e2"};
const EndpointId Third{"e3"};

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(milliseconds);
}

} // namespace

BOOST_AUTO_TEST_CASE(endpoint_that_refuses_connections_is_unreachable_until_a_probe_is_answered)
{
    EndpointReachability reachability;
    reachability.onHeard(Second, at(0));
    reachability.onConnectFailed(First, at(10));
    BOOST_CHECK(!reachability.isReachable(First, at(20)));
    BOOST_CHECK(!reachability.acceptsOpenConnections(First, at(20)));
    BOOST_CHECK(reachability.isReachable(Second, at(20)));
    // Answers over open connections do not show that new ones are accepted.
    reachability.onHeard(First, at(30));
    BOOST_CHECK(!reachability.isReachable(First, at(40)));
    BOOST_CHECK(reachability.acceptsOpenConnections(First, at(40)));
    reachability.onProbeAnswered(First, at(50));
    BOOST_CHECK(reachability.isReachable(First, at(60)));
}

BOOST_AUTO_TEST_CASE(endpoint_with_requests_is_unreachable_while_nothing_is_heard_of_it)
{
    EndpointReachability reachability;
    reachability.onSent(First, at(0));
    reachability.onHeard(First, at(500));
    BOOST_CHECK(reachability.isReachable(First, at(1'200)));
    BOOST_CHECK(!reachability.isReachable(First, at(1'300)));
    BOOST_CHECK(!reachability.acceptsOpenConnections(First, at(1'300)));
    reachability.onHeard(First, at(1'400));
    BOOST_CHECK(reachability.isReachable(First, at(1'500)));
    reachability.onEnded(First, at(1'600));
    BOOST_CHECK(reachability.isReachable(First, at(60'000)));
}

BOOST_AUTO_TEST_CASE(idle_endpoint_does_not_become_unreachable_by_its_next_request)
{
    EndpointReachability reachability;
    reachability.onSent(First, at(0));
    reachability.onHeard(First, at(50));
    reachability.onEnded(First, at(60));
    reachability.onSent(First, at(20'000));
    BOOST_CHECK(reachability.isReachable(First, at(20'700)));
}

// Guards against a node that goes back to a silent path as soon as its requests there have failed.
BOOST_AUTO_TEST_CASE(silent_endpoint_stays_unreachable_after_its_requests_have_ended)
{
    EndpointReachability reachability;
    reachability.onSent(First, at(0));
    reachability.onEnded(First, at(1'500));
    BOOST_CHECK(!reachability.isReachable(First, at(5'000)));
    reachability.onHeard(First, at(5'100));
    BOOST_CHECK(reachability.isReachable(First, at(5'200)));
}

// Guards against an endpoint that counts as unreachable because it pauses for a moment.
BOOST_AUTO_TEST_CASE(endpoint_that_is_silent_to_other_nodes_too_stays_reachable)
{
    EndpointReachability reachability;
    reachability.onSent(First, at(0));
    BOOST_CHECK(reachability.isSilent(First, at(900)));
    reachability.onSilentElsewhere(First, at(900));
    BOOST_CHECK(reachability.isReachable(First, at(1'600)));
    BOOST_CHECK(!reachability.isReachable(First, at(1'800)));
}

BOOST_AUTO_TEST_CASE(node_that_reaches_none_of_several_endpoints_takes_all_for_unreachable)
{
    EndpointReachability reachability;
    reachability.onHeard(Third, at(0));
    reachability.onConnectFailed(First, at(10));
    BOOST_CHECK(reachability.isReachable(Third, at(15)));
    reachability.onConnectFailed(Second, at(20));
    BOOST_CHECK(reachability.isIsolated(at(25)));
    BOOST_CHECK(!reachability.isReachable(Third, at(25)));
    reachability.onHeard(Third, at(30));
    BOOST_CHECK(!reachability.isIsolated(at(35)));
    BOOST_CHECK(reachability.isReachable(Third, at(35)));
    BOOST_CHECK(!reachability.isReachable(First, at(35)));
}

BOOST_AUTO_TEST_CASE(unreachable_endpoints_are_probed_while_requests_want_them)
{
    EndpointReachability reachability;
    reachability.onConnectFailed(First, at(0));
    BOOST_CHECK(reachability.probesDue(at(2'000)).empty());
    reachability.onWanted(First, at(2'000));
    BOOST_REQUIRE_EQUAL(reachability.probesDue(at(2'001)).size(), 1);
    BOOST_CHECK(reachability.probesDue(at(2'100)).empty());
    BOOST_CHECK_EQUAL(reachability.probesDue(at(2'800)).size(), 1);
    reachability.onProbeAnswered(First, at(2'900));
    BOOST_CHECK(reachability.probesDue(at(3'600)).empty());
    BOOST_CHECK(reachability.unreachable(at(3'600)).empty());
}

// Guards against an endpoint that counts as unreachable for long because it breaks off some requests, and against a probe for each of them.
BOOST_AUTO_TEST_CASE(endpoint_that_resets_a_connection_is_probed_late_or_too_often)
{
    EndpointReachability reachability;
    reachability.onHeard(First, at(0));
    reachability.onReset(First, at(10));
    BOOST_CHECK(!reachability.isReachable(First, at(10)));
    BOOST_CHECK_EQUAL(reachability.probesDue(at(20)).size(), 1);
    reachability.onProbeAnswered(First, at(25));
    BOOST_CHECK(reachability.isReachable(First, at(25)));
    reachability.onReset(First, at(30));
    BOOST_CHECK(reachability.probesDue(at(200)).empty());
    BOOST_CHECK_EQUAL(reachability.probesDue(at(220)).size(), 1);
    // A probe that is not answered is repeated at the usual interval.
    reachability.onReset(First, at(230));
    BOOST_CHECK(reachability.probesDue(at(900)).empty());
    BOOST_CHECK_EQUAL(reachability.probesDue(at(930)).size(), 1);
    BOOST_CHECK(!reachability.isReachable(First, at(930)));
}
