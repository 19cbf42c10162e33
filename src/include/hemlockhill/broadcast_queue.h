// Spreads datagrams to many nodes over time. Deterministic, without I/O.
//
// A message to each node of a large fleet is more than the queue of a node's link holds: sent at once, the end of it would be lost, for the
// same receivers each time, and requests and answers would wait behind the rest.
#pragma once

#include "hemlockhill/dispatch_notice_pacer.h"

#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// A datagram to several nodes.
struct Broadcast {
    // Kind of the message, for counts.
    std::string_view kind;
    std::string datagram;
    std::vector<boost::asio::ip::udp::endpoint> nodes;
};

// A datagram to one node.
struct OutgoingDatagram {
    std::string_view kind;
    std::string datagram;
    boost::asio::ip::udp::endpoint node;
};

class BroadcastQueue
{
public:
    // With a limit of zero, nothing is held back.
    explicit BroadcastQueue(Bandwidth limit);

    // Returns false, and takes nothing, if too many broadcasts are pending.
    bool add(Broadcast broadcast);
    // Returns the datagrams to send now.
    std::vector<OutgoingDatagram> take(TimePoint now);
    bool hasPending() const { return !m_pending.empty(); }

private:
    struct Pending {
        Broadcast broadcast;
        // Index of the next receiver.
        std::size_t next = 0;
    };

    Bandwidth m_limit;
    // Bytes that may be sent at m_filledAt.
    double m_allowance;
    TimePoint m_filledAt;
    std::deque<Pending> m_pending;
};

} // namespace Hemlockhill
