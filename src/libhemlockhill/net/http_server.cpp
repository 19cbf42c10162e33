// HTTP server based on Boost.Beast.
#include "hemlockhill/http_server.h"

#include "hemlockhill/buffer_budget.h"
#include "hemlockhill/refusal_answer.h"
#include "hemlockhill/timer_service.h"
#include "net/arrival_clock.h"
#include "net/socket_options.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace Hemlockhill
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t FirstReadBytes = 4096;
// Maximum number of bytes of a large body read at once.
constexpr std::size_t BodyReadBytes = 65'536;
constexpr int ListenBacklog = 1024;
// Connections accepted in one turn of the event loop, so that many new ones do not hold up the others.
constexpr int AcceptsPerTurn = 64;
// Delay after a failed accept, for instance when the process is out of file descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay(20);
// Bytes of further requests read at once while one is in progress.
constexpr std::size_t ReadAheadBytes = 4096;
// At the limit on connections, one that has waited this long for a request makes room for a new one.
constexpr Duration ReplaceableIdleTime = std::chrono::seconds(1);
// Bytes of a streamed answer written at once, so that a caller that reads slowly shows progress within the time limit of a write.
constexpr std::size_t WriteBytes = 65'536;
// Pending bytes of one answer: while half of the budget is free, and otherwise.
constexpr std::size_t LargePendingLimit = 1'048'576;
constexpr std::size_t SmallPendingLimit = 65'536;
// A connection whose request has not been refused this long after its time limit is closed.
constexpr Duration RefusalReserve = std::chrono::seconds(1);
// Requests that have certainly been read within this time of their arrival count as having arrived when they were read.
constexpr Duration NegligibleReadDelay = std::chrono::milliseconds(250);

// The refusal reason for a read error, or nullopt if the connection should be closed without a response.
std::optional<Reason> reasonOf(error_code error)
{
    if (error == http::error::header_limit) {
        return Reason::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return Reason::BodyTooLarge;
    }
    if (error == beast::error::timeout) {
        return Reason::SlowSender;
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
        return std::nullopt;
    }
    if (error.category() == http::make_error_code(http::error::bad_method).category()) {
        return Reason::MalformedRequest;
    }
    return std::nullopt;
}

void setHeaders(http::fields &fields, const HttpResponse &response)
{
    fields.set(http::field::server, "hemlockhill");
    if (!response.contentType.empty()) {
        fields.set(http::field::content_type, response.contentType);
    }
    for (const HttpHeader &header : response.headers) {
        fields.set(header.name, header.value);
    }
}

} // namespace

// Accepts connections and tracks the open sessions.
class HttpServer::Listener : public std::enable_shared_from_this<HttpServer::Listener>
{
public:
    class Session;

    Listener(boost::asio::io_context &loop, const Address &listen, HttpServerLimits limits, HttpHandler handler, HttpRefusalHook refused);

    void accept();
    void stop();

    const HttpServerLimits &limits() const { return m_limits; }
    void setLimits(const HttpServerLimits &limits) { m_limits = limits; }
    bool stopping() const { return m_stopping; }
    // Whether each connection is closed after its next response.
    bool closing() const { return m_stopping || m_closing; }
    void closeAfterAnswers() { m_closing = true; }
    std::size_t sessions() const { return m_sessions.size(); }
    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) { m_handler(std::move(request), std::move(responder)); }
    void refused(Reason reason) { m_refused(reason); }
    HttpResponse refusalAnswer(Reason reason) const { return m_refusalAnswer(reason); }
    void setRefusalAnswer(HttpRefusalAnswer answer) { m_refusalAnswer = std::move(answer); }
    void remove(Session *session) { m_sessions.erase(session); }
    std::uint64_t nextConnection() { return ++m_lastConnection; }
    void setArrivalClock(std::shared_ptr<const ArrivalClock> clock) { m_arrivalClock = std::move(clock); }
    TimePoint earliestArrival() const { return m_arrivalClock ? m_arrivalClock->earliestArrival() : currentTime(); }

