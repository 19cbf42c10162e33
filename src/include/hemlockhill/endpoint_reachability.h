// Which endpoints this node reaches by its own connections. Deterministic, without I/O: the caller passes in the current time.
//
// An endpoint that refuses connections, or from which nothing is heard while it has requests of this node, may have stopped, or the network
// between the two may be partitioned. Other nodes can tell: while an endpoint counts as unreachable here, requests are forwarded to it
// through them, and a probe of this node's own shows when it is reachable again.
#pragma once

#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Hemlockhill
{

struct ReachabilityLimits {
    // An endpoint that has requests of this node and from which nothing has been heard for this long is unreachable.
    Duration silence = std::chrono::milliseconds(800);
    // Interval between two probes of an unreachable endpoint.
    Duration probePeriod = std::chrono::milliseconds(700);
    // Minimum interval between a probe and one that follows a reset connection.
    Duration resetProbePeriod = std::chrono::milliseconds(200);
    // Number of unreachable endpoints from which on the node itself may be cut off from all of them.
    std::size_t isolationThreshold = 2;
    // An endpoint is probed if a request was to be sent to it within this time.
    Duration interest = std::chrono::seconds(2);
};

class EndpointReachability
{
public:
    explicit EndpointReachability(ReachabilityLimits limits = {});

    // A request is being sent to the endpoint over a connection of this node.
    void onSent(const EndpointId &endpoint, TimePoint now);
    // Bytes of an answer have arrived over such a connection.
    void onHeard(const EndpointId &endpoint, TimePoint now);
    // An exchange over such a connection has ended, whatever its outcome.
    void onEnded(const EndpointId &endpoint, TimePoint now);
    // No connection could be established.
    void onConnectFailed(const EndpointId &endpoint, TimePoint now);
    // A new connection was closed before any answer, perhaps by what is between the two, perhaps by the endpoint because of the request. A
    // probe shows which, so one is due soon.
    void onReset(const EndpointId &endpoint, TimePoint now);
    // Another node does not hear the endpoint either, though it is connected: the endpoint is slow, not the network between the two.
    void onSilentElsewhere(const EndpointId &endpoint, TimePoint now);
    // A probe was answered, over a new connection.
    void onProbeAnswered(const EndpointId &endpoint, TimePoint now);
    // Drops the endpoints that are no longer listed.
    void onDirectory(const EndpointsById &endpoints);

    bool isReachable(const EndpointId &endpoint, TimePoint now) const;
    // Whether the endpoint is connected but silent.
    bool isSilent(const EndpointId &endpoint, TimePoint now) const;
    // Whether the endpoint accepts no new connections, while those that are open work.
    bool acceptsOpenConnections(const EndpointId &endpoint, TimePoint now) const;
    // Whether the node seems to be cut off from all endpoints: several are unreachable, and none has been heard since.
    bool isIsolated(TimePoint now) const;
    // A request is to be sent to an unreachable endpoint.
    void onWanted(const EndpointId &endpoint, TimePoint now);
    // Endpoints to probe now.
    std::vector<EndpointId> probesDue(TimePoint now);
    // Endpoints that are unreachable by what is known of each of them.
    std::vector<EndpointId> unreachable(TimePoint now) const;

private:
    struct Path {
        std::uint32_t inFlight = 0;
        // When bytes last arrived or, if that is later, when the oldest request in flight was sent.
        TimePoint aliveAt;
        std::optional<TimePoint> heardAt;
        // Set while connections are refused.
        std::optional<TimePoint> refusedSince;
        // Set when requests have ended while the endpoint was silent, until it is heard again.
        std::optional<TimePoint> silentSince;
        std::optional<TimePoint> wantedAt;
        TimePoint probeAt;
        // When the last probe was due.
        std::optional<TimePoint> probedAt;
    };

    bool isSilent(const Path &path, TimePoint now) const;
    // Since when the endpoint has been unreachable by what is known of itself; empty if it is reachable.
    std::optional<TimePoint> unreachableSince(const Path &path, TimePoint now) const;
    // Since when the node has been isolated; empty if it is not.
    std::optional<TimePoint> isolatedSince(TimePoint now) const;

    ReachabilityLimits m_limits;
    std::map<EndpointId, Path> m_paths;
    std::optional<TimePoint> m_heardAt;
};

} // namespace Hemlockhill
