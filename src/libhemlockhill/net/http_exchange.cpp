// HTTP client for endpoints, based on Boost.Beast.
#include "hemlockhill/http_exchange.h"

#include "hemlockhill/timer_service.h"
#include "net/idle_connections.h"
#include "net/socket_options.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace Hemlockhill
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t BodyReadBytes = 16'384;
constexpr std::uint32_t ResponseHeaderLimitBytes = 32'000;
// Maximum number of interim responses (status 1xx) before the final one.
constexpr int InterimResponseLimit = 8;
// Maximum number of strays before the awaited response, and the maximum size of the body of each.
constexpr std::uint32_t StrayLimit = 4;
constexpr std::uint64_t StrayBodyLimitBytes = 65'536;
// Framing, such as chunk sizes and extensions, may take this many bytes, and in addition FramingBytesPerBodyByte of the body received.
constexpr std::uint64_t FramingLimitBytes = 65'536;
constexpr std::uint64_t FramingBytesPerBodyByte = 8;
// How much and how long is read of a discarded response, so that its connection can be reused.
constexpr std::uint64_t DiscardLimitBytes = 65'536;
constexpr std::chrono::milliseconds DiscardTimeout(500);
constexpr unsigned FirstInterimStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
// How long the connection that confirms the close of another must stay open. A process that exits, or a proxy in front of one, may
// still accept a connection and closes it at once.
constexpr std::chrono::milliseconds CloseConfirmationTime(30);

// Whether the text holds the beginning of a response, such as "HTTP/1.1 200".
bool holdsStatusLine(std::string_view text)
{
    constexpr std::string_view Protocol = "HTTP/1.";
    constexpr std::string_view Rest = "1 200";
    const auto isDigit = [](char character) { return character >= '0' && character <= '9'; };
    for (std::size_t at = text.find(Protocol); at != std::string_view::npos; at = text.find(Protocol, at + 1)) {
        const std::string_view rest = text.substr(at + Protocol.size(), Rest.size());
        if (rest.size() == Rest.size() && isDigit(rest[0]) && rest[1] == ' ' && std::all_of(rest.begin() + 2, rest.end(), isDigit)) {
            return true;
        }
    }
    return false;
}

// Parses the timeout in a header such as "Keep-Alive: timeout=5, max=100". Returns nullopt if there is none.
std::optional<Duration> parseKeepAliveTimeout(std::string_view keepAlive)
{
    constexpr std::string_view Parameter = "timeout=";
    const std::size_t position = keepAlive.find(Parameter);
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const char *begin = keepAlive.data() + position + Parameter.size();
    const auto [end, error] = std::from_chars(begin, keepAlive.data() + keepAlive.size(), seconds);
    return error == std::errc() ? std::optional<Duration>(std::chrono::seconds(seconds)) : std::nullopt;
}

} // namespace

class ConnectionPool::Exchange : public HttpExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<IdleConnections> idle, std::string sourceHost, Address address, ExchangeLimits limits, ExchangeHooks hooks)
        : m_idle(std::move(idle))
        , m_sourceHost(std::move(sourceHost))
        , m_address(std::move(address))
        , m_limits(limits)
        , m_hooks(std::move(hooks))
        , m_timer(m_idle->loop())
    {
    }

    void start(const HttpRequest &request, ConnectionChoice choice);
    void cancel() override;
    void discard() override;
    std::optional<TimePoint> connectedAt() const override { return m_connection ? m_connection->connectedAt : std::nullopt; }
    void pause() override { m_paused = true; }
    void resume() override;

