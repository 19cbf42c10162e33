// Reuse and expiry of idle connections.
#include "net/idle_connections.h"

#include "hemlockhill/timer_service.h"

#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace Hemlockhill
{

namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;

// Fraction of the idle timeout after which a connection is no longer reused, since the endpoint may be about to close it.
constexpr double ReusableIdleRatio = 0.7;

} // namespace

bool isReusable(Connection &connection)
{
    auto &socket = connection.stream.socket();
    if (!socket.is_open() || connection.buffer.size() > 0) {
        return false;
    }
    char byte = 0;
    error_code error;
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

bool hasUnreadBytes(Connection &connection)
{
    error_code error;
    return connection.buffer.size() > 0 || connection.stream.socket().available(error) > 0;
}

IdleConnections::IdleConnections(boost::asio::io_context &loop, std::size_t limit)
    : m_loop(loop)
    , m_limit(limit)
{
}

std::shared_ptr<Connection> IdleConnections::open()
{
    const auto openCount = [this] { return static_cast<std::size_t>(m_counted.use_count()) - 1; };
    while (openCount() >= m_openLimit && dropOldest()) { }
    auto connection = std::make_shared<Connection>(m_loop);
    connection->counted = m_counted;
    return connection;
}

bool IdleConnections::dropOldest()
{
    std::deque<std::shared_ptr<Connection>> *oldest = nullptr;
    for (auto &[address, idle] : m_connections) {
        if (!idle.empty() && (oldest == nullptr || idle.front()->reusableUntil < oldest->front()->reusableUntil)) {
            oldest = &idle;
        }
    }
    if (oldest == nullptr) {
        return false;
    }
    oldest->pop_front();
    return true;
}

std::shared_ptr<Connection> IdleConnections::acquire(const Address &address, const RequestId &request)
{
    auto &idle = m_connections[address];
    for (auto next = idle.end(); next != idle.begin();) {
        --next;
        if ((*next)->carried.contains(request)) {
            continue;
        }
        auto connection = std::move(*next);
        next = idle.erase(next);
        connection->idle = false;
        error_code ignored;
        connection->stream.socket().cancel(ignored);
        if (currentTime() < connection->reusableUntil && isReusable(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

void IdleConnections::release(const Address &address, std::shared_ptr<Connection> connection)
{
    if (connection->carried.isFull()) {
        connection->stream.close();
        return;
    }
    auto &idle = m_connections[address];
    connection->reused = true;
    connection->idle = true;
    connection->reusableUntil = currentTime() + std::chrono::duration_cast<Duration>(connection->idleTimeout * ReusableIdleRatio);
    closeWhenReadable(address, connection);
    idle.push_back(std::move(connection));
    if (idle.size() > m_limit) {
        idle.pop_front();
    }
}

void IdleConnections::closeWhenReadable(const Address &address, const std::shared_ptr<Connection> &connection)
{
    connection->stream.socket().async_wait(
        tcp::socket::wait_read, [weakPool = weak_from_this(), weakConnection = std::weak_ptr(connection), address](error_code error) {
            const auto pool = weakPool.lock();
            const auto readable = weakConnection.lock();
            if (!error && pool && readable && readable->idle) {
                std::erase(pool->m_connections[address], readable);
            }
        });
}

void IdleConnections::drop(const Address &address)
{
    m_connections.erase(address);
}

std::size_t IdleConnections::count(const Address &address) const
{
    const auto found = m_connections.find(address);
    return found == m_connections.end() ? 0 : found->second.size();
}

} // namespace Hemlockhill
