// The gateway at sockets on loopback: what reaches endpoints and callers when endpoints answer, refuse, lose answers or mix them up.
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

// A gateway between one caller and two endpoints, all on one loop.
class Setting
{
public:
    using Handler = std::function<void(const HttpRequest &, const std::shared_ptr<HttpResponder> &)>;

    Setting(RouteKind kind, bool resumable, Handler handler)
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
        m_gateway.setDirectory(std::move(endpoints));
    }

    // The answer to one request; empty when the connection ends without a whole one.
    std::optional<HttpResponse> ask(const std::string &path)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.headers = {{"Id", "request-1"}};
        request.body = "chassis 11";
        auto answer = std::make_shared<HttpResponse>();
        std::optional<bool> whole;
        ExchangeHooks hooks;
        hooks.onHead = [answer](unsigned status, const std::vector<HttpHeader> &headers) {
            answer->status = status;
            answer->headers = headers;
        };
        hooks.onBody = [answer](const std::string &bytes) { answer->body += bytes; };
        hooks.onEnd = [&whole] { whole = true; };
        hooks.onFailed = [&whole](const ExchangeFailure &) { whole = false; };
        m_pool.start(GatewayAddress, request, ExchangeTimeouts{}, ConnectionChoice::FreshOnly, std::move(hooks));
        while (!whole) {
            m_loop.run_one();
        }
        partial = answer->body;
        return *whole ? std::optional(*answer) : std::nullopt;
    }

    // Sends bytes as they are, and returns what comes back until the connection ends.
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

    // Sends a request and leaves once an endpoint has it.
    void askAndLeave(const std::string &path)
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

    void withoutEndpoints() { m_gateway.setDirectory({}); }

    void stopAfter(Duration delay)
    {
        m_timers.after(delay, m_loop, [this] { m_gateway.stopAccepting(); });
    }

    // Notes whether the gateway still has an answer to write when its last request has ended.
    void stopWhenAnswered(bool &wasBusy)
    {
        boost::asio::post(m_loop, [this, &wasBusy] {
            if (runs == 0 || m_gateway.requestsInProgress() > 0) {
                stopWhenAnswered(wasBusy);
                return;
            }
            wasBusy = !m_gateway.isIdle();
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
    // What came of the last answer, whole or not.
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
    Setting setting(RouteKind::Unsafe, false, [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        BOOST_CHECK_EQUAL(request.method, "POST");
        BOOST_CHECK_EQUAL(request.target, "/x/1?q=2");
        BOOST_CHECK_EQUAL(request.body, "chassis 11");
        responder->answer(signedAnswer(request, 201));
    });
    const auto answer = setting.ask("/x/1?q=2");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 201);
    BOOST_CHECK_EQUAL(answer->body, "served");
    BOOST_CHECK_EQUAL(findHeader(answer->headers, "Signature"), "s");
    BOOST_CHECK_EQUAL(setting.runs, 1);
}

BOOST_AUTO_TEST_CASE(a_path_without_a_route_is_not_found)
{
    Setting setting(RouteKind::Safe, false, [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer(signedAnswer(request));
    });
    BOOST_CHECK_EQUAL(setting.ask("/y/1").value().status, 404);
    BOOST_CHECK_EQUAL(setting.runs, 0);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_repeated_only_where_the_request_may_run_again)
{
    const auto lose = [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) { responder->abort(); };
    Setting unsafe(RouteKind::Unsafe, false, lose);
    BOOST_CHECK_EQUAL(unsafe.ask("/x/1").value().status, 502);
    BOOST_CHECK_EQUAL(unsafe.runs, 1);
}

BOOST_AUTO_TEST_CASE(a_safe_request_is_served_by_another_endpoint)
{
    int answers = 0;
    Setting setting(RouteKind::Safe, false, [&answers](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        if (++answers == 1) {
            responder->abort();
        } else {
            responder->answer(signedAnswer(request));
        }
    });
    BOOST_CHECK_EQUAL(setting.ask("/x/1").value().status, 200);
    BOOST_CHECK_EQUAL(setting.runs, 2);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_turns_a_request_away_unrun_leaves_it_to_another)
{
    int answers = 0;
    Setting setting(RouteKind::Unsafe, false, [&answers](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        if (++answers == 1) {
            responder->answer({503, "text/plain", {{"Not-Run", "1"}}, "full"});
        } else {
            responder->answer(signedAnswer(request));
        }
    });
    BOOST_CHECK_EQUAL(setting.ask("/x/1").value().status, 200);
    BOOST_CHECK_EQUAL(setting.runs, 2);
}

BOOST_AUTO_TEST_CASE(a_request_that_no_endpoint_takes_is_refused_as_not_run)
{
    Setting setting(RouteKind::Unsafe, false, [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer({503, "text/plain", {{"Not-Run", "1"}}, "full"});
    });
    const auto answer = setting.ask("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 503);
    BOOST_CHECK(!findHeader(answer->headers, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_or_without_a_signature_reaches_nobody)
{
    for (const std::vector<HttpHeader> &headers :
         {std::vector<HttpHeader>{{"Id", "request-0"}, {"Signature", "s"}}, {{"Id", "request-1"}}}) {
        Setting setting(RouteKind::Unsafe, false, [headers](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
            responder->answer({200, "text/plain", headers, "somebody else's"});
        });
        const auto answer = setting.ask("/x/1");
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->status, 502);
        BOOST_CHECK_EQUAL(answer->body.find("somebody"), std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_goes_on_after_its_last_whole_event)
{
    int answers = 0;
    std::vector<std::shared_ptr<HttpResponder>> open;
    Setting setting(RouteKind::Streaming, true, [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
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
    const auto answer = setting.ask("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(a_stream_that_may_not_be_resumed_is_cut_off_without_looking_whole)
{
    std::vector<std::shared_ptr<HttpResponder>> open;
    Setting setting(RouteKind::Streaming, false, [&open](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        open.push_back(responder);
        HttpResponse head = signedAnswer(request);
        head.contentType = "text/event-stream";
        responder->begin(head);
        responder->write("id: 1\ndata: a\n\n");
        responder->onDrained = [weak = std::weak_ptr(responder)] { weak.lock()->abort(); };
    });
    BOOST_CHECK(!setting.ask("/x/1"));
    BOOST_CHECK_EQUAL(setting.partial, "id: 1\ndata: a\n\n");
    BOOST_CHECK_EQUAL(setting.runs, 1);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_the_work_at_the_endpoint)
{
    std::shared_ptr<HttpResponder> open;
    bool isCancelled = false;
    Setting setting(RouteKind::Unsafe, false, [&](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
        open = responder;
        responder->onGone = [&isCancelled] { isCancelled = true; };
    });
    setting.askAndLeave("/x/1");
    setting.runUntil(isCancelled);
    BOOST_CHECK_EQUAL(setting.inProgress(), 0);
    BOOST_CHECK_EQUAL(setting.runs, 1);
}

// A node is told to stop while a request waits for an endpoint: its caller is told that it has not run, before the node ends.
BOOST_AUTO_TEST_CASE(a_request_that_waits_is_refused_when_its_node_stops)
{
    Setting setting(RouteKind::Safe, false, [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer({503, "text/plain", {{"Not-Run", "1"}}, "full"});
    });
    setting.withoutEndpoints();
    setting.stopAfter(std::chrono::milliseconds(50));
    const TimePoint start = currentTime();
    const auto answer = setting.ask("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 503);
    BOOST_CHECK(currentTime() - start < std::chrono::milliseconds(300));
}

// A node that stops once its last request has ended would cut off the end of the answer, which still has to be written.
BOOST_AUTO_TEST_CASE(a_node_is_idle_only_once_its_answers_are_written)
{
    Setting setting(RouteKind::Safe, false, [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer(signedAnswer(request));
    });
    bool wasBusyAfterLastRequest = false;
    setting.stopWhenAnswered(wasBusyAfterLastRequest);
    BOOST_CHECK_EQUAL(setting.ask("/x/1").value().status, 200);
    BOOST_CHECK(wasBusyAfterLastRequest);
    setting.runUntilIdle();
}

// A request hidden in the body of another one would run under its caller's name.
BOOST_AUTO_TEST_CASE(ambiguous_framing_is_refused_and_the_connection_closed)
{
    Setting setting(RouteKind::Safe, false, [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        responder->answer(signedAnswer(request));
    });
    const std::string hidden = "GET /x/2 HTTP/1.1\r\nHost: 127.0.0.1:9390\r\n\r\n";
    for (const char *framing : {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 3\r\nContent-Length: 40\r\n"}) {
        const std::string answer =
            setting.sendRaw(std::string("POST /x/1 HTTP/1.1\r\nHost: 127.0.0.1:9390\r\n") + framing + "\r\n0\r\n\r\n" + hidden);
        BOOST_CHECK(answer.starts_with("HTTP/1.1 400"));
        BOOST_CHECK_EQUAL(answer.find("served"), std::string::npos);
        BOOST_CHECK_EQUAL(setting.runs, 0);
    }
}
