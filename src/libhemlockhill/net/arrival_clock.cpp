// Bounds on the arrival of bytes, and the state of their sender.
#include "arrival_clock.h"

#include "hemlockhill/timer_service.h"

#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>

namespace Hemlockhill
{

namespace
{

constexpr std::chrono::milliseconds TurnPeriod(50);

} // namespace

ArrivalClock::ArrivalClock(boost::asio::io_context &loop)
    : m_timer(loop)
{
    m_turns.fill(currentTime());
}

void ArrivalClock::start()
{
    awaitTurn();
}

void ArrivalClock::stop()
{
    m_timer.cancel();
}

// The timer belongs to the loop itself, so that it expires once in a turn, however long that takes.
void ArrivalClock::awaitTurn()
{
    m_timer.expires_after(TurnPeriod);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        std::rotate(self->m_turns.begin(), self->m_turns.begin() + 1, self->m_turns.end());
        self->m_turns.back() = currentTime();
        self->awaitTurn();
    });
}

TimePoint lastArrival(boost::asio::ip::tcp::socket &socket, TimePoint bound)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool isKnown = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    // Zero also stands for systems that do not keep the time.
    if (!isKnown || info.tcpi_last_data_recv == 0) {
        return bound;
    }
    return std::max(bound, currentTime() - std::chrono::milliseconds(info.tcpi_last_data_recv));
}

bool isClosedByPeer(boost::asio::ip::tcp::socket &socket)
{
    pollfd state{socket.native_handle(), POLLRDHUP, 0};
    constexpr int NoWait = 0;
    return ::poll(&state, 1, NoWait) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

} // namespace Hemlockhill
