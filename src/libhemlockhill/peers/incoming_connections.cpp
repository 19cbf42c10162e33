// Serves the connections of other nodes within bounds.
#include "incoming_connections.h"

#include "hemlockhill/timer_service.h"

#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize-async.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

// A hello takes less than 1 KB. Each message of a stranger costs some hundred bytes of state.
constexpr std::size_t StrangerBytes = 8192;
// Bytes of a message read at once, and up to which messages are not counted.
constexpr std::size_t PieceBytes = 65'536;
// While more of the replies is unread, in bytes or in number, no further calls are read.
constexpr std::size_t UnreadBytes = 1'048'576;
// Each takes some KB, however short it is. Replies to a node that reads leave at once.
constexpr std::size_t UnreadReplies = 64;
// The kernel's buffer would otherwise take thousands more, whose calls the RPC system remembers until they are finished.
constexpr int SendBufferBytes = 131'072;
// Calls whose outcome the caller has not released. Each takes some KB until then. Nodes have some hundred batches and calls in progress and
// release each with its reply.
constexpr std::size_t OpenCalls = 512;
constexpr kj::Duration UnreadPollInterval = 10 * kj::MILLISECONDS;
// Above the time after which nodes give up short calls.
constexpr kj::Duration UnreadTimeout = 5 * kj::SECONDS;

// kj::Own destroys it by its own type. NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class IgnoreErrors final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&) override { }
};

// The bytes of one connection. Ends it where it exceeds a bound.
// It is no object of its base's type. NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class BoundedStream final : public kj::AsyncIoStream
{
public:
    // `close` ends the connection.
    BoundedStream(
        kj::Own<kj::AsyncIoStream> &&socket, BufferBudget &arriving, kj::Timer &timer, Metrics &metrics, std::function<void()> close)
        : m_socket(kj::mv(socket))
        , m_timer(timer)
        , m_metrics(metrics)
        , m_close(std::move(close))
        , m_share(&arriving)
    {
    }

    // The network that reads and writes this stream.
    void setNetwork(capnp::TwoPartyVatNetwork &network) { m_network = &network; }
    void admit() { m_isAdmitted = true; }
    bool isAdmitted() const { return m_isAdmitted; }

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes) override
    {
        if (!m_isAdmitted) {
            return readOfStranger(buffer, minBytes, maxBytes);
        }
        if (m_network->getCurrentQueueSize() > UnreadBytes || m_network->getCurrentQueueCount() > UnreadReplies) {
            if (m_network->getOutgoingMessageWaitTime() > UnreadTimeout) {
                return fail("peer_replies_unread");
            }
            return m_timer.afterDelay(UnreadPollInterval).then([this, buffer, minBytes, maxBytes] {
                return tryRead(buffer, minBytes, maxBytes);
            });
        }
        m_share.release();
        return readPieces(static_cast<kj::byte *>(buffer), minBytes, maxBytes, 0);
    }

    kj::Promise<void> write(const void *buffer, std::size_t size) override { return m_socket->write(buffer, size); }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override { return m_socket->write(pieces); }
    kj::Promise<void> whenWriteDisconnected() override { return m_socket->whenWriteDisconnected(); }
    void shutdownWrite() override { m_socket->shutdownWrite(); }
    void abortRead() override { m_socket->abortRead(); }
    void getsockopt(int level, int option, void *value, kj::uint *length) override { m_socket->getsockopt(level, option, value, length); }

    // Closes the connection, since the RPC system would wait until the other side has read what is queued for it.
    kj::Exception fail(const char *event)
    {
        m_metrics.countEvent(event);
        m_close();
        return KJ_EXCEPTION(DISCONNECTED, "connection exceeds a bound", event);
    }

private:
    kj::Promise<std::size_t> readOfStranger(void *buffer, std::size_t minBytes, std::size_t maxBytes)
    {
        if (minBytes > m_strangerBytes) {
            return fail("peer_hello_too_long");
        }
        return m_socket->tryRead(buffer, minBytes, std::min(maxBytes, m_strangerBytes)).then([this](std::size_t bytes) {
            m_strangerBytes -= bytes;
            return bytes;
        });
    }

    kj::Promise<std::size_t> readPieces(kj::byte *buffer, std::size_t minBytes, std::size_t maxBytes, std::size_t done)
    {
        const std::size_t wanted = std::min(maxBytes - done, PieceBytes);
        const std::size_t needed = std::min(minBytes - done, wanted);
        return m_socket->tryRead(buffer + done, needed, wanted)
            .then([this, buffer, minBytes, maxBytes, done, needed](std::size_t bytes) -> kj::Promise<std::size_t> {
                const std::size_t total = done + bytes;
                if (bytes < needed || total <= PieceBytes) {
                    return total >= minBytes || bytes < needed ? total : readPieces(buffer, minBytes, maxBytes, total);
                }
                if (!count(total)) {
                    return fail("peer_messages_full");
                }
                return total >= minBytes ? total : readPieces(buffer, minBytes, maxBytes, total);
            });
    }

    // Counts the bytes of the message that is arriving. Returns false if the connection has to be closed for it.
    bool count(std::size_t bytes)
    {
        const TimePoint now = currentTime();
        m_share.makeReclaimable([this] {
            m_metrics.countEvent("peer_messages_full");
            m_close();
        });
        m_share.touch(now);
        return m_share.resize(Bytes{bytes}, now);
    }

    kj::Own<kj::AsyncIoStream> m_socket;
    kj::Timer &m_timer;
    Metrics &m_metrics;
    std::function<void()> m_close;
    capnp::TwoPartyVatNetwork *m_network = nullptr;
    BufferShare m_share;
    bool m_isAdmitted = false;
    // How much may still be read until a hello has been accepted.
    std::size_t m_strangerBytes = StrangerBytes;
};

