// Start and stop of event loop threads.
#include "hemlockhill/event_loop_thread.h"

#include <pthread.h>

namespace Hemlockhill
{

EventLoopThread::EventLoopThread(std::string name)
    : m_name(std::move(name))
    , m_context(1)
    , m_work(boost::asio::make_work_guard(m_context))
{
}

EventLoopThread::~EventLoopThread()
{
    stop();
}

void EventLoopThread::start()
{
    m_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), m_name.substr(0, 15).c_str());
        m_context.run();
    });
}

void EventLoopThread::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace Hemlockhill
