// Tests requests that another node forwards, with endpoints and nodes whose answers may belong to another request.
#include "net/raw_endpoint_testing.h"
#include "node/gateway_forwarding_testing.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <thread>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr std::uint16_t FirstPort = 9'410;
constexpr int RequestCount = 6;
// Longer than an endpoint that has rejected a few requests gets no others.
constexpr std::chrono::milliseconds RejectionPause(600);
const std::string UnnamedRefusal = "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string OtherRefusal = "HTTP/1.1 503 Busy\r\nId: request-0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

std::string ownAnswer(const RawEndpoint::Request &request)
{
    return "HTTP/1.1 200 OK\r\nId: " + std::string(request["Id"]) + "\r\nSignature: s\r\nContent-Length: 6\r\n\r\nserved";
}

// The answer of a node that could not forward a request. Nodes of earlier builds do not name the request.
std::string forwardingFailure(const std::string &request, const std::string &reason = "endpoint_refused", bool mayHaveReached = false)
{
    const std::string name = request.empty() ? "" : "Hemlockhill-Answered-Request: " + request + "\r\n";
    return "HTTP/1.1 502 Bad Gateway\r\nHemlockhill-Forwarding-Failure: " + reason
           + "\r\nHemlockhill-May-Have-Reached: " + (mayHaveReached ? "yes" : "no") + "\r\n" + name + "Content-Length: 0\r\n\r\n";
}

// A node that is cut off from its endpoints, beside another one that answers with given bytes.
class NodeBesideRawPeer
{
public:
    explicit NodeBesideRawPeer(RawEndpoint::Handler handler)
        : NodeBesideRawPeer()
    {
        m_peer.emplace(m_loop, peerAddress(), std::move(handler));
    }

    // Without the other node, which may be started elsewhere.
    NodeBesideRawPeer()
        : m_gateway(m_loop, settings(), m_timers, m_metrics, plainDialect())
        , m_pool(m_loop, 1)
    {
        m_gateway.onForwardingQuery = [this](const ForwardingMessage &) {
            m_gateway.onForwardingMessage(Peer, ForwardingMessage{false, {}, 10});
        };
        m_gateway.start();
        m_gateway.setNodes({Self, Peer});
        m_gateway.setDeployment(singleRoute(settings().listen, RouteKind::Unsafe, false));
        LiveEndpoint endpoint;
        endpoint.id = EndpointId{"e0"};
        endpoint.service = Register;
        endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + ClosedPort)};
        endpoint.slots = 4;
        m_gateway.onLeaderDirectory({{endpoint.id, endpoint}}, currentTime());
    }

    static Address peerAddress() { return {Peer.value, static_cast<std::uint16_t>(FirstPort + ForwardingPort)}; }

    // The event loop is held up for the given time in each of its turns.
    unsigned exchange(const std::string &id, std::chrono::milliseconds delay = {})
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/x/1";
        request.headers = {{"Id", id}};
        auto answer = std::make_shared<HttpResponse>();
        std::optional<bool> complete;
        m_pool.start(settings().listen, request, ExchangeLimits{}, ConnectionChoice::FreshOnly, collectAnswer(answer, complete));
        while (!complete) {
            std::this_thread::sleep_for(delay);
            m_loop.run_one();
        }
        return answer->status;
    }

    // Sends bytes as another node would, and returns what comes until the connection is closed.
    std::string sendAsPeer(const std::string &bytes)
    {
        boost::asio::ip::tcp::socket socket(m_loop);
        const Address address = settings().forwardingListen.value();
        socket.connect({boost::asio::ip::make_address(address.host), address.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string answer;
        bool hasEnded = false;
        boost::asio::async_read(
            socket, boost::asio::dynamic_buffer(answer), [&hasEnded](boost::system::error_code, std::size_t) { hasEnded = true; });
        while (!hasEnded) {
            m_loop.run_one();
        }
        return answer;
    }

    double counted(const std::string &event) const { return countedEvents(m_metrics, event); }
    std::size_t connectionsToPeer() const { return m_peer->acceptedConnections(); }

private:
    static inline const VmId Self{"127.0.28.1"};
    static inline const VmId Peer{"127.0.28.2"};

    static GatewaySettings settings()
    {
        GatewaySettings settings;
        settings.listen = {Self.value, static_cast<std::uint16_t>(FirstPort + CallerPort)};
        settings.forwardingListen = Address{Self.value, static_cast<std::uint16_t>(FirstPort + ForwardingPort)};
        return settings;
    }

    boost::asio::io_context m_loop{1};
    TimerService m_timers;
    Metrics m_metrics;
    std::optional<RawEndpoint> m_peer;
    Gateway m_gateway;
    ConnectionPool m_pool;
};

// A node at its limit on connections. It runs on a thread of its own, so that its refusal can arrive before the request is written.
class RefusingNode
{
public:
    explicit RefusingNode(const Address &address)
        : m_acceptor(m_loop, {boost::asio::ip::make_address(address.host), address.port})
    {
        accept();
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~RefusingNode()
    {
        m_loop.stop();
        m_thread.join();
    }
    RefusingNode(const RefusingNode &) = delete;
    RefusingNode &operator=(const RefusingNode &) = delete;

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            boost::asio::write(socket, boost::asio::buffer(forwardingFailure("", "too_many_connections")), error);
            m_connections.push_back(std::move(socket));
            accept();
        });
    }

    boost::asio::io_context m_loop{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<boost::asio::ip::tcp::socket> m_connections;
    std::thread m_thread;
};

} // namespace

