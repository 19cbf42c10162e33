// Tests of what a node knows of the load of endpoints.
#include "hemlockhill/endpoint_loads.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

using namespace Hemlockhill;

namespace
{

const EndpointId First{"e1"};
const EndpointId Second{"e2"};
// An endpoint of another service.
const EndpointId Third{"e3"};
const VmId Node{"n1"};
const VmId Other{"n2"};
const TimePoint Start = TimePoint{} + std::chrono::seconds(100);

} // namespace

BOOST_AUTO_TEST_CASE(where_all_is_heard_notices_tell_the_load)
{
    EndpointLoads loads;
    BOOST_CHECK(loads.others(First, true, Start).isCurrent);
    loads.onNotice(Node, {First, 2}, Start);
    loads.onNotice(Other, {First, 1}, Start);
    BOOST_CHECK_EQUAL(loads.others(First, true, Start).requests, 3);
    BOOST_CHECK_EQUAL(loads.sumWithout(Node, First, Start), 1);
    BOOST_CHECK(loads.oldestNotice(First, Start + std::chrono::seconds(2)) == std::chrono::seconds(2));
    loads.onNotice(Node, {First, 0}, Start);
    BOOST_CHECK_EQUAL(loads.others(First, true, Start).requests, 1);
    BOOST_CHECK_EQUAL(loads.others(First, true, Start + std::chrono::seconds(6)).requests, 0);
}

BOOST_AUTO_TEST_CASE(elsewhere_a_report_is_current_for_a_short_time_only)
{
    EndpointLoads loads;
    BOOST_CHECK(!loads.others(First, false, Start).isCurrent);
    loads.onReport({First, 5}, Start);
    const OthersLoad fresh = loads.others(First, false, Start + std::chrono::milliseconds(20));
    BOOST_CHECK(fresh.isCurrent);
    BOOST_CHECK_EQUAL(fresh.requests, 5);
    const OthersLoad old = loads.others(First, false, Start + std::chrono::milliseconds(500));
    BOOST_CHECK(!old.isCurrent);
    BOOST_CHECK_EQUAL(old.requests, 5);
    BOOST_CHECK_EQUAL(loads.others(First, false, Start + std::chrono::seconds(3)).requests, 0);
}

// The notice of an end was lost.
BOOST_AUTO_TEST_CASE(counts_of_a_node_replace_what_is_known_of_it)
{
    EndpointLoads loads;
    loads.onNotice(Node, {First, 2}, Start);
    loads.onNotice(Other, {First, 1}, Start);
    loads.onNotice(Node, {Third, 4}, Start);
    loads.onCounts(
        Node, [](const EndpointId &endpoint) { return endpoint != Third; }, {{Second, 1}}, Start);
    BOOST_CHECK_EQUAL(loads.others(First, true, Start).requests, 1);
    BOOST_CHECK_EQUAL(loads.others(Second, true, Start).requests, 1);
    BOOST_CHECK_EQUAL(loads.others(Third, true, Start).requests, 4);
}

// Notices that are lost or doubled leave no trace once each node has told its counts.
BOOST_AUTO_TEST_CASE(counts_correct_any_schedule_of_lost_notices)
{
    constexpr int Steps = 200'000;
    constexpr int Nodes = 20;
    constexpr int Endpoints = 5;
    boost::random::mt19937_64 random(60);
    const auto draw = [&random](int limit) { return boost::random::uniform_int_distribution<int>(0, limit - 1)(random); };
    const auto nodeId = [](int node) { return VmId{"n" + std::to_string(node)}; };
    std::vector<EndpointId> ids;
    ids.reserve(Endpoints);
    for (int endpoint = 0; endpoint < Endpoints; ++endpoint) {
        ids.push_back(EndpointId{"e" + std::to_string(endpoint)});
    }
    std::vector<std::vector<std::uint32_t>> truth(Nodes, std::vector<std::uint32_t>(Endpoints, 0));
    EndpointLoads loads;
    const auto tellCounts = [&](int node) {
        std::vector<EndpointRequests> counts;
        for (int endpoint = 0; endpoint < Endpoints; ++endpoint) {
            if (truth[node][endpoint] > 0) {
                counts.push_back({ids[endpoint], truth[node][endpoint]});
            }
        }
        loads.onCounts(
            nodeId(node), [](const EndpointId &) { return true; }, counts, Start);
    };
    for (int step = 1; step <= Steps; ++step) {
        const int node = draw(Nodes);
        const int endpoint = draw(Endpoints);
        auto &count = truth[node][endpoint];
        count = draw(2) == 0 || count == 0 ? count + 1 : count - 1;
        for (int copies = draw(3); copies > 0; --copies) {
            loads.onNotice(nodeId(node), {ids[endpoint], count}, Start);
        }
        if (step % 1'000 != 0) {
            continue;
        }
        for (int other = 0; other < Nodes; ++other) {
            tellCounts(other);
        }
        for (int checked = 0; checked < Endpoints; ++checked) {
            std::uint32_t sum = 0;
            for (int other = 0; other < Nodes; ++other) {
                sum += truth[other][checked];
            }
            BOOST_REQUIRE_EQUAL(loads.others(ids[checked], true, Start).requests, sum);
        }
    }
}
