// An HTTP/1.1 server that runs on one event loop, with limits on sizes, times and the number of connections.
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

class ArrivalClock;
class BufferBudget;

struct HttpServerLimits {
    Bytes header{16'000};
    Bytes body{4'000'000};
    // Maximum time to receive a request after its first byte.
    Duration request = std::chrono::seconds(10);
    // Maximum time that a connection may wait for the next request.
    Duration idle = std::chrono::seconds(60);
    // Maximum time for a write to complete.
    Duration write = std::chrono::seconds(30);
    std::uint32_t connections = 10'000;
    // Number of copies of a body that exist while its request is in progress.
    std::uint32_t copies = 1;
    // Bounds what the connections of several servers on one loop hold of requests; null for no bound. Only that of the constructor counts.
    std::shared_ptr<BufferBudget> requestBudget;
    // The same for answers that have not been written. If it is exceeded, the caller that has read nothing for longest is cut off.
    std::shared_ptr<BufferBudget> answerBudget;
};

// Sends the response to one request. All methods must be called on the server's event loop.
// The response ends with exactly one of answer(), end() or abort(); later calls are ignored.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    // Sends a complete response.
    virtual void answer(HttpResponse response) = 0;
    // Starts a chunked response; the body of the head is ignored.
    virtual void begin(HttpResponse head) = 0;
    virtual void write(std::string bytes) = 0;
    virtual void end() = 0;
    // Closes the connection without the last chunk, after what has been passed to write(), so that the client can detect the truncated
    // response.
    virtual void abort() = 0;
    // Bytes that were passed to write() but not yet written to the socket.
    virtual std::size_t pendingBytes() const = 0;
    // From this many pending bytes on the handler should write no more until onRoom is called.
    virtual std::size_t pendingLimit() const { return 65'536; }
    // Counts that many bytes of the answer, which the handler holds until it calls answer() or begin(). If they exceed the bound on
    // answers, a connection is closed for them.
    virtual void holdAnswer(std::size_t /*bytes*/) { }
    // Sequence number of the connection, counted from 1 in the order of acceptance by this server.
    virtual std::uint64_t connection() const = 0;
    // IP address of the client; empty if it is no longer known.
    virtual std::string remoteHost() const = 0;
    // When the first bytes of the request arrived at this VM, at the earliest. They may have lain unread since then.
    virtual TimePoint receivedAt() const = 0;
    // Whether the client still keeps the connection open, as far as this VM has heard. onDisconnected may follow later.
    virtual bool isConnected() const = 0;

    // Called once if the client disconnects before the response is complete.
    std::function<void()> onDisconnected;
    // Called when pendingBytes() has dropped to zero.
    std::function<void()> onDrained;
    // Called after each write that leaves less than half of pendingLimit() pending.
    std::function<void()> onRoom;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;
// Called for each request or connection that is refused before it reaches the handler.
using HttpRefusalHook = std::function<void(Reason)>;
// Builds the answer to such a request or connection.
using HttpRefusalAnswer = std::function<HttpResponse(Reason)>;

// Accepts connections from construction until stopAccepting().
class HttpServer
{
public:
    // Throws EnvironmentError when the address cannot be bound.
    HttpServer(boost::asio::io_context &loop, const Address &listen, HttpServerLimits limits, HttpHandler handler, HttpRefusalHook refused);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Disables keep-alive: connections and requests are still accepted, but each connection is closed after its next response, which
    // carries "Connection: close". Call on the loop.
    void closeAfterAnswers();
    // Stops accepting connections and closes idle ones; requests in progress are completed. Call on the loop.
    void stopAccepting();
    // Replaces the answer to what is refused before it reaches the handler. Call on the loop.
    void setRefusalAnswer(HttpRefusalAnswer answer);
    // Number of open connections.
    std::size_t connections() const;
    // From now on receivedAt() of requests takes into account how long they have lain unread. Call on the loop.
    void setArrivalClock(std::shared_ptr<const ArrivalClock> clock);
    // Applies to new connections and requests. Call on the loop.
    void setLimits(const HttpServerLimits &limits);

private:
    class Listener;
    std::shared_ptr<Listener> m_listener;
};

} // namespace Hemlockhill
