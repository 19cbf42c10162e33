// Socket options.
#include "socket_options.h"

#include <netinet/tcp.h>

namespace Hemlockhill
{

namespace
{

// Bytes that the other side has not acknowledged for this long break the connection.
constexpr int UserTimeoutMs = 2500;
// An idle connection is probed after this time, and again at this period, until this many probes were lost.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void setOption(int socket, int level, int name, int value)
{
    // A connection without the option still works; its silence is then noticed by the timeouts of its exchange.
    [[maybe_unused]] const int result = ::setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket)
{
    const int descriptor = socket.native_handle();
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

} // namespace Hemlockhill
