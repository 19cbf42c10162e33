// Test support: an endpoint that answers each request with given bytes, framed or not, and ends its connections in a given way.
#pragma once

#include "hemlockhill/world.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hemlockhill::Testing
{

// What a raw endpoint does with a connection after it has sent the bytes of an answer.
enum class ConnectionEnd {
    // Waits for the next request.
    KeepOpen,
    // Closes the connection in an orderly way.
    Close,
    // Closes it with a reset.
    Reset,
    // Closes it in an orderly way and accepts no further connections, like a process that exits.
    Exit,
    // Closes all connections and accepts no further ones, like a process that crashes.
    Crash,
    // Sends the tail again and again until the peer closes the connection.
    RepeatTail
};

// Pause before each late part of an answer.
inline constexpr std::chrono::milliseconds LatePause(20);

struct RawAnswer {
    std::string bytes;
    ConnectionEnd end = ConnectionEnd::Close;
    std::string tail;
    // Sent one after the other on a connection that is kept open, whatever is in progress on it then.
    std::vector<std::string> lateParts = {};
};

// All members must be called on the loop.
class RawEndpoint
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Handler = std::function<RawAnswer(const Request &request)>;

    RawEndpoint(boost::asio::io_context &loop, const Address &address, Handler handler)
        : m_acceptor(loop, {boost::asio::ip::make_address(address.host), address.port})
        , m_handler(std::move(handler))
    {
        accept();
    }

    std::size_t openConnections() const { return m_connections.size(); }
    // Number of connections accepted so far.
    std::size_t acceptedConnections() const { return m_acceptedConnections; }
    // Number of earlier requests on the connection whose request the handler is answering.
    std::uint32_t earlierRequests() const { return m_earlierRequests; }
    // Bytes of repeated tails that have been sent.
    std::uint64_t tailBytes() const { return m_tailBytes; }

    // Closes all connections and accepts no further ones.
    void crash()
    {
        m_acceptor.close();
        for (const ConnectionPtr &other : std::set<ConnectionPtr>(m_connections)) {
            close(other);
        }
    }

private:
    struct Connection {
        explicit Connection(boost::asio::ip::tcp::socket ownSocket)
            : socket(std::move(ownSocket))
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::beast::flat_buffer buffer;
        Request request;
        RawAnswer answer;
        std::uint32_t requests = 0;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            const auto connection = std::make_shared<Connection>(std::move(socket));
            m_connections.insert(connection);
            ++m_acceptedConnections;
            readRequest(connection);
            accept();
        });
    }

    void readRequest(const ConnectionPtr &connection)
    {
        connection->request = {};
        boost::beast::http::async_read(
            connection->socket, connection->buffer, connection->request, [this, connection](boost::system::error_code error, std::size_t) {
                if (error) {
                    close(connection);
                    return;
                }
                answer(connection);
            });
    }

    void answer(const ConnectionPtr &connection)
    {
        m_earlierRequests = connection->requests++;
        connection->answer = m_handler(connection->request);
        boost::asio::async_write(connection->socket,
                                 boost::asio::buffer(connection->answer.bytes),
                                 [this, connection](boost::system::error_code error, std::size_t) {
                                     if (error) {
                                         close(connection);
                                         return;
                                     }
                                     endAnswer(connection);
                                 });
    }

    void endAnswer(const ConnectionPtr &connection)
    {
        switch (connection->answer.end) {
        case ConnectionEnd::KeepOpen:
            sendLater(connection, connection->answer.lateParts);
            readRequest(connection);
            return;
        case ConnectionEnd::RepeatTail:
            repeatTail(connection);
            return;
        case ConnectionEnd::Reset:
            connection->socket.set_option(boost::asio::socket_base::linger(true, 0));
            break;
        case ConnectionEnd::Exit:
            m_acceptor.close();
            break;
        case ConnectionEnd::Crash:
            crash();
            return;
        case ConnectionEnd::Close:
            break;
        }
        close(connection);
    }

    void sendLater(const ConnectionPtr &connection, std::vector<std::string> parts)
    {
        if (parts.empty()) {
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(connection->socket.get_executor(), LatePause);
        timer->async_wait([this, connection, timer, parts = std::move(parts)](boost::system::error_code) mutable {
            if (!connection->socket.is_open()) {
                return;
            }
            boost::system::error_code ignored;
            boost::asio::write(connection->socket, boost::asio::buffer(parts.front()), ignored);
            parts.erase(parts.begin());
            sendLater(connection, std::move(parts));
        });
    }

    void repeatTail(const ConnectionPtr &connection)
    {
        boost::asio::async_write(connection->socket,
                                 boost::asio::buffer(connection->answer.tail),
                                 [this, connection](boost::system::error_code error, std::size_t bytes) {
                                     m_tailBytes += bytes;
                                     if (error) {
                                         close(connection);
                                         return;
                                     }
                                     repeatTail(connection);
                                 });
    }

    void close(const ConnectionPtr &connection)
    {
        boost::system::error_code ignored;
        connection->socket.close(ignored);
        m_connections.erase(connection);
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::set<ConnectionPtr> m_connections;
    std::size_t m_acceptedConnections = 0;
    std::uint64_t m_tailBytes = 0;
    std::uint32_t m_earlierRequests = 0;
};

} // namespace Hemlockhill::Testing
