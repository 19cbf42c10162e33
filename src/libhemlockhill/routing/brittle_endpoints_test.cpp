// Tests how many requests nodes send to brittle endpoints together.
#include "hemlockhill/brittle_endpoints.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace Hemlockhill;

namespace
{

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(milliseconds);
}

LiveEndpoint endpointWith(std::uint32_t slots, const std::string &id = "e1")
{
    LiveEndpoint endpoint;
    endpoint.id = EndpointId{id};
    endpoint.service = ServiceId{"register"};
    endpoint.slots = slots;
    return endpoint;
}

std::vector<BrittleEndpoints> nodesBefore(const LiveEndpoint &endpoint, std::size_t count)
{
    std::vector<BrittleEndpoints> nodes;
    for (std::size_t node = 0; node < count; ++node) {
        nodes.emplace_back(VmId{std::to_string(node)}, BrittleEndpointLimits{});
    }
    for (BrittleEndpoints &node : nodes) {
        for (std::size_t other = 0; other < count; ++other) {
            node.onNode(VmId{std::to_string(other)}, at(0));
        }
        node.onAnswer(endpoint, 3, at(0));
    }
    return nodes;
}

// Lets each node dispatch as much as it may before it hears of the others.
std::uint32_t dispatchedAtOnce(std::vector<BrittleEndpoints> &nodes, const LiveEndpoint &endpoint, std::uint32_t load, TimePoint now)
{
    std::uint32_t total = load;
    for (BrittleEndpoints &node : nodes) {
        std::uint32_t own = 0;
        while (node.accepts(endpoint, own, load + own, now)) {
            ++own;
        }
        total += own;
    }
    return total;
}

} // namespace

BOOST_AUTO_TEST_CASE(nodes_that_dispatch_at_the_same_moment_exceed_the_slots_of_a_brittle_endpoint)
{
    for (const std::uint32_t slots : {4, 6, 64}) {
        const LiveEndpoint endpoint = endpointWith(slots);
        for (const std::size_t count : {1, 4, 7, 60}) {
            auto nodes = nodesBefore(endpoint, count);
            // The endpoint is nearly full, so that no node may exceed its quota.
            BOOST_CHECK_LE(dispatchedAtOnce(nodes, endpoint, slots - 1, at(10)), slots - 1 + std::min<std::uint32_t>(slots, count));
            if (slots <= 2 * (count - 1)) {
                BOOST_CHECK_EQUAL(dispatchedAtOnce(nodes, endpoint, 0, at(10)), slots);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(idle_brittle_endpoint_takes_more_of_one_node_than_its_quota)
{
    const LiveEndpoint endpoint = endpointWith(64);
    auto nodes = nodesBefore(endpoint, 7);
    std::uint32_t own = 0;
    while (nodes[0].accepts(endpoint, own, own, at(10))) {
        ++own;
    }
    BOOST_CHECK_GT(own, 40);
}

BOOST_AUTO_TEST_CASE(rejections_lower_the_load_until_the_endpoint_has_recovered)
{
    const LiveEndpoint endpoint = endpointWith(8);
    auto nodes = nodesBefore(endpoint, 1);
    BOOST_CHECK(nodes[0].accepts(endpoint, 7, 7, at(10)));
    nodes[0].onRejected(endpoint.id, at(20));
    BOOST_CHECK(!nodes[0].accepts(endpoint, 6, 6, at(30)));
    BOOST_CHECK(nodes[0].accepts(endpoint, 5, 5, at(30)));
    // Another rejection within a second would bring it near its limit.
    nodes[0].onRejected(endpoint.id, at(40));
    BOOST_CHECK(!nodes[0].accepts(endpoint, 0, 0, at(50)));
    BOOST_CHECK(nodes[0].accepts(endpoint, 0, 0, at(1'100)));
    BOOST_CHECK(nodes[0].accepts(endpoint, 7, 7, at(6'000)));
}

BOOST_AUTO_TEST_CASE(returning_endpoint_of_a_brittle_service_is_met_by_all_that_waited)
{
    auto nodes = nodesBefore(endpointWith(8), 4);
    const LiveEndpoint returning = endpointWith(8, "e2");
    for (const BrittleEndpoints &node : nodes) {
        BOOST_CHECK(node.isBrittle(returning, at(3'000)));
    }
    BOOST_CHECK_LE(dispatchedAtOnce(nodes, returning, 0, at(3'000)), 4);
    BOOST_CHECK_EQUAL(dispatchedAtOnce(nodes, returning, 0, at(8'000)), 8);
}

BOOST_AUTO_TEST_CASE(endpoint_is_no_longer_brittle_when_its_answers_do_not_say_so)
{
    const LiveEndpoint endpoint = endpointWith(4);
    auto nodes = nodesBefore(endpoint, 2);
    BOOST_CHECK(nodes[0].isBrittle(endpoint, at(10)));
    nodes[0].onAnswer(endpoint, std::nullopt, at(20));
    BOOST_CHECK(!nodes[0].isBrittle(endpoint, at(30)));
}