private:
    void acceptWaiting();
    bool makeRoom();
    void start(tcp::socket socket);
    void retryAccept();

    boost::asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer;
    HttpServerLimits m_limits;
    HttpHandler m_handler;
    HttpRefusalHook m_refused;
    HttpRefusalAnswer m_refusalAnswer = [](Reason reason) {
        return Hemlockhill::refusalAnswer(Refusal{reason, Ran::No, {}, {}, {}}, RequestId{});
    };
    std::shared_ptr<const ArrivalClock> m_arrivalClock;
    std::set<Session *> m_sessions;
    // The earliest time at which the connections arrived that wait to be accepted; empty if none waits.
    std::optional<TimePoint> m_waitingSince;
    std::uint64_t m_lastConnection = 0;
    bool m_stopping = false;
    bool m_closing = false;
};

// One connection. Reads a request, passes it to the handler, and reads the next one after the response.
class HttpServer::Listener::Session : public std::enable_shared_from_this<Session>
{
public:
    // The connection has existed since the given time at the earliest.
    Session(tcp::socket socket, TimePoint connectedAt, std::shared_ptr<Listener> listener)
        : m_stream(std::move(socket))
        , m_receiveTimer(m_stream.get_executor())
        , m_budget(listener->limits().requestBudget)
        , m_requestShare(m_budget.get())
        , m_answerBudget(listener->limits().answerBudget)
        , m_answerShare(m_answerBudget.get())
        , m_listener(std::move(listener))
        , m_number(m_listener->nextConnection())
    {
        error_code ignored;
        if (m_stream.socket().available(ignored) > 0) {
            m_unreadSince = connectedAt;
        }
    }

    ~Session() { m_listener->remove(this); }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void refuseConnection();
    void awaitRequest();
    void closeIfIdle();
    // Closes the connection at once.
    void abandon() { close(); }
    // Since when the connection has waited for a request; empty if it is not waiting.
    std::optional<TimePoint> waitingSince() const;
    std::string remoteHost() const;
    TimePoint receivedAt() const { return m_receivedAt; }
    bool isConnected() { return m_phase != Phase::Finished && !isClosedByPeer(m_stream.socket()); }

private:
    class Responder;
    enum class Phase { AwaitingRequest, ReadingRequest, Answering, Streaming, Finished };

    void readRequest();
    void limitReceiving();
    void parse(error_code &error);
    void readMore();
    void onRead(error_code error, std::size_t bytes);
    std::size_t heldBytes();
    void onReclaimed();
    void onRequest(error_code error);
    void refuse(Reason reason);
    void watchPeer();
    void onReadable();
    TimePoint arrivalTime();
    void answer(HttpResponse response);
    void holdAnswer(std::size_t bytes);
    void begin(const HttpResponse &head);
    void write(std::string bytes);
    void end();
    void abort();
    void flush();
    void writeQueued();
    template<typename Buffers>
    void startWrite(const Buffers &buffers, bool last);
    std::size_t pendingLimit() const;
    // Counts what has not been written of the answer. Returns false if the connection has to be closed for it.
    bool countAnswer(std::size_t bytes);
    void onWritten(error_code error, bool last);
    void finishAnswer();
    void onPeerClosed();
    void close();
    void expireAfter(Duration delay) { m_stream.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(delay)); }

    beast::tcp_stream m_stream;
    // Ends the receiving of a request. The timeout of the stream closes the socket, so that no refusal could be sent.
    boost::asio::steady_timer m_receiveTimer;
    bool m_receiveTimedOut = false;
    // Whether the bytes of the request being received had to be given up.
    bool m_reclaimed = false;
    // Size of the last read for the request being received; it doubles while reads fill it.
    std::size_t m_readBytes = FirstReadBytes;
    // Bytes of the request's head.
    std::size_t m_headBytes = 0;
    beast::flat_buffer m_buffer;
    std::shared_ptr<BufferBudget> m_budget;
    // What this connection holds of requests: while they arrive, and for as long as they are in progress.
    BufferShare m_requestShare;
    std::shared_ptr<BufferBudget> m_answerBudget;
    BufferShare m_answerShare;
    std::shared_ptr<Listener> m_listener;
    std::uint64_t m_number;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::weak_ptr<Responder> m_responder;
    Phase m_phase = Phase::AwaitingRequest;
    // When the connection began to wait for a request.
    TimePoint m_waitingSince = TimePoint::max();
    // When the bytes arrived that have been read last.
    TimePoint m_receivedAt;
    // Set if bytes had arrived when the connection was accepted: the earliest time of their arrival.
    std::optional<TimePoint> m_unreadSince;
    // Number of requests so far. Notifications that concern earlier ones are ignored.
    std::uint64_t m_requests = 0;
    bool m_keepAlive = false;
    bool m_headRequest = false;
    // Body bytes that wait for the next write, and those in the write in progress.
    std::string m_queued;
    std::string m_writing;
    // The status line and headers of a streamed response, until written.
    std::string m_head;
    bool m_flushPosted = false;
    bool m_writeInProgress = false;
    bool m_endQueued = false;
    // Whether the connection is closed without the end of the body, once what is queued has been written.
    bool m_closeAfterWrites = false;
    std::optional<http::response<http::string_body>> m_fullResponse;
};

