// Test support: a gateway between one caller and two endpoints on loopback sockets, all on one event loop.
#pragma once

#include "hemlockhill/gateway.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace Hemlockhill::Testing
{

inline const ServiceId Register{"register"};

// The headers with which the requests and answers of these tests are marked.
inline RequestDialect plainDialect()
{
    RequestDialect dialect;
    dialect.readRequest = [](const HttpRequest &request) {
        RoutedRequestHead head;
        head.id = RequestId{std::string(request.header("Id"))};
        head.lastEventId = std::string(request.header("After"));
        head.resumedRequest = RequestId{std::string(request.header("First-Id"))};
        std::istringstream parts{std::string(request.header("Parts"))};
        for (std::string part; parts >> part;) {
            head.promptParts.push_back(Fingerprint{std::hash<std::string>()(part)});
        }
        head.fingerprint = Fingerprint{std::hash<std::string>()(request.target + ' ' + request.body)};
        if (const std::string_view key = request.header("Key"); !key.empty()) {
            head.credential = {Credential::Kind::Key, digestOfKey(key)};
        }
        return head;
    };
    dialect.forward = [](const HttpRequest &request, const ForwardOptions &options) {
        HttpRequest forwarded = request;
        forwarded.headers.push_back({"Resume-After", options.resumeAfter});
        forwarded.headers.push_back({"Instance", options.endpoint.value});
        forwarded.headers.push_back(
            {"Time-Left-Ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(options.timeLeft).count())});
        if (options.identity) {
            forwarded.headers.push_back({"Workspace", options.identity->workspace.value});
        }
        return forwarded;
    };
    dialect.readAnswer = [](unsigned, const std::vector<HttpHeader> &headers) {
        EndpointAnswerHead head;
        head.id = RequestId{std::string(findHeader(headers, "Id"))};
        head.namesSeveral = std::any_of(headers.begin(), headers.end(), [&head](const HttpHeader &header) {
            return header.name == "Id" && header.value != head.id.value;
        });
        head.notRun = !findHeader(headers, "Not-Run").empty();
        head.isSigned = !findHeader(headers, "Signature").empty();
        head.isEventStream = findHeader(headers, "Content-Type") == "text/event-stream";
        if (const std::string_view limit = findHeader(headers, "Limit"); !limit.empty()) {
            head.capacity.rateLimit = RateLimitStatement::Limited;
            head.capacity.rate = RequestRate{std::stod(std::string(limit))};
        }
        head.capacity.isOwn = true;
        head.capacity.isLeaving = !findHeader(headers, "Leaving").empty();
        if (const std::string_view pause = findHeader(headers, "Pause-Ms"); !pause.empty()) {
            head.capacity.pause = std::chrono::milliseconds(std::stoi(std::string(pause)));
        }
        return head;
    };
    dialect.answerHeaders = [](const std::vector<HttpHeader> &headers) {
        return std::vector<HttpHeader>{{"Signature", std::string(findHeader(headers, "Signature"))}};
    };
    dialect.probe = [](const EndpointId &, const RoutedService &) {
        HttpRequest request;
        request.method = "GET";
        request.target = "/probe";
        return request;
    };
    return dialect;
}

inline HttpResponse signedAnswer(const HttpRequest &request, unsigned status = 200)
{
    return {status, "text/plain", {{"Id", std::string(request.header("Id"))}, {"Signature", "s"}}, "served"};
}

// Hooks that collect the answer to one exchange. `complete` is set at its end.
inline ExchangeHooks collectAnswer(const std::shared_ptr<HttpResponse> &answer, std::optional<bool> &complete)
{
    ExchangeHooks hooks;
    hooks.onHead = [answer](const ResponseHead &head) {
        answer->status = head.status;
        answer->headers = head.headers;
    };
    hooks.onBody = [answer](const std::string &bytes) { answer->body += bytes; };
    hooks.onEnd = [&complete] { complete = true; };
    hooks.onFailed = [&complete](const ExchangeFailure &) { complete = false; };
    return hooks;
}

// How often an event has been counted.
inline double countedEvents(const Metrics &metrics, const std::string &event)
{
    const std::string text = metrics.exposition();
    const std::string key = "event=\"" + event + "\"} ";
    const std::size_t position = text.find(key);
    return position == std::string::npos ? 0 : std::stod(text.substr(position + key.size()));
}

// A deployment with one route, to the service of these tests.
inline std::shared_ptr<const Deployment> singleRoute(const Address &listen, RouteKind kind, bool resumable)
{
    auto deployment = std::make_shared<Deployment>();
    Route route;
    route.id = RouteId{"r"};
    route.host = listen.text();
    route.pathPrefix = "/x/";
    route.kind = kind;
    route.resumable = resumable;
    route.attemptLimit = 2;
    route.timeout = std::chrono::seconds(2);
    route.latencyTarget = std::chrono::milliseconds(300);
    route.weightedServices = {{Register, 1}};
    deployment->routes = {route};
    deployment->services.emplace(Register, RoutedService{Register});
    return deployment;
}

// What a gateway fixture serves.
struct GatewayScenario {
    RouteKind kind = RouteKind::Safe;
    bool resumable = false;
    // The endpoints are known from a list that was requested this long before.
    Duration listingAge{0};
    // The gateway listens on this port and its endpoints on the next two. Test programs run side by side, each on its own ports.
    std::uint16_t firstPort = 9'390;
    // Software versions of the two endpoints.
    std::array<SoftwareVersion, 2> versions{SoftwareVersion{"v1"}, SoftwareVersion{"v1"}};
    // Whether the gateway and all others have started for the first time.
    bool isFirstStart = true;
    KeyLimits keys = {};
    std::shared_ptr<BufferBudget> answerBudget = {};
};

class GatewayFixture
{
public:
    using Handler = std::function<void(const HttpRequest &, const std::shared_ptr<HttpResponder> &)>;
    // Starts an endpoint that lives as long as the returned object.
    using EndpointFactory = std::function<std::shared_ptr<void>(boost::asio::io_context &loop, const Address &address)>;

    GatewayFixture(RouteKind kind, bool resumable, Handler handler, Duration listingAge = Duration(0))
        : GatewayFixture(GatewayScenario{kind, resumable, listingAge}, serverFactory(std::move(handler)))
    {
    }

    GatewayFixture(const GatewayScenario &scenario, Handler handler)
        : GatewayFixture(scenario, serverFactory(std::move(handler)))
    {
    }

    GatewayFixture(const GatewayScenario &scenario, const EndpointFactory &startEndpoint)
        : m_address{"127.0.0.1", scenario.firstPort}
        , m_gateway(m_loop, gatewaySettings(m_address, scenario), m_timers, m_metrics, plainDialect())
        , m_pool(m_loop, 4)
    {
        m_gateway.start();
        m_gateway.setDeployment(singleRoute(m_address, scenario.kind, scenario.resumable));
        EndpointsById endpoints;
        for (std::uint16_t index = 0; index < 2; ++index) {
            const Address address{"127.0.0.1", static_cast<std::uint16_t>(scenario.firstPort + 1 + index)};
            m_endpoints.push_back(startEndpoint(m_loop, address));
            LiveEndpoint endpoint;
            endpoint.id = EndpointId{"e" + std::to_string(index)};
            endpoint.service = Register;
            endpoint.address = address;
            endpoint.softwareVersion = scenario.versions.at(index);
            endpoint.slots = 4;
            endpoints.emplace(endpoint.id, endpoint);
        }
        m_directory = endpoints;
        m_gateway.onLeaderDirectory(std::move(endpoints), currentTime() - scenario.listingAge);
    }

    // Returns the answer to one request; empty if the connection ends before the answer is complete.
    std::optional<HttpResponse> exchange(const std::string &path)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.headers = {{"Id", "request-1"}};
        request.headers.insert(request.headers.end(), extraHeaders.begin(), extraHeaders.end());
        request.body = "chassis 11";
        auto answer = std::make_shared<HttpResponse>();
        std::optional<bool> complete;
        m_pool.start(m_address, request, ExchangeLimits{}, ConnectionChoice::FreshOnly, collectAnswer(answer, complete));
        while (!complete) {
            m_loop.run_one();
        }
        partial = answer->body;
        return *complete ? std::optional(*answer) : std::nullopt;
    }

    // Sends raw bytes, the rest of them after a pause, and returns everything received until the connection is closed.
    std::string sendRaw(const std::string &bytes, const std::string &rest = {}, Duration pause = Duration(0))
    {
        boost::asio::ip::tcp::socket socket(m_loop);
        socket.connect({boost::asio::ip::make_address(m_address.host), m_address.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        if (!rest.empty()) {
            runFor(pause);
            boost::asio::write(socket, boost::asio::buffer(rest));
        }
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
            socket.connect({boost::asio::ip::make_address(m_address.host), m_address.port});
            boost::asio::write(socket, boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: " + m_address.text() + "\r\n\r\n"));
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
    // Removes the endpoints from the directory and returns them.
    EndpointsById takeEndpoints()
    {
        removeEndpoints();
        return m_directory;
    }
    void after(Duration delay, std::function<void()> action) { m_timers.after(delay, m_loop, std::move(action)); }

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

    void runFor(Duration duration)
    {
        const TimePoint end = currentTime() + duration;
        while (currentTime() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
    }

    void runUntilIdle()
    {
        while (!m_gateway.isIdle()) {
            m_loop.run_one();
        }
    }

    std::size_t inProgress() const { return m_gateway.requestsInProgress(); }

    Gateway &gateway() { return m_gateway; }
    const Address &address() const { return m_address; }
    const EndpointsById &directory() const { return m_directory; }
    double counted(const std::string &event) const { return countedEvents(m_metrics, event); }

    // Sent with each request.
    std::vector<HttpHeader> extraHeaders;
    int runs = 0;
    // The body received for the last request, complete or not.
    std::string partial;

private:
    static GatewaySettings gatewaySettings(const Address &listen, const GatewayScenario &scenario)
    {
        GatewaySettings settings;
        settings.listen = listen;
        settings.isFirstStart = scenario.isFirstStart;
        settings.keys = scenario.keys;
        settings.answerBudget = scenario.answerBudget;
        return settings;
    }

    // Endpoints that frame their answers and pass requests to the handler.
    EndpointFactory serverFactory(Handler handler)
    {
        return [this, handler = std::move(handler)](boost::asio::io_context &loop, const Address &address) {
            return std::make_shared<HttpServer>(
                loop,
                address,
                HttpServerLimits{},
                [this, handler](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                    ++runs;
                    handler(request, responder);
                },
                [](Reason) {});
        };
    }

    Address m_address;
    EndpointsById m_directory;

    boost::asio::io_context m_loop{1};
    TimerService m_timers;
    Metrics m_metrics;
    Gateway m_gateway;
    ConnectionPool m_pool;
    std::vector<std::shared_ptr<void>> m_endpoints;
};

} // namespace Hemlockhill::Testing
