// Test support: nodes that forward requests for each other, between callers and two endpoints on loopback sockets, all on one event loop.
#pragma once

#include "hemlockhill/forwarded_request.h"
#include "node/gateway_testing.h"

#include <algorithm>

namespace Hemlockhill::Testing
{

// Offsets of the ports from the first one of a test program.
inline constexpr int CallerPort = 0;
inline constexpr int ForwardingPort = 1;
inline constexpr int EndpointPort = 2;
// Nobody listens here: connections are refused.
inline constexpr int ClosedPort = 8;
inline constexpr std::uint16_t EndpointCount = 2;
inline constexpr Duration AnswerTimeout = std::chrono::seconds(4);

// What a fleet serves.
struct ForwardingScenario {
    // For each node whether it is cut off from the endpoints.
    std::vector<bool> cutOff;
    RouteKind kind = RouteKind::Safe;
    bool resumable = false;
    // Test programs run side by side, each on its own ports.
    std::uint16_t firstPort = 9'270;
};

// Nodes before two endpoints, which those that are cut off know by an address that refuses connections.
class ForwardingFleet
{
public:
    using Handler = std::function<void(const HttpRequest &, const std::shared_ptr<HttpResponder> &)>;

    // Starts an endpoint that lives as long as the returned object.
    using EndpointFactory = std::function<std::shared_ptr<void>(boost::asio::io_context &loop, const Address &address)>;

    ForwardingFleet(const std::vector<bool> &cutOff, RouteKind kind, Handler handler, bool resumable = false)
        : ForwardingFleet({cutOff, kind, resumable}, std::move(handler))
    {
    }

    ForwardingFleet(const ForwardingScenario &scenario, Handler handler)
        : ForwardingFleet(scenario, serverFactory(std::move(handler)))
    {
    }

    ForwardingFleet(const ForwardingScenario &scenario, const EndpointFactory &startEndpoint)
        : m_firstPort(scenario.firstPort)
        , m_pool(m_loop, 4)
    {
        for (std::uint16_t endpoint = 0; endpoint < EndpointCount; ++endpoint) {
            m_endpoints.push_back(startEndpoint(m_loop, {"127.0.0.1", port(EndpointPort + endpoint)}));
        }
        for (std::size_t index = 0; index < scenario.cutOff.size(); ++index) {
            addNode(index, scenario);
        }
        std::vector<VmId> names;
        for (const auto &node : m_nodes) {
            names.push_back(node->name);
        }
        for (const auto &node : m_nodes) {
            node->gateway->setNodes(names);
        }
    }

    std::optional<HttpResponse> exchange(std::size_t node, const std::string &path)
    {
        std::optional<bool> complete;
        auto answer = std::make_shared<HttpResponse>();
        m_pool.start(m_nodes.at(node)->address,
                     callersRequest(path),
                     ExchangeLimits{},
                     ConnectionChoice::FreshOnly,
                     collectAnswer(answer, complete));
        runUntil([&] { return complete.has_value(); });
        partial = answer->body;
        return complete.value_or(false) ? std::optional(*answer) : std::nullopt;
    }

    // The node reaches the endpoints again.
    void heal(std::size_t node) { publish(*m_nodes.at(node), false); }
    // The node reads the list of endpoints again and is still cut off.
    void renewList(std::size_t node) { publish(*m_nodes.at(node), true); }

    // Sends a request and leaves once the endpoint has received it.
    void sendAndLeave(std::size_t node, const std::string &path)
    {
        std::optional<bool> complete;
        const auto exchange = m_pool.start(m_nodes.at(node)->address,
                                           callersRequest(path),
                                           ExchangeLimits{},
                                           ConnectionChoice::FreshOnly,
                                           collectAnswer(std::make_shared<HttpResponse>(), complete));
        runUntil([&] { return !runs.empty(); });
        exchange->cancel();
    }

    // Sends a request to the address for forwarded requests, from an address outside the group.
    std::optional<HttpResponse> exchangeFromOutside(std::size_t node) { return forward(m_pool, node, std::chrono::seconds(1)); }

    // Sends a request to the address for forwarded requests, as the first node does when its caller has this much time left.
    std::optional<HttpResponse> exchangeFromFirstNode(std::size_t node, Duration timeLeft)
    {
        ConnectionPool pool(m_loop, 1, m_nodes.front()->name.value);
        return forward(pool, node, timeLeft);
    }

    template<typename Condition>
    void runUntil(const Condition &condition)
    {
        for (const TimePoint end = currentTime() + AnswerTimeout; !condition() && currentTime() < end;) {
            m_loop.run_one_for(std::chrono::milliseconds(5));
        }
    }

    void run(Duration duration)
    {
        const TimePoint end = currentTime() + duration;
        runUntil([end] { return currentTime() >= end; });
    }

    Gateway &gateway(std::size_t node) { return *m_nodes.at(node)->gateway; }
    double counted(std::size_t node, const std::string &event) const { return countedEvents(m_nodes.at(node)->metrics, event); }

