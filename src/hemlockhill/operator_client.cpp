#include "operator_client.h"

#include "hemlockhill/failure.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

namespace Hemlockhill
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned ServiceUnavailable = 503;
// Nodes answer 503 while no leader is known; retries continue long enough for a leader election.
constexpr std::chrono::seconds RetryPeriod(3);
constexpr std::chrono::milliseconds RetryInterval(200);

} // namespace

// An HTTP connection to the operator address of a node.
class OperatorClient::Connection
{
public:
    Connection(const Address &address, Duration timeout)
        : m_stream(m_loop)
        , m_host(address.text())
        , m_timeout(timeout)
    {
        const boost::asio::ip::tcp::endpoint remote(boost::asio::ip::make_address(address.host), address.port);
        await([&](auto done) { m_stream.async_connect(remote, std::move(done)); });
    }

    StatementAnswer send(const std::string &statement, bool asJson)
    {
        http::request<http::string_body> request(http::verb::post, "/operator/v1/statement", 11);
        request.set(http::field::host, m_host);
        request.set(http::field::accept, asJson ? "application/json" : "text/plain");
        request.body() = statement;
        request.prepare_payload();
        await([&](auto done) { http::async_write(m_stream, request, std::move(done)); });
        // The tables of a large region exceed the library's default body limit.
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        await([&](auto done) { http::async_read(m_stream, m_buffer, parser, std::move(done)); });
        return {parser.get().result_int(), std::move(parser.get().body())};
    }

private:
    // Runs one asynchronous operation to completion. Throws EnvironmentError when it fails or times out.
    template<typename Start>
    void await(Start start)
    {
        boost::system::error_code result;
        m_stream.expires_after(m_timeout);
        start([&result](const boost::system::error_code &error, auto &&...) { result = error; });
        m_loop.restart();
        m_loop.run();
        if (result) {
            throw EnvironmentError("exchange with " + m_host + " failed: " + result.message());
        }
    }

    boost::asio::io_context m_loop;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::string m_host;
    Duration m_timeout;
};

OperatorClient::OperatorClient(std::vector<Address> addresses, Duration timeout, bool asJson)
    : m_addresses(std::move(addresses))
    , m_timeout(timeout)
    , m_asJson(asJson)
{
}

OperatorClient::~OperatorClient() = default;

StatementAnswer OperatorClient::send(const std::string &statement)
{
    const auto retryDeadline = std::chrono::steady_clock::now() + std::min<Duration>(RetryPeriod, m_timeout);
    m_mayHaveArrived = false;
    while (true) {
        StatementAnswer answer = sendToAny(statement);
        if (answer.status != ServiceUnavailable || std::chrono::steady_clock::now() >= retryDeadline) {
            return answer;
        }
        std::this_thread::sleep_for(RetryInterval);
    }
}

// Returns the first answer other than 503, or else the last 503 answer.
StatementAnswer OperatorClient::sendToAny(const std::string &statement)
{
    std::optional<StatementAnswer> last;
    std::string errors;
    std::size_t addressesLeft = m_addresses.size();
    while (addressesLeft > 0) {
        const bool isReused = m_connection != nullptr;
        try {
            last = sendToCurrent(statement);
            if (last->status != ServiceUnavailable) {
                return *last;
            }
        } catch (const EnvironmentError &error) {
            if (isReused) {
                // The node may have closed the idle connection; retry once on a fresh one.
                m_connection.reset();
                continue;
            }
            errors += (errors.empty() ? "" : "; ") + std::string(error.what());
        }
        --addressesLeft;
        advance();
    }
    if (!last) {
        throw EnvironmentError(errors);
    }
    return *last;
}

StatementAnswer OperatorClient::sendToCurrent(const std::string &statement)
{
    if (m_connection == nullptr) {
        m_connection = std::make_unique<Connection>(m_addresses[m_current], m_timeout);
    }
    m_mayHaveArrived = true;
    return m_connection->send(statement, m_asJson);
}

void OperatorClient::advance()
{
    m_connection.reset();
    m_current = (m_current + 1) % m_addresses.size();
}

} // namespace Hemlockhill