private:
    void connectAndSend();
    void connect(std::function<void(error_code error)> done);
    void send();
    void readHead();
    void onHead(error_code error);
    ResponseHead responseHead() const;
    bool holdsAnotherHead(const ResponseHead &head) const;
    void onStray();
    void onStrayEnd();
    void beginBody();
    void onInterimResponse();
    void readBody();
    void onBody(error_code error, std::size_t bytes);
    bool isBodyTooLarge() const { return m_bodyBytes > (m_isStray ? StrayBodyLimitBytes : m_limits.body.value); }
    bool isFramingTooLarge() const { return m_framingBytes > FramingLimitBytes + FramingBytesPerBodyByte * m_bodyBytes; }
    void finish();
    void confirmClose();
    void onConfirmationTime();
    void complete();
    void fail(error_code error);
    void failWith(Reason reason);
    Duration firstByteTimeout() const { return m_connection->reused ? m_limits.reusedFirstByte : m_limits.firstByte; }
    Duration timeToHead() const { return std::max(Duration(0), std::chrono::duration_cast<Duration>(m_headDue - currentTime())); }
    void expireAfter(Duration delay);

    void bindToSource();

    std::shared_ptr<IdleConnections> m_idle;
    std::string m_sourceHost;
    Address m_address;
    ExchangeLimits m_limits;
    ExchangeHooks m_hooks;
    std::shared_ptr<Connection> m_connection;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::string m_readBuffer;
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_framingBytes = 0;
    int m_interimResponses = 0;
    // When the final head must have arrived.
    TimePoint m_headDue;
    // Runs while the close of a response is to be confirmed or a response is being discarded.
    boost::asio::steady_timer m_timer;
    bool m_sending = false;
    // Whether bytes of the endpoint had arrived before the request was written.
    bool m_hasEarlyBytes = false;
    // Whether the connection had carried a request with the same id.
    bool m_hasCarriedRequest = false;
    // Whether the response being read is a stray, and how many were.
    bool m_isStray = false;
    std::uint32_t m_strays = 0;
    // Whether the awaited response names no request.
    bool m_isUnnamed = false;
    bool m_paused = false;
    bool m_readPending = false;
    bool m_ended = false;
};

void ConnectionPool::Exchange::expireAfter(Duration delay)
{
    if (m_limits.completeBefore) {
        const auto left = std::chrono::duration_cast<Duration>(*m_limits.completeBefore - currentTime());
        delay = std::clamp(left, Duration(0), delay);
    }
    m_connection->stream.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(delay));
}

void ConnectionPool::Exchange::start(const HttpRequest &request, ConnectionChoice choice)
{
    m_request.method_string(request.method);
    m_request.target(request.target);
    m_request.version(11);
    m_request.set(http::field::host, m_address.text());
    for (const HttpHeader &header : request.headers) {
        m_request.set(header.name, header.value);
    }
    m_request.body() = request.body;
    m_request.prepare_payload();
    if (choice == ConnectionChoice::PreferIdle) {
        m_connection = m_idle->acquire(m_address, m_hooks.id);
    }
    if (m_connection) {
        boost::asio::post(m_idle->loop(), [self = shared_from_this()] { self->send(); });
        return;
    }
    connectAndSend();
}

void ConnectionPool::Exchange::connectAndSend()
{
    m_connection = m_idle->open();
    connect([self = shared_from_this()](error_code error) {
        if (error) {
            self->fail(error);
            return;
        }
        self->send();
    });
}

// Calls `done` once the connection is established or has failed.
void ConnectionPool::Exchange::connect(std::function<void(error_code error)> done)
{
    error_code addressError;
    const auto host = boost::asio::ip::make_address(m_address.host, addressError);
    if (addressError) {
        boost::asio::post(m_idle->loop(), [done = std::move(done), addressError] { done(addressError); });
        return;
    }
    bindToSource();
    expireAfter(m_limits.connect);
    m_connection->stream.async_connect(tcp::endpoint(host, m_address.port),
                                       [self = shared_from_this(), done = std::move(done)](error_code error) {
                                           if (!error) {
                                               self->m_connection->connectedAt = currentTime();
                                               error_code ignored;
                                               self->m_connection->stream.socket().set_option(tcp::no_delay(true), ignored);
                                               enableDeadPeerDetection(self->m_connection->stream.socket());
                                           }
                                           done(error);
                                       });
}

