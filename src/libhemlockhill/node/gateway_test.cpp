// Tests the gateway over loopback sockets with endpoints that answer, refuse, drop connections or return answers to other requests.
#include "hemlockhill/gateway.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>

using namespace Hemlockhill;

namespace
{

const ServiceId Register{"register"};

RequestDialect plainDialect()
{
    RequestDialect dialect;
    dialect.readRequest = [](const HttpRequest &request) {
        RoutedRequestHead head;
        head.id = RequestId{std::string(request.header("Id"))};
        return head;
    };
    dialect.forward = [](const HttpRequest &request, const ForwardOptions &options) {
        HttpRequest forwarded = request;
        forwarded.headers.push_back({"Resume-After", options.resumeAfter});
        return forwarded;
    };
    dialect.readAnswer = [](unsigned, const std::vector<HttpHeader> &headers) {
        EndpointAnswerHead head;
        head.id = RequestId{std::string(findHeader(headers, "Id"))};
        head.notRun = !findHeader(headers, "Not-Run").empty();
        head.isSigned = !findHeader(headers, "Signature").empty();
        head.isEventStream = findHeader(headers, "Content-Type") == "text/event-stream";
        return head;
    };
    dialect.answerHeaders = [](const std::vector<HttpHeader> &headers) {
        return std::vector<HttpHeader>{{"Signature", std::string(findHeader(headers, "Signature"))}};
    };
    return dialect;
}

HttpResponse signedAnswer(const HttpRequest &request, unsigned status = 200)
{
    return {status, "text/plain", {{"Id", std::string(request.header("Id"))}, {"Signature", "s"}}, "served"};
}

// A gateway with one caller and two endpoints on one event loop.
class GatewayFixture
{
public:
    using Handler = std::function<void(const HttpRequest &, const std::shared_ptr<HttpResponder> &)>;

    // The endpoints are known from a list that was requested at the given time before.
    GatewayFixture(RouteKind kind, bool resumable, Handler handler, Duration listingAge = Duration(0))
        : m_gateway(m_loop, gatewaySettings(), m_timers, m_metrics, plainDialect())
        , m_pool(m_loop, 4)
        , m_handler(std::move(handler))
    {
        m_gateway.start();
        auto deployment = std::make_shared<Deployment>();
        Route route;
        route.id = RouteId{"r"};
        route.host = GatewayAddress.text();
        route.pathPrefix = "/x/";
        route.kind = kind;
        route.resumable = resumable;
        route.attemptLimit = 2;
        route.timeout = std::chrono::seconds(2);
        route.latencyTarget = std::chrono::milliseconds(300);
        route.weightedServices = {{Register, 1}};
        deployment->routes = {route};
        deployment->services.emplace(Register, RoutedService{Register});
        m_gateway.setDeployment(deployment);
        EndpointsById endpoints;
        for (std::uint16_t index = 0; index < 2; ++index) {
            const Address address{"127.0.0.1", static_cast<std::uint16_t>(FirstEndpointPort + index)};
            m_endpoints.push_back(std::make_unique<HttpServer>(
                m_loop,
                address,
                HttpServerLimits{},
                [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                    ++runs;
                    m_handler(request, responder);
                },
                [](Reason) {}));
            LiveEndpoint endpoint;
            endpoint.id = EndpointId{"e" + std::to_string(index)};
            endpoint.service = Register;
            endpoint.address = address;
            endpoint.slots = 4;
            endpoints.emplace(endpoint.id, endpoint);
        }
        m_gateway.onLeaderDirectory(std::move(endpoints), currentTime() - listingAge);
    }

