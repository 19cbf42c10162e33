// Keep-alive and timeout options of TCP sockets.
#include "socket_options.h"

#include <netinet/tcp.h>

namespace Hemlockhill
{

namespace
{

// The connection is closed if sent data remains unacknowledged for this time.
constexpr int UserTimeoutMs = 2500;
// An idle connection is probed after KeepAliveIdleSeconds and then every KeepAliveIntervalSeconds. It is closed after
// KeepAliveProbes lost probes.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void setOption(int socket, int level, int name, int value)
{
    // Errors are ignored: without the option, an unresponsive peer is still detected by the timeouts of the exchange.
    [[maybe_unused]] const int result = ::setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket)
{
    enableDeadPeerDetection(socket.native_handle());
}

void enableDeadPeerDetection(int descriptor)
{
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

} // namespace Hemlockhill