// Guards against a request that is refused, or sent to another endpoint, while it runs.
BOOST_AUTO_TEST_CASE(stray_on_a_connection_of_the_forwarding_node_is_taken_for_the_answer)
{
    for (const std::string &stray : {UnnamedRefusal, OtherRefusal}) {
        int runs = 0;
        std::vector<std::shared_ptr<RawEndpoint>> endpoints;
        ForwardingFleet fleet(
            {{true, false}, RouteKind::Unsafe, false, FirstPort}, [&](boost::asio::io_context &loop, const Address &address) {
                endpoints.push_back(
                    std::make_shared<RawEndpoint>(loop, address, [&runs, &stray, number = 0](const RawEndpoint::Request &request) mutable {
                        ++runs;
                        // Its connection is closed behind a stray, so each second request comes on a kept one.
                        const bool isKept = ++number % 2 == 0;
                        return RawAnswer{(isKept ? stray : "") + ownAnswer(request), ConnectionEnd::KeepOpen, {}};
                    }));
                return endpoints.back();
            });
        for (int request = 0; request < RequestCount; ++request) {
            const auto answer = fleet.exchange(0, "/x/" + std::to_string(request));
            BOOST_REQUIRE(answer);
            BOOST_CHECK_EQUAL(answer->status, 200);
            BOOST_CHECK_EQUAL(answer->body, "served");
        }
        BOOST_CHECK_EQUAL(runs, RequestCount);
        BOOST_CHECK_GE(fleet.counted(1, stray == UnnamedRefusal ? "stray_answer_unnamed" : "stray_answer_to_other_request"), 1);
        endpoints.clear();
    }
}

