// What a node knows about the endpoints, and how old that knowledge is.
//
// The node normally uses the leader's directory. While the endpoint list behind that directory is outdated, the node reads the list itself
// and applies it on top of the directory. Deterministic, without I/O.
#pragma once

#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/world.h"

#include <map>
#include <optional>
#include <utility>

namespace Hemlockhill
{

// Maximum ages of the endpoint list on which a node's knowledge is based. The age counts from the request for the list, because an
// endpoint may begin to leave right after the list was written.
struct DirectoryAgeLimits {
    // Above this age the node reads the list itself.
    Duration refresh = std::chrono::milliseconds(1800);
    // Above this age the node dispatches no requests.
    Duration dispatch = std::chrono::milliseconds(2250);
    // Above this age a dispatched request that is still waiting for its connection is not sent.
    Duration send = std::chrono::milliseconds(2600);

    bool operator==(const DirectoryAgeLimits &) const = default;
};

// Derives the limits from the time within which an endpoint that leaves must stop receiving requests.
DirectoryAgeLimits directoryAgeLimits(Duration drainTime);

// Combines the leader's directory with this node's own listings, and decides whether they are recent enough to rely on.
class DirectoryView
{
public:
    explicit DirectoryView(DirectoryAgeLimits limits = {});

    // The leader's directory has changed. It agrees with an endpoint list that was requested at this time.
    void onLeaderDirectory(EndpointsById endpoints, TimePoint requestedAt);
    // The leader's directory has not changed, but agrees with a list that was requested at this time.
    void onLeaderListing(TimePoint requestedAt);
    // This node has read the complete endpoint list, requested at this time.
    void onOwnListing(EndpointsById listing, TimePoint requestedAt);
    // This node has tried to read the endpoint list, and the list did not answer.
    void onListUnavailable(TimePoint now);

    // The leader's directory, updated from this node's own listing if that is newer.
    const EndpointsById &endpoints() const { return m_endpoints; }
    // Time at which the newest known endpoint list was requested.
    TimePoint listedAt() const;
    // Whether this node should read the endpoint list itself.
    bool needsListing(TimePoint now) const { return m_lacksVersions || now - listedAt() >= m_limits.refresh; }
    // Whether requests may be dispatched. A node that can read no newer list, because the list does not answer, continues to dispatch to
    // the endpoints that it knows.
    bool mayDispatch(TimePoint now) const;
    // Time until which a request that is dispatched now may be sent; empty if there is no limit.
    std::optional<TimePoint> sendBefore(TimePoint now) const;

private:
    bool isListUnavailable(TimePoint now) const;
    void rebuild();
    // Sets software versions that a leader of an earlier build does not know.
    void fillInVersions();

    DirectoryAgeLimits m_limits;
    EndpointsById m_leaderDirectory;
    TimePoint m_leaderListedAt;
    EndpointsById m_ownListing;
    TimePoint m_ownListedAt;
    // Software versions of this node's last listing, whatever its age: an incarnation never changes its version.
    std::map<std::pair<EndpointId, Incarnation>, SoftwareVersion> m_versions;
    bool m_lacksVersions = false;
    EndpointsById m_endpoints;
    // Time of the last failed attempt to read the list, until a newer list is known.
    std::optional<TimePoint> m_unavailableAt;
};

} // namespace Hemlockhill
