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
    // No endpoint has served before the first directory, since the whole group starts for the first time.
    void onFirstStart() { m_knowsBeginning = true; }
    // The version that all endpoints of the service have had within the given time, which must not exceed the retention. Empty if there
    // were several, if one of them is not known, or if this node does not know the endpoints for that long: those of another version may
    // just have left.
    SoftwareVersion onlyVersion(const ServiceId &service, Duration within, TimePoint now) const;

private:
    Duration m_retention;
    std::optional<TimePoint> m_since;
    bool m_knowsBeginning = false;
    // When each version was last seen; empty for those of the present directory, which is not repeated while it does not change.
    std::map<ServiceId, std::map<SoftwareVersion, std::optional<TimePoint>>> m_lastSeen;
};

} // namespace Hemlockhill
