// Test support: several gateways before endpoints that crash by what they run and return as other instances, all on one event loop.
#pragma once

#include "net/raw_endpoint_testing.h"
#include "node/gateway_testing.h"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <set>
#include <sstream>

namespace Hemlockhill::Testing
{

inline constexpr std::uint16_t EndpointPortOffset = 10;
inline constexpr Duration RestartTime = std::chrono::milliseconds(60);
inline constexpr Duration Pause = std::chrono::milliseconds(20);
// How long an endpoint runs a request before it crashes late, and how long a caller stays that leaves early.
inline constexpr Duration LateCrashDelay = std::chrono::milliseconds(40);
inline constexpr Duration ShortStay = std::chrono::milliseconds(15);
// An endpoint that is listed this long after a supposed loss runs; nodes notice it within a second.
inline constexpr Duration LossConfirmation = std::chrono::milliseconds(400);
// The list shows a change this much later, if the fleet's list lags.
inline constexpr Duration ListLag = std::chrono::milliseconds(90);
inline constexpr Duration ReviewTime = std::chrono::milliseconds(1300);
inline constexpr Duration AnswerTimeout = std::chrono::seconds(3);

// Several nodes before endpoints that crash on certain paths and return as other instances, all on one event loop.
class CrashingFleet
{
public:
    // The nodes listen on the ports from the first one on, the endpoints on those from the tenth one on.
    CrashingFleet(std::uint16_t firstPort, std::size_t nodes, std::size_t endpoints = 3)
        : m_firstPort(firstPort)
        , m_pool(m_loop, 4)
    {
        m_endpoints.resize(endpoints);
        for (std::size_t endpoint = 0; endpoint < endpoints; ++endpoint) {
            start(endpoint);
        }
        for (std::size_t node = 0; node < nodes; ++node) {
            addNode();
        }
    }

    void addNode()
    {
        GatewaySettings settings;
        settings.listen = {"127.0.0.1", static_cast<std::uint16_t>(m_firstPort + m_nodes.size())};
        settings.crashes.requests.lossConfirmation = LossConfirmation;
        settings.crashes.promptParts.lossConfirmation = LossConfirmation;
        settings.crashes.requests.listLag = ListLag;
        settings.crashes.promptParts.listLag = ListLag;
        // A request that is sent to a second endpoint crashes it at once.
        settings.crashes.promptParts.coincidence = Duration(0);
        m_addresses.push_back(settings.listen);
        auto node = std::make_unique<Gateway>(m_loop, settings, m_timers, m_metrics, plainDialect());
        node->start();
        node->setDeployment(singleRoute(settings.listen, RouteKind::Safe, false));
        node->onCrashSuspects = [this, sender = node.get()](const CrashSuspectNotice &notice) { notifyOthers(sender, notice); };
        m_nodes.push_back(std::move(node));
        publish();
    }

    void notifyOthers(const Gateway *sender, const CrashSuspectNotice &notice)
    {
        for (const auto &node : m_nodes) {
            if (node.get() != sender) {
                node->onRemoteCrashSuspects(notice);
            }
        }
    }

    // Sends a request to a node; empty if its connection ends before the answer is complete.
    std::optional<HttpResponse> exchange(std::size_t node, const std::string &path, const std::string &parts = {})
    {
        HttpRequest request;
        request.method = "GET";
        request.target = path;
        request.headers = {{"Id", "request-" + std::to_string(++m_lastRequest)}, {"Parts", parts}};
        auto answer = std::make_shared<HttpResponse>();
        std::optional<bool> complete;
        m_pool.start(m_addresses.at(node), request, ExchangeLimits{}, ConnectionChoice::FreshOnly, collectAnswer(answer, complete));
        for (const TimePoint end = currentTime() + AnswerTimeout; !complete && currentTime() < end;) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        return complete.value_or(false) ? std::optional(*answer) : std::nullopt;
    }

    // Sends a request to a node and leaves before its answer.
    void sendAndLeave(std::size_t node, const std::string &path, const std::string &parts)
    {
        HttpRequest request;
        request.method = "GET";
        request.target = path;
        request.headers = {{"Id", "request-" + std::to_string(++m_lastRequest)}, {"Parts", parts}};
        const auto exchange = m_pool.start(m_addresses.at(node), request, ExchangeLimits{}, ConnectionChoice::FreshOnly, ExchangeHooks{});
        run(ShortStay);
        exchange->cancel();
        run(LateCrashDelay + RestartTime);
    }

    // Status of a complete answer, 0 without one.
    unsigned status(std::size_t node, const std::string &path, const std::string &parts = {})
    {
        const auto answer = exchange(node, path, parts);
        return answer ? answer->status : 0;
    }

    void run(Duration duration)
    {
        for (const TimePoint end = currentTime() + duration; currentTime() < end;) {
            m_loop.run_one_for(std::chrono::milliseconds(5));
        }
    }

