// EventLoopThread threads and the mailboxes that join them.
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

// One thread with one event loop and one job. Stops and joins when destroyed.
class EventLoopThread
{
public:
    explicit EventLoopThread(std::string name);
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    void start();
    // Ends the loop without waiting for handlers that are still pending, and joins the thread.
    void stop();

    const std::string &name() const { return m_name; }
    boost::asio::io_context &context() { return m_context; }

private:
    std::string m_name;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

// A bounded ring whose messages are handled on the receiving duty's thread, in order.
// Must outlive the run of the receiving duty's loop.
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

    // Callable from any thread. False when the ring is full: the message was not taken and the caller must refuse its work.
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

    // How many messages a full ring has refused.
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
