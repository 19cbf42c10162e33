// Tests exchanges over loopback sockets: how large answers are read, and the limit on a whole exchange.
#include "hemlockhill/http_exchange.h"

#include "hemlockhill/http_server.h"
#include "hemlockhill/timer_service.h"
#include "net/raw_endpoint_testing.h"

#include <boost/test/unit_test.hpp>

#include <utility>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

const Address Server{"127.0.0.1", 9'397};

struct ExchangeResult {
    std::size_t bytes = 0;
    std::size_t pieces = 0;
    std::optional<ExchangeFailure> failure;
};

// Sends one request to a server with the given handler.
ExchangeResult exchange(boost::asio::io_context &loop, const HttpHandler &handler, const ExchangeLimits &limits)
{
    HttpServer server(loop, Server, HttpServerLimits{}, handler, [](Reason) {});
    ConnectionPool pool(loop, 1);
    ExchangeResult result;
    bool done = false;
    ExchangeHooks hooks;
    hooks.onBody = [&](const std::string &bytes) {
        result.bytes += bytes.size();
        ++result.pieces;
    };
    hooks.onEnd = [&] { done = true; };
    hooks.onFailed = [&](const ExchangeFailure &failure) {
        result.failure = failure;
        done = true;
    };
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    pool.start(Server, request, limits, ConnectionChoice::FreshOnly, std::move(hooks));
    while (!done) {
        loop.run_one();
    }
    return result;
}

} // namespace

// Guards against pages of the endpoint list that take seconds to read on a busy node, since every piece waits for its turn on the loop.
BOOST_AUTO_TEST_CASE(large_answer_is_read_in_few_pieces)
{
    constexpr std::size_t Size = 64'000;
    boost::asio::io_context loop(1);
    const ExchangeResult result = exchange(
        loop,
        [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
            responder->answer({200, "text/plain", {}, std::string(Size, 'x')});
        },
        ExchangeLimits{});
    BOOST_CHECK(!result.failure);
    BOOST_CHECK_EQUAL(result.bytes, Size);
    BOOST_CHECK_LE(result.pieces, 12);
}

// Guards against answers that arrive in pieces without end, each within the timeout between two pieces.
BOOST_AUTO_TEST_CASE(slow_answer_is_cut_at_the_limit_of_the_exchange)
{
    boost::asio::io_context loop(1);
    TimerService timers;
    std::shared_ptr<HttpResponder> open;
    int pieces = 0;
    timers.every(std::chrono::milliseconds(20), loop, [&] {
        if (open && ++pieces < 100) {
            open->write("x");
        } else if (open) {
            std::exchange(open, nullptr)->end();
        }
    });
    ExchangeLimits limits;
    limits.completeBefore = currentTime() + std::chrono::milliseconds(200);
    const ExchangeResult result = exchange(
        loop,
        [&open](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
            open = responder;
            responder->begin({200, "text/plain", {}, {}});
        },
        limits);
    timers.stop();
    BOOST_REQUIRE(result.failure);
    BOOST_CHECK(result.failure->reason == Reason::EndpointSilent);
}

// Guards against waiting for a body that a response to HEAD does not have, although it states the length.
BOOST_AUTO_TEST_CASE(response_to_head_ends_with_its_headers)
{
    boost::asio::io_context loop(1);
    RawEndpoint endpoint(loop, Server, [](const RawEndpoint::Request &) {
        return RawAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", ConnectionEnd::KeepOpen, {}};
    });
    ConnectionPool pool(loop, 1);
    bool done = false;
    bool complete = false;
    ExchangeHooks hooks;
    hooks.onEnd = [&] { done = complete = true; };
    hooks.onFailed = [&done](const ExchangeFailure &) { done = true; };
    ExchangeLimits limits;
    limits.betweenBytes = std::chrono::milliseconds(300);
    pool.start(Server, {"HEAD", "/", {}, {}}, limits, ConnectionChoice::FreshOnly, hooks);
    while (!done) {
        loop.run_one();
    }
    BOOST_CHECK(complete);
    BOOST_CHECK_EQUAL(pool.idleConnections(Server), 1);
}

// Guards against taking an interim response for the final one.
BOOST_AUTO_TEST_CASE(interim_responses_before_the_final_one_are_skipped)
{
    boost::asio::io_context loop(1);
    RawEndpoint endpoint(loop, Server, [](const RawEndpoint::Request &) {
        return RawAnswer{"HTTP/1.1 102 Processing\r\n\r\n"
                         "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                         ConnectionEnd::KeepOpen,
                         {}};
    });
    ConnectionPool pool(loop, 1);
    bool done = false;
    unsigned status = 0;
    std::string body;
    ExchangeHooks hooks;
    hooks.onHead = [&status](const ResponseHead &head) { status = head.status; };
    hooks.onBody = [&body](const std::string &bytes) { body += bytes; };
    hooks.onEnd = [&done] { done = true; };
    hooks.onFailed = [&done](const ExchangeFailure &) { done = true; };
    pool.start(Server, {"GET", "/", {}, {}}, ExchangeLimits{}, ConnectionChoice::FreshOnly, hooks);
    while (!done) {
        loop.run_one();
    }
    BOOST_CHECK_EQUAL(status, 200);
    BOOST_CHECK_EQUAL(body, "ok");
    BOOST_CHECK_EQUAL(pool.idleConnections(Server), 1);
}

// Guards against idle connections to many addresses, each within the limit for one, that take up the descriptors of the process, and
// against closing one that was used later than another.
BOOST_AUTO_TEST_CASE(idle_connections_are_closed_for_new_ones_at_the_limit)
{
    boost::asio::io_context loop(1);
    const std::vector<Address> servers{{"127.0.0.1", 9'397}, {"127.0.0.2", 9'397}, {"127.0.0.3", 9'397}};
    std::vector<std::unique_ptr<RawEndpoint>> endpoints;
    ConnectionPool pool(loop, 1);
    pool.setOpenLimit(2);
    for (const Address &server : servers) {
        endpoints.push_back(std::make_unique<RawEndpoint>(loop, server, [](const RawEndpoint::Request &) {
            return RawAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ConnectionEnd::KeepOpen, {}};
        }));
        bool complete = false;
        bool done = false;
        ExchangeHooks hooks;
        hooks.onEnd = [&] { done = complete = true; };
        hooks.onFailed = [&done](const ExchangeFailure &) { done = true; };
        pool.start(server, {"GET", "/", {}, {}}, ExchangeLimits{}, ConnectionChoice::PreferIdle, hooks);
        while (!done) {
            loop.run_one();
        }
        BOOST_TEST(complete);
    }
    BOOST_TEST(pool.idleConnections(servers[0]) == 0U);
    BOOST_TEST(pool.idleConnections(servers[1]) == 1U);
    BOOST_TEST(pool.idleConnections(servers[2]) == 1U);
}
