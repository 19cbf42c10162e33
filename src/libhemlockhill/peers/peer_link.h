// The outgoing connection to one other node. Used only on the event loop of the peer thread.
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

// Connects on the first call. A connection that fails or times out is closed; the first call after a delay reconnects.
class PeerLink
{
public:
    // Receives PeerCallAnswered and PeerCallFailed.
    using EventSink = std::function<void(PeerEvent)>;

    PeerLink(const Settings &settings, PeerSettings peer, kj::AsyncIoContext &io, Metrics &metrics, EventSink eventSink);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    // Sends the call. While the reconnect delay runs, or when too many calls wait for the connection, the call fails at once.
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
    void sendTyped(CallId id, const LeaveRequest &request);
    // Reports the reply of a call, or its failure if there is no reply within the timeout.
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
    // Incremented for each connection, so that a call failing on an earlier connection does not close a later one.
    std::uint64_t m_generation = 0;
    kj::Own<kj::TaskSet::ErrorHandler> m_taskErrors;
    kj::Own<kj::TaskSet> m_tasks;
};

} // namespace Hemlockhill
