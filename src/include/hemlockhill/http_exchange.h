// HTTP client: single exchanges with endpoints, and the pool of keep-alive connections that they use.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/http.h"
#include "hemlockhill/world.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hemlockhill
{

class IdleConnections;

// Identifies an exchange; unique within the process.
using ExchangeId = Quantity<struct ExchangeTag>;

// What becomes of a response that has neither a length nor chunked encoding and ends with an orderly close of its connection. The
// operating system closes the connections of a process that exits in the same way, so the close alone does not show that the response is
// complete.
enum class CloseDelimitedResponse {
    // The exchange fails.
    Reject,
    // The response is complete if the endpoint accepts a new connection afterwards and keeps it open for a short time. Otherwise the
    // exchange fails.
    Confirm
};

// Limits of one exchange: timeouts of its phases, and what may be read of its response.
struct ExchangeLimits {
    Duration connect = std::chrono::seconds(1);
    Duration firstByte = std::chrono::seconds(10);
    // Replaces firstByte on a connection that has carried earlier exchanges.
    Duration reusedFirstByte = std::chrono::seconds(10);
    Duration betweenBytes = std::chrono::seconds(2);
    // If set, the exchange fails without sending anything when it cannot start sending before this time.
    std::optional<TimePoint> sendBefore = std::nullopt;
    // If set, the time for the head of the awaited response once a stray has been read.
    std::optional<Duration> afterStray = std::nullopt;
    // If set, the exchange times out at this time even if bytes still arrive.
    std::optional<TimePoint> completeBefore = std::nullopt;
    // Maximum size of the body. A larger response fails the exchange.
    Bytes body{1'048'576};
    CloseDelimitedResponse closeDelimited = CloseDelimitedResponse::Reject;
};

// Where on its connection a response was read. An endpoint that sends more than one response to a request shifts those that follow.
struct ResponsePosition {
    // Number of responses read on the connection before this one.
    std::uint32_t earlierResponses = 0;
    // Whether its first bytes had arrived before the request was written.
    bool precedesRequest = false;
    // Whether the connection has carried a request with the same id before: a response that names it may be the answer to that one.
    bool hasCarriedRequest = false;

    // Whether no other request can have been sent over the connection: a response that names none is certainly the answer only then.
    bool isOnly() const { return earlierResponses == 0 && !precedesRequest; }
};

// The status line and headers of a response.
struct ResponseHead {
    unsigned status = 0;
    std::vector<HttpHeader> headers;
    ResponsePosition position;
};

// Describes an exchange that ended without a complete response.
struct ExchangeFailure {
    Reason reason = Reason::EndpointLost;
    // False only if no byte of the request can have left this VM.
    bool mayHaveReached = true;
    // True if the connection had carried an earlier exchange; the endpoint itself may then be healthy.
    bool reusedConnection = false;
    // Number of responses that were read on the connection, in this exchange and before.
    std::uint32_t responses = 0;
    // Number of responses in this exchange that were the answer to another request or to none.
    std::uint32_t strays = 0;
    // Whether it failed because a stray could not be read to its end, which says nothing of the endpoint's run.
    bool inStray = false;
};

// Whether a response is the answer to the request of the exchange that reads it.
enum class ResponseMatch {
    Own,
    // As Own, but it names no request. The connection is closed after it, since the next response without a name could not be told.
    OwnUnnamed,
    // The answer to another request, or to none.
    Stray
};

// Callbacks of an exchange, called on the pool's event loop, and the id of its request. None is called after onEnd or onFailed.
struct ExchangeHooks {
    // Called immediately before the first byte of the request may leave this VM. If it cancels the exchange, nothing is sent.
    std::function<void()> onSending;
    // Tells the awaited response from strays, which are read and dropped. Without it, the first response counts as the awaited one, which
    // is certain only if the connection is not reused.
    std::function<ResponseMatch(const ResponseHead &head)> match;
    // The id by which `match` knows the awaited response. The exchange takes no connection that has carried it before, since a late copy of
    // the earlier response could not be told from the awaited one. Empty if no id is used, or one that no other exchange has.
    RequestId id;
    std::function<void(const ResponseHead &head)> onHead;
    std::function<void(std::string bytes)> onBody;
    std::function<void()> onEnd;
    std::function<void(const ExchangeFailure &failure)> onFailed;
};

// Whether an exchange may reuse an idle connection.
enum class ConnectionChoice { PreferIdle, FreshOnly };

// One exchange in progress. Dropping the last reference does not cancel it; cancel() does.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    // Closes the connection, so that a late response is discarded. No callback is called afterwards.
    virtual void cancel() = 0;
    // Drops the rest of the response. If the rest is short and arrives soon, the connection is reused, otherwise it is closed. No
    // callback is called afterwards.
    virtual void discard() = 0;
    // When the connection of the exchange was established; empty until then.
    virtual std::optional<TimePoint> connectedAt() const = 0;
    // Pauses and resumes reading the body. The betweenBytes timeout is suspended while paused.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

// Keeps idle connections to endpoints for reuse, up to idleLimit per address. Not thread-safe: all calls must be made on the loop.
class ConnectionPool
{
public:
    // Connections are made from the given IP address, unless it is empty.
    ConnectionPool(boost::asio::io_context &loop, std::size_t idleLimit, std::string sourceHost = {});
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    // Starts an exchange. Its outcome is reported through the hooks.
    std::shared_ptr<HttpExchange>
    start(const Address &address, const HttpRequest &request, ExchangeLimits limits, ConnectionChoice choice, ExchangeHooks hooks);

    // Closes all idle connections to the address, for instance after one of them has timed out.
    void dropIdle(const Address &address);
    std::size_t idleConnections(const Address &address) const;
    void setIdleLimit(std::size_t idleLimit);
    // Limits the connections to all addresses together: at the limit, idle ones are closed for new ones. Unlimited by default.
    void setOpenLimit(std::size_t openLimit);

private:
    class Exchange;
    std::shared_ptr<IdleConnections> m_idle;
    std::string m_sourceHost;
};

} // namespace Hemlockhill