// The responder that the handler holds. Its calls have no effect once the response has ended or the client has disconnected.
class HttpServer::Listener::Session::Responder : public HttpResponder
{
public:
    explicit Responder(std::shared_ptr<Session> session)
        : m_session(std::move(session))
        , m_number(m_session->m_number)
        , m_receivedAt(m_session->receivedAt())
    {
    }

    ~Responder() override
    {
        if (m_session) {
            m_session->abort();
        }
    }

    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;

    void answer(HttpResponse response) override
    {
        if (const auto session = std::exchange(m_session, nullptr)) {
            session->answer(std::move(response));
        }
    }

    void holdAnswer(std::size_t bytes) override
    {
        if (m_session) {
            m_session->holdAnswer(bytes);
        }
    }

    void begin(HttpResponse head) override
    {
        if (m_session) {
            m_session->begin(head);
        }
    }

    void write(std::string bytes) override
    {
        if (m_session) {
            m_session->write(std::move(bytes));
        }
    }

    void end() override
    {
        if (const auto session = std::exchange(m_session, nullptr)) {
            session->end();
        }
    }

    void abort() override
    {
        if (const auto session = std::exchange(m_session, nullptr)) {
            session->abort();
        }
    }

    std::size_t pendingBytes() const override { return m_session ? m_session->m_queued.size() + m_session->m_writing.size() : 0; }

    std::size_t pendingLimit() const override { return m_session ? m_session->pendingLimit() : SmallPendingLimit; }

    std::uint64_t connection() const override { return m_number; }

    std::string remoteHost() const override { return m_session ? m_session->remoteHost() : std::string(); }

    TimePoint receivedAt() const override { return m_receivedAt; }

    bool isConnected() const override { return m_session && m_session->isConnected(); }

    void notifyDisconnected()
    {
        const auto session = std::exchange(m_session, nullptr);
        if (session && onDisconnected) {
            std::exchange(onDisconnected, nullptr)();
        }
    }

private:
    std::shared_ptr<Session> m_session;
    std::uint64_t m_number;
    TimePoint m_receivedAt;
};

void HttpServer::Listener::Session::refuseConnection()
{
    m_phase = Phase::Answering;
    refuse(Reason::TooManyConnections);
}

