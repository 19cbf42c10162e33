// Tests requests to endpoints that a node does not reach: what holds for a caller's request must hold when another node forwards it.
#include "hemlockhill/routed_attempt.h"
#include "node/gateway_forwarding_testing.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

void serve(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    responder->answer(signedAnswer(request, 201));
}

HttpResponse streamHead(const HttpRequest &request)
{
    HttpResponse head = signedAnswer(request);
    head.contentType = "text/event-stream";
    return head;
}

} // namespace

BOOST_AUTO_TEST_CASE(request_to_an_endpoint_that_only_another_node_reaches_is_refused)
{
    for (const RouteKind kind : {RouteKind::Safe, RouteKind::Unsafe}) {
        ForwardingFleet fleet({true, false}, kind, serve);
        for (int request = 0; request < 20; ++request) {
            const auto answer = fleet.exchange(0, "/x/" + std::to_string(request));
            BOOST_REQUIRE(answer);
            BOOST_CHECK_EQUAL(answer->status, 201);
            BOOST_CHECK_EQUAL(answer->body, "served");
            BOOST_CHECK_EQUAL(findHeader(answer->headers, "Signature"), "s");
        }
        BOOST_CHECK_EQUAL(fleet.runs.size(), 20);
        BOOST_CHECK_EQUAL(std::set<std::string>(fleet.runs.begin(), fleet.runs.end()).size(), 20);
    }
}

