// Outgoing RPC to one peer.
#include "peer_link.h"

#include "net/socket_options.h"
#include "peer_codec.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr kj::Duration ConnectTimeout = 1 * kj::SECONDS;
// For calls that the peer answers immediately.
constexpr kj::Duration ShortCallTimeout = 1 * kj::SECONDS;
// A submitted command is answered only once it is in force on all nodes.
constexpr kj::Duration SubmitTimeout = 20 * kj::SECONDS;
constexpr kj::Duration ReconnectDelay = 100 * kj::MILLISECONDS;
// Maximum number of calls that wait for the connection to be established.
constexpr std::size_t PendingCallLimit = 256;
// Maximum number of consensus batches in flight; further batches are dropped, as on a slow connection.
constexpr std::size_t InFlightBatchLimit = 64;

// kj::Own destroys it by its own type. NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class IgnoreErrors final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception &&) override { }
};

PeerReply replyOf(const capnp::Response<Wire::Peer::IdentityResults> &results)
{
    return read(results.getReply());
}

PeerReply replyOf(const capnp::Response<Wire::Peer::LeaveResults> &results)
{
    return read(results.getReply());
}

PeerReply replyOf(const capnp::Response<Wire::Peer::FollowResults> &results)
{
    return read(results.getReply());
}

PeerReply replyOf(const capnp::Response<Wire::Peer::AttestResults> &results)
{
    return read(results.getReply());
}

PeerReply replyOf(const capnp::Response<Wire::Peer::QueryResults> &results)
{
    return read(results.getReply());
}

PeerReply replyOf(const capnp::Response<Wire::Peer::SubmitResults> &results)
{
    return read(results.getReply());
}

} // namespace

struct PeerLink::Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream> &&ownStream)
        : stream(kj::mv(ownStream))
        , rpc(*stream)
        , peer(nullptr)
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient rpc;
    Wire::Peer::Client peer;
};

PeerLink::PeerLink(const Settings &settings, PeerSettings peer, kj::AsyncIoContext &io, Metrics &metrics, EventSink eventSink)
    : m_settings(settings)
    , m_peer(std::move(peer))
    , m_io(io)
    , m_metrics(metrics)
    , m_eventSink(std::move(eventSink))
    , m_nextConnectAt(io.provider->getTimer().now())
    , m_taskErrors(kj::heap<IgnoreErrors>())
    , m_tasks(kj::heap<kj::TaskSet>(*m_taskErrors))
{
}

PeerLink::~PeerLink() = default;

void PeerLink::start(StartCall call)
{
    if (m_connection.get() != nullptr) {
        send(std::move(call));
        return;
    }
    const bool backingOff = m_io.provider->getTimer().now() < m_nextConnectAt;
    if (backingOff || m_pendingCalls.size() >= PendingCallLimit) {
        fail(call);
        return;
    }
    m_pendingCalls.push_back(std::move(call));
    if (!m_connecting) {
        connect();
    }
}

void PeerLink::connect()
{
    m_connecting = true;
    auto opened = m_io.provider->getTimer().timeoutAfter(ConnectTimeout, open());
    m_tasks->add(opened.then(
        [this]() {
            m_connecting = false;
            for (StartCall &call : std::exchange(m_pendingCalls, {})) {
                send(std::move(call));
            }
        },
        [this](kj::Exception &&) {
            m_connecting = false;
            drop("peer_connect_failed");
            for (const StartCall &call : std::exchange(m_pendingCalls, {})) {
                fail(call);
            }
        }));
}

kj::Promise<void> PeerLink::open()
{
    return m_io.provider->getNetwork()
        .parseAddress(m_peer.address.text())
        .then([](kj::Own<kj::NetworkAddress> &&address) {
            auto connected = address->connect();
            return connected.attach(kj::mv(address));
        })
        .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
            KJ_IF_MAYBE (descriptor, stream->getFd()) {
                enableDeadPeerDetection(*descriptor);
            }
            auto connection = kj::heap<Connection>(kj::mv(stream));
            auto request = connection->rpc.bootstrap().castAs<Wire::PeerGate>().helloRequest();
            request.setCluster(m_settings.cluster.value);
            request.setVm(m_settings.vm.value);
            request.setProtocol(Wire::PROTOCOL_VERSION);
            auto &raw = *connection;
            return request.send()
                .then([&raw](capnp::Response<Wire::PeerGate::HelloResults> &&response) { raw.peer = response.getPeer(); })
                .then([this, connection = kj::mv(connection)]() mutable {
                    m_connection = kj::mv(connection);
                    ++m_generation;
                });
        });
}

