// Refill, grants and returns of a token bucket.
#include "hemlockhill/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace Hemlockhill
{

namespace
{

// Number of times that are told apart in the history of the level. Beyond it the oldest are merged, which gives back too little rather
// than too much.
constexpr std::size_t RoomLimit = 64;

// Debt that counts as none, in units. Sums of refills are inexact, and a caller that comes back when told must not find a remainder of
// them.
constexpr double Tolerance = 1e-6;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

TokenBucket::TokenBucket(const TokenBucketLimits &limits, double level, BootTimePoint now)
    : m_limits(limits)
    , m_level(std::min(level, limits.capacity))
    , m_filledAt(now)
{
}

void TokenBucket::setLimits(const TokenBucketLimits &limits, BootTimePoint now)
{
    refill(now);
    m_limits = limits;
    m_level = std::min(m_level, m_limits.capacity);
}

void TokenBucket::fill(BootTimePoint now)
{
    refill(now);
    m_level = m_limits.capacity;
}

std::optional<GrantNumber> TokenBucket::take(double cost, BootTimePoint now)
{
    refill(now);
    if (m_level < -Tolerance) {
        return std::nullopt;
    }
    m_lastGrant += GrantNumber{1};
    pushRoom({m_lastGrant, m_limits.capacity - m_level});
    m_level -= cost;
    return m_lastGrant;
}

void TokenBucket::giveBack(GrantNumber grant, double cost, BootTimePoint now)
{
    refill(now);
    const double lost = std::max(0.0, cost - leastRoomSince(grant));
    const double returned = cost - lost;
    m_level = std::min(m_limits.capacity, m_level + returned);
    // From now on the history is that of a bucket without the grant.
    std::deque<Room> rooms;
    rooms.swap(m_rooms);
    for (Room room : rooms) {
        if (room.before > grant) {
            room.units = std::max(0.0, room.units - returned);
        }
        pushRoom(room);
    }
}

Duration TokenBucket::untilRoom(BootTimePoint now) const
{
    const double missing = -level(now);
    return missing <= Tolerance ? Duration(0) : Duration(static_cast<Duration::rep>(std::ceil(missing / m_limits.ratePerSecond * 1e6)));
}

double TokenBucket::level(BootTimePoint now) const
{
    const Duration elapsed = std::max(Duration(0), now - m_filledAt);
    return std::min(m_limits.capacity, m_level + m_limits.ratePerSecond * secondsOf(elapsed));
}

void TokenBucket::refill(BootTimePoint now)
{
    m_level = level(now);
    m_filledAt = std::max(m_filledAt, now);
}

double TokenBucket::leastRoomSince(GrantNumber grant) const
{
    const double present = m_limits.capacity - m_level;
    const auto found = std::find_if(m_rooms.begin(), m_rooms.end(), [grant](const Room &room) { return room.before > grant; });
    return found == m_rooms.end() ? present : std::min(present, found->units);
}

void TokenBucket::pushRoom(const Room &room)
{
    while (!m_rooms.empty() && m_rooms.back().units >= room.units) {
        m_rooms.pop_back();
    }
    m_rooms.push_back(room);
    if (m_rooms.size() > RoomLimit) {
        const double least = m_rooms.front().units;
        m_rooms.pop_front();
        m_rooms.front().units = least;
    }
}

} // namespace Hemlockhill
