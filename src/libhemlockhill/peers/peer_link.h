// The connection of this node to one other node. Lives on the peers' duty's event loop.
#pragma once

#include "hemlockhill/metrics.h"
#include "hemlockhill/peer_messages.h"
#include "hemlockhill/settings.h"
#include "peers/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <functional>
#include <vector>

namespace Hemlockhill
{

// Connects when first needed. A link that fails or falls silent is dropped, and made anew by the next call after a pause.
class PeerLink
{
public:
    // Receives PeerCallAnswered and PeerCallFailed.
    using EventSink = std::function<void(PeerEvent)>;

    PeerLink(const Settings &settings, PeerSettings peer, kj::AsyncIoContext &io, Metrics &metrics, EventSink eventSink);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    void start(StartCall call);

private:
    struct Connection;

    void connect();
    kj::Promise<void> open();
    void send(StartCall &&call);
    void sendTyped(CallId id, const ConsensusBatch &batch);
    void sendTyped(CallId id, const IdentityRequest &request);
    void sendTyped(CallId id, const FollowRequest &request);
    void sendTyped(CallId id, const AttestRequest &request);
    void sendTyped(CallId id, const SubmitRequest &request);
    void sendTyped(CallId id, const QueryRequest &request);
    // Reports the answer of a call, or its failure when it takes longer than the timeout.
    template<typename Results>
    void await(CallId id, kj::Promise<Results> &&promise, kj::Duration timeout);
    void drop(const char *event);
    void fail(const StartCall &call);

    const Settings &m_settings;
    PeerSettings m_peer;
    kj::AsyncIoContext &m_io;
    Metrics &m_metrics;
    EventSink m_eventSink;
    kj::Own<Connection> m_connection;
    bool m_connecting = false;
    kj::TimePoint m_nextConnectAt;
    std::vector<StartCall> m_pendingCalls;
    std::size_t m_batchesInFlight = 0;
    // Counts connections, so that the end of a call on an earlier one does not drop a later one.
    std::uint64_t m_generation = 0;
    kj::Own<kj::TaskSet::ErrorHandler> m_taskErrors;
    kj::Own<kj::TaskSet> m_tasks;
};

} // namespace Hemlockhill
