// The peers' duty: calls between the nodes of a region, by Cap'n Proto RPC.
#pragma once

#include "hemlockhill/bounded_ring.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/peer_messages.h"
#include "hemlockhill/settings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace Hemlockhill
{

class PeerThread
{
public:
    // Hands an event to the control duty. False when its ring is full: the event is lost, as on a broken link.
    using EventSink = std::function<bool(PeerEvent)>;

    PeerThread(const Settings &settings, Metrics &metrics, EventSink eventSink);
    ~PeerThread();
    PeerThread(const PeerThread &) = delete;
    PeerThread &operator=(const PeerThread &) = delete;

    // Throws EnvironmentError when the address cannot be bound.
    void start();
    void stop();
    // Callable from any thread. False when the ring is full. Every call that was taken ends in PeerCallAnswered or PeerCallFailed, but a
    // ConsensusBatch, which ends in nothing.
    bool post(PeerThreadMessage message);

private:
    class Loop;

    void run(const std::function<void(const std::string &failure)> &started);
    void wake() const;

    Settings m_settings;
    Metrics &m_metrics;
    EventSink m_eventSink;
    BoundedRing<PeerThreadMessage> m_ring;
    int m_wakeFile = -1;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace Hemlockhill
