// Detection of endpoints that this node does not reach.
#include "hemlockhill/endpoint_reachability.h"

#include <algorithm>

namespace Hemlockhill
{

EndpointReachability::EndpointReachability(ReachabilityLimits limits)
    : m_limits(limits)
{
}

void EndpointReachability::onSent(const EndpointId &endpoint, TimePoint now)
{
    Path &path = m_paths[endpoint];
    if (path.inFlight == 0) {
        path.aliveAt = now;
    }
    ++path.inFlight;
}

void EndpointReachability::onHeard(const EndpointId &endpoint, TimePoint now)
{
    Path &path = m_paths[endpoint];
    path.aliveAt = now;
    path.heardAt = now;
    path.silentSince.reset();
    m_heardAt = now;
}

void EndpointReachability::onEnded(const EndpointId &endpoint, TimePoint now)
{
    Path &path = m_paths[endpoint];
    if (!path.silentSince && isSilent(path, now)) {
        path.silentSince = path.aliveAt;
    }
    path.inFlight -= path.inFlight > 0 ? 1 : 0;
}

void EndpointReachability::onConnectFailed(const EndpointId &endpoint, TimePoint now)
{
    Path &path = m_paths[endpoint];
    if (!path.refusedSince) {
        path.refusedSince = now;
        path.probeAt = now + m_limits.probePeriod;
    }
}

void EndpointReachability::onReset(const EndpointId &endpoint, TimePoint now)
{
    Path &path = m_paths[endpoint];
    if (path.refusedSince) {
        return;
    }
    path.refusedSince = now;
    path.wantedAt = now;
    path.probeAt = path.probedAt ? std::max(now, *path.probedAt + m_limits.resetProbePeriod) : now;
}

void EndpointReachability::onSilentElsewhere(const EndpointId &endpoint, TimePoint now)
{
    Path &path = m_paths[endpoint];
    path.aliveAt = now;
    path.silentSince.reset();
}

void EndpointReachability::onProbeAnswered(const EndpointId &endpoint, TimePoint now)
{
    m_paths[endpoint].refusedSince.reset();
    onHeard(endpoint, now);
}

void EndpointReachability::onDirectory(const EndpointsById &endpoints)
{
    std::erase_if(m_paths, [&](const auto &entry) { return !endpoints.contains(entry.first) && entry.second.inFlight == 0; });
}

bool EndpointReachability::isSilent(const Path &path, TimePoint now) const
{
    return path.silentSince || (path.inFlight > 0 && now - path.aliveAt >= m_limits.silence);
}

std::optional<TimePoint> EndpointReachability::unreachableSince(const Path &path, TimePoint now) const
{
    if (path.refusedSince) {
        return path.refusedSince;
    }
    return isSilent(path, now) ? std::optional(path.silentSince.value_or(path.aliveAt)) : std::nullopt;
}

std::optional<TimePoint> EndpointReachability::isolatedSince(TimePoint now) const
{
    std::size_t unreachable = 0;
    std::optional<TimePoint> first;
    for (const auto &[id, path] : m_paths) {
        const auto since = unreachableSince(path, now);
        if (!since) {
            continue;
        }
        ++unreachable;
        first = std::min(first.value_or(*since), *since);
    }
    const bool isIsolated = unreachable >= m_limits.isolationThreshold && (!m_heardAt || *m_heardAt <= *first);
    return isIsolated ? first : std::nullopt;
}

bool EndpointReachability::isIsolated(TimePoint now) const
{
    return isolatedSince(now).has_value();
}

bool EndpointReachability::isReachable(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_paths.find(endpoint);
    if (found != m_paths.end() && unreachableSince(found->second, now)) {
        return false;
    }
    return !isIsolated(now);
}

bool EndpointReachability::isSilent(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_paths.find(endpoint);
    return found != m_paths.end() && !found->second.refusedSince && isSilent(found->second, now);
}

bool EndpointReachability::acceptsOpenConnections(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_paths.find(endpoint);
    if (found == m_paths.end() || !found->second.refusedSince || isSilent(found->second, now)) {
        return false;
    }
    return found->second.heardAt && *found->second.heardAt > *found->second.refusedSince;
}

void EndpointReachability::onWanted(const EndpointId &endpoint, TimePoint now)
{
    Path &path = m_paths[endpoint];
    if (!path.wantedAt && path.probeAt < now) {
        path.probeAt = now;
    }
    path.wantedAt = now;
}

std::vector<EndpointId> EndpointReachability::probesDue(TimePoint now)
{
    std::vector<EndpointId> due;
    for (auto &[id, path] : m_paths) {
        const bool isWanted = path.wantedAt && now - *path.wantedAt <= m_limits.interest;
        if (!isWanted || path.probeAt > now || isReachable(id, now)) {
            continue;
        }
        path.probeAt = now + m_limits.probePeriod;
        path.probedAt = now;
        due.push_back(id);
    }
    return due;
}

std::vector<EndpointId> EndpointReachability::unreachable(TimePoint now) const
{
    std::vector<EndpointId> found;
    for (const auto &[id, path] : m_paths) {
        if (unreachableSince(path, now)) {
            found.push_back(id);
        }
    }
    return found;
}

} // namespace Hemlockhill
