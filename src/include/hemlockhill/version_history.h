// Remembers which software versions the endpoints of each service have had lately. Deterministic, without I/O.
#pragma once

#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/world.h"

#include <map>
#include <optional>

namespace Hemlockhill
{

class VersionHistory
{
public:
    // Versions are remembered for this long after they were last seen.
    explicit VersionHistory(Duration retention)
        : m_retention(retention)
    {
    }

    void onDirectory(const EndpointsById &endpoints, TimePoint now);
    // The version that all endpoints of the service have had for as long as this node remembers. Empty if there were several, or if one of
    // them is not known.
    SoftwareVersion onlyVersion(const ServiceId &service, TimePoint now) const;
    // Whether this node has known the endpoints for as long as versions are remembered.
    bool isComplete(TimePoint now) const { return m_since && now - *m_since >= m_retention; }

private:
    Duration m_retention;
    std::optional<TimePoint> m_since;
    std::map<ServiceId, std::map<SoftwareVersion, TimePoint>> m_lastSeen;
};

} // namespace Hemlockhill
