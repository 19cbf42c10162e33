// Tests through which nodes requests are forwarded.
#include "hemlockhill/forwarding_peers.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

const DataCentreId Here{"a"};
const DataCentreId Elsewhere{"b"};
const VmId Near{"10.0.0.1"};
const VmId Far{"10.0.0.2"};

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(milliseconds);
}

ForwardingMessage offer(const DataCentreId &dataCentre, std::uint32_t capacity)
{
    return {false, dataCentre, capacity};
}

} // namespace

BOOST_AUTO_TEST_CASE(peers_of_the_own_data_centre_come_first_until_they_are_busier)
{
    ForwardingPeers peers(Here, {}, 1);
    peers.onOffer(Near, offer(Here, 100), at(0));
    peers.onOffer(Far, offer(Elsewhere, 100), at(0));
    int toNear = 0;
    for (int request = 0; request < 30; ++request) {
        const VmId chosen = peers.choose({}, at(1)).value();
        peers.onDispatched(chosen);
        toNear += chosen == Near ? 1 : 0;
    }
    BOOST_CHECK_GT(toNear, 15);
    BOOST_CHECK_LT(toNear, 23);
}

BOOST_AUTO_TEST_CASE(peers_get_no_more_requests_than_they_offer_to_take)
{
    ForwardingPeers peers(Here, {}, 1);
    peers.onOffer(Near, offer(Here, 1), at(0));
    BOOST_REQUIRE(peers.choose({}, at(1)));
    peers.onDispatched(Near);
    BOOST_CHECK(!peers.choose({}, at(2)));
    peers.onEnded(Near);
    BOOST_CHECK(peers.choose({}, at(3)));
    BOOST_CHECK(!peers.choose({Near}, at(3)));
}

// Guards against requests to a peer that has frozen, stopped or been cut off.
BOOST_AUTO_TEST_CASE(peer_that_no_longer_offers_itself_or_has_failed_gets_no_requests)
{
    ForwardingPeers peers(Here, {}, 1);
    peers.onOffer(Near, offer(Here, 9), at(0));
    BOOST_CHECK(!peers.choose({}, at(1'400)));
    peers.onOffer(Near, offer(Here, 9), at(1'500));
    peers.onFailed(Near, at(1'600));
    peers.onOffer(Near, offer(Here, 9), at(1'700));
    BOOST_CHECK(!peers.choose({}, at(1'800)));
    peers.onOffer(Near, offer(Here, 9), at(3'600));
    BOOST_CHECK(peers.choose({}, at(3'700)));
}

BOOST_AUTO_TEST_CASE(requests_wait_for_the_first_offers_for_a_short_time_only)
{
    ForwardingPeers peers(Here, {}, 1);
    BOOST_CHECK(!peers.awaitsOffers(at(0)));
    BOOST_CHECK(peers.takeQueryDue(at(0)));
    BOOST_CHECK(!peers.takeQueryDue(at(100)));
    BOOST_CHECK(peers.awaitsOffers(at(10)));
    BOOST_CHECK(!peers.awaitsOffers(at(100)));
    BOOST_CHECK(peers.takeQueryDue(at(450)));
    BOOST_CHECK(!peers.awaitsOffers(at(460)));
    peers.onOffer(Near, offer(Here, 9), at(470));
    BOOST_CHECK(peers.hasOffers(at(471)));
}

// Guards against a path that is lost because of one request, and against a peer that breaks off each request and stays in use.
BOOST_AUTO_TEST_CASE(peer_is_judged_by_one_broken_connection)
{
    ForwardingPeers peers(Here, {}, 1);
    peers.onOffer(Near, offer(Here, 9), at(0));
    for (int request = 0; request < 5; ++request) {
        peers.onBrokenOff(Near, at(10));
        BOOST_CHECK(peers.choose({}, at(20)));
        peers.onAnswered(Near);
    }
    peers.onBrokenOff(Near, at(30));
    peers.onBrokenOff(Near, at(40));
    BOOST_CHECK(!peers.choose({}, at(50)));
    peers.onOffer(Near, offer(Here, 9), at(1'000));
    BOOST_CHECK(!peers.choose({}, at(1'010)));
}

// Guards against a peer that is not used for seconds because it had no room for a moment, and against its silence on whether an endpoint
// is lost.
BOOST_AUTO_TEST_CASE(full_peer_is_taken_for_failed)
{
    ForwardingPeers peers(Here, {}, 1);
    peers.onOffer(Near, offer(Here, 9), at(0));
    peers.onFull(Near);
    BOOST_CHECK(!peers.choose({}, at(10)));
    BOOST_CHECK(peers.isOfferedBeside({Far}, at(10)));
    BOOST_CHECK(!peers.isOfferedBeside({Near}, at(10)));
    peers.onOffer(Near, offer(Here, 1), at(400));
    BOOST_CHECK(peers.choose({}, at(410)));
    BOOST_CHECK(!peers.isOfferedBeside({}, at(1'800)));
}