void HttpServer::Listener::Session::awaitRequest()
{
    m_phase = Phase::AwaitingRequest;
    m_headRequest = false;
    m_receiveTimedOut = false;
    m_reclaimed = false;
    m_readBytes = FirstReadBytes;
    m_headBytes = 0;
    m_requestShare.release();
    if (m_buffer.size() == 0 && m_buffer.capacity() > FirstReadBytes) {
        m_buffer.shrink_to_fit();
    }
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_listener->limits().header.value));
    m_parser->body_limit(m_listener->limits().body.value);
    // Also bounds what the other limits do not cover: the extensions of a chunk and the trailer.
    m_buffer.max_size(m_listener->limits().header.value + BodyReadBytes);
    if (m_buffer.size() > 0) {
        readRequest();
        return;
    }
    if (m_listener->stopping()) {
        close();
        return;
    }
    m_waitingSince = currentTime();
    expireAfter(m_listener->limits().idle);
    m_stream.async_read_some(m_buffer.prepare(FirstReadBytes), [self = shared_from_this()](error_code error, std::size_t bytes) {
        if (error) {
            self->close();
            return;
        }
        self->m_buffer.commit(bytes);
        self->m_receivedAt = self->arrivalTime();
        self->readRequest();
    });
}

void HttpServer::Listener::Session::closeIfIdle()
{
    if (m_phase == Phase::AwaitingRequest) {
        m_stream.cancel();
    }
}

std::optional<TimePoint> HttpServer::Listener::Session::waitingSince() const
{
    return m_phase == Phase::AwaitingRequest ? std::optional(m_waitingSince) : std::nullopt;
}

std::string HttpServer::Listener::Session::remoteHost() const
{
    error_code error;
    const tcp::endpoint remote = m_stream.socket().remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
}

void HttpServer::Listener::Session::readRequest()
{
    m_phase = Phase::ReadingRequest;
    // A request that has already arrived completely needs no further iteration of the event loop.
    m_parser->eager(true);
    error_code error;
    parse(error);
    if (error || m_parser->is_done()) {
        onRequest(error);
        return;
    }
    limitReceiving();
    m_requestShare.makeReclaimable([this] { onReclaimed(); });
    m_requestShare.touch(currentTime());
    readMore();
}

// Parses what is in the buffer. Sets an error if it is no request.
void HttpServer::Listener::Session::parse(error_code &error)
{
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        const bool wasHead = !m_parser->is_header_done();
        const std::size_t parsed = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(parsed);
        m_headBytes += wasHead ? parsed : 0;
        if (error == http::error::need_more) {
            error = {};
            return;
        }
        if (error || parsed == 0) {
            return;
        }
    }
}

void HttpServer::Listener::Session::readMore()
{
    if (!m_requestShare.resize(Bytes{heldBytes()}, currentTime())) {
        m_reclaimed = true;
        onRequest(boost::asio::error::operation_aborted);
        return;
    }
    std::size_t wanted = m_readBytes;
    if (m_parser->is_header_done()) {
        if (const auto left = m_parser->content_length_remaining()) {
            wanted = static_cast<std::size_t>(std::min<std::uint64_t>(std::max<std::uint64_t>(*left, 1), BodyReadBytes));
        }
        // Grows by less than the factor two of the parser, and not beyond the limit.
        std::string &body = m_parser->get().body();
        const std::size_t limit = static_cast<std::size_t>(m_listener->limits().body.value) + BodyReadBytes;
        if (body.capacity() < body.size() + wanted) {
            body.reserve(std::max(body.size() + wanted, std::min(body.size() + body.size() / 2, limit)));
        }
    }
    const std::size_t room = m_buffer.max_size() - std::min(m_buffer.size(), m_buffer.max_size());
    if (room == 0) {
        onRequest(http::error::buffer_overflow);
        return;
    }
    m_stream.async_read_some(m_buffer.prepare(std::min(wanted, room)),
                             [self = shared_from_this()](error_code error, std::size_t bytes) { self->onRead(error, bytes); });
}

void HttpServer::Listener::Session::onRead(error_code error, std::size_t bytes)
{
    if (error == boost::asio::error::eof) {
        close();
        return;
    }
    if (error || m_reclaimed) {
        onRequest(error ? error : error_code(boost::asio::error::operation_aborted));
        return;
    }
    m_buffer.commit(bytes);
    m_readBytes = bytes == m_readBytes ? std::min(2 * m_readBytes, BodyReadBytes) : m_readBytes;
    m_requestShare.touch(currentTime());
    parse(error);
    if (error || m_parser->is_done()) {
        onRequest(error);
        return;
    }
    readMore();
}

