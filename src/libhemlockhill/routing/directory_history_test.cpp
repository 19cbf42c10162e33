// Tests of directory replication from a leader to its followers.
#include "hemlockhill/directory_history.h"

#include "hemlockhill/failure.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

LiveEndpoint runner(const std::string &id)
{
    LiveEndpoint endpoint;
    endpoint.id = EndpointId{id};
    endpoint.incarnation = Incarnation{"1"};
    endpoint.service = ServiceId{"drafts"};
    endpoint.address = Address{"10.0.0.1", 8080};
    endpoint.dataCentre = DataCentreId{"a"};
    endpoint.held = {{ModelId{"m"}, {}}};
    return endpoint;
}

EndpointsById runners(std::size_t count)
{
    EndpointsById endpoints;
    for (std::size_t number = 0; number < count; ++number) {
        const LiveEndpoint endpoint = runner("r" + std::to_string(number));
        endpoints.emplace(endpoint.id, endpoint);
    }
    return endpoints;
}

} // namespace

BOOST_AUTO_TEST_CASE(new_follower_receives_the_full_directory)
{
    DirectoryHistory history(Term{3});
    BOOST_CHECK(history.update(runners(5)));
    DirectoryReplica replica;
    BOOST_CHECK(replica.apply(history.changesSince(replica.revision())));
    BOOST_CHECK(replica.endpoints() == runners(5));
    BOOST_CHECK_EQUAL(replica.revision(), history.revision());
}

// One of 150 runners changes: the size of the encoded change must not grow with the number of runners.
BOOST_AUTO_TEST_CASE(size_of_a_change_is_independent_of_the_directory_size)
{
    DirectoryHistory history(Term{3});
    EndpointsById endpoints = runners(150);
    history.update(endpoints);
    const DirectoryRevision before = history.revision();
    const std::size_t whole = history.changesSince(DirectoryRevision{}).size();
    endpoints[EndpointId{"r7"}].held.insert({ModelId{"n"}, {}});
    BOOST_CHECK(history.update(endpoints));
    BOOST_CHECK_LT(history.changesSince(before).size() * 50, whole);
}

BOOST_AUTO_TEST_CASE(remaining_load_time_alone_is_not_a_change)
{
    DirectoryHistory history(Term{3});
    EndpointsById endpoints = runners(2);
    endpoints[EndpointId{"r0"}].loading = ModelId{"n"};
    endpoints[EndpointId{"r0"}].loadingLeft = std::chrono::seconds(4);
    history.update(endpoints);
    endpoints[EndpointId{"r0"}].loadingLeft = std::chrono::seconds(3);
    BOOST_CHECK(!history.update(endpoints));
}

BOOST_AUTO_TEST_CASE(changes_that_do_not_continue_the_revision_are_rejected)
{
    DirectoryHistory history(Term{3});
    EndpointsById endpoints = runners(2);
    history.update(endpoints);
    DirectoryReplica replica;
    replica.apply(history.changesSince(replica.revision()));
    const DirectoryRevision first = replica.revision();
    endpoints.erase(EndpointId{"r0"});
    history.update(endpoints);
    const std::string overtaken = history.changesSince(first);
    endpoints[EndpointId{"r1"}].leaving = true;
    history.update(endpoints);
    BOOST_CHECK(replica.apply(history.changesSince(first)));
    BOOST_CHECK(!replica.apply(overtaken));
    BOOST_CHECK(replica.endpoints() == endpoints);
}

BOOST_AUTO_TEST_CASE(new_leader_sends_the_full_directory)
{
    DirectoryHistory former(Term{3});
    former.update(runners(4));
    DirectoryReplica replica;
    replica.apply(former.changesSince(replica.revision()));
    DirectoryHistory next(Term{4});
    next.update(runners(2));
    BOOST_CHECK(replica.apply(next.changesSince(replica.revision())));
    BOOST_CHECK(replica.endpoints() == runners(2));
    // A reply of the former leader that arrives late.
    BOOST_CHECK(!replica.apply(former.changesSince(DirectoryRevision{})));
}

BOOST_AUTO_TEST_CASE(malformed_changes_leave_the_replica_unchanged)
{
    DirectoryHistory history(Term{3});
    history.update(runners(3));
    DirectoryReplica replica;
    replica.apply(history.changesSince(replica.revision()));
    for (const char *text :
         {"", "[]", "{}", "{\"whole\":true}", "{\"whole\":true,\"since\":1,\"revision\":99,\"endpoints\":[1],\"removed\":[]}"}) {
        BOOST_CHECK_THROW(replica.apply(text), DecodeError);
    }
    BOOST_CHECK(replica.endpoints() == runners(3));
}

// Followers that poll at random, with some replies late or lost, must converge to the leader's directory.
BOOST_AUTO_TEST_CASE(replicas_converge_under_random_changes_and_late_replies)
{
    constexpr unsigned Seed = 20261204;
    BOOST_TEST_MESSAGE("seed " << Seed);
    boost::random::mt19937 random(Seed);
    DirectoryHistory history(Term{1});
    EndpointsById endpoints = runners(20);
    std::vector<DirectoryReplica> replicas(4);
    std::vector<std::string> late;
    for (int step = 0; step < 4000; ++step) {
        const EndpointId id{"r" + std::to_string(random() % 30)};
        if (random() % 3 == 0) {
            endpoints.erase(id);
        } else {
            endpoints[id] = runner(id.value);
            endpoints[id].slots = random() % 5;
        }
        history.update(endpoints);
        DirectoryReplica &replica = replicas[random() % replicas.size()];
        late.push_back(history.changesSince(replica.revision()));
        const std::size_t chosen = random() % late.size();
        replica.apply(late[chosen]);
        late.erase(late.begin() + static_cast<std::ptrdiff_t>(chosen));
        if (late.size() > 5) {
            late.erase(late.begin());
        }
    }
    for (DirectoryReplica &replica : replicas) {
        replica.apply(history.changesSince(replica.revision()));
        BOOST_CHECK(replica.endpoints() == endpoints);
    }
}
