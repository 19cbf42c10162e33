// Which nodes keep the load of a service's endpoints for all others.
//
// Each dispatch and each end of a request is told to the owners of its service, and a node that is no owner asks one of them before it
// dispatches. So a request costs the same number of datagrams in a fleet of any size. In a small fleet every node is an owner.
#pragma once

#include "hemlockhill/world.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Hemlockhill
{

struct LoadOwnerLimits {
    // Number of owners of a service: one may be gone or cut off.
    std::size_t owners = 2;
    // Up to this number of nodes, all of them are owners: telling all costs little more, and saves the question before a dispatch.
    std::size_t smallFleet = 12;
};

// The owners of each service in the present group of nodes.
class LoadOwners
{
public:
    LoadOwners(VmId self, LoadOwnerLimits limits);

    // Sets the nodes of the group. They may include this one.
    void setNodes(const std::vector<VmId> &nodes);
    // Returns the owners of a service other than this node, the first by rank first.
    const std::vector<VmId> &others(const ServiceId &service);
    // Whether this node is an owner of the service.
    bool isOwner(const ServiceId &service);
    // Whether the fleet is so small that all nodes are owners.
    bool areAllOwners() const { return m_nodes.size() <= m_limits.smallFleet; }
    // Number of nodes of the group, including this one.
    std::size_t nodes() const { return m_nodes.size(); }

private:
    struct Owners {
        std::vector<VmId> others;
        bool isOwn = false;
    };

    const Owners &ownersOf(const ServiceId &service);

    VmId m_self;
    LoadOwnerLimits m_limits;
    // All nodes, including this one, each once.
    std::vector<VmId> m_nodes;
    std::map<ServiceId, Owners> m_owners;
};

} // namespace Hemlockhill