std::size_t HttpServer::Listener::Session::heldBytes()
{
    const std::size_t body = m_parser && m_parser->is_header_done() ? m_parser->get().body().capacity() : 0;
    return m_buffer.capacity() + m_headBytes + body;
}

// The read in progress still uses the parser; both are dropped when it ends.
void HttpServer::Listener::Session::onReclaimed()
{
    m_reclaimed = true;
    m_stream.cancel();
}

void HttpServer::Listener::Session::limitReceiving()
{
    const Duration limit = m_listener->limits().request;
    m_receiveTimer.expires_after(limit);
    m_receiveTimer.async_wait([weak = weak_from_this(), request = m_requests](error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->m_phase == Phase::ReadingRequest && self->m_requests == request) {
            self->m_receiveTimedOut = true;
            self->m_stream.cancel();
        }
    });
    // If bytes have just arrived, there is no operation to cancel.
    expireAfter(limit + RefusalReserve);
}

void HttpServer::Listener::Session::onRequest(error_code error)
{
    m_phase = Phase::Answering;
    m_receiveTimer.cancel();
    m_requestShare.keep();
    if (error) {
        auto reason = m_receiveTimedOut ? Reason::SlowSender : reasonOf(error);
        if (m_reclaimed) {
            reason = Reason::QueueFull;
        }
        if (reason) {
            refuse(*reason);
        } else {
            close();
        }
        return;
    }
    const bool mayHaveLeft = currentTime() - m_receivedAt >= NegligibleReadDelay;
    if (mayHaveLeft && isClosedByPeer(m_stream.socket())) {
        close();
        return;
    }
    // From here on the handler may hold copies.
    const std::size_t body = m_parser->get().body().size();
    if (!m_requestShare.resize(Bytes{m_buffer.capacity() + m_headBytes + m_listener->limits().copies * body}, currentTime())) {
        refuse(Reason::QueueFull);
        return;
    }
    m_stream.expires_never();
    auto message = m_parser->release();
    m_keepAlive = message.keep_alive();
    m_headRequest = message.method() == http::verb::head;
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    const auto responder = std::make_shared<Responder>(shared_from_this());
    m_responder = responder;
    ++m_requests;
    watchPeer();
    m_listener->handle(std::move(request), responder);
}

void HttpServer::Listener::Session::refuse(Reason reason)
{
    m_listener->refused(reason);
    m_keepAlive = false;
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_requestShare.release();
    answer(m_listener->refusalAnswer(reason));
}

// Detects a close by the client while a request is in progress, also behind the bytes of further requests, which are read as far as the
// buffer holds them.
void HttpServer::Listener::Session::watchPeer()
{
    m_stream.socket().async_wait(tcp::socket::wait_read, [weak = weak_from_this(), request = m_requests](error_code error) {
        const auto self = weak.lock();
        const bool inProgress = self && (self->m_phase == Phase::Answering || self->m_phase == Phase::Streaming);
        if (!error && inProgress && self->m_requests == request) {
            self->onReadable();
        }
    });
}

void HttpServer::Listener::Session::onReadable()
{
    error_code error;
    const std::size_t unread = m_stream.socket().available(error);
    // The limit may have become lower than what the buffer holds.
    const std::size_t room = std::min(ReadAheadBytes, m_buffer.max_size() - std::min(m_buffer.size(), m_buffer.max_size()));
    if (!m_requestShare.tryResize(Bytes{m_requestShare.bytes().value + std::min(unread, room)})) {
        // Not watched any further: a close is noticed when the answer is written.
        return;
    }
    std::size_t bytes = 0;
    if (!error && unread > 0 && room > 0) {
        bytes = m_stream.socket().read_some(m_buffer.prepare(std::min(unread, room)), error);
    }
    if (error || unread == 0) {
        onPeerClosed();
        return;
    }
    if (bytes > 0) {
        m_buffer.commit(bytes);
        m_receivedAt = arrivalTime();
        watchPeer();
    }
}