// Guards against a copy of a refusal that passes for the answer when its request comes to the forwarding node again, which the node that
// sends it does not know.
BOOST_AUTO_TEST_CASE(repeated_refusal_is_taken_for_the_answer_to_a_request_that_is_forwarded_again)
{
    int runs = 0;
    bool isBusy = true;
    std::vector<std::shared_ptr<RawEndpoint>> endpoints;
    ForwardingFleet fleet({{true, false}, RouteKind::Unsafe, false, FirstPort}, [&](boost::asio::io_context &loop, const Address &address) {
        endpoints.push_back(std::make_shared<RawEndpoint>(loop, address, [&](const RawEndpoint::Request &request) {
            const std::string refusal =
                "HTTP/1.1 503 Busy\r\nId: " + std::string(request["Id"]) + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
            if (isBusy) {
                return RawAnswer{refusal, ConnectionEnd::KeepOpen, {}};
            }
            ++runs;
            const bool isKept = endpoints.front()->earlierRequests() > 0;
            return RawAnswer{(isKept ? refusal : "") + ownAnswer(request), ConnectionEnd::KeepOpen, {}};
        }));
        return endpoints.back();
    });
    const auto refused = fleet.exchange(0, "/x/1");
    BOOST_REQUIRE(refused);
    BOOST_CHECK_EQUAL(refused->status, 503);
    isBusy = false;
    const auto answer = fleet.exchange(0, "/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 200);
    BOOST_CHECK_EQUAL(runs, 1);
    endpoints.clear();
}

// Guards against a copy of a refusal that passes for the answer when its request returns by another way: from the caller of the node that
// holds the connection, through one node that forwards, or through two.
BOOST_AUTO_TEST_CASE(repeated_refusal_is_taken_for_the_answer_to_a_request_that_returns_by_another_node)
{
    // The nodes that the caller sends its request to. The second one reaches the endpoints, the others have it forward for them.
    for (const std::vector<std::size_t> &nodes : std::vector<std::vector<std::size_t>>{{1, 0}, {0, 1}, {0, 2}, {1, 1}, {1, 0, 2}}) {
        int runs = 0;
        int copies = 0;
        std::size_t refusals = nodes.size() - 1;
        std::vector<std::shared_ptr<RawEndpoint>> endpoints;
        const auto start = [&](boost::asio::io_context &loop, const Address &address) {
            const std::size_t number = endpoints.size();
            endpoints.push_back(std::make_shared<RawEndpoint>(
                loop, address, [&, number, carried = std::set<std::string>()](const RawEndpoint::Request &request) mutable {
                    const std::string id(request["Id"]);
                    const std::string refusal =
                        "HTTP/1.1 503 Busy\r\nId: " + id + "\r\nNot-Run: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";
                    if (endpoints[number]->earlierRequests() == 0) {
                        carried.clear();
                    }
                    const bool isCopied = !carried.insert(id).second;
                    copies += isCopied ? 1 : 0;
                    runs += refusals == 0 ? 1 : 0;
                    return RawAnswer{
                        (isCopied ? refusal : "") + (refusals > 0 ? refusal : ownAnswer(request)), ConnectionEnd::KeepOpen, {}};
                }));
            return endpoints.back();
        };
        ForwardingFleet fleet({{true, false, true}, RouteKind::Unsafe, false, FirstPort}, start);
        for (const std::size_t node : nodes) {
            const auto answer = fleet.exchange(node, "/x/1");
            BOOST_REQUIRE(answer);
            BOOST_CHECK_EQUAL(answer->status, refusals > 0 ? 503 : 200);
            refusals -= refusals > 0 ? 1 : 0;
            // Endpoints that reject several requests in a row get none for a while.
            fleet.run(RejectionPause);
        }
        BOOST_CHECK_EQUAL(runs, 1);
        BOOST_CHECK_EQUAL(copies, 0);
        endpoints.clear();
    }
}

// Guards against the answer to a probe, sent once more, that passes for the answer to the next request on the connection that is kept
// after the probe.
BOOST_AUTO_TEST_CASE(copy_of_the_answer_to_a_probe_is_taken_for_that_to_a_request)
{
    const std::string probed = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    int probes = 0;
    int behindProbe = 0;
    std::vector<std::shared_ptr<RawEndpoint>> endpoints;
    ForwardingFleet fleet({{true}, RouteKind::Unsafe, false, FirstPort}, [&](boost::asio::io_context &loop, const Address &address) {
        const std::size_t number = endpoints.size();
        endpoints.push_back(std::make_shared<RawEndpoint>(loop, address, [&, number](const RawEndpoint::Request &request) {
            if (request.target() == "/probe") {
                ++probes;
                return RawAnswer{probed, ConnectionEnd::KeepOpen, {}};
            }
            const bool isKept = endpoints[number]->earlierRequests() > 0;
            behindProbe += isKept ? 1 : 0;
            return RawAnswer{(isKept ? probed : "") + ownAnswer(request), ConnectionEnd::KeepOpen, {}};
        }));
        return endpoints.back();
    });
    BOOST_CHECK_EQUAL(fleet.exchange(0, "/x/1").value().status, 503);
    fleet.heal(0);
    fleet.runUntil([&probes] { return probes >= 1; });
    fleet.run(std::chrono::milliseconds(20));
    BOOST_REQUIRE_GE(probes, 1);
    for (int request = 2; request <= RequestCount; ++request) {
        const auto answer = fleet.exchange(0, "/x/" + std::to_string(request));
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->status, 200);
    }
    BOOST_CHECK_GE(behindProbe, 1);
    endpoints.clear();
}