    // Targets of the requests that the endpoint got.
    std::vector<std::string> runs;
    std::size_t probes = 0;
    std::string partial;

private:
    std::optional<HttpResponse> forward(ConnectionPool &pool, std::size_t node, Duration timeLeft)
    {
        HttpRequest request = callersRequest("/x/1");
        setForwardOptions(request, {EndpointId{"e0"}, timeLeft, {}});
        std::optional<bool> complete;
        auto answer = std::make_shared<HttpResponse>();
        const Address address{m_nodes.at(node)->name.value, port(ForwardingPort)};
        pool.start(address, request, ExchangeLimits{}, ConnectionChoice::FreshOnly, collectAnswer(answer, complete));
        runUntil([&] { return complete.has_value(); });
        return complete.value_or(false) ? std::optional(*answer) : std::nullopt;
    }

    struct Node {
        VmId name;
        Address address;
        Metrics metrics;
        std::unique_ptr<Gateway> gateway;
    };

    static HttpRequest callersRequest(const std::string &path)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.headers = {{"Id", "request-" + path}};
        request.body = "chassis 11";
        return request;
    }

    std::uint16_t port(int offset) const { return static_cast<std::uint16_t>(m_firstPort + offset); }

    // Endpoints that frame their answers and pass requests to the handler, except for probes.
    EndpointFactory serverFactory(Handler handler)
    {
        return [this, handler = std::move(handler)](boost::asio::io_context &loop, const Address &address) {
            return std::make_shared<HttpServer>(
                loop,
                address,
                HttpServerLimits{},
                [this, handler](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                    onRequest(request, responder, handler);
                },
                [](Reason) {});
        };
    }

    void onRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder, const Handler &handler)
    {
        if (request.target == "/probe") {
            ++probes;
            responder->answer({});
            return;
        }
        runs.push_back(request.target);
        handler(request, responder);
    }

    void addNode(std::size_t index, const ForwardingScenario &scenario)
    {
        auto node = std::make_unique<Node>();
        node->name = VmId{"127.0.27." + std::to_string(index + 1)};
        node->address = {node->name.value, port(CallerPort)};
        GatewaySettings settings;
        settings.listen = node->address;
        settings.forwardingListen = Address{node->name.value, port(ForwardingPort)};
        node->gateway = std::make_unique<Gateway>(m_loop, settings, m_timers, node->metrics, plainDialect());
        node->gateway->onForwardingQuery = [this, from = node->name](const ForwardingMessage &query) { ask(from, query); };
        node->gateway->onCrashSuspects = [this, from = node->name](const CrashSuspectNotice &notice) {
            for (const auto &other : m_nodes) {
                if (other->name != from) {
                    other->gateway->onRemoteCrashSuspects(notice);
                }
            }
        };
        node->gateway->onRateLimit = [this, from = node->name](const RateLimitNotice &notice) { announce(from, notice); };
        node->gateway->start();
        node->gateway->setDeployment(singleRoute(node->address, scenario.kind, scenario.resumable));
        publish(*node, scenario.cutOff.at(index));
        m_nodes.push_back(std::move(node));
    }

    void publish(Node &node, bool isCutOff)
    {
        EndpointsById endpoints;
        for (std::uint16_t number = 0; number < EndpointCount; ++number) {
            LiveEndpoint endpoint;
            endpoint.id = EndpointId{"e" + std::to_string(number)};
            endpoint.service = Register;
            endpoint.address = {"127.0.0.1", port((isCutOff ? ClosedPort : EndpointPort) + number)};
            endpoint.softwareVersion = SoftwareVersion{"v1"};
            endpoint.slots = 64;
            endpoints.emplace(endpoint.id, endpoint);
        }
        node.gateway->onLeaderDirectory(std::move(endpoints), currentTime());
    }

    void ask(const VmId &from, const ForwardingMessage &query)
    {
        for (const auto &node : m_nodes) {
            if (node->name == from) {
                continue;
            }
            if (const auto offer = node->gateway->onForwardingMessage(from, query)) {
                find(from).gateway->onForwardingMessage(node->name, *offer);
            }
        }
    }

    void announce(const VmId &from, const RateLimitNotice &notice)
    {
        for (const auto &node : m_nodes) {
            if (node->name == from) {
                continue;
            }
            if (const auto reply = node->gateway->onRemoteRateLimit(from, notice)) {
                find(from).gateway->onRemoteRateLimit(node->name, *reply);
            }
        }
    }

    Node &find(const VmId &name)
    {
        return **std::find_if(m_nodes.begin(), m_nodes.end(), [&name](const auto &node) { return node->name == name; });
    }

    std::uint16_t m_firstPort;
    boost::asio::io_context m_loop{1};
    TimerService m_timers;
    ConnectionPool m_pool;
    std::vector<std::shared_ptr<void>> m_endpoints;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace Hemlockhill::Testing