    // Returns the answer to one request; empty if the connection ends before the answer is complete.
    std::optional<HttpResponse> exchange(const std::string &path)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.headers = {{"Id", "request-1"}};
        request.body = "chassis 11";
        auto answer = std::make_shared<HttpResponse>();
        std::optional<bool> complete;
        ExchangeHooks hooks;
        hooks.onHead = [answer](unsigned status, const std::vector<HttpHeader> &headers) {
            answer->status = status;
            answer->headers = headers;
        };
        hooks.onBody = [answer](const std::string &bytes) { answer->body += bytes; };
        hooks.onEnd = [&complete] { complete = true; };
        hooks.onFailed = [&complete](const ExchangeFailure &) { complete = false; };
        m_pool.start(GatewayAddress, request, ExchangeTimeouts{}, ConnectionChoice::FreshOnly, std::move(hooks));
        while (!complete) {
            m_loop.run_one();
        }
        partial = answer->body;
        return *complete ? std::optional(*answer) : std::nullopt;
    }

    // Sends raw bytes and returns everything received until the connection is closed.
    std::string sendRaw(const std::string &bytes)
    {
        boost::asio::ip::tcp::socket socket(m_loop);
        socket.connect({boost::asio::ip::make_address(GatewayAddress.host), GatewayAddress.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string answer;
        bool ended = false;
        boost::asio::async_read(
            socket, boost::asio::dynamic_buffer(answer), [&ended](boost::system::error_code, std::size_t) { ended = true; });
        while (!ended) {
            m_loop.run_one();
        }
        return answer;
    }

    // Sends a request and disconnects once an endpoint has received it.
    void sendAndDisconnect(const std::string &path)
    {
        {
            boost::asio::ip::tcp::socket socket(m_loop);
            socket.connect({boost::asio::ip::make_address(GatewayAddress.host), GatewayAddress.port});
            boost::asio::write(socket, boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: " + GatewayAddress.text() + "\r\n\r\n"));
            while (runs == 0) {
                m_loop.run_one();
            }
        }
    }

    void runUntil(const bool &condition)
    {
        while (!condition) {
            m_loop.run_one();
        }
    }

    void reportListUnavailable() { m_gateway.onListUnavailable(); }
    void removeEndpoints() { m_gateway.onLeaderDirectory({}, currentTime()); }

    void stopAfter(Duration delay)
    {
        m_timers.after(delay, m_loop, [this] { m_gateway.stopAccepting(); });
    }

    // Stops the gateway once its last request has ended, and stores whether it still had to write an answer then.
    void stopWhenAnswered(bool &wasWriting)
    {
        boost::asio::post(m_loop, [this, &wasWriting] {
            if (runs == 0 || m_gateway.requestsInProgress() > 0) {
                stopWhenAnswered(wasWriting);
                return;
            }
            wasWriting = !m_gateway.isIdle();
            m_gateway.stopAccepting();
        });
    }

    void runUntilIdle()
    {
        while (!m_gateway.isIdle()) {
            m_loop.run_one();
        }
    }

    std::size_t inProgress() const { return m_gateway.requestsInProgress(); }

    int runs = 0;
    // The body received for the last request, complete or not.
    std::string partial;

private:
    static inline const Address GatewayAddress{"127.0.0.1", 9'390};
    static constexpr std::uint16_t FirstEndpointPort = 9'391;

    static GatewaySettings gatewaySettings()
    {
        GatewaySettings settings;
        settings.listen = GatewayAddress;
        return settings;
    }

    boost::asio::io_context m_loop{1};
    TimerService m_timers;
    Metrics m_metrics;
    Gateway m_gateway;
    ConnectionPool m_pool;
    Handler m_handler;
    std::vector<std::unique_ptr<HttpServer>> m_endpoints;
};

} // namespace

BOOST_AUTO_TEST_CASE(an_answer_reaches_the_caller_unchanged)
{
    GatewayFixture fixture(RouteKind::Unsafe, false, [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        BOOST_CHECK_EQUAL(request.method, "POST");
        BOOST_CHECK_EQUAL(request.target, "/x/1?q=2");
        BOOST_CHECK_EQUAL(request.body, "chassis 11");
        responder->answer(signedAnswer(request, 201));
    });
    const auto answer = fixture.exchange("/x/1?q=2");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 201);
    BOOST_CHECK_EQUAL(answer->body, "served");
    BOOST_CHECK_EQUAL(findHeader(answer->headers, "Signature"), "s");
    BOOST_CHECK_EQUAL(fixture.runs, 1);
}

BOOST_AUTO_TEST_CASE(a_path_without_a_route_is_answered_with_404)
{
    GatewayFixture fixture(RouteKind::Safe, false, [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer(signedAnswer(request));
    });
    BOOST_CHECK_EQUAL(fixture.exchange("/y/1").value().status, 404);
    BOOST_CHECK_EQUAL(fixture.runs, 0);
}

BOOST_AUTO_TEST_CASE(an_unsafe_request_is_not_retried_after_its_answer_is_lost)
{
    const auto abortConnection = [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) { responder->abort(); };
    GatewayFixture unsafe(RouteKind::Unsafe, false, abortConnection);
    BOOST_CHECK_EQUAL(unsafe.exchange("/x/1").value().status, 502);
    BOOST_CHECK_EQUAL(unsafe.runs, 1);
}

BOOST_AUTO_TEST_CASE(a_safe_request_is_retried_on_another_endpoint_after_its_answer_is_lost)
{
    int answers = 0;
    GatewayFixture fixture(RouteKind::Safe, false, [&answers](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        if (++answers == 1) {
            responder->abort();
        } else {
            responder->answer(signedAnswer(request));
        }
    });
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 200);
    BOOST_CHECK_EQUAL(fixture.runs, 2);
}

BOOST_AUTO_TEST_CASE(a_request_refused_without_running_is_retried_on_another_endpoint)
{
    int answers = 0;
    GatewayFixture fixture(
        RouteKind::Unsafe, false, [&answers](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            if (++answers == 1) {
                responder->answer({503, "text/plain", {{"Not-Run", "1"}}, "full"});
            } else {
                responder->answer(signedAnswer(request));
            }
        });
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 200);
    BOOST_CHECK_EQUAL(fixture.runs, 2);
}

