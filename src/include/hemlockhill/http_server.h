// An HTTP/1.1 server on one duty's loop, with limits on size, time and connections.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/http.h"
#include "hemlockhill/world.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Hemlockhill
{

struct HttpServerLimits {
    Bytes header{16'000};
    Bytes body{4'000'000};
    Duration request = std::chrono::seconds(10);
    Duration idle = std::chrono::seconds(60);
    // From handing bytes to a connection until the other side has taken them.
    Duration write = std::chrono::seconds(30);
    std::uint32_t connections = 10'000;
};

// The way back to whoever sent one request. Every method is called on the server's loop.
// Exactly one of answer(), end() and abort() finishes it; calls after that are ignored.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual void answer(HttpResponse response) = 0;
    // Starts a chunked answer; the body of the head is ignored.
    virtual void begin(HttpResponse head) = 0;
    virtual void write(std::string bytes) = 0;
    virtual void end() = 0;
    // Closes the connection without the end marker, so that a cut answer cannot be taken for a whole one.
    virtual void abort() = 0;
    // Bytes written that the other side has not taken yet.
    virtual std::size_t pendingBytes() const = 0;
    // Numbers the connections of a server from 1, in the order in which they were accepted.
    virtual std::uint64_t connection() const = 0;

    // Called once when the other side went away before the answer was finished.
    std::function<void()> onDisconnected;
    // Called when pendingBytes has fallen back to zero.
    std::function<void()> onDrained;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;
// Called for each request that is refused before it reaches the handler.
using HttpRefusalHook = std::function<void(Reason)>;

// Listens from construction until stopped. Throws EnvironmentError when the address cannot be bound.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &loop, const Address &listen, HttpServerLimits limits, HttpHandler handler, HttpRefusalHook refused);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Still takes connections and requests, and closes each connection after its next answer, which says so. Call on the loop.
    void closeAfterAnswers();
    // Takes no new connection and closes idle ones; requests in progress go on. Call on the loop.
    void stopAccepting();
    std::size_t connections() const;
    // For connections and requests from now on. Call on the loop.
    void setLimits(const HttpServerLimits &limits);

private:
    class Listener;
    std::shared_ptr<Listener> m_listener;
};

} // namespace Hemlockhill