// Guards against distrust of a refusal that the forwarding node could tell, on a kept connection between the nodes, and against a name that
// reaches the caller though only nodes may see it.
BOOST_AUTO_TEST_CASE(unnamed_answer_on_a_fresh_connection_is_not_known_through_another_node)
{
    int runs = 0;
    std::vector<std::shared_ptr<RawEndpoint>> endpoints;
    ForwardingFleet fleet({{true, false}, RouteKind::Unsafe, false, FirstPort}, [&](boost::asio::io_context &loop, const Address &address) {
        endpoints.push_back(std::make_shared<RawEndpoint>(loop, address, [&runs](const RawEndpoint::Request &) {
            // Each request is refused once.
            const bool refuses = ++runs % 2 == 1;
            const std::string answer = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 6\r\n\r\nserved";
            return RawAnswer{refuses ? UnnamedRefusal : answer, ConnectionEnd::KeepOpen, {}};
        }));
        return endpoints.back();
    });
    for (int request = 0; request < RequestCount; ++request) {
        const auto answer = fleet.exchange(0, "/x/" + std::to_string(request));
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->status, 200);
        BOOST_CHECK_EQUAL(findHeader(answer->headers, "Hemlockhill-Answered-Request"), "");
    }
    BOOST_CHECK_EQUAL(runs, 2 * RequestCount);
    endpoints.clear();
}

// Guards against a request that waits until its deadline at the forwarding node, behind its own refusal that does not name it.
BOOST_AUTO_TEST_CASE(forwarded_request_waits_for_an_answer_that_an_endpoint_has_given_without_a_name)
{
    std::vector<std::shared_ptr<RawEndpoint>> endpoints;
    ForwardingFleet fleet({{true, false}, RouteKind::Unsafe, false, FirstPort}, [&](boost::asio::io_context &loop, const Address &address) {
        endpoints.push_back(std::make_shared<RawEndpoint>(loop, address, [number = 0](const RawEndpoint::Request &request) mutable {
            return RawAnswer{++number % 2 == 1 ? UnnamedRefusal : ownAnswer(request), ConnectionEnd::KeepOpen, {}};
        }));
        return endpoints.back();
    });
    for (int request = 0; request < RequestCount; ++request) {
        const auto answer = fleet.exchange(0, "/x/" + std::to_string(request));
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->status, 200);
    }
    BOOST_CHECK_EQUAL(fleet.counted(1, "stray_answer_unnamed"), 0);
    BOOST_CHECK_GE(fleet.counted(1, "connection_for_unnamed_answer"), 1);
    endpoints.clear();
}

// Guards against a promise that the endpoint has not made, through another node.
BOOST_AUTO_TEST_CASE(signed_status_through_another_node_promises_that_the_request_has_not_run)
{
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        const ForwardingFleet::Handler handler = [status](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            responder->answer(signedAnswer(request, status));
        };
        ForwardingFleet fleet({{true, false}, RouteKind::Unsafe, false, FirstPort}, handler);
        for (int request = 0; request < RequestCount; ++request) {
            const std::size_t runsBefore = fleet.runs.size();
            const auto answer = fleet.exchange(0, "/x/" + std::to_string(request));
            BOOST_REQUIRE(answer);
            // Endpoints that have failed a few times get no requests for a while, so later ones may be refused without having been sent.
            const bool hasRun = fleet.runs.size() > runsBefore;
            BOOST_CHECK_EQUAL(answer->status, hasRun ? 502 : 503);
            BOOST_CHECK_EQUAL(findHeader(answer->headers, "Signature"), "");
        }
        BOOST_CHECK_GE(fleet.runs.size(), 2);
    }
}

