// A FIFO queue of bounded length for passing messages between threads. Pushing to a full queue fails; it does not block.
#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace Hemlockhill
{

// A mutex-protected queue. Any thread may push and pop. Memory is allocated as messages arrive and freed as they are taken, since most
// queues are nearly empty and messages are large.
template<typename Message>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    // Returns false when the queue is full; the message is then not moved from.
    bool push(Message &&message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_messages.size() >= m_capacity) {
            return false;
        }
        m_messages.push_back(std::move(message));
        return true;
    }

    // Removes and returns the oldest message, or nullopt when the queue is empty.
    std::optional<Message> pop()
    {
        const std::lock_guard lock(m_mutex);
        if (m_messages.empty()) {
            return std::nullopt;
        }
        std::optional<Message> message = std::move(m_messages.front());
        m_messages.pop_front();
        return message;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_messages.size();
    }

    std::size_t capacity() const { return m_capacity; }

private:
    mutable std::mutex m_mutex;
    std::deque<Message> m_messages;
    std::size_t m_capacity;
};

} // namespace Hemlockhill