// Returns when the bytes arrived that have just been read.
TimePoint HttpServer::Listener::Session::arrivalTime()
{
    const TimePoint now = currentTime();
    const TimePoint earliest = std::min(m_listener->earliestArrival(), std::exchange(m_unreadSince, std::nullopt).value_or(now));
    return now - earliest < NegligibleReadDelay ? now : lastArrival(m_stream.socket(), earliest);
}

void HttpServer::Listener::Session::answer(HttpResponse response)
{
    if (m_phase != Phase::Answering) {
        return;
    }
    m_phase = Phase::Finished;
    m_fullResponse.emplace(static_cast<http::status>(response.status), 11);
    setHeaders(*m_fullResponse, response);
    m_keepAlive = m_keepAlive && !m_listener->closing();
    m_fullResponse->keep_alive(m_keepAlive);
    m_fullResponse->body() = std::move(response.body);
    m_fullResponse->prepare_payload();
    if (m_headRequest) {
        m_fullResponse->body().clear();
    }
    if (!countAnswer(m_fullResponse->body().size())) {
        close();
        return;
    }
    m_requestShare.tryResize(Bytes{m_buffer.capacity()});
    expireAfter(m_listener->limits().write);
    http::async_write(m_stream, *m_fullResponse, [self = shared_from_this()](error_code error, std::size_t) {
        self->m_fullResponse.reset();
        self->m_answerShare.release();
        if (error) {
            self->close();
            return;
        }
        self->finishAnswer();
    });
}

void HttpServer::Listener::Session::holdAnswer(std::size_t bytes)
{
    if (m_phase != Phase::Answering) {
        return;
    }
    // The endpoint is still sending; this caller holds nothing up.
    m_answerShare.touch(currentTime());
    if (!countAnswer(bytes)) {
        boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->onPeerClosed(); });
    }
}

void HttpServer::Listener::Session::begin(const HttpResponse &head)
{
    if (m_phase != Phase::Answering) {
        return;
    }
    m_phase = Phase::Streaming;
    m_endQueued = false;
    http::response<http::empty_body> response(static_cast<http::status>(head.status), 11);
    setHeaders(response, head);
    response.set(http::field::cache_control, "no-store");
    m_keepAlive = m_keepAlive && !m_listener->closing();
    response.keep_alive(m_keepAlive);
    response.chunked(true);
    std::ostringstream text;
    text << response.base();
    m_head = text.str();
    flush();
}

void HttpServer::Listener::Session::write(std::string bytes)
{
    if (m_phase != Phase::Streaming || m_endQueued || m_headRequest || bytes.empty()) {
        return;
    }
    if (m_queued.empty()) {
        m_queued = std::move(bytes);
    } else {
        m_queued += bytes;
    }
    if (!countAnswer(m_queued.size() + m_writing.size())) {
        boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->onPeerClosed(); });
        return;
    }
    flush();
}

void HttpServer::Listener::Session::end()
{
    if (m_phase != Phase::Streaming) {
        abort();
        return;
    }
    m_endQueued = true;
    m_requestShare.tryResize(Bytes{m_buffer.capacity()});
    flush();
}

void HttpServer::Listener::Session::abort()
{
    if (m_phase == Phase::Streaming && (m_writeInProgress || !m_queued.empty())) {
        m_closeAfterWrites = true;
        flush();
        return;
    }
    if (m_phase == Phase::Answering || m_phase == Phase::Streaming) {
        close();
    }
}

// Combines everything that is queued within one iteration of the event loop into one write.
void HttpServer::Listener::Session::flush()
{
    const bool nothing = m_head.empty() && m_queued.empty() && !m_endQueued;
    if (m_writeInProgress || m_flushPosted || m_phase != Phase::Streaming || nothing) {
        return;
    }
    m_flushPosted = true;
    boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        self->m_flushPosted = false;
        self->writeQueued();
    });
}

