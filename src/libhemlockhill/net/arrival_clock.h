// Bounds how long received bytes have lain unread in the buffers of the operating system.
#pragma once

#include "hemlockhill/world.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>

namespace Hemlockhill
{

// Follows the turns of an event loop: in each it asks the operating system once which sockets are ready, then runs the handlers. Bytes that
// a handler receives have arrived after the loop asked for the last time before; if the process was stopped or is overloaded, this may be
// long ago. Not thread-safe: all calls must be made on the loop.
class ArrivalClock : public std::enable_shared_from_this<ArrivalClock>
{
public:
    explicit ArrivalClock(boost::asio::io_context &loop);

    void start();
    void stop();
    // The earliest time at which bytes can have arrived whose read was pending until now.
    TimePoint earliestArrival() const { return m_turns.front(); }

private:
    void awaitTurn();

    boost::asio::steady_timer m_timer;
    // Times in the last turns, oldest first. The last two may lie in the turn that found the socket ready and in the one before, so that
    // only the oldest is known to precede the arrival.
    std::array<TimePoint, 3> m_turns;
};

// Returns when the last bytes that the socket has received arrived, at the earliest: the bound, or a later time that the operating system
// tells.
TimePoint lastArrival(boost::asio::ip::tcp::socket &socket, TimePoint bound);

// Whether the peer has closed or reset the connection, as far as this VM has heard. Unread bytes do not hide it.
bool isClosedByPeer(boost::asio::ip::tcp::socket &socket);

} // namespace Hemlockhill