BOOST_AUTO_TEST_CASE(a_request_refused_by_all_endpoints_is_answered_with_retry_after)
{
    GatewayFixture fixture(RouteKind::Unsafe, false, [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer({503, "text/plain", {{"Not-Run", "1"}}, "full"});
    });
    const auto answer = fixture.exchange("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 503);
    BOOST_CHECK(!findHeader(answer->headers, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_or_without_a_signature_is_discarded)
{
    for (const std::vector<HttpHeader> &headers :
         {std::vector<HttpHeader>{{"Id", "request-0"}, {"Signature", "s"}}, {{"Id", "request-1"}}}) {
        GatewayFixture fixture(RouteKind::Unsafe, false, [headers](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
            responder->answer({200, "text/plain", headers, "somebody else's"});
        });
        const auto answer = fixture.exchange("/x/1");
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->status, 502);
        BOOST_CHECK_EQUAL(answer->body.find("somebody"), std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_continues_after_its_last_complete_event)
{
    int answers = 0;
    std::vector<std::shared_ptr<HttpResponder>> open;
    GatewayFixture fixture(RouteKind::Streaming, true, [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        open.push_back(responder);
        HttpResponse head = signedAnswer(request);
        head.contentType = "text/event-stream";
        responder->begin(head);
        if (++answers == 1) {
            responder->write("id: 1\ndata: a\n\nid: 2\nda");
            responder->onDrained = [weak = std::weak_ptr(responder)] { weak.lock()->abort(); };
            return;
        }
        BOOST_CHECK_EQUAL(request.header("Resume-After"), "1");
        responder->write("id: 2\ndata: b\n\n");
        responder->end();
    });
    const auto answer = fixture.exchange("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_not_resumable_is_reported_as_incomplete)
{
    std::vector<std::shared_ptr<HttpResponder>> open;
    GatewayFixture fixture(
        RouteKind::Streaming, false, [&open](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            open.push_back(responder);
            HttpResponse head = signedAnswer(request);
            head.contentType = "text/event-stream";
            responder->begin(head);
            responder->write("id: 1\ndata: a\n\n");
            responder->onDrained = [weak = std::weak_ptr(responder)] { weak.lock()->abort(); };
        });
    BOOST_CHECK(!fixture.exchange("/x/1"));
    BOOST_CHECK_EQUAL(fixture.partial, "id: 1\ndata: a\n\n");
    BOOST_CHECK_EQUAL(fixture.runs, 1);
}

BOOST_AUTO_TEST_CASE(a_caller_disconnect_cancels_the_request_at_the_endpoint)
{
    std::shared_ptr<HttpResponder> open;
    bool isCancelled = false;
    GatewayFixture fixture(RouteKind::Unsafe, false, [&](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
        open = responder;
        responder->onDisconnected = [&isCancelled] { isCancelled = true; };
    });
    fixture.sendAndDisconnect("/x/1");
    fixture.runUntil(isCancelled);
    BOOST_CHECK_EQUAL(fixture.inProgress(), 0);
    BOOST_CHECK_EQUAL(fixture.runs, 1);
}

// A node is stopped while a request waits for an endpoint. The caller must be told that the request has not run before the node exits.
BOOST_AUTO_TEST_CASE(a_waiting_request_is_refused_when_the_node_stops)
{
    GatewayFixture fixture(RouteKind::Safe, false, [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer({503, "text/plain", {{"Not-Run", "1"}}, "full"});
    });
    fixture.removeEndpoints();
    fixture.stopAfter(std::chrono::milliseconds(50));
    const TimePoint start = currentTime();
    const auto answer = fixture.exchange("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 503);
    BOOST_CHECK(currentTime() - start < std::chrono::milliseconds(300));
}

// If a node stopped as soon as its last request has ended, the end of an answer that is still being written would be lost.
BOOST_AUTO_TEST_CASE(a_gateway_is_idle_only_after_its_answers_are_written)
{
    GatewayFixture fixture(RouteKind::Safe, false, [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer(signedAnswer(request));
    });
    bool wasWritingAfterLastRequest = false;
    fixture.stopWhenAnswered(wasWritingAfterLastRequest);
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 200);
    BOOST_CHECK(wasWritingAfterLastRequest);
    fixture.runUntilIdle();
}

// Guards against requests to an endpoint that began to leave after the node's list of endpoints was written.
BOOST_AUTO_TEST_CASE(a_request_is_not_sent_to_endpoints_of_an_outdated_list)
{
    GatewayFixture fixture(
        RouteKind::Safe,
        false,
        [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { responder->answer(signedAnswer(request)); },
        std::chrono::seconds(10));
    const auto refused = fixture.exchange("/x/1");
    BOOST_REQUIRE(refused);
    BOOST_CHECK_EQUAL(refused->status, 503);
    BOOST_CHECK_EQUAL(fixture.runs, 0);
    fixture.reportListUnavailable();
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 200);
}

// Request smuggling: a request hidden in the body of another one would run with the identity of that request's caller.
BOOST_AUTO_TEST_CASE(ambiguous_message_framing_is_refused_and_the_connection_closed)
{
    GatewayFixture fixture(RouteKind::Safe, false, [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer(signedAnswer(request));
    });
    const std::string hidden = "GET /x/2 HTTP/1.1\r\nHost: 127.0.0.1:9390\r\n\r\n";
    for (const char *framing : {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 3\r\nContent-Length: 40\r\n"}) {
        const std::string answer =
            fixture.sendRaw(std::string("POST /x/1 HTTP/1.1\r\nHost: 127.0.0.1:9390\r\n") + framing + "\r\n0\r\n\r\n" + hidden);
        BOOST_CHECK(answer.starts_with("HTTP/1.1 400"));
        BOOST_CHECK_EQUAL(answer.find("served"), std::string::npos);
        BOOST_CHECK_EQUAL(fixture.runs, 0);
    }
}
