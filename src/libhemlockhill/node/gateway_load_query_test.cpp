// Tests that a node of a large fleet asks for the load of endpoints before it dispatches, and goes on when nobody answers.
#include "gateway_testing.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr std::uint16_t FirstPort = 9'460;
constexpr std::uint32_t FullLoad = 30;

std::shared_ptr<GatewayFixture> largeFleet()
{
    GatewayScenario scenario;
    scenario.firstPort = FirstPort;
    auto fixture = std::make_shared<GatewayFixture>(scenario, [](boost::asio::io_context &loop, const Address &address) {
        return std::make_shared<HttpServer>(
            loop,
            address,
            HttpServerLimits{},
            [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { responder->answer(signedAnswer(request)); },
            [](Reason) {});
    });
    std::vector<VmId> nodes;
    for (int index = 1; index <= 100; ++index) {
        nodes.push_back(VmId{"10.0.0." + std::to_string(index)});
    }
    fixture->gateway().setNodes(nodes);
    return fixture;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_served_although_no_owner_answers)
{
    const auto fleet = largeFleet();
    std::vector<VmId> asked;
    fleet->gateway().sendLoadQuery = [&asked](const VmId &owner, const LoadQuery &) { asked.push_back(owner); };
    const TimePoint start = currentTime();
    const auto answer = fleet->exchange("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 200);
    BOOST_CHECK_EQUAL(asked.size(), 2);
    BOOST_CHECK(currentTime() - start >= std::chrono::milliseconds(80));
}

BOOST_AUTO_TEST_CASE(the_answer_of_an_owner_decides_where_a_request_goes)
{
    const auto fleet = largeFleet();
    fleet->gateway().sendLoadQuery = [&](const VmId &owner, const LoadQuery &query) {
        const LoadReport report{query.subject, {{{EndpointId{"e0"}, FullLoad}, 0}, {{EndpointId{"e1"}, 1}, 0}}};
        fleet->gateway().onLoadReport(owner, report);
    };
    std::vector<DispatchNotice> notices;
    fleet->gateway().onDispatch = [&](const DispatchNotice &notice, const std::vector<VmId> &nodes) {
        notices.push_back(notice);
        BOOST_CHECK_EQUAL(nodes.size(), 2);
    };
    BOOST_REQUIRE(fleet->exchange("/x/1"));
    BOOST_REQUIRE_EQUAL(notices.size(), 2);
    BOOST_CHECK_EQUAL(notices.front().endpoint, EndpointId{"e1"});
    BOOST_CHECK_EQUAL(notices.front().inFlight, 1);
    BOOST_CHECK_EQUAL(notices.back().inFlight, 0);
}

BOOST_AUTO_TEST_CASE(a_node_that_is_no_owner_does_not_answer)
{
    const auto fleet = largeFleet();
    BOOST_CHECK(!fleet->gateway().onLoadQuery(VmId{"10.0.0.1"}, {{Register, {}}, {}, {}}));
}

// The limit on waiting for an endpoint that refused must not end a request that asks for the load of one that has recovered.
BOOST_AUTO_TEST_CASE(a_request_is_refused_while_it_asks_for_the_load_of_a_recovered_endpoint)
{
    const auto fleet = largeFleet();
    const auto endpoints = fleet->takeEndpoints();
    std::vector<VmId> asked;
    fleet->gateway().sendLoadQuery = [&asked](const VmId &owner, const LoadQuery &) { asked.push_back(owner); };
    fleet->after(std::chrono::milliseconds(370), [&] { fleet->gateway().onLeaderDirectory(endpoints, currentTime()); });
    const auto answer = fleet->exchange("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 200);
    BOOST_CHECK_EQUAL(asked.size(), 2);
}
