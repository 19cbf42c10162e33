// Tells the other nodes of each prompt that this node sends to a runner, so that all pace their prompts together.
//
// By datagrams: a lost one only makes a guess worse.
#pragma once

#include "hemlockhill/metrics.h"
#include "hemlockhill/world.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace Hemlockhill
{

struct DispatchNotice {
    EndpointId endpoint;
    TokenCount prompt;

    bool operator==(const DispatchNotice &) const = default;
};

// One datagram, and back. Throws DecodeError.
std::string encode(const DispatchNotice &notice);
DispatchNotice decodeDispatchNotice(std::string_view datagram);

class DispatchNotices
{
public:
    using Received = std::function<void(const DispatchNotice &notice)>;

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
