// Bookkeeping of the software versions of each service.
#include "hemlockhill/version_history.h"

namespace Hemlockhill
{

void VersionHistory::onDirectory(const EndpointsById &endpoints, TimePoint now)
{
    if (!m_since) {
        m_since = now;
    }
    for (const auto &[id, endpoint] : endpoints) {
        m_lastSeen[endpoint.service][endpoint.softwareVersion] = now;
    }
    for (auto &[service, versions] : m_lastSeen) {
        std::erase_if(versions, [&](const auto &entry) { return now - entry.second >= m_retention; });
    }
    std::erase_if(m_lastSeen, [](const auto &entry) { return entry.second.empty(); });
}

SoftwareVersion VersionHistory::onlyVersion(const ServiceId &service, TimePoint now) const
{
    const auto found = m_lastSeen.find(service);
    SoftwareVersion only;
    if (found == m_lastSeen.end()) {
        return only;
    }
    for (const auto &[version, lastSeen] : found->second) {
        if (now - lastSeen >= m_retention) {
            continue;
        }
        if (version.empty() || !only.empty()) {
            return {};
        }
        only = version;
    }
    return only;
}

} // namespace Hemlockhill
