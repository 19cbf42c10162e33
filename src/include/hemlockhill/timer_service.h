// The timer service: one thread that waits for all deadlines and runs each callback on its subscriber's event loop.
#pragma once

#include "hemlockhill/world.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace Hemlockhill
{

// Identifies a subscription. Zero is never a valid id.
using SubscriptionId = Quantity<struct SubscriptionTag>;

// The current time of the monotonic clock.
TimePoint currentTime();

// One-shot and periodic timers. Thread-safe.
// A callback that is already posted to its loop when its subscription is cancelled may still run once.
class TimerService
{
public:
    using Callback = std::function<void()>;

    TimerService();
    ~TimerService();
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    // Runs the callback once after the delay, on the given loop.
    SubscriptionId after(Duration delay, boost::asio::io_context &loop, Callback callback);
    // Runs the callback once per period, first after one period, on the given loop. While the loop has not yet run the previous call,
    // further ones are skipped, so that a busy loop does not fall further behind.
    SubscriptionId every(Duration period, boost::asio::io_context &loop, Callback callback);
    // Has no effect if the subscription has already ended.
    void cancel(SubscriptionId id);

    // Stops the timer thread and joins it; no callback is posted afterwards.
    void stop();

private:
    struct Subscription {
        boost::asio::io_context *loop;
        Callback callback;
        Duration period;
        TimePoint due;
        // Whether a call is posted to the loop that has not run yet.
        std::shared_ptr<std::atomic<bool>> isPosted;
    };

    static void post(const Subscription &subscription);

    SubscriptionId subscribe(Duration delay, Duration period, boost::asio::io_context &loop, Callback callback);
    void run();
    void fireDue(TimePoint now);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<SubscriptionId, Subscription> m_subscriptions;
    std::multimap<TimePoint, SubscriptionId> m_due;
    std::uint64_t m_lastId = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Hemlockhill