// Guards against a refusal that rests on the word of a node on another request.
BOOST_AUTO_TEST_CASE(failure_of_another_request_between_the_nodes_is_taken_for_that_of_this_one)
{
    NodeBesideRawPeer node([number = 0](const RawEndpoint::Request &request) mutable {
        const std::string stray = ++number > 1 ? forwardingFailure("request-0") : "";
        return RawAnswer{stray + ownAnswer(request), ConnectionEnd::KeepOpen, {}};
    });
    BOOST_CHECK_EQUAL(node.exchange("request-1"), 200);
    BOOST_CHECK_EQUAL(node.exchange("request-2"), 200);
    BOOST_CHECK_EQUAL(node.connectionsToPeer(), 1);
}

// Guards against the same with a node of an earlier build, which does not name the request.
BOOST_AUTO_TEST_CASE(unnamed_failure_on_a_kept_connection_between_the_nodes_is_taken_for_proof)
{
    NodeBesideRawPeer kept([number = 0](const RawEndpoint::Request &request) mutable {
        return RawAnswer{++number > 1 ? forwardingFailure("") : ownAnswer(request), ConnectionEnd::KeepOpen, {}};
    });
    BOOST_CHECK_EQUAL(kept.exchange("request-1"), 200);
    BOOST_CHECK_EQUAL(kept.exchange("request-2"), 502);
    BOOST_CHECK_EQUAL(kept.counted("forwarding_failure_unnamed"), 1);
    BOOST_CHECK_EQUAL(kept.connectionsToPeer(), 1);
}

// Guards against distrust of a node that names the request, or that has answered no other one on the connection.
BOOST_AUTO_TEST_CASE(failure_that_is_certainly_that_of_the_request_is_no_proof)
{
    for (const bool isNamed : {true, false}) {
        NodeBesideRawPeer fresh([isNamed](const RawEndpoint::Request &request) {
            const std::string name = isNamed ? std::string(request["Id"]) : "";
            return RawAnswer{forwardingFailure(name), ConnectionEnd::KeepOpen, {}};
        });
        BOOST_CHECK_EQUAL(fresh.exchange("request-1"), 503);
    }
    NodeBesideRawPeer kept([number = 0](const RawEndpoint::Request &request) mutable {
        const std::string failure = forwardingFailure(std::string(request["Id"]));
        return RawAnswer{++number > 1 ? failure : ownAnswer(request), ConnectionEnd::KeepOpen, {}};
    });
    BOOST_CHECK_EQUAL(kept.exchange("request-1"), 200);
    BOOST_CHECK_EQUAL(kept.exchange("request-2"), 503);
}

// Guards against a node's own refusal that passes for the answer of the endpoint.
BOOST_AUTO_TEST_CASE(request_that_a_node_cannot_read_is_answered_as_if_by_the_endpoint)
{
    NodeBesideRawPeer node([](const RawEndpoint::Request &request) { return RawAnswer{ownAnswer(request), ConnectionEnd::KeepOpen, {}}; });
    const std::string answer = node.sendAsPeer("no request\r\n\r\n");
    BOOST_CHECK_NE(answer.find("Hemlockhill-Forwarding-Failure: malformed_request"), std::string::npos);
    BOOST_CHECK_NE(answer.find("Hemlockhill-May-Have-Reached: no"), std::string::npos);
}

// Guards against a promise that rests on a stray that a node of an earlier build has taken for the answer and passed on: such a node names
// no request, and a fresh connection to it tells nothing of its connection to the endpoint.
BOOST_AUTO_TEST_CASE(unnamed_refusal_passed_on_by_a_node_of_an_earlier_build_is_taken_for_proof)
{
    NodeBesideRawPeer fresh([](const RawEndpoint::Request &) { return RawAnswer{UnnamedRefusal, ConnectionEnd::KeepOpen, {}}; });
    BOOST_CHECK_EQUAL(fresh.exchange("request-1"), 502);
}