// Without the source address the peer would see the one of the route, which may be another of this VM's. Failures are left to the peer.
void ConnectionPool::Exchange::bindToSource()
{
    error_code error;
    const auto source = boost::asio::ip::make_address(m_sourceHost, error);
    if (error) {
        return;
    }
    const tcp::endpoint local(source, 0);
    auto &socket = m_connection->stream.socket();
    socket.open(local.protocol(), error);
    socket.bind(local, error);
}

void ConnectionPool::Exchange::send()
{
    if (m_ended) {
        return;
    }
    if (m_connection->reused && !isReusable(*m_connection)) {
        // Bytes that no request has asked for, or the end of the connection, since it was chosen.
        connectAndSend();
        return;
    }
    if (m_limits.sendBefore && currentTime() >= *m_limits.sendBefore) {
        fail(boost::asio::error::timed_out);
        return;
    }
    if (m_hooks.onSending) {
        m_hooks.onSending();
    }
    if (m_ended) {
        return;
    }
    m_hasEarlyBytes = hasUnreadBytes(*m_connection);
    m_hasCarriedRequest = m_connection->carried.contains(m_hooks.id);
    m_connection->carried.add(m_hooks.id);
    m_sending = true;
    expireAfter(firstByteTimeout());
    http::async_write(m_connection->stream, m_request, [self = shared_from_this()](error_code error, std::size_t) {
        if (error) {
            self->fail(error);
            return;
        }
        self->m_headDue = currentTime() + self->firstByteTimeout();
        self->readHead();
    });
}

void ConnectionPool::Exchange::readHead()
{
    if (m_ended) {
        return;
    }
    m_parser.emplace();
    m_parser->header_limit(ResponseHeaderLimitBytes);
    m_parser->body_limit(boost::none);
    m_parser->skip(m_request.method() == http::verb::head);
    expireAfter(timeToHead());
    http::async_read_header(m_connection->stream,
                            m_connection->buffer,
                            *m_parser,
                            [self = shared_from_this()](error_code error, std::size_t) { self->onHead(error); });
}

void ConnectionPool::Exchange::onHead(error_code error)
{
    if (m_ended) {
        return;
    }
    if (error) {
        fail(error);
        return;
    }
    // Bytes with such a status are no response of HTTP (RFC 9110, section 15).
    if (m_parser->get().result_int() < FirstInterimStatus || m_parser->get().result_int() > LastStatus) {
        failWith(Reason::IncompleteAnswer);
        return;
    }
    if (m_parser->get().result_int() < FirstFinalStatus) {
        onInterimResponse();
        return;
    }
    if (const auto idleTimeout = parseKeepAliveTimeout(m_parser->get()[http::field::keep_alive])) {
        m_connection->idleTimeout = *idleTimeout;
    }
    const ResponseHead head = responseHead();
    if (holdsAnotherHead(head)) {
        ++m_strays;
        m_isStray = true;
        failWith(Reason::IncompleteAnswer);
        return;
    }
    const ResponseMatch match = m_hooks.match ? m_hooks.match(head) : ResponseMatch::Own;
    m_isStray = match == ResponseMatch::Stray;
    m_isUnnamed = match == ResponseMatch::OwnUnnamed;
    if (m_isStray) {
        onStray();
        return;
    }
    if (m_parser->content_length().value_or(0) > m_limits.body.value) {
        failWith(Reason::OversizedAnswer);
        return;
    }
    if (m_hooks.onHead) {
        m_hooks.onHead(head);
    }
    if (m_ended) {
        return;
    }
    beginBody();
}

// A head that was cut off within a line is continued by the one that follows it, whose headers would count as its own.
bool ConnectionPool::Exchange::holdsAnotherHead(const ResponseHead &head) const
{
    const auto &reason = m_parser->get().reason();
    return holdsStatusLine({reason.data(), reason.size()})
           || std::any_of(head.headers.begin(), head.headers.end(), [](const HttpHeader &header) { return holdsStatusLine(header.value); });
}

// A stray is read to its end, since the awaited response may follow it.
void ConnectionPool::Exchange::onStray()
{
    ++m_strays;
    const bool hasEnd = !m_parser->need_eof() && m_parser->content_length().value_or(0) <= StrayBodyLimitBytes;
    if (m_strays > StrayLimit || !hasEnd) {
        failWith(Reason::IncompleteAnswer);
        return;
    }
    beginBody();
}