void HttpServer::Listener::Session::writeQueued()
{
    if (m_writeInProgress || m_phase != Phase::Streaming) {
        return;
    }
    const bool last = m_endQueued && m_queued.size() <= WriteBytes;
    m_phase = last ? Phase::Finished : m_phase;
    if (m_queued.size() <= WriteBytes) {
        m_writing = std::exchange(m_queued, {});
    } else {
        m_writing = m_queued.substr(0, WriteBytes);
        m_queued.erase(0, WriteBytes);
    }
    const boost::asio::const_buffer head = boost::asio::buffer(m_head);
    const boost::asio::const_buffer body = boost::asio::buffer(m_writing);
    const bool hasBody = !m_writing.empty();
    const bool hasLastChunk = last && !m_headRequest;
    if (hasBody && hasLastChunk) {
        startWrite(beast::buffers_cat(head, http::make_chunk(body), http::make_chunk_last()), last);
    } else if (hasBody) {
        startWrite(beast::buffers_cat(head, http::make_chunk(body)), last);
    } else if (hasLastChunk) {
        startWrite(beast::buffers_cat(head, http::make_chunk_last()), last);
    } else {
        startWrite(head, last);
    }
}

template<typename Buffers>
void HttpServer::Listener::Session::startWrite(const Buffers &buffers, bool last)
{
    m_writeInProgress = true;
    expireAfter(m_listener->limits().write);
    boost::asio::async_write(
        m_stream, buffers, [self = shared_from_this(), last](error_code error, std::size_t) { self->onWritten(error, last); });
}

void HttpServer::Listener::Session::onWritten(error_code error, bool last)
{
    m_writeInProgress = false;
    m_writing.clear();
    m_head.clear();
    if (error) {
        onPeerClosed();
        return;
    }
    m_stream.expires_never();
    countAnswer(m_queued.size());
    if (last) {
        finishAnswer();
        return;
    }
    if (m_closeAfterWrites && m_queued.empty()) {
        close();
        return;
    }
    flush();
    const auto responder = m_responder.lock();
    if (responder && responder->onRoom && m_queued.size() < pendingLimit() / 2) {
        responder->onRoom();
    }
    if (m_queued.empty() && !m_flushPosted) {
        if (responder && responder->onDrained) {
            responder->onDrained();
        }
    }
}

std::size_t HttpServer::Listener::Session::pendingLimit() const
{
    const bool isHalfFree = m_answerBudget && m_answerBudget->used().value < m_answerBudget->limit().value / 2;
    return isHalfFree ? LargePendingLimit : SmallPendingLimit;
}

bool HttpServer::Listener::Session::countAnswer(std::size_t bytes)
{
    const TimePoint now = currentTime();
    if (m_answerShare.bytes().value == 0 || m_answerShare.bytes().value > bytes) {
        m_answerShare.touch(now);
    }
    if (bytes == 0) {
        m_answerShare.release();
        return true;
    }
    // Closed later, since the owner of another answer may be the one that is writing now.
    m_answerShare.makeReclaimable([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_listener->refused(Reason::CallerTooSlow);
            boost::asio::post(self->m_stream.get_executor(), [self] { self->onPeerClosed(); });
        }
    });
    if (!m_answerShare.resize(Bytes{bytes}, now)) {
        m_listener->refused(Reason::CallerTooSlow);
        return false;
    }
    return true;
}

void HttpServer::Listener::Session::finishAnswer()
{
    // The connection may have been closed for others after the last write completed and before it was reported.
    if (!m_stream.socket().is_open()) {
        return;
    }
    if (!m_keepAlive) {
        error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        close();
        return;
    }
    m_stream.socket().cancel();
    awaitRequest();
}

void HttpServer::Listener::Session::onPeerClosed()
{
    const auto self = shared_from_this();
    close();
    if (const auto responder = m_responder.lock()) {
        responder->notifyDisconnected();
    }
}

void HttpServer::Listener::Session::close()
{
    m_phase = Phase::Finished;
    m_requestShare.release();
    m_answerShare.release();
    m_stream.close();
}