// Guards against an endpoint that counts as unreachable at the forwarding node because a connection ended behind a stray.
BOOST_AUTO_TEST_CASE(endpoint_that_closes_a_connection_behind_a_stray_is_unreachable)
{
    int runs = 0;
    std::vector<std::shared_ptr<RawEndpoint>> endpoints;
    ForwardingFleet fleet({{true, false}, RouteKind::Unsafe, false, FirstPort}, [&](boost::asio::io_context &loop, const Address &address) {
        endpoints.push_back(std::make_shared<RawEndpoint>(loop, address, [&runs](const RawEndpoint::Request &request) {
            // Endpoints close each connection, and the second and the third request get nothing else.
            const bool isStray = runs == 1 || runs == 2;
            ++runs;
            return RawAnswer{isStray ? OtherRefusal : ownAnswer(request), ConnectionEnd::Close, {}};
        }));
        return endpoints.back();
    });
    for (int request = 0; request < RequestCount; ++request) {
        const auto answer = fleet.exchange(0, "/x/" + std::to_string(request));
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->status, request == 1 || request == 2 ? 502 : 200);
        fleet.run(std::chrono::milliseconds(60));
    }
    BOOST_CHECK_EQUAL(runs, RequestCount);
    BOOST_CHECK_EQUAL(fleet.counted(1, "endpoint_unreachable"), 0);
    endpoints.clear();
}

// Guards against requests that are refused while each endpoint serves a part of them, at a node that is cut off from all.
BOOST_AUTO_TEST_CASE(failures_of_endpoints_through_another_node_put_all_into_backoff)
{
    constexpr std::size_t Requests = 60;
    std::size_t number = 0;
    std::size_t failed = 0;
    ForwardingFleet fleet({{true, false}, RouteKind::Unsafe, false, FirstPort},
                          [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                              ++number;
                              const bool fails = number % 10 == 4 || number % 10 == 5 || number % 10 == 8;
                              failed += fails ? 1 : 0;
                              responder->answer(signedAnswer(request, fails ? 503 : 200));
                          });
    std::size_t served = 0;
    for (std::size_t request = 0; request < Requests; ++request) {
        const auto answer = fleet.exchange(0, "/x/" + std::to_string(request));
        BOOST_REQUIRE(answer);
        served += answer->status == 200 ? 1 : 0;
    }
    BOOST_CHECK_EQUAL(fleet.runs.size(), Requests);
    BOOST_CHECK_EQUAL(served + failed, Requests);
    BOOST_CHECK_GE(fleet.counted(0, "endpoint_failure_no_worse") + fleet.counted(0, "endpoint_backed_off"), 1);
    BOOST_CHECK_EQUAL(fleet.counted(0, "forwarding_peer_failed"), 0);
}

// Guards against a path that is lost for all requests because another node could not forward one of them.
BOOST_AUTO_TEST_CASE(node_that_could_not_forward_one_request_gets_no_others)
{
    for (const std::string reason : {"deadline_exceeded", "quarantined", "malformed_request", "body_too_large", "no_endpoint"}) {
        NodeBesideRawPeer node([&reason, number = 0](const RawEndpoint::Request &request) mutable {
            const std::string id(request["Id"]);
            return RawAnswer{++number == 1 ? forwardingFailure(id, reason) : ownAnswer(request), ConnectionEnd::KeepOpen, {}};
        });
        BOOST_TEST_CONTEXT(reason)
        {
            BOOST_CHECK_EQUAL(node.exchange("request-1"), 503);
            BOOST_CHECK_EQUAL(node.exchange("request-2"), 200);
            BOOST_CHECK_EQUAL(node.counted("forwarding_peer_failed"), 0);
        }
    }
}