void ConnectionPool::Exchange::onStrayEnd()
{
    ++m_connection->responses;
    if (!m_parser->get().keep_alive()) {
        failWith(Reason::IncompleteAnswer);
        return;
    }
    m_isStray = false;
    m_bodyBytes = 0;
    m_framingBytes = 0;
    if (m_limits.afterStray) {
        m_headDue = std::min(m_headDue, currentTime() + *m_limits.afterStray);
    }
    readHead();
}

void ConnectionPool::Exchange::beginBody()
{
    if (m_parser->is_done()) {
        finish();
        return;
    }
    m_readBuffer.resize(BodyReadBytes);
    // Beast reads as many bytes at once as fit into the buffer, which otherwise stays at its initial 512 bytes.
    if (const auto length = m_parser->content_length()) {
        m_connection->buffer.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*length, BodyReadBytes)));
    }
    readBody();
}

ResponseHead ConnectionPool::Exchange::responseHead() const
{
    ResponseHead head;
    head.status = m_parser->get().result_int();
    for (const auto &field : m_parser->get()) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    head.position = {m_connection->responses, m_hasEarlyBytes, m_hasCarriedRequest};
    return head;
}

// An interim response precedes the final one and carries nothing for the caller. No request asks for a change of protocol.
void ConnectionPool::Exchange::onInterimResponse()
{
    const bool isAcceptable = m_parser->get().result() != http::status::switching_protocols && ++m_interimResponses <= InterimResponseLimit;
    if (!isAcceptable) {
        failWith(Reason::IncompleteAnswer);
        return;
    }
    readHead();
}

void ConnectionPool::Exchange::readBody()
{
    if (m_ended || m_readPending) {
        return;
    }
    if (m_paused && !m_isStray) {
        m_connection->stream.expires_never();
        return;
    }
    m_readPending = true;
    m_parser->get().body().data = m_readBuffer.data();
    m_parser->get().body().size = m_readBuffer.size();
    m_parser->get().body().more = true;
    expireAfter(m_isStray ? std::min(m_limits.betweenBytes, timeToHead()) : m_limits.betweenBytes);
    http::async_read_some(m_connection->stream,
                          m_connection->buffer,
                          *m_parser,
                          [self = shared_from_this()](error_code error, std::size_t bytes) { self->onBody(error, bytes); });
}

void ConnectionPool::Exchange::onBody(error_code error, std::size_t parsedBytes)
{
    m_readPending = false;
    if (m_ended) {
        return;
    }
    if (error == http::error::need_buffer) {
        error = {};
    }
    if (error) {
        fail(error);
        return;
    }
    const std::size_t bytes = m_readBuffer.size() - m_parser->get().body().size;
    m_bodyBytes += bytes;
    m_framingBytes += parsedBytes - std::min(bytes, parsedBytes);
    if (isBodyTooLarge() || isFramingTooLarge()) {
        failWith(Reason::OversizedAnswer);
        return;
    }
    if (bytes > 0 && m_hooks.onBody && !m_isStray) {
        m_hooks.onBody(m_readBuffer.substr(0, bytes));
    }
    if (m_ended) {
        return;
    }
    if (m_parser->is_done()) {
        finish();
        return;
    }
    readBody();
}

void ConnectionPool::Exchange::resume()
{
    if (!m_paused) {
        return;
    }
    m_paused = false;
    if (m_parser && m_parser->is_header_done() && !m_isStray) {
        readBody();
    }
}

void ConnectionPool::Exchange::finish()
{
    if (m_isStray) {
        onStrayEnd();
        return;
    }
    if (m_parser->need_eof()) {
        if (m_limits.closeDelimited == CloseDelimitedResponse::Confirm) {
            confirmClose();
        } else {
            failWith(Reason::IncompleteAnswer);
        }
        return;
    }
    m_connection->stream.expires_never();
    ++m_connection->responses;
    const bool hasExtraBytes = m_connection->buffer.size() > 0;
    const bool isMatchable = !hasExtraBytes && m_strays == 0 && !m_isUnnamed;
    if (m_parser->get().keep_alive() && isMatchable) {
        // Up to BodyReadBytes, which many idle connections would hold.
        m_connection->buffer.shrink_to_fit();
        m_idle->release(m_address, m_connection);
    } else {
        m_connection->stream.close();
    }
    complete();
}

