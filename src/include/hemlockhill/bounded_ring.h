// A FIFO queue of fixed capacity for passing messages between threads. Pushing to a full queue fails; it neither blocks nor grows.
#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Hemlockhill
{

// A mutex-protected ring buffer. Any thread may push and pop.
template<typename Message>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
        : m_slots(capacity)
    {
    }

    // Returns false when the ring is full; the message is then not moved from.
    bool push(Message &&message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_count == m_slots.size()) {
            return false;
        }
        m_slots[(m_first + m_count) % m_slots.size()].emplace(std::move(message));
        ++m_count;
        return true;
    }

    // Removes and returns the oldest message, or nullopt when the ring is empty.
    std::optional<Message> pop()
    {
        const std::lock_guard lock(m_mutex);
        if (m_count == 0) {
            return std::nullopt;
        }
        std::optional<Message> message = std::move(m_slots[m_first]);
        m_slots[m_first].reset();
        m_first = (m_first + 1) % m_slots.size();
        --m_count;
        return message;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_count;
    }

    std::size_t capacity() const { return m_slots.size(); }

private:
    mutable std::mutex m_mutex;
    std::vector<std::optional<Message>> m_slots;
    std::size_t m_first = 0;
    std::size_t m_count = 0;
};

} // namespace Hemlockhill
