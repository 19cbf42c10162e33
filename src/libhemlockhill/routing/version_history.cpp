// Bookkeeping of the software versions of each service.
#include "hemlockhill/version_history.h"

namespace Hemlockhill
{

void VersionHistory::onDirectory(const EndpointsById &endpoints, TimePoint now)
{
    if (!m_since) {
        m_since = now;
    }
    for (auto &[service, versions] : m_lastSeen) {
        for (auto &[version, lastSeen] : versions) {
            lastSeen = lastSeen.value_or(now);
        }
    }
    for (const auto &[id, endpoint] : endpoints) {
        m_lastSeen[endpoint.service][endpoint.softwareVersion] = std::nullopt;
    }
    for (auto &[service, versions] : m_lastSeen) {
        std::erase_if(versions, [&](const auto &entry) { return entry.second && now - *entry.second >= m_retention; });
    }
    std::erase_if(m_lastSeen, [](const auto &entry) { return entry.second.empty(); });
}

SoftwareVersion VersionHistory::onlyVersion(const ServiceId &service, Duration within, TimePoint now) const
{
    const auto found = m_lastSeen.find(service);
    const bool isComplete = m_knowsBeginning || (m_since && now - *m_since >= within);
    SoftwareVersion only;
    if (found == m_lastSeen.end() || !isComplete) {
        return only;
    }
    for (const auto &[version, lastSeen] : found->second) {
        if (lastSeen && now - *lastSeen >= within) {
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