// Guards against further requests to a node that takes none.
BOOST_AUTO_TEST_CASE(node_that_forwards_nothing_at_present_gets_further_requests)
{
    int requests = 0;
    NodeBesideRawPeer node([&requests](const RawEndpoint::Request &request) {
        ++requests;
        return RawAnswer{forwardingFailure(std::string(request["Id"]), "draining"), ConnectionEnd::KeepOpen, {}};
    });
    BOOST_CHECK_EQUAL(node.exchange("request-1"), 503);
    BOOST_CHECK_EQUAL(node.exchange("request-2"), 503);
    BOOST_CHECK_EQUAL(requests, 1);
    BOOST_CHECK_EQUAL(node.counted("forwarding_peer_failed"), 1);
}

// Guards against a path that is lost because one exchange was broken off.
BOOST_AUTO_TEST_CASE(node_that_broke_off_one_exchange_gets_no_others)
{
    NodeBesideRawPeer node([number = 0](const RawEndpoint::Request &request) mutable {
        const bool breaksOff = ++number == 1;
        return RawAnswer{breaksOff ? "" : ownAnswer(request), breaksOff ? ConnectionEnd::Reset : ConnectionEnd::KeepOpen, {}};
    });
    BOOST_CHECK_EQUAL(node.exchange("request-1"), 502);
    BOOST_CHECK_EQUAL(node.exchange("request-2"), 200);
    BOOST_CHECK_EQUAL(node.counted("forwarding_peer_failed"), 0);
}

// Guards against a path that is kept though it loses each request.
BOOST_AUTO_TEST_CASE(node_that_breaks_off_each_exchange_gets_all_requests)
{
    int requests = 0;
    NodeBesideRawPeer node([&requests](const RawEndpoint::Request &) {
        ++requests;
        return RawAnswer{"", ConnectionEnd::Reset, {}};
    });
    for (const std::string id : {"request-1", "request-2", "request-3", "request-4"}) {
        BOOST_CHECK_GE(node.exchange(id), 502);
    }
    BOOST_CHECK_EQUAL(requests, 2);
}

// Guards against an endpoint in backoff because the time of requests ended at the forwarding node a moment before it did at this one.
BOOST_AUTO_TEST_CASE(end_of_the_time_of_a_request_counts_against_its_endpoint)
{
    NodeBesideRawPeer node([number = 0](const RawEndpoint::Request &request) mutable {
        const std::string id(request["Id"]);
        return RawAnswer{++number <= 3 ? forwardingFailure(id, "endpoint_silent", true) : ownAnswer(request), ConnectionEnd::KeepOpen, {}};
    });
    for (const std::string id : {"request-1", "request-2", "request-3"}) {
        BOOST_CHECK_EQUAL(node.exchange(id), 504);
    }
    BOOST_CHECK_EQUAL(node.exchange("request-4"), 200);
}

// Guards against a pause of an endpoint at the forwarding node because of rejections between which it has served others.
BOOST_AUTO_TEST_CASE(rejections_with_answers_in_between_pause_an_endpoint_at_the_forwarding_node)
{
    int number = 0;
    ForwardingFleet fleet(
        {{true, false}, RouteKind::Safe, false, FirstPort},
        [&number](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            if (++number % 2 == 0) {
                responder->answer({503, "text/plain", {{"Id", std::string(request.header("Id"))}, {"Not-Run", "1"}}, "full"});
                return;
            }
            responder->answer(signedAnswer(request));
        });
    for (int request = 0; request < 12; ++request) {
        const auto answer = fleet.exchangeFromFirstNode(1, std::chrono::seconds(1));
        BOOST_REQUIRE(answer);
        BOOST_CHECK(!readForwardingFailure(answer->headers));
    }
    BOOST_CHECK_EQUAL(number, 12);
}

// Guards against a request that counts as having run because the other node had no room for the connection.
BOOST_AUTO_TEST_CASE(connection_refused_by_a_node_before_the_request_is_written_is_no_proof)
{
    NodeBesideRawPeer node;
    const RefusingNode peer(NodeBesideRawPeer::peerAddress());
    BOOST_CHECK_EQUAL(node.exchange("request-1", std::chrono::milliseconds(20)), 503);
    BOOST_CHECK_EQUAL(node.counted("forwarding_failure_unnamed"), 0);
    BOOST_CHECK_EQUAL(node.counted("forwarding_peer_failed"), 0);
}
