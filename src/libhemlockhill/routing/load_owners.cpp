// Owners of services, by rendezvous hashing.
#include "hemlockhill/load_owners.h"

#include "hemlockhill/rendezvous.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Interval at which owners are selected anew, as nodes become warm or are forgotten.
constexpr Duration SelectionPeriod = std::chrono::milliseconds(500);

} // namespace

LoadOwners::LoadOwners(VmId self, LoadOwnerLimits limits, bool isFirstStart)
    : m_self(std::move(self))
    , m_limits(limits)
{
    // Unless the whole group starts, this node begins to listen when it learns of the others.
    if (isFirstStart) {
        m_members.emplace(m_self, Member{});
    }
}

void LoadOwners::setNodes(const std::vector<VmId> &nodes, TimePoint now)
{
    const bool knowsNobody = m_members.size() <= 1;
    m_members.try_emplace(m_self, Member{now, {}});
    const std::set<VmId> listed(nodes.begin(), nodes.end());
    for (auto &[node, member] : m_members) {
        if (node == m_self || listed.contains(node)) {
            member.missingSince.reset();
        } else {
            member.missingSince = member.missingSince.value_or(now);
        }
    }
    for (const VmId &node : listed) {
        // The nodes of the first list were there before this one.
        m_members.try_emplace(node, Member{knowsNobody ? TimePoint{} : now, {}});
    }
    forgetMissing(now);
    m_owners.clear();
}

void LoadOwners::forgetMissing(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const Member &member = entry.second;
        return member.missingSince && now - *member.missingSince >= m_limits.retention;
    });
}

const LoadOwners::Owners &LoadOwners::ownersOf(const ServiceId &service, TimePoint now)
{
    const auto found = m_owners.find(service);
    if (found != m_owners.end() && now - found->second.selectedAt < SelectionPeriod) {
        return found->second;
    }
    forgetMissing(now);
    return m_owners[service] = areAllOwners() ? allNodes(service, now) : selectOwners(service, now);
}

bool LoadOwners::isWarm(const VmId &node, TimePoint now) const
{
    const auto member = m_members.find(node);
    return member != m_members.end() && now - member->second.since >= m_limits.warmUp;
}

LoadOwners::Owners LoadOwners::allNodes(const ServiceId &service, TimePoint now) const
{
    Owners owners;
    owners.selectedAt = now;
    owners.isOwn = true;
    for (const auto &[node, member] : m_members) {
        if (node != m_self && !member.missingSince) {
            owners.others.push_back(node);
        }
    }
    owners.listeners = owners.others;
    std::vector<VmId> candidates = owners.others;
    candidates.push_back(m_self);
    for (const VmId &node : rankNodes(service.value, candidates)) {
        if (isWarm(node, now) && owners.deciders.size() < m_limits.owners) {
            owners.deciders.push_back(node);
        }
    }
    return owners;
}

LoadOwners::Owners LoadOwners::selectOwners(const ServiceId &service, TimePoint now) const
{
    std::vector<VmId> members;
    for (const auto &[node, member] : m_members) {
        members.push_back(node);
    }
    Owners owners;
    owners.selectedAt = now;
    std::size_t selected = 0;
    // Nodes that are not warm listen in addition to the owners whose places they will take.
    for (const VmId &node : rankNodes(service.value, members)) {
        if (selected == m_limits.owners) {
            break;
        }
        const bool isSelected = isWarm(node, now);
        selected += isSelected ? 1 : 0;
        if (isSelected) {
            owners.deciders.push_back(node);
        }
        if (node == m_self) {
            owners.isOwn = isSelected;
            continue;
        }
        owners.listeners.push_back(node);
        if (isSelected) {
            owners.others.push_back(node);
        }
    }
    return owners;
}

const std::vector<VmId> &LoadOwners::listeners(const ServiceId &service, TimePoint now)
{
    return ownersOf(service, now).listeners;
}

const std::vector<VmId> &LoadOwners::others(const ServiceId &service, TimePoint now)
{
    return ownersOf(service, now).others;
}

const std::vector<VmId> &LoadOwners::deciders(const ServiceId &service, TimePoint now)
{
    return ownersOf(service, now).deciders;
}

bool LoadOwners::isOwner(const ServiceId &service, TimePoint now)
{
    return ownersOf(service, now).isOwn;
}

} // namespace Hemlockhill
