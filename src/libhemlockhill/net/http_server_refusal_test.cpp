// Tests that the server refuses only requests that have not reached the handler, and that each request gets one response.
#include "hemlockhill/http_server.h"

#include "hemlockhill/buffer_budget.h"
#include "hemlockhill/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace Hemlockhill;
using boost::asio::ip::tcp;

namespace
{

const Address Server{"127.0.0.1", 9'493};
constexpr Duration ShortLimit = std::chrono::milliseconds(100);
constexpr Duration Patience = std::chrono::seconds(5);
const std::string Get = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string Malformed = "no request\r\n\r\n";
const HttpResponse Ok{200, "text/plain", {}, "ok"};

// A server whose handler keeps the responders, and clients that write and read plain bytes.
class Fixture
{
public:
    explicit Fixture(const HttpServerLimits &limits = {})
        : m_server(
            m_loop,
            Server,
            limits,
            [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                requests.push_back(std::move(request));
                responders.push_back(std::move(responder));
            },
            [this](Reason reason) { refusals.push_back(reason); })
    {
    }

    HttpServer &server() { return m_server; }

    // Runs the loop until the condition holds. Returns whether it did in time.
    bool runUntil(const std::function<bool()> &condition)
    {
        const TimePoint end = currentTime() + Patience;
        while (!condition() && currentTime() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    bool awaitRequests(std::size_t count)
    {
        return runUntil([&] { return requests.size() >= count; });
    }

    void runFor(Duration duration)
    {
        const TimePoint end = currentTime() + duration;
        while (currentTime() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(5));
        }
    }

    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpResponder>> responders;
    std::vector<Reason> refusals;

private:
    boost::asio::io_context m_loop{1};
    HttpServer m_server;
};

class Client
{
public:
    explicit Client(Fixture &fixture)
        : m_fixture(fixture)
        , m_socket(m_ownLoop)
    {
        m_socket.connect({boost::asio::ip::make_address(Server.host), Server.port});
        m_socket.non_blocking(true);
    }

    // Writes all bytes while the server reads.
    void send(const std::string &bytes)
    {
        std::size_t sent = 0;
        m_fixture.runUntil([&] {
            boost::system::error_code error;
            sent += m_socket.write_some(boost::asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
            return sent == bytes.size() || (error && error != boost::asio::error::would_block);
        });
    }

    void endSending() { m_socket.shutdown(tcp::socket::shutdown_send); }

    // Returns all that the server sends until it closes the connection.
    std::string receiveAll()
    {
        BOOST_CHECK(m_fixture.runUntil([this] { return !receive(); }));
        return m_received;
    }

    // Returns all that has arrived, once it ends with the given text.
    std::string receiveUpTo(const std::string &text)
    {
        BOOST_CHECK(m_fixture.runUntil([&] {
            receive();
            return m_received.ends_with(text);
        }));
        return m_received;
    }

    // Returns what has arrived.
    std::string received()
    {
        receive();
        return m_received;
    }

private:
    // Reads what has arrived. Returns false once the connection is closed.
    bool receive()
    {
        std::string bytes(65'536, ' ');
        boost::system::error_code error;
        const std::size_t count = m_socket.read_some(boost::asio::buffer(bytes), error);
        m_received.append(bytes, 0, count);
        return !error || error == boost::asio::error::would_block;
    }

    Fixture &m_fixture;
    boost::asio::io_context m_ownLoop;
    tcp::socket m_socket;
    std::string m_received;
};

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++found;
    }
    return found;
}

std::string post(const std::string &path, std::size_t length)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

// Guards against a time limit on receiving or idling that goes on while the request is handled.
BOOST_AUTO_TEST_CASE(request_in_progress_is_refused_when_the_time_to_send_it_has_passed)
{
    HttpServerLimits limits;
    limits.request = ShortLimit;
    limits.idle = ShortLimit;
    limits.write = ShortLimit;
    for (const std::string &following : {std::string(), std::string("GET /next"), Malformed}) {
        Fixture fixture(limits);
        Client client(fixture);
        client.send(post("/first", 4));
        client.send("body" + following);
        BOOST_REQUIRE(fixture.awaitRequests(1));
        fixture.runFor(4 * ShortLimit);
        BOOST_CHECK(client.received().empty());
        BOOST_CHECK(fixture.refusals.empty());
        fixture.responders[0]->answer(Ok);
        const std::string received = client.receiveAll();
        BOOST_CHECK(received.starts_with("HTTP/1.1 200 OK\r\n"));
        BOOST_CHECK_EQUAL(fixture.requests.size(), 1);
    }
}

// Guards against handling a request whose refusal has been written, when the rest of it arrives later.
BOOST_AUTO_TEST_CASE(request_is_handled_after_its_refusal)
{
    HttpServerLimits limits;
    limits.request = ShortLimit;
    limits.body = Bytes{100};
    const std::string chunked =
        "POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n" + std::string(64, 'x') + "\r\n";
    struct Late {
        std::string first;
        std::string rest;
        Reason reason;
    };
    const std::vector<Late> cases{{post("/first", 4) + "bo", "dy", Reason::SlowSender},
                                  {post("/first", 200), std::string(200, 'x'), Reason::BodyTooLarge},
                                  {chunked, "40\r\n" + std::string(64, 'x') + "\r\n0\r\n\r\n", Reason::BodyTooLarge},
                                  {"GET /first HTTP/1.1\r\nHost h\r\n\r\n", Get, Reason::MalformedRequest}};
    for (const Late &late : cases) {
        Fixture fixture(limits);
        Client client(fixture);
        client.send(late.first);
        if (late.reason == Reason::BodyTooLarge) {
            client.send(late.rest);
        }
        BOOST_REQUIRE(fixture.runUntil([&] { return !fixture.refusals.empty(); }));
        client.send(late.rest);
        const std::string received = client.receiveAll();
        fixture.runFor(ShortLimit);
        BOOST_CHECK(received.starts_with("HTTP/1.1 4"));
        BOOST_CHECK(fixture.requests.empty());
        BOOST_REQUIRE_EQUAL(fixture.refusals.size(), 1);
        BOOST_CHECK(fixture.refusals[0] == late.reason);
    }
}

// Guards against a refusal of the next request that is sent in place of the answer to this one, or before it.
BOOST_AUTO_TEST_CASE(refusal_of_the_next_request_answers_the_one_in_progress)
{
    HttpServerLimits limits;
    limits.body = Bytes{100};
    limits.header = Bytes{1'000};
    const std::string longHeader = "GET /next HTTP/1.1\r\nHost: h\r\nA: " + std::string(2'000, 'x') + "\r\n\r\n";
    for (const std::string &next : {Malformed, post("/next", 101), longHeader}) {
        Fixture fixture(limits);
        Client client(fixture);
        client.send(Get + next);
        BOOST_REQUIRE(fixture.awaitRequests(1));
        fixture.runFor(ShortLimit / 2);
        BOOST_CHECK(fixture.refusals.empty());
        fixture.responders[0]->answer(Ok);
        const std::string received = client.receiveAll();
        BOOST_CHECK(received.starts_with("HTTP/1.1 200 OK\r\n"));
        BOOST_CHECK_EQUAL(count(received, "HTTP/1.1 "), 2);
        BOOST_CHECK_EQUAL(count(received, "HTTP/1.1 4"), 1);
        BOOST_CHECK_EQUAL(fixture.requests.size(), 1);
        BOOST_CHECK_EQUAL(fixture.refusals.size(), 1);
    }
}

// Guards against a second response to a request that its handler ends twice.
BOOST_AUTO_TEST_CASE(request_gets_two_responses)
{
    Fixture fixture;
    Client client(fixture);
    client.send(Get + Get);
    BOOST_REQUIRE(fixture.awaitRequests(1));
    const auto first = fixture.responders[0];
    first->answer(Ok);
    first->answer({503, "text/plain", {}, "refused"});
    BOOST_REQUIRE(fixture.awaitRequests(2));
    first->answer({503, "text/plain", {}, "refused"});
    fixture.responders[1]->answer(Ok);
    client.receiveUpTo("okHTTP/1.1 200 OK\r\nServer: hemlockhill\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok");
}

BOOST_AUTO_TEST_CASE(limit_of_connections_refuses_a_request_in_progress)
{
    HttpServerLimits limits;
    limits.connections = 1;
    Fixture fixture(limits);
    Client client(fixture);
    client.send(Get);
    BOOST_REQUIRE(fixture.awaitRequests(1));
    Client other(fixture);
    other.send(Get);
    BOOST_CHECK(other.receiveAll().starts_with("HTTP/1.1 503 "));
    BOOST_CHECK_EQUAL(fixture.requests.size(), 1);
    BOOST_CHECK(client.received().empty());
    fixture.responders[0]->answer(Ok);
    BOOST_CHECK(client.receiveUpTo("ok").starts_with("HTTP/1.1 200 OK\r\n"));
}

// Guards against a shutdown that drops a request of which a part has been read.
BOOST_AUTO_TEST_CASE(shutdown_drops_a_request_that_is_being_received)
{
    for (const std::string &received : {post("/first", 4), post("/first", 4) + "bo"}) {
        Fixture fixture;
        Client client(fixture);
        client.send(received);
        fixture.runFor(ShortLimit / 2);
        fixture.server().stopAccepting();
        client.send((post("/first", 4) + "body").substr(received.size()));
        BOOST_REQUIRE(fixture.awaitRequests(1));
        BOOST_CHECK_EQUAL(fixture.requests[0].body, "body");
        fixture.responders[0]->answer(Ok);
        BOOST_CHECK(client.receiveAll().starts_with("HTTP/1.1 200 OK\r\n"));
        BOOST_CHECK(fixture.refusals.empty());
    }
}

BOOST_AUTO_TEST_CASE(shutdown_refuses_a_request_in_progress)
{
    Fixture fixture;
    Client client(fixture);
    Client idle(fixture);
    client.send(Get);
    BOOST_REQUIRE(fixture.awaitRequests(1));
    fixture.server().stopAccepting();
    BOOST_CHECK(idle.receiveAll().empty());
    fixture.responders[0]->answer(Ok);
    BOOST_CHECK(client.receiveAll().starts_with("HTTP/1.1 200 OK\r\n"));
    BOOST_CHECK(fixture.refusals.empty());
}

// A client that closes one direction counts as gone.
BOOST_AUTO_TEST_CASE(request_of_a_client_that_ended_its_sending_is_refused)
{
    Fixture fixture;
    Client client(fixture);
    client.send(Get);
    BOOST_REQUIRE(fixture.awaitRequests(1));
    bool hasLeft = false;
    fixture.responders[0]->onDisconnected = [&hasLeft] { hasLeft = true; };
    client.endSending();
    BOOST_CHECK(fixture.runUntil([&] { return hasLeft; }));
    fixture.responders[0]->answer({503, "text/plain", {}, "refused"});
    BOOST_CHECK(client.receiveAll().empty());
    BOOST_CHECK(fixture.refusals.empty());
}

// Guards against bytes behind the response to HEAD: its client takes them for the response to the next request.
BOOST_AUTO_TEST_CASE(response_to_head_has_a_body)
{
    for (const Duration pause : {Duration(0), ShortLimit / 2}) {
        Fixture fixture;
        Client client(fixture);
        client.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n" + Get);
        BOOST_REQUIRE(fixture.awaitRequests(1));
        fixture.responders[0]->begin({200, "text/event-stream", {}, {}});
        fixture.runFor(pause);
        fixture.responders[0]->write("data: 1\n\n");
        fixture.responders[0]->end();
        BOOST_REQUIRE(fixture.awaitRequests(2));
        fixture.responders[1]->answer(Ok);
        const std::string received = client.receiveUpTo("ok");
        BOOST_CHECK_EQUAL(count(received, "data"), 0);
        BOOST_CHECK_EQUAL(count(received, "\r\n\r\nHTTP/1.1 200 OK"), 1);
    }
}

// Guards against a refusal without the body whose length it states, because the request before it was HEAD.
BOOST_AUTO_TEST_CASE(refusal_after_head_is_cut_short)
{
    Fixture fixture;
    Client client(fixture);
    client.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_REQUIRE(fixture.awaitRequests(1));
    fixture.responders[0]->answer(Ok);
    client.receiveUpTo("\r\n\r\n");
    client.send(Malformed);
    BOOST_CHECK(client.receiveAll().ends_with("}"));
}

// Guards against a process that ends because limits become lower than what the buffer of a connection holds.
BOOST_AUTO_TEST_CASE(lower_limits_end_the_process)
{
    HttpServerLimits limits;
    limits.header = Bytes{30'000};
    Fixture fixture(limits);
    Client client(fixture);
    client.send(Get + Get + post("/third", 90'000) + std::string(85'000, 'x'));
    BOOST_REQUIRE(fixture.awaitRequests(1));
    fixture.runFor(ShortLimit / 2);
    limits.header = Bytes{1'000};
    fixture.server().setLimits(limits);
    fixture.responders[0]->answer(Ok);
    BOOST_REQUIRE(fixture.awaitRequests(2));
    client.send(std::string(5'000, 'x'));
    fixture.runFor(ShortLimit / 2);
    fixture.responders[1]->answer(Ok);
    BOOST_REQUIRE(fixture.awaitRequests(3));
    BOOST_CHECK_EQUAL(fixture.requests[2].body.size(), 90'000);
    BOOST_CHECK(fixture.refusals.empty());
}

// Guards against callers that open connections and send nothing keeping others out until the time limit of idle connections.
BOOST_AUTO_TEST_CASE(idle_connection_makes_room_at_the_limit_of_connections)
{
    HttpServerLimits limits;
    limits.connections = 1;
    Fixture fixture(limits);
    Client idle(fixture);
    fixture.runFor(std::chrono::milliseconds(1200));
    Client other(fixture);
    other.send(Get);
    BOOST_REQUIRE(fixture.awaitRequests(1));
    fixture.responders[0]->answer(Ok);
    BOOST_CHECK(other.receiveUpTo("ok").starts_with("HTTP/1.1 200 OK\r\n"));
    BOOST_CHECK(idle.receiveAll().empty());
}

// Guards against a body that stopped arriving keeping its memory while others need it.
BOOST_AUTO_TEST_CASE(stopped_body_gives_way_to_one_that_arrives)
{
    constexpr std::size_t BodyBytes = 90'000;
    HttpServerLimits limits;
    limits.requestBudget = std::make_shared<BufferBudget>(Bytes{200'000});
    Fixture fixture(limits);
    Client stopped(fixture);
    stopped.send(post("/first", BodyBytes) + std::string(BodyBytes / 2, 'x'));
    fixture.runFor(std::chrono::milliseconds(700));
    Client other(fixture);
    other.send(post("/first", BodyBytes) + std::string(BodyBytes, 'x'));
    BOOST_REQUIRE(fixture.awaitRequests(1));
    BOOST_CHECK_EQUAL(fixture.requests[0].body.size(), BodyBytes);
    BOOST_CHECK(stopped.receiveAll().starts_with("HTTP/1.1 429 "));
    fixture.responders[0]->answer(Ok);
    BOOST_CHECK(other.receiveUpTo("ok").starts_with("HTTP/1.1 200 OK\r\n"));
}

// Guards against answers that the handler collects exceeding the memory for answers before the first byte of them is sent.
BOOST_AUTO_TEST_CASE(collected_answers_count_as_answers)
{
    HttpServerLimits limits;
    limits.answerBudget = std::make_shared<BufferBudget>(Bytes{200'000});
    Fixture fixture(limits);
    Client first(fixture);
    Client second(fixture);
    first.send(Get);
    BOOST_REQUIRE(fixture.awaitRequests(1));
    second.send(Get);
    BOOST_REQUIRE(fixture.awaitRequests(2));
    bool isFirstClosed = false;
    fixture.responders[0]->onDisconnected = [&isFirstClosed] { isFirstClosed = true; };
    fixture.responders[0]->holdAnswer(150'000);
    fixture.responders[1]->holdAnswer(100'000);
    fixture.runFor(std::chrono::milliseconds(50));
    BOOST_TEST(isFirstClosed);
    BOOST_TEST(limits.answerBudget->used().value == 100'000U);
    fixture.responders[1]->answer(Ok);
    BOOST_CHECK(second.receiveUpTo("ok").starts_with("HTTP/1.1 200 OK\r\n"));
    fixture.runFor(std::chrono::milliseconds(50));
    BOOST_TEST(limits.answerBudget->used().value == 0U);
}
