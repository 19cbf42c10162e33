// UDP datagrams between nodes, for messages whose loss does little harm: notices of dispatched requests, questions about the load of
// endpoints, notices of endpoints' rate limits and of requests that crash endpoints, the origins of streams, the search for nodes to
// forward through, and questions to the owners of workspaces' quotas.
#pragma once

#include "hemlockhill/broadcast_queue.h"
#include "hemlockhill/crash_suspects.h"
#include "hemlockhill/declared_capacity.h"
#include "hemlockhill/dispatch_notices.h"
#include "hemlockhill/forwarding_peers.h"
#include "hemlockhill/load_queries.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/quota_messages.h"
#include "hemlockhill/stream_origins.h"
#include "hemlockhill/timer_service.h"
#include "hemlockhill/world.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// Maximum size of a datagram. Longer ones are not understood by the receiver.
inline constexpr std::size_t DatagramLimitBytes = 2048;

// The content of one datagram.
using PeerDatagram = std::variant<DispatchNotice,
                                  StreamOriginMessage,
                                  CrashSuspectNotice,
                                  RateLimitNotice,
                                  ForwardingMessage,
                                  LoadQuery,
                                  LoadReport,
                                  QuotaQuery,
                                  QuotaReply,
                                  QuotaReturn>;

// Name of the kind of a message, for logs.
std::string_view kindOf(const PeerDatagram &message);

// Numbers of datagrams by kind.
using DatagramCounts = std::map<std::string_view, std::uint64_t>;

// Serializes a message to the payload of one datagram.
std::string encode(const PeerDatagram &message);
// Parses the payload of a datagram. Throws DecodeError when it is malformed.
PeerDatagram decodePeerDatagram(std::string_view datagram);

// Sends datagrams to the other nodes and receives theirs, on the given event loop.
class PeerDatagrams
{
public:
    using Received = std::function<void(const VmId &from, const PeerDatagram &message)>;

    // All nodes must use the same port. What goes to many nodes takes no more than `limit` of the link; zero does not limit it. Throws
    // EnvironmentError when the address cannot be bound.
    PeerDatagrams(
        boost::asio::io_context &loop, TimerService &timers, const Address &listen, Bandwidth limit, Metrics &metrics, Received received);

    // Sets the nodes to which sendToAll() sends. VM ids must be IP addresses; other ids and this node's own address are skipped.
    void setNodes(const std::vector<VmId> &nodes);
    // Failures are counted as "datagram_unsent", messages that found no room among those to be sent as "broadcast_dropped".
    void sendToAll(const PeerDatagram &message);
    void send(const std::vector<VmId> &nodes, const PeerDatagram &message);
    // Sends at once.
    void send(const VmId &node, const PeerDatagram &message);
    // Sends to one of the nodes, each in its turn.
    void sendToNext(const PeerDatagram &message);
    // Number of nodes to which sendToAll() sends.
    std::size_t nodes() const { return m_nodes.size(); }
    // Datagrams sent, also those that failed, and datagrams received that were understood.
    const DatagramCounts &sent() const { return m_sent; }
    const DatagramCounts &received() const { return m_receivedCounts; }

private:
    // Returns where the node receives; empty if its id is no IP address.
    std::optional<boost::asio::ip::udp::endpoint> endpointOf(const VmId &node) const;
    void broadcast(Broadcast message);
    void sendPending();
    void send(std::string_view kind, const std::string &datagram, const boost::asio::ip::udp::endpoint &node);
    void receive();

    boost::asio::io_context &m_loop;
    TimerService &m_timers;
    boost::asio::ip::udp::socket m_socket;
    Address m_listen;
    Metrics &m_metrics;
    Received m_received;
    std::vector<boost::asio::ip::udp::endpoint> m_nodes;
    std::size_t m_next = 0;
    BroadcastQueue m_broadcasts;
    bool m_broadcastScheduled = false;
    DatagramCounts m_sent;
    DatagramCounts m_receivedCounts;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, DatagramLimitBytes> m_buffer{};
};

} // namespace Hemlockhill