HttpServer::Listener::Listener(
    boost::asio::io_context &loop, const Address &listen, HttpServerLimits limits, HttpHandler handler, HttpRefusalHook refused)
    : m_loop(loop)
    , m_acceptor(loop)
    , m_acceptRetryTimer(loop)
    , m_limits(std::move(limits))
    , m_handler(std::move(handler))
    , m_refused(std::move(refused))
{
    try {
        const tcp::endpoint local(boost::asio::ip::make_address(listen.host), listen.port);
        m_acceptor.open(local.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(local);
        m_acceptor.listen(ListenBacklog);
        m_acceptor.non_blocking(true);
    } catch (const boost::system::system_error &error) {
        throw EnvironmentError("cannot listen on " + listen.text() + ": " + error.code().message());
    }
}

void HttpServer::Listener::accept()
{
    m_acceptor.async_wait(tcp::acceptor::wait_read, [self = shared_from_this()](error_code error) {
        if (error) {
            self->retryAccept();
            return;
        }
        self->m_waitingSince = self->earliestArrival();
        self->acceptWaiting();
    });
}

void HttpServer::Listener::acceptWaiting()
{
    for (int accepted = 0; accepted < AcceptsPerTurn && !m_stopping; ++accepted) {
        error_code error;
        tcp::socket socket(m_loop);
        m_acceptor.accept(socket, error);
        if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
            m_waitingSince.reset();
            accept();
            return;
        }
        if (error) {
            retryAccept();
            return;
        }
        start(std::move(socket));
    }
    if (!m_stopping) {
        boost::asio::post(m_loop, [self = shared_from_this()] { self->acceptWaiting(); });
    }
}

void HttpServer::Listener::retryAccept()
{
    if (m_stopping) {
        return;
    }
    m_acceptRetryTimer.expires_after(AcceptRetryDelay);
    m_acceptRetryTimer.async_wait([self = shared_from_this()](error_code) {
        if (self->m_waitingSince) {
            self->acceptWaiting();
        } else if (!self->m_stopping) {
            self->accept();
        }
    });
}

// Closes the connection that has waited longest for a request, if that is for longer than ReplaceableIdleTime. Returns whether one was.
bool HttpServer::Listener::makeRoom()
{
    Session *longest = nullptr;
    TimePoint since = currentTime() - ReplaceableIdleTime;
    for (Session *session : m_sessions) {
        const auto waitingSince = session->waitingSince();
        if (waitingSince && *waitingSince <= since) {
            longest = session;
            since = *waitingSince;
        }
    }
    if (longest == nullptr) {
        return false;
    }
    m_refused(Reason::TooManyConnections);
    longest->abandon();
    return true;
}

void HttpServer::Listener::start(tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    enableDeadPeerDetection(socket);
    const auto session = std::make_shared<Session>(std::move(socket), m_waitingSince.value_or(currentTime()), shared_from_this());
    m_sessions.insert(session.get());
    if (m_sessions.size() > m_limits.connections && !makeRoom()) {
        session->refuseConnection();
    } else {
        session->awaitRequest();
    }
}

void HttpServer::Listener::stop()
{
    m_stopping = true;
    error_code ignored;
    m_acceptor.close(ignored);
    for (Session *session : m_sessions) {
        session->closeIfIdle();
    }
}

HttpServer::HttpServer(
    boost::asio::io_context &loop, const Address &listen, HttpServerLimits limits, HttpHandler handler, HttpRefusalHook refused)
    : m_listener(std::make_shared<Listener>(loop, listen, std::move(limits), std::move(handler), std::move(refused)))
{
    m_listener->accept();
}

HttpServer::~HttpServer() = default;

void HttpServer::stopAccepting()
{
    m_listener->stop();
}

void HttpServer::closeAfterAnswers()
{
    m_listener->closeAfterAnswers();
}

void HttpServer::setRefusalAnswer(HttpRefusalAnswer answer)
{
    m_listener->setRefusalAnswer(std::move(answer));
}

void HttpServer::setArrivalClock(std::shared_ptr<const ArrivalClock> clock)
{
    m_listener->setArrivalClock(std::move(clock));
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_listener->setLimits(limits);
}

std::size_t HttpServer::connections() const
{
    return m_listener->sessions();
}

} // namespace Hemlockhill
