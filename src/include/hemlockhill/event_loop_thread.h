// Threads with an event loop each, and the mailboxes through which they exchange messages.
#pragma once

#include "hemlockhill/bounded_ring.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Hemlockhill
{

// A thread that runs one event loop. The destructor stops the loop and joins the thread.
class EventLoopThread
{
public:
    // The operating system shows the first 15 characters of the name as the thread's name.
    explicit EventLoopThread(std::string name);
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    void start();
    // Stops the loop without running pending handlers, and joins the thread.
    void stop();

    const std::string &name() const { return m_name; }
    boost::asio::io_context &context() { return m_context; }

private:
    std::string m_name;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

// A bounded queue whose messages are handled in order on the receiver's event loop.
// Must outlive the run of that loop.
template<typename Message>
class Mailbox
{
public:
    using Handler = std::function<void(Message &&)>;

    Mailbox(boost::asio::io_context &receiver, std::size_t capacity, Handler handler)
        : m_receiver(receiver)
        , m_ring(capacity)
        , m_handler(std::move(handler))
    {
    }

    // May be called from any thread. Returns false when the queue is full: the message is dropped and the caller must refuse its work.
    bool post(Message message)
    {
        if (!m_ring.push(std::move(message))) {
            m_refused.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        if (!m_scheduled.exchange(true)) {
            boost::asio::post(m_receiver, [this] { drain(); });
        }
        return true;
    }

    // Number of messages refused because the queue was full.
    std::size_t refused() const { return m_refused.load(std::memory_order_relaxed); }

private:
    void drain()
    {
        m_scheduled.store(false);
        while (auto message = m_ring.pop()) {
            m_handler(std::move(*message));
        }
    }

    boost::asio::io_context &m_receiver;
    BoundedRing<Message> m_ring;
    Handler m_handler;
    std::atomic<bool> m_scheduled{false};
    std::atomic<std::size_t> m_refused{0};
};

} // namespace Hemlockhill