BOOST_AUTO_TEST_CASE(request_runs_twice_after_the_answer_through_another_node_is_lost)
{
    const auto abortConnection = [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) { responder->abort(); };
    ForwardingFleet fleet({true, false, false}, RouteKind::Unsafe, abortConnection);
    const auto answer = fleet.exchange(0, "/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 502);
    BOOST_CHECK_EQUAL(fleet.runs.size(), 1);
}

BOOST_AUTO_TEST_CASE(request_through_another_node_has_more_time_than_its_caller_or_names_no_instance)
{
    std::string instance;
    int timeLeftMs = 0;
    ForwardingFleet fleet({true, false}, RouteKind::Safe, [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        instance = std::string(request.header("Instance"));
        timeLeftMs = std::stoi(std::string(request.header("Time-Left-Ms")));
        responder->answer(signedAnswer(request));
    });
    BOOST_REQUIRE_EQUAL(fleet.exchange(0, "/x/1").value().status, 200);
    BOOST_CHECK(instance == "e0" || instance == "e1");
    // The route's timeout is 2 s.
    BOOST_CHECK_LE(timeLeftMs, 2'000);
    BOOST_CHECK_GT(timeLeftMs, 500);
}

BOOST_AUTO_TEST_CASE(request_that_crashes_endpoints_is_sent_again_through_another_node)
{
    const auto abortConnection = [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) { responder->abort(); };
    ForwardingFleet fleet({true, false}, RouteKind::Safe, abortConnection);
    BOOST_CHECK_EQUAL(fleet.exchange(0, "/x/1").value().status, 502);
    BOOST_CHECK_EQUAL(fleet.runs.size(), 2);
    fleet.run(std::chrono::milliseconds(50));
    for (const std::size_t node : {0, 1, 0}) {
        BOOST_CHECK_EQUAL(findHeader(fleet.exchange(node, "/x/1").value().headers, "Retry-After").empty(), false);
    }
    BOOST_CHECK_EQUAL(fleet.runs.size(), 2);
}

// Guards against requests that count against an endpoint's limit at both nodes, or at none.
BOOST_AUTO_TEST_CASE(request_through_another_node_counts_twice_against_a_rate_limit)
{
    ForwardingFleet fleet({true, false}, RouteKind::Safe, [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        HttpResponse answer = signedAnswer(request);
        answer.headers.push_back({"Limit", "20"});
        responder->answer(std::move(answer));
    });
    std::size_t served = 0;
    for (int request = 0; request < 20; ++request) {
        served += fleet.exchange(0, "/x/1").value().status == 200 ? 1 : 0;
        fleet.run(std::chrono::milliseconds(20));
    }
    BOOST_CHECK_EQUAL(fleet.runs.size(), served);
    std::uint64_t counted = 0;
    for (const RateLimitNotice &limit : fleet.gateway(0).rateLimits()) {
        counted += limit.dispatched;
    }
    // The first request to each of the two endpoints brought the limit.
    BOOST_CHECK_EQUAL(counted + 2, served);
    for (const RateLimitNotice &limit : fleet.gateway(1).rateLimits()) {
        BOOST_CHECK_EQUAL(limit.dispatched, 0);
    }
}

BOOST_AUTO_TEST_CASE(refusal_of_the_endpoint_is_not_told_as_such_through_another_node)
{
    ForwardingFleet fleet({true, false}, RouteKind::Unsafe, [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer({503, "text/plain", {{"Not-Run", "1"}}, "full"});
    });
    const auto answer = fleet.exchange(0, "/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 503);
    BOOST_CHECK(!findHeader(answer->headers, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(endpoint_works_on_for_a_caller_that_has_left_another_node)
{
    std::shared_ptr<HttpResponder> open;
    bool isCancelled = false;
    ForwardingFleet fleet({true, false}, RouteKind::Unsafe, [&](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
        open = responder;
        responder->onDisconnected = [&isCancelled] { isCancelled = true; };
    });
    fleet.sendAndLeave(0, "/x/1");
    fleet.runUntil([&isCancelled] { return isCancelled; });
    BOOST_CHECK(isCancelled);
    BOOST_CHECK_EQUAL(fleet.gateway(0).requestsInProgress() + fleet.gateway(1).requestsInProgress(), 0);
}

BOOST_AUTO_TEST_CASE(stream_through_another_node_does_not_go_on_after_its_last_event)
{
    int answers = 0;
    std::vector<std::shared_ptr<HttpResponder>> open;
    const auto handler = [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        open.push_back(responder);
        responder->begin(streamHead(request));
        if (++answers == 1) {
            responder->write("id: 1\ndata: a\n\nid: 2\nda");
            responder->onDrained = [weak = std::weak_ptr(responder)] { weak.lock()->abort(); };
            return;
        }
        BOOST_CHECK_EQUAL(request.header("Resume-After"), "1");
        responder->write("id: 2\ndata: b\n\n");
        responder->end();
    };
    ForwardingFleet fleet({true, false}, RouteKind::Streaming, handler, true);
    const auto answer = fleet.exchange(0, "/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(truncated_stream_through_another_node_looks_complete)
{
    std::vector<std::shared_ptr<HttpResponder>> open;
    const auto handler = [&open](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        open.push_back(responder);
        responder->begin(streamHead(request));
        responder->write("id: 1\ndata: a\n\n");
        responder->onDrained = [weak = std::weak_ptr(responder)] { weak.lock()->abort(); };
    };
    ForwardingFleet fleet({true, false}, RouteKind::Streaming, handler);
    BOOST_CHECK(!fleet.exchange(0, "/x/1"));
    BOOST_CHECK_EQUAL(fleet.partial, "id: 1\ndata: a\n\n");
    BOOST_CHECK_EQUAL(fleet.runs.size(), 1);
}

// Guards against nodes that send a request to each other again and again.
BOOST_AUTO_TEST_CASE(request_travels_on_between_nodes_that_are_all_cut_off)
{
    ForwardingFleet fleet({true, true, true}, RouteKind::Safe, serve);
    for (int request = 0; request < 5; ++request) {
        const auto answer = fleet.exchange(static_cast<std::size_t>(request) % 3, "/x/1");
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->status, 503);
    }
    BOOST_CHECK(fleet.runs.empty());
    const double forwarded = fleet.counted(0, "request_forwarded_for_peer") + fleet.counted(1, "request_forwarded_for_peer")
                             + fleet.counted(2, "request_forwarded_for_peer");
    BOOST_CHECK_LE(forwarded, 5 * UnsentExchangeLimit);
}

BOOST_AUTO_TEST_CASE(request_from_outside_the_group_is_forwarded)
{
    ForwardingFleet fleet({true, false}, RouteKind::Safe, serve);
    const auto answer = fleet.exchangeFromOutside(1);
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 502);
    BOOST_CHECK(fleet.runs.empty());
}

BOOST_AUTO_TEST_CASE(leaving_node_takes_requests_of_others)
{
    ForwardingFleet fleet({true, false, false}, RouteKind::Unsafe, serve);
    BOOST_CHECK_EQUAL(fleet.exchange(0, "/x/1").value().status, 201);
    fleet.gateway(1).beginDraining();
    for (int request = 0; request < 20; ++request) {
        BOOST_CHECK_EQUAL(fleet.exchange(0, "/x/1").value().status, 201);
    }
    const double before = fleet.counted(1, "request_forwarded_for_peer");
    fleet.exchange(0, "/x/1");
    BOOST_CHECK_EQUAL(fleet.counted(1, "request_forwarded_for_peer"), before);
}

BOOST_AUTO_TEST_CASE(requests_are_still_forwarded_after_the_cut)
{
    ForwardingFleet fleet({true, false}, RouteKind::Safe, serve);
    BOOST_CHECK_EQUAL(fleet.exchange(0, "/x/1").value().status, 201);
    fleet.heal(0);
    for (int request = 0; request < 20; ++request) {
        BOOST_CHECK_EQUAL(fleet.exchange(0, "/x/1").value().status, 201);
        fleet.run(std::chrono::milliseconds(60));
    }
    BOOST_CHECK_GT(fleet.probes, 0);
    const double before = fleet.counted(0, "request_forwarded_through_peer");
    BOOST_CHECK_EQUAL(fleet.exchange(0, "/x/1").value().status, 201);
    BOOST_CHECK_EQUAL(fleet.counted(0, "request_forwarded_through_peer"), before);
}

BOOST_AUTO_TEST_CASE(node_that_reaches_its_endpoint_forwards_nothing)
{
    ForwardingFleet fleet({false, false}, RouteKind::Safe, serve);
    for (int request = 0; request < 10; ++request) {
        BOOST_CHECK_EQUAL(fleet.exchange(0, "/x/1").value().status, 201);
    }
    fleet.run(std::chrono::milliseconds(200));
    BOOST_CHECK_EQUAL(fleet.counted(0, "request_forwarded_through_peer"), 0);
    BOOST_CHECK_EQUAL(fleet.probes, 0);
}

// Guards against work for a caller whose time has run out on the way between the nodes.
BOOST_AUTO_TEST_CASE(request_is_forwarded_after_the_time_of_its_caller)
{
    ForwardingFleet fleet({true, false}, RouteKind::Safe, serve);
    const auto late = fleet.exchangeFromFirstNode(1, Duration(0));
    BOOST_REQUIRE(late);
    BOOST_CHECK(readForwardingFailure(late->headers).has_value());
    BOOST_CHECK(!readForwardingFailure(late->headers).value().mayHaveReached);
    BOOST_CHECK(fleet.runs.empty());
    BOOST_CHECK_EQUAL(fleet.exchangeFromFirstNode(1, std::chrono::seconds(1)).value().status, 201);
}

// Guards against requests that reach an endpoint through another node although it has told that node that it leaves or wants none.
BOOST_AUTO_TEST_CASE(request_is_forwarded_to_an_endpoint_that_wants_none)
{
    for (const HttpHeader &word : {HttpHeader{"Leaving", "1"}, HttpHeader{"Pause-Ms", "2000"}}) {
        // The first endpoint that is asked says it once.
        bool isSaid = false;
        const auto answer = [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            HttpResponse response = signedAnswer(request, 201);
            if (!std::exchange(isSaid, true)) {
                response.headers.push_back(word);
            }
            responder->answer(response);
        };
        ForwardingFleet fleet({true, false}, RouteKind::Safe, answer);
        BOOST_CHECK_EQUAL(fleet.exchangeFromFirstNode(1, std::chrono::seconds(1)).value().status, 201);
        const auto refused = fleet.exchangeFromFirstNode(1, std::chrono::seconds(1));
        BOOST_REQUIRE(refused);
        BOOST_REQUIRE(readForwardingFailure(refused->headers));
        BOOST_CHECK(!readForwardingFailure(refused->headers)->mayHaveReached);
        BOOST_CHECK_EQUAL(fleet.runs.size(), 1);
        // Callers of the node that is cut off are served by the other endpoint.
        for (int request = 0; request < 10; ++request) {
            const auto served = fleet.exchange(0, "/x/" + std::to_string(request));
            BOOST_REQUIRE(served);
            BOOST_CHECK_EQUAL(served->status, 201);
        }
    }
}

// Guards against a node that forwards nothing after its cut because it has no requests of its own with which it would notice the end.
BOOST_AUTO_TEST_CASE(idle_node_stays_isolated_after_its_cut)
{
    ForwardingFleet fleet({true, true}, RouteKind::Safe, serve);
    BOOST_CHECK_EQUAL(fleet.exchange(0, "/x/1").value().status, 503);
    BOOST_CHECK_EQUAL(fleet.exchange(1, "/x/1").value().status, 503);
    // Longer than a node probes after its last request.
    fleet.run(std::chrono::seconds(3));
    fleet.heal(1);
    unsigned status = 0;
    for (int request = 0; request < 10 && status != 201; ++request) {
        fleet.renewList(0);
        status = fleet.exchange(0, "/x/1").value().status;
        fleet.run(std::chrono::milliseconds(100));
    }
    BOOST_CHECK_EQUAL(status, 201);
}
