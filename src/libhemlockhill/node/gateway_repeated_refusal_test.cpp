// Tests the gateway with endpoints that write an earlier refusal once more on a connection that is kept open.
#include "net/raw_endpoint_testing.h"
#include "node/gateway_testing.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint16_t FirstPort = 9'350;
const std::string FirstRefusal = "HTTP/1.1 503 Busy\r\nId: request-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string Answer = "HTTP/1.1 200 OK\r\nId: request-1\r\nSignature: s\r\nContent-Length: 6\r\n\r\nserved";

// Refuses the first request and runs all others. Before it answers the second one on a connection, it writes the refusal again.
class ForgetfulEndpoint
{
public:
    ForgetfulEndpoint(boost::asio::io_context &loop, const Address &address, int &runs)
        : m_acceptor(loop, {boost::asio::ip::make_address(address.host), address.port})
        , m_runs(runs)
    {
        accept();
    }

private:
    struct Connection {
        explicit Connection(tcp::socket ownSocket)
            : socket(std::move(ownSocket))
        {
        }

        tcp::socket socket;
        boost::asio::streambuf received;
        std::string answer;
        int requests = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (!error) {
                read(std::make_shared<Connection>(std::move(socket)));
                accept();
            }
        });
    }

    // The body of the request is left in the buffer; the next head is found behind it.
    void read(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(
            connection->socket, connection->received, "\r\n\r\n", [this, connection](error_code error, std::size_t bytes) {
                if (error) {
                    return;
                }
                connection->received.consume(bytes);
                answer(connection);
            });
    }

    void answer(const std::shared_ptr<Connection> &connection)
    {
        ++connection->requests;
        const bool runs = ++m_requests > 1;
        m_runs += runs ? 1 : 0;
        connection->answer = connection->requests > 1 ? FirstRefusal : "";
        connection->answer += runs ? Answer : FirstRefusal;
        boost::asio::async_write(
            connection->socket, boost::asio::buffer(connection->answer), [this, connection](error_code error, std::size_t) {
                if (!error) {
                    read(connection);
                }
            });
    }

    tcp::acceptor m_acceptor;
    int &m_runs;
    int m_requests = 0;
};

} // namespace

// The same request is sent again to the endpoint that refused it, so that its id does not tell the old refusal from the answer.
BOOST_AUTO_TEST_CASE(repeated_refusal_is_taken_for_the_answer_to_a_request_that_runs)
{
    int runs = 0;
    GatewayScenario scenario;
    scenario.kind = RouteKind::Unsafe;
    scenario.firstPort = FirstPort;
    GatewayFixture fixture(scenario, [&runs](boost::asio::io_context &loop, const Address &address) {
        return std::make_shared<ForgetfulEndpoint>(loop, address, runs);
    });
    const auto answer = fixture.exchange("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 200);
    BOOST_CHECK_EQUAL(runs, 1);
}

// The caller sends its request again under the same id, over a connection that has carried it before.
BOOST_AUTO_TEST_CASE(repeated_refusal_is_taken_for_the_answer_to_a_request_that_returns_under_its_id)
{
    int runs = 0;
    bool isBusy = true;
    std::vector<std::shared_ptr<RawEndpoint>> endpoints;
    GatewayScenario scenario;
    scenario.kind = RouteKind::Unsafe;
    scenario.firstPort = FirstPort;
    GatewayFixture fixture(scenario, [&](boost::asio::io_context &loop, const Address &address) {
        const std::size_t number = endpoints.size();
        endpoints.push_back(std::make_shared<RawEndpoint>(loop, address, [&, number](const RawEndpoint::Request &) {
            if (isBusy) {
                return RawAnswer{FirstRefusal, ConnectionEnd::KeepOpen, {}};
            }
            ++runs;
            const bool isKept = endpoints[number]->earlierRequests() > 0;
            return RawAnswer{(isKept ? FirstRefusal : "") + Answer, ConnectionEnd::KeepOpen, {}};
        }));
        return endpoints.back();
    });
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 503);
    isBusy = false;
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 200);
    BOOST_CHECK_EQUAL(runs, 1);
    // Their sockets must not outlive the event loop of the fixture.
    endpoints.clear();
}

// A refusal that names no request could not be told from the answer to the next request, if it came once more.
BOOST_AUTO_TEST_CASE(connection_of_a_refusal_without_an_id_is_reused)
{
    for (const bool isNamed : {true, false}) {
        std::vector<std::shared_ptr<RawEndpoint>> endpoints;
        GatewayScenario scenario;
        scenario.kind = RouteKind::Unsafe;
        scenario.firstPort = FirstPort;
        GatewayFixture fixture(scenario, [&](boost::asio::io_context &loop, const Address &address) {
            endpoints.push_back(std::make_shared<RawEndpoint>(loop, address, [isNamed, requests = 0](const RawEndpoint::Request &) mutable {
                const std::string unnamed = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
                return RawAnswer{++requests > 1 ? Answer : (isNamed ? FirstRefusal : unnamed), ConnectionEnd::KeepOpen, {}};
            }));
            return endpoints.back();
        });
        BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 200);
        fixture.runFor(std::chrono::milliseconds(40));
        const std::size_t open = endpoints[0]->openConnections() + endpoints[1]->openConnections();
        BOOST_CHECK_EQUAL(open, isNamed ? 3 : 1);
        // Their sockets must not outlive the event loop of the fixture.
        endpoints.clear();
    }
}

// Guards against a status that promises callers that their request has not run, though the endpoint has not said so.
BOOST_AUTO_TEST_CASE(unsigned_status_of_an_endpoint_promises_that_the_request_has_not_run)
{
    for (const char *status : {"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"}) {
        int runs = 0;
        GatewayScenario scenario;
        scenario.kind = RouteKind::Unsafe;
        scenario.firstPort = FirstPort;
        GatewayFixture fixture(scenario, [&](boost::asio::io_context &loop, const Address &address) {
            return std::make_shared<RawEndpoint>(loop, address, [&runs, status](const RawEndpoint::Request &) {
                ++runs;
                const std::string head = "HTTP/1.1 " + std::string(status) + "\r\nId: request-1\r\nContent-Length: 0\r\n\r\n";
                return RawAnswer{head, ConnectionEnd::KeepOpen, {}};
            });
        });
        const auto answer = fixture.exchange("/x/1");
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->status, 502);
        BOOST_CHECK_EQUAL(runs, 1);
    }
}
