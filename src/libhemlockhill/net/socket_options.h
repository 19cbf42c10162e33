// Options that every TCP connection of the system gets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Hemlockhill
{

// Lets the system notice a connection whose other side no longer answers, whether or not bytes are under way.
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket);

} // namespace Hemlockhill
