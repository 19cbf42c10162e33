// Notifies the other nodes when this node sends a request to an endpoint and when the request ends, so that all nodes know the current
// load of the endpoints and limit the rate of prompts jointly.
//
// Notices are UDP datagrams. Each carries the sender's total number of requests in flight at the endpoint, so a lost datagram makes the
// load estimate inaccurate only until the next one.
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

// The load that the sending node places on one endpoint.
struct DispatchNotice {
    EndpointId endpoint;
    // Prompt length of the request that was just sent; 0 when a request has ended.
    TokenCount prompt;
    // Requests of the sender that are in progress at the endpoint.
    std::uint32_t inFlight = 0;

    bool operator==(const DispatchNotice &) const = default;
};

// Serializes a notice to the payload of one datagram.
std::string encode(const DispatchNotice &notice);
// Parses the payload of a datagram. Throws DecodeError when it is malformed.
DispatchNotice decodeDispatchNotice(std::string_view datagram);

// Sends notices to the other nodes and receives theirs, on the given event loop.
class DispatchNotices
{
public:
    using Received = std::function<void(const VmId &from, const DispatchNotice &notice)>;

    // All nodes must use the same port. Throws EnvironmentError when the address cannot be bound.
    DispatchNotices(boost::asio::io_context &loop, const Address &listen, Metrics &metrics, Received received);

    // Sets the nodes to notify. VM ids must be IP addresses; other ids and this node's own address are skipped.
    void setNodes(const std::vector<VmId> &nodes);
    // Sends the notice to every node. Failures are counted as "dispatch_notice_unsent".
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
