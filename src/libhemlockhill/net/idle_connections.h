// The idle connections to endpoints, kept for later exchanges.
#pragma once

#include "hemlockhill/world.h"
#include "net/carried_requests.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>

namespace Hemlockhill
{

// Maximum number of bytes received but not yet parsed, such as a chunk extension or a trailer that is incomplete.
inline constexpr std::size_t ConnectionBufferLimitBytes = 65'536;
// Assumed idle timeout of an endpoint that does not send a Keep-Alive timeout.
inline constexpr Duration DefaultIdleTimeout = std::chrono::seconds(1);

// One TCP connection. The buffer is part of it, since it may hold bytes received after the end of a response.
struct Connection {
    explicit Connection(boost::asio::io_context &loop)
        : stream(loop)
        , buffer(ConnectionBufferLimitBytes)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<TimePoint> connectedAt;
    // True once the connection has carried an exchange.
    bool reused = false;
    bool idle = false;
    // Number of responses read completely.
    std::uint32_t responses = 0;
    CarriedRequests carried;
    // Its use count is the number of connections that exist.
    std::shared_ptr<const bool> counted;
    // After this time the endpoint may close the idle connection; a request sent then could be lost.
    TimePoint reusableUntil;
    Duration idleTimeout = DefaultIdleTimeout;
};

// Returns false if the endpoint has closed the idle connection or has sent unsolicited data.
bool isReusable(Connection &connection);
// Returns whether bytes have arrived that no exchange has read.
bool hasUnreadBytes(Connection &connection);

class IdleConnections : public std::enable_shared_from_this<IdleConnections>
{
public:
    // Keeps at most `limit` connections to each address.
    IdleConnections(boost::asio::io_context &loop, std::size_t limit);

    // Returns a new connection. At the limit on open connections, the idle one that would stop being reusable first is closed for it.
    std::shared_ptr<Connection> open();
    // Returns the most recently used connection to the address that can still be reused and has not carried the request, or nullptr.
    std::shared_ptr<Connection> acquire(const Address &address, const RequestId &request);
    // Keeps a connection whose exchange has ended, unless it has carried as many requests as it may.
    void release(const Address &address, std::shared_ptr<Connection> connection);
    // Closes all connections to the address.
    void drop(const Address &address);
    void setLimit(std::size_t limit) { m_limit = limit; }
    // Limits the connections of all addresses together, in use or idle. Connections in use are never closed for it.
    void setOpenLimit(std::size_t limit) { m_openLimit = limit; }
    std::size_t count(const Address &address) const;
    boost::asio::io_context &loop() const { return m_loop; }

private:
    bool dropOldest();
    // An idle connection becomes readable when the endpoint closes it or sends bytes that belong to no request.
    void closeWhenReadable(const Address &address, const std::shared_ptr<Connection> &connection);

    boost::asio::io_context &m_loop;
    std::size_t m_limit;
    std::size_t m_openLimit = std::numeric_limits<std::size_t>::max();
    std::shared_ptr<const bool> m_counted = std::make_shared<const bool>(true);
    std::map<Address, std::deque<std::shared_ptr<Connection>>> m_connections;
};

} // namespace Hemlockhill
