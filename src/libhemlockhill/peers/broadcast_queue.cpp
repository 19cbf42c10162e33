// Token bucket of broadcasts.
#include "hemlockhill/broadcast_queue.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Headers of UDP and IP.
constexpr double HeaderBytes = 28;
// Bytes that may leave at once: a small part of what the queue of a link holds.
constexpr double BurstBytes = 6'000;
// Maximum number of pending broadcasts.
constexpr std::size_t PendingLimit = 100;

} // namespace

BroadcastQueue::BroadcastQueue(Bandwidth limit)
    : m_limit(limit)
    , m_allowance(BurstBytes)
{
}

bool BroadcastQueue::add(Broadcast broadcast)
{
    if (m_pending.size() >= PendingLimit) {
        return false;
    }
    if (!broadcast.nodes.empty()) {
        m_pending.push_back({std::move(broadcast)});
    }
    return true;
}

std::vector<OutgoingDatagram> BroadcastQueue::take(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
    m_allowance = std::min(BurstBytes, m_allowance + m_limit.value * elapsed);
    m_filledAt = now;
    std::vector<OutgoingDatagram> due;
    while (!m_pending.empty() && (m_limit.value == 0 || m_allowance > 0)) {
        Pending &first = m_pending.front();
        const Broadcast &broadcast = first.broadcast;
        m_allowance -= static_cast<double>(broadcast.datagram.size()) + HeaderBytes;
        due.push_back({broadcast.kind, broadcast.datagram, broadcast.nodes[first.next]});
        if (++first.next == broadcast.nodes.size()) {
            m_pending.pop_front();
        }
    }
    return due;
}

} // namespace Hemlockhill
