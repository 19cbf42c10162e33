// Which nodes keep the load of a service's endpoints for all others.
//
// Each dispatch and each end of a request is told to the owners of its service, and a node that is no owner asks one of them before it
// dispatches. So a request costs the same number of datagrams in a fleet of any size. In a small fleet every node is an owner.
//
// A change of leader makes the list of nodes short for seconds. If owners followed it, they would change at different times at different
// nodes, and each new one would know nothing; so nodes that are missing are remembered for a while, and new ones begin by listening.
#pragma once

#include "hemlockhill/world.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Hemlockhill
{

struct LoadOwnerLimits {
    // Number of owners of a service: one may be gone or cut off.
    std::size_t owners = 2;
    // Up to this number of nodes, all of them are owners: telling all costs little more, and saves the question before a dispatch.
    std::size_t smallFleet = 12;
    // How long a node is remembered that is not listed.
    Duration retention = std::chrono::seconds(10);
    // How long a new node listens before it is asked: within this time it has heard of most requests.
    Duration warmUp = std::chrono::seconds(2);
};

// The owners of each service in the present group of nodes.
class LoadOwners
{
public:
    // A node that has been restarted in a running group has heard nothing yet.
    LoadOwners(VmId self, LoadOwnerLimits limits, bool isFirstStart);

    // Sets the nodes that are listed. They may include this one.
    void setNodes(const std::vector<VmId> &nodes, TimePoint now);
    // Returns the other nodes that must learn of requests to the service.
    const std::vector<VmId> &listeners(const ServiceId &service, TimePoint now);
    // Returns the other nodes that can tell the load of the service, the first by rank first.
    const std::vector<VmId> &others(const ServiceId &service, TimePoint now);
    // Returns the nodes that can decide for all others about the service, the first by rank first. May include this one.
    const std::vector<VmId> &deciders(const ServiceId &service, TimePoint now);
    const VmId &self() const { return m_self; }
    // Whether this node can tell the load of the service.
    bool isOwner(const ServiceId &service, TimePoint now);
    // Whether the fleet is so small that all nodes are owners.
    bool areAllOwners() const { return m_members.size() <= m_limits.smallFleet; }
    // Number of nodes of the group, including this one.
    std::size_t nodes() const { return m_members.size(); }

private:
    struct Member {
        // Since when the node can have heard of requests.
        TimePoint since;
        std::optional<TimePoint> missingSince;
    };

    struct Owners {
        std::vector<VmId> listeners;
        std::vector<VmId> others;
        std::vector<VmId> deciders;
        bool isOwn = false;
        TimePoint selectedAt;
    };

    const Owners &ownersOf(const ServiceId &service, TimePoint now);
    Owners allNodes(const ServiceId &service, TimePoint now) const;
    Owners selectOwners(const ServiceId &service, TimePoint now) const;
    // Whether the node has listened for long enough to tell the load. This one has not as long as it is not listed.
    bool isWarm(const VmId &node, TimePoint now) const;
    void forgetMissing(TimePoint now);

    VmId m_self;
    LoadOwnerLimits m_limits;
    // All nodes, including this one.
    std::map<VmId, Member> m_members;
    std::map<ServiceId, Owners> m_owners;
};

} // namespace Hemlockhill
