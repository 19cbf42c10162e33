// Tests how old the endpoint list may be on which a node relies, and what the node does while the list does not answer.
#include "hemlockhill/directory_view.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace std::chrono_literals;

namespace
{

const EndpointId First{"e1"};
const EndpointId Second{"e2"};
const TimePoint Start{1h};

LiveEndpoint endpoint(const EndpointId &id)
{
    LiveEndpoint endpoint;
    endpoint.id = id;
    endpoint.incarnation = Incarnation{"1"};
    endpoint.service = ServiceId{"s"};
    endpoint.softwareVersion = SoftwareVersion{"v1"};
    return endpoint;
}

EndpointsById directory()
{
    return {{First, endpoint(First)}, {Second, endpoint(Second)}};
}

} // namespace

// Guards against requests that reach an endpoint long after the list has shown that it leaves.
BOOST_AUTO_TEST_CASE(nothing_is_dispatched_on_an_outdated_list)
{
    DirectoryView view(directoryAgeLimits(4s));
    view.onLeaderDirectory(directory(), Start);
    BOOST_CHECK(view.mayDispatch(Start + 2900ms));
    BOOST_CHECK(!view.needsListing(Start + 2300ms));
    BOOST_CHECK(view.needsListing(Start + 2500ms));
    BOOST_CHECK(!view.mayDispatch(Start + 3000ms));
    BOOST_CHECK(view.sendBefore(Start) < Start + 4s);
    // Further replies of the leader do not help as long as they are based on the same list.
    view.onLeaderDirectory(directory(), Start);
    view.onLeaderListing(Start);
    BOOST_CHECK(!view.mayDispatch(Start + 3000ms));
    view.onLeaderListing(Start + 2s);
    BOOST_CHECK(view.mayDispatch(Start + 3000ms));
}

BOOST_AUTO_TEST_CASE(own_listing_updates_an_outdated_directory)
{
    DirectoryView view(directoryAgeLimits(4s));
    EndpointsById known = directory();
    known.at(First).held.insert({ModelId{"m"}, {}});
    view.onLeaderDirectory(known, Start);
    EndpointsById listing = directory();
    listing.at(Second).leaving = true;
    const EndpointId added{"e3"};
    listing.emplace(added, endpoint(added));
    view.onOwnListing(listing, Start + 3s);
    BOOST_CHECK(view.mayDispatch(Start + 5s));
    BOOST_CHECK(view.endpoints().at(Second).leaving);
    BOOST_CHECK(view.endpoints().contains(added));
    BOOST_CHECK(view.endpoints().at(First).holds({ModelId{"m"}, {}}));
    // The outdated directory must not undo it, not even with changes of what the endpoints have loaded.
    view.onLeaderDirectory(known, Start + 1s);
    BOOST_CHECK(view.endpoints().at(Second).leaving);
    listing.erase(Second);
    view.onOwnListing(listing, Start + 4s);
    BOOST_CHECK(!view.endpoints().contains(Second));
    view.onLeaderDirectory(known, Start + 5s);
    BOOST_CHECK(view.endpoints() == known);
}

BOOST_AUTO_TEST_CASE(another_incarnation_under_the_same_id_holds_nothing)
{
    DirectoryView view;
    EndpointsById known = directory();
    known.at(First).held.insert({ModelId{"m"}, {}});
    known.at(First).leaving = true;
    view.onLeaderDirectory(known, Start);
    EndpointsById listing = directory();
    listing.at(First).incarnation = Incarnation{"2"};
    view.onOwnListing(listing, Start + 1s);
    BOOST_CHECK(view.endpoints().at(First).held.empty());
    BOOST_CHECK(!view.endpoints().at(First).leaving);
}

BOOST_AUTO_TEST_CASE(service_continues_while_the_list_does_not_answer)
{
    DirectoryView view(directoryAgeLimits(4s));
    view.onLeaderDirectory(directory(), Start);
    view.onListUnavailable(Start + 2500ms);
    BOOST_CHECK(view.mayDispatch(Start + 6s));
    BOOST_CHECK(!view.sendBefore(Start + 6s));
    BOOST_CHECK(view.needsListing(Start + 6s));
    view.onOwnListing(directory(), Start + 6s);
    BOOST_CHECK(!view.mayDispatch(Start + 9s));
    view.onListUnavailable(Start + 9s);
    BOOST_CHECK(view.mayDispatch(Start + 9s));
    view.onLeaderListing(Start + 10s);
    BOOST_CHECK(!view.mayDispatch(Start + 13s));
}

// Guards against nodes of this build that cannot tell versions apart while a node of an earlier build leads.
BOOST_AUTO_TEST_CASE(versions_are_unknown_below_a_leader_of_an_earlier_build)
{
    DirectoryView view(directoryAgeLimits(4s));
    EndpointsById known = directory();
    known.at(First).softwareVersion = {};
    known.at(Second).softwareVersion = {};
    view.onLeaderDirectory(known, Start);
    BOOST_CHECK(view.needsListing(Start));
    view.onOwnListing(directory(), Start - 100ms);
    BOOST_CHECK(!view.needsListing(Start));
    BOOST_CHECK_EQUAL(view.endpoints().at(First).softwareVersion, SoftwareVersion{"v1"});
    view.onLeaderDirectory(known, Start + 1s);
    BOOST_CHECK_EQUAL(view.endpoints().at(First).softwareVersion, SoftwareVersion{"v1"});
    // Another incarnation may have another version.
    known.at(First).incarnation = Incarnation{"2"};
    view.onLeaderDirectory(known, Start + 2s);
    BOOST_CHECK(view.endpoints().at(First).softwareVersion.empty());
    BOOST_CHECK(view.needsListing(Start + 2s));
}
