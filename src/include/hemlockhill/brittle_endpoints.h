// Admission of requests to brittle endpoints: those that fail when they have to reject too many requests within a second. Deterministic,
// without I/O.
//
// Requests never queue at a brittle endpoint. Each node has a quota of its concurrent requests, so that nodes which dispatch at the same
// moment do not exceed its slots together; while the endpoint is mostly idle, a node may exceed its quota.
#pragma once

#include "hemlockhill/endpoint_directory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Hemlockhill
{

struct BrittleEndpointLimits {
    // Factor by which a rejection lowers the number of concurrent requests, and the interval after which it rises by one again.
    double rejectionFactor = 0.75;
    Duration risePeriod = std::chrono::seconds(1);
    // Fraction of the slots with which an endpoint begins that is not known to have served.
    double initialRatio = 0.5;
    // An endpoint that has rejected half of the requests that it bears to reject gets none for this long.
    Duration rejectionWindow = std::chrono::seconds(1);
    // How long the other endpoints of a service are taken for brittle too, until they have answered.
    Duration serviceMemory = std::chrono::seconds(15);
    // A node that has not dispatched for this long has no quota.
    Duration nodeMemory = std::chrono::seconds(10);
};

class BrittleEndpoints
{
public:
    BrittleEndpoints(VmId self, BrittleEndpointLimits limits);

    // An endpoint has answered. The limit is the number of rejections in a second that it bears; empty if it is not brittle.
    void onAnswer(const LiveEndpoint &endpoint, std::optional<std::uint32_t> rejectionLimit, TimePoint now);
    // The endpoint has rejected a request of any node for want of room.
    void onRejected(const EndpointId &endpoint, TimePoint now);
    // Sets nodes that count as active although this node does not hear of all their requests.
    void setActiveNodes(std::set<VmId> nodes) { m_alwaysActive = std::move(nodes); }
    // Another node has dispatched a request.
    void onNode(const VmId &node, TimePoint now) { m_nodes[node] = now; }
    void onDirectory(const EndpointsById &endpoints);

    bool isBrittle(const LiveEndpoint &endpoint, TimePoint now) const;
    // Whether a brittle endpoint accepts another request of this node, which has `own` of the `load` requests there.
    bool accepts(const LiveEndpoint &endpoint, std::uint32_t own, double load, TimePoint now);

private:
    struct Record {
        ServiceId service;
        // Empty until the endpoint has answered.
        std::optional<bool> isBrittle;
        std::uint32_t rejectionLimit = 0;
        // Maximum number of concurrent requests, over all nodes, at the time changedAt.
        double bound = 0;
        TimePoint changedAt;
        std::multiset<TimePoint> rejections;
    };

    Record &recordOf(const LiveEndpoint &endpoint, TimePoint now);
    double boundAt(const Record &record, std::uint32_t slots, TimePoint now) const;
    std::uint32_t quota(const EndpointId &endpoint, std::uint32_t bound, TimePoint now) const;
    std::set<VmId> activeNodes(TimePoint now) const;

    VmId m_self;
    BrittleEndpointLimits m_limits;
    std::map<EndpointId, Record> m_records;
    // What is known of the endpoints of a service that have not answered yet.
    struct ServiceRecord {
        // When another endpoint of the service last said that it is brittle, and what it bears.
        TimePoint declaredAt;
        std::uint32_t rejectionLimit = 0;
        // The number of concurrent requests after the last rejection by one of them; empty if there was none.
        std::optional<double> boundAfterRejection;
    };

    std::map<ServiceId, ServiceRecord> m_services;
    std::map<VmId, TimePoint> m_nodes;
    std::set<VmId> m_alwaysActive;
};

} // namespace Hemlockhill
