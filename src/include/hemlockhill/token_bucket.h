// A token bucket that may go into debt by one request. Deterministic, without I/O.
#pragma once

#include "hemlockhill/world.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Hemlockhill
{

// Numbers the grants of a bucket, in their order.
using GrantNumber = Quantity<struct GrantNumberTag>;

struct TokenBucketLimits {
    // Refill in units per second; above 0.
    double ratePerSecond = 1;
    // Highest level, in units.
    double capacity = 0;

    bool operator==(const TokenBucketLimits &) const = default;
};

// A request is granted while the level is not below 0, whatever it costs. So within any time t no more is granted than
// capacity + rate x t + the cost of one request. This holds for what was not given back, also when units are given back late.
class TokenBucket
{
public:
    TokenBucket(const TokenBucketLimits &limits, double level, BootTimePoint now);

    // A level above the new capacity is lowered to it.
    void setLimits(const TokenBucketLimits &limits, BootTimePoint now);
    // Raises the level to the capacity.
    void fill(BootTimePoint now);
    // Returns the number of the grant; empty if there is no room.
    std::optional<GrantNumber> take(double cost, BootTimePoint now);
    // Gives back the units of a grant, once at most. Without the grant, the bucket might have been full meanwhile and have lost refill;
    // that much is not given back.
    void giveBack(GrantNumber grant, double cost, BootTimePoint now);
    // Time until there is room; zero if there is.
    Duration untilRoom(BootTimePoint now) const;
    double level(BootTimePoint now) const;
    const TokenBucketLimits &limits() const { return m_limits; }

private:
    // How far the bucket was from being full just before a grant, which is when it was fullest since the grant before.
    struct Room {
        GrantNumber before;
        double units = 0;
    };

    void refill(BootTimePoint now);
    // Least room since the grant.
    double leastRoomSince(GrantNumber grant) const;
    void pushRoom(const Room &room);

    TokenBucketLimits m_limits;
    double m_level;
    BootTimePoint m_filledAt;
    GrantNumber m_lastGrant;
    // Only those that have less room than all later ones, so the room grows from front to back.
    std::deque<Room> m_rooms;
};

} // namespace Hemlockhill
