// Accounting of buffers, and the choice of those that are given up.
#include "hemlockhill/buffer_budget.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

// A sender that has sent nothing for this long gives way before those that send.
constexpr Duration StallTime = std::chrono::milliseconds(500);

} // namespace

BufferShare *BufferBudget::victim(TimePoint now) const
{
    BufferShare *stalled = nullptr;
    BufferShare *largest = nullptr;
    for (BufferShare *share : m_reclaimable) {
        if (share->m_bytes.value == 0) {
            continue;
        }
        const bool isStalled = now - share->m_progressAt >= StallTime;
        if (isStalled && (stalled == nullptr || share->m_progressAt < stalled->m_progressAt)) {
            stalled = share;
        }
        if (largest == nullptr || share->m_bytes > largest->m_bytes) {
            largest = share;
        }
    }
    return stalled != nullptr ? stalled : largest;
}

void BufferShare::makeReclaimable(std::function<void()> giveUp)
{
    m_giveUp = std::move(giveUp);
    if (m_budget != nullptr) {
        m_budget->m_reclaimable.insert(this);
    }
}

void BufferShare::keep()
{
    m_giveUp = nullptr;
    if (m_budget != nullptr) {
        m_budget->m_reclaimable.erase(this);
    }
}

bool BufferShare::resize(Bytes bytes, TimePoint now)
{
    if (m_budget == nullptr) {
        return true;
    }
    m_budget->m_used = Bytes{m_budget->m_used.value - m_bytes.value + bytes.value};
    m_bytes = bytes;
    while (m_budget->m_used > m_budget->m_limit) {
        if (m_budget->onExceeded) {
            m_budget->onExceeded();
        }
        BufferShare *victim = m_budget->victim(now);
        if (victim == nullptr || victim == this) {
            release();
            return false;
        }
        const auto giveUp = std::exchange(victim->m_giveUp, nullptr);
        victim->release();
        giveUp();
    }
    return true;
}

bool BufferShare::tryResize(Bytes bytes)
{
    if (m_budget == nullptr) {
        return true;
    }
    const Bytes used{m_budget->m_used.value - m_bytes.value + bytes.value};
    if (bytes > m_bytes && used > m_budget->m_limit) {
        return false;
    }
    m_budget->m_used = used;
    m_bytes = bytes;
    return true;
}

void BufferShare::release()
{
    keep();
    if (m_budget != nullptr) {
        m_budget->m_used = Bytes{m_budget->m_used.value - m_bytes.value};
    }
    m_bytes = Bytes{0};
}

} // namespace Hemlockhill
