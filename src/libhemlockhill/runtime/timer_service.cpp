// Implementation of the timer thread.
#include "hemlockhill/timer_service.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <ctime>

namespace Hemlockhill
{

BootTimePoint BootClock::now()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return BootTimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

// Counts suspensions, so that a lease that others have waited out does not go on when the machine resumes. Not comparable with
// std::chrono::steady_clock::now().
TimePoint currentTime()
{
    return TimePoint(BootClock::now().time_since_epoch());
}

TimerService::TimerService()
    : m_thread([this] { run(); })
{
}

TimerService::~TimerService()
{
    stop();
}

SubscriptionId TimerService::after(Duration delay, boost::asio::io_context &loop, Callback callback)
{
    return subscribe(delay, Duration::zero(), loop, std::move(callback));
}

SubscriptionId TimerService::every(Duration period, boost::asio::io_context &loop, Callback callback)
{
    return subscribe(period, period, loop, std::move(callback));
}

SubscriptionId TimerService::subscribe(Duration delay, Duration period, boost::asio::io_context &loop, Callback callback)
{
    const std::lock_guard lock(m_mutex);
    const SubscriptionId id{++m_lastId};
    const TimePoint due = currentTime() + delay;
    m_subscriptions.emplace(id, Subscription{&loop, std::move(callback), period, due, std::make_shared<std::atomic<bool>>(false)});
    const auto position = m_due.emplace(due, id);
    // The thread sleeps until the earliest deadline, so it needs waking only when that changes.
    if (position == m_due.begin()) {
        m_changed.notify_one();
    }
    return id;
}

void TimerService::cancel(SubscriptionId id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_subscriptions.find(id);
    if (found == m_subscriptions.end()) {
        return;
    }
    const auto [first, last] = m_due.equal_range(found->second.due);
    const auto due = std::find_if(first, last, [id](const auto &entry) { return entry.second == id; });
    if (due != last) {
        m_due.erase(due);
    }
    m_subscriptions.erase(found);
}

void TimerService::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_one();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void TimerService::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_due.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const TimePoint next = m_due.begin()->first;
        const TimePoint now = currentTime();
        if (next > now) {
            m_changed.wait_for(lock, next - now);
            continue;
        }
        fireDue(now);
    }
}

void TimerService::post(const Subscription &subscription)
{
    if (subscription.isPosted->exchange(true)) {
        return;
    }
    boost::asio::post(*subscription.loop, [callback = subscription.callback, isPosted = subscription.isPosted] {
        isPosted->store(false);
        callback();
    });
}

void TimerService::fireDue(TimePoint now)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const SubscriptionId id = m_due.begin()->second;
        m_due.erase(m_due.begin());
        const auto found = m_subscriptions.find(id);
        Subscription &subscription = found->second;
        post(subscription);
        if (subscription.period == Duration::zero()) {
            m_subscriptions.erase(found);
            continue;
        }
        subscription.due = std::max(subscription.due + subscription.period, now);
        m_due.emplace(subscription.due, id);
    }
}

} // namespace Hemlockhill