    // The list shows only endpoints that run.
    void publish()
    {
        if (!keepsIds) {
            publish(listed());
            return;
        }
        m_timers.after(ListLag, m_loop, [this, endpoints = listed()] { publish(endpoints); });
    }

    void publish(const EndpointsById &endpoints)
    {
        for (const auto &node : m_nodes) {
            node->onLeaderDirectory(endpoints, currentTime());
        }
    }

    EndpointsById listed() const
    {
        EndpointsById endpoints;
        for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
            if (!m_endpoints[index].runs) {
                continue;
            }
            LiveEndpoint endpoint;
            endpoint.id = m_endpoints[index].id;
            endpoint.incarnation = m_endpoints[index].incarnation;
            endpoint.service = Register;
            endpoint.address = endpointAddress(index);
            endpoint.slots = 4;
            endpoints.emplace(endpoint.id, endpoint);
        }
        return endpoints;
    }

    std::size_t nodes() const { return m_nodes.size(); }
    Gateway &node(std::size_t index) { return *m_nodes.at(index); }

    // Whether endpoints that crashed return under the ids that they had, and the list lags.
    bool keepsIds = false;
    // Paths whose requests crash the endpoint that runs them.
    std::set<std::string> crashing;
    // Parts of prompts that crash the endpoint once it has begun to answer.
    std::set<std::string> crashingParts;
    // Parts of prompts that the endpoint never answers completely; it crashes some time after it has begun to.
    std::set<std::string> lateCrashingParts;
    // Paths whose requests are reset by the endpoint, which goes on serving others.
    std::set<std::string> reset;
    // Number of requests that endpoints refuse next, without running them.
    int refusalsLeft = 0;
    int crashesLeft = std::numeric_limits<int>::max();
    int crashes = 0;
    int resets = 0;

private:
    struct Endpoint {
        EndpointId id;
        Incarnation incarnation;
        std::shared_ptr<RawEndpoint> server;
        bool runs = false;
    };

    Address endpointAddress(std::size_t endpoint) const
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(m_firstPort + EndpointPortOffset + endpoint)};
    }

    void start(std::size_t index)
    {
        Endpoint &endpoint = m_endpoints[index];
        ++m_lastInstance;
        endpoint.id = EndpointId{"e" + std::to_string(keepsIds ? index + 1 : m_lastInstance)};
        endpoint.incarnation = Incarnation{std::to_string(m_lastInstance)};
        endpoint.runs = true;
        endpoint.server = std::make_shared<RawEndpoint>(
            m_loop, endpointAddress(index), [this, index](const RawEndpoint::Request &request) { return answer(index, request); });
        m_servers.push_back(endpoint.server);
        publish();
    }

    RawAnswer answer(std::size_t index, const RawEndpoint::Request &request)
    {
        const std::string path(request.target());
        const std::string id(request["Id"]);
        const std::string head = "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\nContent-Length: 6\r\n\r\n";
        if (refusalsLeft > 0) {
            --refusalsLeft;
            return {"HTTP/1.1 503 Busy\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", ConnectionEnd::KeepOpen, {}};
        }
        if (crashing.contains(path) && crashesLeft > 0) {
            crash(index);
            return {"", ConnectionEnd::Crash, {}};
        }
        if (hasPart(request, lateCrashingParts)) {
            if (crashesLeft > 0) {
                m_timers.after(LateCrashDelay, m_loop, [this, index, server = m_endpoints[index].server] {
                    server->crash();
                    crash(index);
                    publish();
                });
            }
            return {head, ConnectionEnd::KeepOpen, {}};
        }
        if (hasPart(request, crashingParts)) {
            crash(index);
            return {head, ConnectionEnd::Crash, {}};
        }
        if (reset.contains(path)) {
            ++resets;
            return {"", ConnectionEnd::Reset, {}};
        }
        return {head + "served", ConnectionEnd::KeepOpen, {}};
    }

    static bool hasPart(const RawEndpoint::Request &request, const std::set<std::string> &searched)
    {
        std::istringstream parts{std::string(request["Parts"])};
        for (std::string part; parts >> part;) {
            if (searched.contains(part)) {
                return true;
            }
        }
        return false;
    }

    void crash(std::size_t index)
    {
        ++crashes;
        --crashesLeft;
        m_endpoints[index].runs = false;
        m_timers.after(RestartTime, m_loop, [this, index] { start(index); });
    }

    std::uint16_t m_firstPort;
    boost::asio::io_context m_loop{1};
    TimerService m_timers;
    Metrics m_metrics;
    ConnectionPool m_pool;
    std::vector<Address> m_addresses;
    std::vector<std::unique_ptr<Gateway>> m_nodes;
    std::vector<Endpoint> m_endpoints;
    // Former instances, whose handlers may still be pending.
    std::vector<std::shared_ptr<RawEndpoint>> m_servers;
    std::uint64_t m_lastInstance = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace Hemlockhill::Testing
