// Owners of services, by rendezvous hashing.
#include "hemlockhill/load_owners.h"

#include "hemlockhill/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

LoadOwners::LoadOwners(VmId self, LoadOwnerLimits limits)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_nodes{m_self}
{
}

void LoadOwners::setNodes(const std::vector<VmId> &nodes)
{
    m_nodes = nodes;
    if (std::find(m_nodes.begin(), m_nodes.end(), m_self) == m_nodes.end()) {
        m_nodes.push_back(m_self);
    }
    m_owners.clear();
}

const LoadOwners::Owners &LoadOwners::ownersOf(const ServiceId &service)
{
    const auto [found, isNew] = m_owners.try_emplace(service);
    if (!isNew) {
        return found->second;
    }
    std::vector<VmId> owners = areAllOwners() ? m_nodes : rankNodes(service.value, m_nodes);
    if (!areAllOwners()) {
        owners.resize(std::min(owners.size(), m_limits.owners));
    }
    found->second.isOwn = std::erase(owners, m_self) > 0;
    found->second.others = std::move(owners);
    return found->second;
}

const std::vector<VmId> &LoadOwners::others(const ServiceId &service)
{
    return ownersOf(service).others;
}

bool LoadOwners::isOwner(const ServiceId &service)
{
    return ownersOf(service).isOwn;
}

} // namespace Hemlockhill