// The messages of one connection. Ends it if it leaves too many calls open.
// It is no object of its base's type. NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class BoundedMessages final : public capnp::MessageStream
{
public:
    explicit BoundedMessages(BoundedStream &stream)
        : m_stream(stream)
        , m_messages(stream)
    {
    }

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
    tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fdSpace, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratchSpace) override
    {
        return m_messages.tryReadMessage(fdSpace, options, scratchSpace).then([this](kj::Maybe<capnp::MessageReaderAndFds> &&message) {
            KJ_IF_MAYBE (received, message) {
                count(*received->reader);
            }
            return kj::mv(message);
        });
    }

    kj::Promise<void> writeMessage(kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override
    {
        return m_messages.writeMessage(fds, segments);
    }
    kj::Promise<void> writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override
    {
        return m_messages.writeMessages(messages);
    }
    kj::Maybe<int> getSendBufferSize() override { return m_messages.getSendBufferSize(); }
    kj::Promise<void> end() override { return m_messages.end(); }

private:
    void count(capnp::MessageReader &message)
    {
        const auto kind = message.getRoot<capnp::rpc::Message>().which();
        if (kind == capnp::rpc::Message::FINISH && m_open > 0) {
            --m_open;
        }
        if (kind != capnp::rpc::Message::CALL && kind != capnp::rpc::Message::BOOTSTRAP) {
            return;
        }
        if (++m_open > OpenCalls) {
            kj::throwFatalException(m_stream.fail("peer_calls_open"));
        }
    }

    BoundedStream &m_stream;
    capnp::AsyncIoMessageStream m_messages;
    std::size_t m_open = 0;
};

} // namespace

struct IncomingConnections::Connection {
    Connection(IncomingConnections &connections, kj::Own<kj::AsyncIoStream> &&socket)
        : owner(connections)
        , number(++connections.m_lastNumber)
        , closing(kj::newPromiseAndFulfiller<void>())
        , stream(
              kj::mv(socket), connections.m_arriving, connections.m_timer, connections.m_metrics, [this] { closing.fulfiller->fulfill(); })
        , messages(stream)
        , network(messages, capnp::rpc::twoparty::Side::SERVER)
        , rpc(capnp::makeRpcServer(network, connections.m_bootstrap([this] { stream.admit(); })))
    {
        stream.setNetwork(network);
        owner.m_connections.insert(this);
    }

    ~Connection() noexcept { owner.m_connections.erase(this); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    IncomingConnections &owner;
    std::uint64_t number;
    kj::PromiseFulfillerPair<void> closing;
    BoundedStream stream;
    BoundedMessages messages;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

bool IncomingConnections::ByNumber::operator()(const Connection *left, const Connection *right) const
{
    return left->number < right->number;
}

IncomingConnections::IncomingConnections(const PeersSettings &settings, kj::Timer &timer, Metrics &metrics, Bootstrap bootstrap)
    : m_limit(settings.connectionLimit)
    , m_timer(timer)
    , m_metrics(metrics)
    , m_bootstrap(std::move(bootstrap))
    , m_arriving(settings.arrivingLimit)
    , m_taskErrors(kj::heap<IgnoreErrors>())
    , m_tasks(kj::heap<kj::TaskSet>(*m_taskErrors))
{
}

IncomingConnections::~IncomingConnections() = default;

void IncomingConnections::accept(kj::Own<kj::AsyncIoStream> &&socket)
{
    if (m_connections.size() >= m_limit && !makeRoom()) {
        m_metrics.countEvent("peer_connection_refused");
        return;
    }
    socket->setsockopt(SOL_SOCKET, SO_SNDBUF, &SendBufferBytes, sizeof SendBufferBytes);
    auto connection = kj::heap<Connection>(*this, kj::mv(socket));
    auto ended = connection->network.onDisconnect().exclusiveJoin(kj::mv(connection->closing.promise));
    m_tasks->add(ended.attach(kj::mv(connection)));
}

// Closes the oldest connection without an accepted hello. It leaves the list at once, and its descriptor is closed in this turn of the
// loop.
bool IncomingConnections::makeRoom()
{
    const auto stranger =
        std::find_if(m_connections.begin(), m_connections.end(), [](const Connection *each) { return !each->stream.isAdmitted(); });
    if (stranger == m_connections.end()) {
        return false;
    }
    m_metrics.countEvent("peer_connection_replaced");
    (*stranger)->closing.fulfiller->fulfill();
    m_connections.erase(stranger);
    return true;
}

} // namespace Hemlockhill