void PeerLink::send(StartCall &&call)
{
    if (m_connection.get() == nullptr) {
        fail(call);
        return;
    }
    std::visit([this, id = call.call](const auto &request) { sendTyped(id, request); }, call.request);
}

void PeerLink::sendTyped(CallId, const ConsensusBatch &batch)
{
    if (m_batchesInFlight >= InFlightBatchLimit) {
        m_metrics.countEvent("consensus_batch_dropped");
        return;
    }
    auto request = m_connection->peer.consensusRequest();
    auto envelopes = request.initEnvelopes(static_cast<unsigned>(batch.envelopes.size()));
    for (unsigned position = 0; position < batch.envelopes.size(); ++position) {
        write(envelopes[position], batch.envelopes[position]);
    }
    ++m_batchesInFlight;
    const std::uint64_t generation = m_generation;
    auto sent = request.send().ignoreResult();
    m_tasks->add(m_io.provider->getTimer()
                     .timeoutAfter(ShortCallTimeout, kj::mv(sent))
                     .then([this]() { --m_batchesInFlight; },
                           [this, generation](kj::Exception &&) {
                               --m_batchesInFlight;
                               if (generation == m_generation) {
                                   drop("peer_link_dropped");
                               }
                           }));
}

void PeerLink::sendTyped(CallId id, const IdentityRequest &)
{
    await(id, m_connection->peer.identityRequest().send(), ShortCallTimeout);
}

void PeerLink::sendTyped(CallId id, const FollowRequest &request)
{
    auto call = m_connection->peer.followRequest();
    write(call.initRequest(), request);
    await(id, call.send(), ShortCallTimeout);
}

void PeerLink::sendTyped(CallId id, const AttestRequest &request)
{
    auto call = m_connection->peer.attestRequest();
    call.setKnown(request.known.value);
    call.setState(request.wantsState);
    await(id, call.send(), ShortCallTimeout);
}

void PeerLink::sendTyped(CallId id, const SubmitRequest &request)
{
    auto call = m_connection->peer.submitRequest();
    call.setPayload(kj::arrayPtr(reinterpret_cast<const kj::byte *>(request.payload.data()), request.payload.size()));
    await(id, call.send(), SubmitTimeout);
}

void PeerLink::sendTyped(CallId id, const QueryRequest &request)
{
    auto call = m_connection->peer.queryRequest();
    call.setStatement(request.statement);
    call.setJson(request.json);
    await(id, call.send(), ShortCallTimeout);
}

void PeerLink::sendTyped(CallId id, const LeaveRequest &request)
{
    auto call = m_connection->peer.leaveRequest();
    call.setVoter(request.voter.value);
    await(id, call.send(), ShortCallTimeout);
}

template<typename Results>
void PeerLink::await(CallId id, kj::Promise<Results> &&promise, kj::Duration timeout)
{
    const std::uint64_t generation = m_generation;
    m_tasks->add(m_io.provider->getTimer()
                     .timeoutAfter(timeout, kj::mv(promise))
                     .then([this, id](Results &&results) {
                         m_eventSink(PeerCallAnswered{id, m_peer.vm, replyOf(results)});
                     })
                     .catch_([this, id, generation](kj::Exception &&) {
                         m_eventSink(PeerCallFailed{id, m_peer.vm});
                         if (generation == m_generation) {
                             drop("peer_link_dropped");
                         }
                     }));
}

// The connection may still be in use further up the call stack, so it is destroyed in a later iteration of the event loop.
void PeerLink::drop(const char *event)
{
    m_metrics.countEvent(event);
    ++m_generation;
    m_nextConnectAt = m_io.provider->getTimer().now() + ReconnectDelay;
    if (m_connection.get() != nullptr) {
        m_tasks->add(kj::evalLater([connection = kj::mv(m_connection)]() {}));
    }
}

void PeerLink::fail(const StartCall &call)
{
    if (!std::holds_alternative<ConsensusBatch>(call.request)) {
        m_eventSink(PeerCallFailed{call.call, m_peer.vm});
    }
}

} // namespace Hemlockhill
