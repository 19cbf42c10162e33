// Tells the other nodes of each request that this node sends to an endpoint and of its end, so that all of them know the load of the
// endpoints now and pace their prompts together.
//
// By datagrams that say how many requests the node has there: a lost one makes a guess worse until the next one.
#pragma once

#include "hemlockhill/metrics.h"
#include "hemlockhill/world.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Hemlockhill
{

struct DispatchNotice {
    EndpointId endpoint;
    // What the endpoint has to read for a request that was sent just now; 0 when a request has ended.
    TokenCount prompt;
    // Requests that the sender has at the endpoint now.
    std::uint32_t inFlight = 0;

    bool operator==(const DispatchNotice &) const = default;
};

// One datagram, and back. Throws DecodeError.
std::string encode(const DispatchNotice &notice);
DispatchNotice decodeDispatchNotice(std::string_view datagram);

class DispatchNotices
{
public:
    using Received = std::function<void(const VmId &from, const DispatchNotice &notice)>;

    // Every node uses the same port. Throws EnvironmentError when it cannot be bound.
    DispatchNotices(boost::asio::io_context &loop, const Address &listen, Metrics &metrics, Received received);

    // The nodes that are told from now on, by their IP numbers; this node's own is passed over.
    void setNodes(const std::vector<VmId> &nodes);
    void send(const DispatchNotice &notice);

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    Address m_listen;
    Metrics &m_metrics;
    Received m_received;
    std::vector<boost::asio::ip::udp::endpoint> m_nodes;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 2048> m_buffer{};
};

} // namespace Hemlockhill
