// The connections that other nodes have opened to this one. Used only on the event loop of the peer thread.
#pragma once

#include "hemlockhill/buffer_budget.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/settings.h"

#include <capnp/capability.h>
#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <set>

namespace Hemlockhill
{

// Bounds what strangers can make the node hold: the number of connections, the bytes of one until its hello has been accepted, and
// afterwards those of messages that arrive and of replies that are not read.
class IncomingConnections
{
public:
    // Builds the interface that a connection offers, which calls `admit` when it has accepted a hello.
    using Bootstrap = std::function<capnp::Capability::Client(std::function<void()> admit)>;

    IncomingConnections(const PeersSettings &settings, kj::Timer &timer, Metrics &metrics, Bootstrap bootstrap);
    ~IncomingConnections();
    IncomingConnections(const IncomingConnections &) = delete;
    IncomingConnections &operator=(const IncomingConnections &) = delete;

    // At the limit on connections, the one that has gone without an accepted hello for longest makes room. If there is none, the new one is
    // closed.
    void accept(kj::Own<kj::AsyncIoStream> &&socket);

private:
    struct Connection;
    struct ByNumber {
        bool operator()(const Connection *left, const Connection *right) const;
    };

    bool makeRoom();

    std::size_t m_limit;
    kj::Timer &m_timer;
    Metrics &m_metrics;
    Bootstrap m_bootstrap;
    BufferBudget m_arriving;
    std::uint64_t m_lastNumber = 0;
    std::set<Connection *, ByNumber> m_connections;
    kj::Own<kj::TaskSet::ErrorHandler> m_taskErrors;
    kj::Own<kj::TaskSet> m_tasks;
};

} // namespace Hemlockhill
