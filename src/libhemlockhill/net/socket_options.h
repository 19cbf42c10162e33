// Options set on every TCP connection of the system.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Hemlockhill
{

// Sets keep-alive and TCP_USER_TIMEOUT, so that the kernel closes a connection whose peer no longer responds, whether the connection is
// idle or has unacknowledged data.
void enableDeadPeerDetection(int descriptor);
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket);

} // namespace Hemlockhill
