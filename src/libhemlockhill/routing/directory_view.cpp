// Combination of the leader's directory with a node's own listing.
#include "hemlockhill/directory_view.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Limits as ratios of the drain time. What remains after the send limit is for the way to the endpoint.
constexpr double RefreshRatio = 0.6;
constexpr double DispatchRatio = 0.75;
constexpr double SendRatio = 0.87;
// Time for which a failed attempt to read the list shows that it is unavailable. Longer than the interval between two attempts.
constexpr Duration UnavailableTime = std::chrono::seconds(5);

Duration fraction(Duration duration, double ratio)
{
    return std::chrono::duration_cast<Duration>(duration * ratio);
}

} // namespace

DirectoryAgeLimits directoryAgeLimits(Duration drainTime)
{
    return {fraction(drainTime, RefreshRatio), fraction(drainTime, DispatchRatio), fraction(drainTime, SendRatio)};
}

DirectoryView::DirectoryView(DirectoryAgeLimits limits)
    : m_limits(limits)
{
}

void DirectoryView::onLeaderDirectory(EndpointsById endpoints, TimePoint requestedAt)
{
    m_leaderDirectory = std::move(endpoints);
    onLeaderListing(requestedAt);
    rebuild();
}

void DirectoryView::onLeaderListing(TimePoint requestedAt)
{
    const bool hadNewerOwnListing = m_ownListedAt > m_leaderListedAt;
    m_leaderListedAt = std::max(m_leaderListedAt, requestedAt);
    if (m_unavailableAt && m_leaderListedAt > *m_unavailableAt) {
        m_unavailableAt.reset();
    }
    if (hadNewerOwnListing && m_ownListedAt <= m_leaderListedAt) {
        m_ownListing.clear();
        rebuild();
    }
}

void DirectoryView::onOwnListing(EndpointsById listing, TimePoint requestedAt)
{
    m_unavailableAt.reset();
    m_versions.clear();
    for (const auto &[id, endpoint] : listing) {
        m_versions.emplace(std::pair(id, endpoint.incarnation), endpoint.softwareVersion);
    }
    if (requestedAt <= listedAt()) {
        fillInVersions();
        return;
    }
    m_ownListing = std::move(listing);
    m_ownListedAt = requestedAt;
    rebuild();
}

void DirectoryView::onListUnavailable(TimePoint now)
{
    m_unavailableAt = now;
}

TimePoint DirectoryView::listedAt() const
{
    return std::max(m_leaderListedAt, m_ownListedAt);
}

bool DirectoryView::isListUnavailable(TimePoint now) const
{
    return m_unavailableAt && now - *m_unavailableAt < UnavailableTime;
}

bool DirectoryView::mayDispatch(TimePoint now) const
{
    return now - listedAt() < m_limits.dispatch || isListUnavailable(now);
}

std::optional<TimePoint> DirectoryView::sendBefore(TimePoint now) const
{
    return isListUnavailable(now) ? std::nullopt : std::optional<TimePoint>(listedAt() + m_limits.send);
}

// The list says which endpoints exist and which are leaving; the leader's directory knows better what they have loaded.
void DirectoryView::rebuild()
{
    if (m_ownListedAt <= m_leaderListedAt) {
        m_endpoints = m_leaderDirectory;
        fillInVersions();
        return;
    }
    m_endpoints = m_ownListing;
    for (auto &[id, endpoint] : m_endpoints) {
        const auto known = m_leaderDirectory.find(id);
        if (known == m_leaderDirectory.end() || known->second.incarnation != endpoint.incarnation) {
            continue;
        }
        const bool leaving = endpoint.leaving || known->second.leaving;
        endpoint = known->second;
        endpoint.leaving = leaving;
    }
    fillInVersions();
}

void DirectoryView::fillInVersions()
{
    m_lacksVersions = false;
    for (auto &[id, endpoint] : m_endpoints) {
        if (!endpoint.softwareVersion.empty()) {
            continue;
        }
        const auto known = m_versions.find({id, endpoint.incarnation});
        if (known == m_versions.end()) {
            m_lacksVersions = true;
        } else {
            endpoint.softwareVersion = known->second;
        }
    }
}

} // namespace Hemlockhill
