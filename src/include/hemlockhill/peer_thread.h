// The thread for RPC between the nodes of a region, using Cap'n Proto.
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

// Sends this node's calls to other nodes, and forwards their calls to the control thread.
class PeerThread
{
public:
    // Passes an event to the control thread. Returns false when its queue is full: the event is dropped, as on a broken connection.
    using EventSink = std::function<bool(PeerEvent)>;

    PeerThread(const Settings &settings, Metrics &metrics, EventSink eventSink);
    ~PeerThread();
    PeerThread(const PeerThread &) = delete;
    PeerThread &operator=(const PeerThread &) = delete;

    // Throws EnvironmentError when the address cannot be bound.
    void start();
    void stop();
    // May be called from any thread. Returns false when the queue is full. Each accepted call is reported back as PeerCallAnswered or
    // PeerCallFailed, except a ConsensusBatch, whose delivery is not reported.
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
