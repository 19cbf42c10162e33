// A bound on the bytes that all connections of a node together hold in buffers.
#pragma once

#include "hemlockhill/world.h"

#include <cstdint>
#include <functional>
#include <set>

namespace Hemlockhill
{

class BufferShare;

// Counts what the shares hold. While they hold more than the limit, shares that can give up their bytes have to: first the one that has
// made no progress for longest, if that is for longer than StallTime, otherwise the largest. Not thread-safe.
class BufferBudget
{
public:
    explicit BufferBudget(Bytes limit)
        : m_limit(limit)
    {
    }
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    // Called whenever bytes had to be given up, so that it can be counted.
    std::function<void()> onExceeded;

    void setLimit(Bytes limit) { m_limit = limit; }
    Bytes limit() const { return m_limit; }
    Bytes used() const { return m_used; }

private:
    friend class BufferShare;
    BufferShare *victim(TimePoint now) const;

    Bytes m_limit;
    Bytes m_used{0};
    // Those that can give up their bytes.
    std::set<BufferShare *> m_reclaimable;
};

// What one connection holds.
class BufferShare
{
public:
    // The budget must outlive the share. Null counts nothing.
    explicit BufferShare(BufferBudget *budget)
        : m_budget(budget)
    {
    }
    ~BufferShare() { release(); }
    BufferShare(const BufferShare &) = delete;
    BufferShare &operator=(const BufferShare &) = delete;

    // From now on the bytes may be reclaimed: `giveUp` is called once, after the share has been emptied.
    void makeReclaimable(std::function<void()> giveUp);
    void keep();
    // Notes that the owner has made progress.
    void touch(TimePoint now) { m_progressAt = now; }
    // Sets the number of bytes held and reclaims those of other shares if that exceeds the limit. Returns false, with the share emptied,
    // if nothing is left to reclaim but this share; `giveUp` is not called then.
    bool resize(Bytes bytes, TimePoint now);
    // As resize(), but reclaims nothing and leaves the share unchanged on failure.
    bool tryResize(Bytes bytes);
    void release();
    Bytes bytes() const { return m_bytes; }

private:
    friend class BufferBudget;

    BufferBudget *m_budget;
    Bytes m_bytes{0};
    TimePoint m_progressAt;
    std::function<void()> m_giveUp;
};

} // namespace Hemlockhill