void ConnectionPool::Exchange::confirmClose()
{
    m_connection->stream.close();
    m_connection = m_idle->open();
    connect([self = shared_from_this()](error_code error) {
        if (error) {
            self->failWith(Reason::IncompleteAnswer);
            return;
        }
        self->m_connection->stream.expires_never();
        self->m_timer.expires_after(CloseConfirmationTime);
        self->m_timer.async_wait([self](error_code) { self->onConfirmationTime(); });
    });
}

void ConnectionPool::Exchange::onConfirmationTime()
{
    if (m_ended) {
        return;
    }
    if (!isReusable(*m_connection)) {
        failWith(Reason::IncompleteAnswer);
        return;
    }
    m_idle->release(m_address, m_connection);
    complete();
}

void ConnectionPool::Exchange::complete()
{
    m_ended = true;
    m_timer.cancel();
    const ExchangeHooks hooks = std::exchange(m_hooks, {});
    if (hooks.onEnd) {
        hooks.onEnd();
    }
}

void ConnectionPool::Exchange::fail(error_code error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        failWith(Reason::OversizedAnswer);
        return;
    }
    failWith(error == beast::error::timeout ? Reason::EndpointSilent : Reason::EndpointLost);
}

void ConnectionPool::Exchange::failWith(Reason reason)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_timer.cancel();
    m_connection->stream.close();
    ExchangeFailure failure;
    failure.reason = reason;
    failure.mayHaveReached = m_sending;
    failure.reusedConnection = m_connection->reused;
    failure.responses = m_connection->responses;
    failure.strays = m_strays;
    failure.inStray = m_isStray;
    const ExchangeHooks hooks = std::exchange(m_hooks, {});
    if (hooks.onFailed) {
        hooks.onFailed(failure);
    }
}

void ConnectionPool::Exchange::cancel()
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_hooks = {};
    m_timer.cancel();
    m_connection->stream.close();
}

void ConnectionPool::Exchange::discard()
{
    if (m_ended) {
        return;
    }
    const bool hasHead = m_parser && m_parser->is_header_done() && !m_isStray;
    if (!hasHead || m_parser->need_eof() || m_parser->content_length_remaining().value_or(0) > DiscardLimitBytes) {
        cancel();
        return;
    }
    m_hooks = {};
    m_limits.body = Bytes{m_bodyBytes + DiscardLimitBytes};
    m_timer.expires_after(DiscardTimeout);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error) {
            self->cancel();
        }
    });
    resume();
}

ConnectionPool::ConnectionPool(boost::asio::io_context &loop, std::size_t idleLimit, std::string sourceHost)
    : m_idle(std::make_shared<IdleConnections>(loop, idleLimit))
    , m_sourceHost(std::move(sourceHost))
{
}

ConnectionPool::~ConnectionPool() = default;

std::shared_ptr<HttpExchange> ConnectionPool::start(
    const Address &address, const HttpRequest &request, ExchangeLimits limits, ConnectionChoice choice, ExchangeHooks hooks)
{
    const auto exchange = std::make_shared<Exchange>(m_idle, m_sourceHost, address, limits, std::move(hooks));
    exchange->start(request, choice);
    return exchange;
}

void ConnectionPool::dropIdle(const Address &address)
{
    m_idle->drop(address);
}

void ConnectionPool::setIdleLimit(std::size_t idleLimit)
{
    m_idle->setLimit(idleLimit);
}

void ConnectionPool::setOpenLimit(std::size_t openLimit)
{
    m_idle->setOpenLimit(openLimit);
}

std::size_t ConnectionPool::idleConnections(const Address &address) const
{
    return m_idle->count(address);
}

} // namespace Hemlockhill
