// One HTTP exchange with an endpoint, and the pool of connections that exchanges run on.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/http.h"
#include "hemlockhill/world.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hemlockhill
{

// Identifies one exchange for the life of the process.
using ExchangeId = Quantity<struct ExchangeTag>;

struct ExchangeTimeouts {
    Duration connect = std::chrono::seconds(1);
    Duration firstByte = std::chrono::seconds(10);
    // In place of firstByte on a connection that has carried earlier exchanges.
    Duration reusedFirstByte = std::chrono::seconds(10);
    Duration betweenBytes = std::chrono::seconds(2);
    // When present, the exchange fails without having sent anything if its first byte could not leave before this.
    std::optional<TimePoint> sendBefore = std::nullopt;
    // Whether an answer without a length may end with an orderly close of its connection. It cannot be told from one that was cut off by
    // a process that closes in order, so it is taken only from endpoints that are known to do this.
    bool closeEndsAnswer = false;
};

// How an exchange ended without a whole answer.
struct ExchangeFailure {
    Reason reason = Reason::EndpointLost;
    // False only when not a single byte of the request can have left this VM.
    bool mayHaveReached = false;
    // True when the connection had carried an earlier exchange: the endpoint itself may be well.
    bool reusedConnection = false;
};

// Called on the loop of the pool. After onEnd or onFailed nothing more is called.
struct ExchangeHooks {
    // Just before the first byte of the request may leave this VM.
    std::function<void()> onSending;
    std::function<void(unsigned status, const std::vector<HttpHeader> &headers)> onHead;
    std::function<void(std::string bytes)> onBody;
    std::function<void()> onEnd;
    std::function<void(const ExchangeFailure &failure)> onFailed;
};

// Whether an exchange may run on a connection that has carried others.
enum class ConnectionChoice { PreferIdle, FreshOnly };

// One exchange in progress. Dropping the last reference does not cancel it; cancel() does.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    // Closes the connection, so that a late answer reaches nobody. No hook is called afterwards.
    virtual void cancel() = 0;
    // Stops and restarts reading the body. The deadline between bytes does not run while paused.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

// Connections to endpoints that are idle, by address. Bounded for each address; everything runs on one loop.
class ConnectionPool
{
public:
    ConnectionPool(boost::asio::io_context &loop, std::size_t idleLimit);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    std::shared_ptr<HttpExchange>
    start(const Address &address, const HttpRequest &request, ExchangeTimeouts timeouts, ConnectionChoice choice, ExchangeHooks hooks);

    // Closes every idle connection to that address, for instance after one of them was found silent.
    void dropIdle(const Address &address);
    std::size_t idleConnections(const Address &address) const;
    void setIdleLimit(std::size_t idleLimit);

private:
    struct Idle;
    class Exchange;
    std::shared_ptr<Idle> m_idle;
};

} // namespace Hemlockhill
