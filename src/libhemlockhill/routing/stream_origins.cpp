// Storage, distribution and lookup of the origins of streams.
#include "hemlockhill/stream_origins.h"

#include "hemlockhill/rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Maximum length of a request id and of a version. Callers choose the ids of their requests.
constexpr std::size_t NameLimitBytes = 128;

bool isAcceptable(const RequestId &request)
{
    return !request.empty() && request.value.size() <= NameLimitBytes;
}

bool isAcceptable(const StreamOrigin &origin)
{
    return isAcceptable(origin.request) && !origin.version.empty() && origin.version.value.size() <= NameLimitBytes;
}

} // namespace

std::string_view toText(OriginSource source)
{
    switch (source) {
    case OriginSource::OwnMemory:
        return "own_memory";
    case OriginSource::OtherNode:
        return "other_node";
    case OriginSource::Nowhere:
        break;
    }
    return "nowhere";
}

StreamOrigins::StreamOrigins(VmId self, StreamOriginLimits limits, Metrics &metrics, Send send)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_metrics(metrics)
    , m_send(std::move(send))
{
}

void StreamOrigins::setNodes(const std::vector<VmId> &nodes)
{
    m_others = nodes;
    std::erase(m_others, m_self);
}

void StreamOrigins::onStreamBegun(const StreamOrigin &origin, TimePoint now)
{
    if (!isAcceptable(origin)) {
        return;
    }
    store(origin, now);
    const std::vector<VmId> ranked = rankNodes(origin.request.value, m_others);
    for (std::size_t position = 0; position < std::min(m_limits.owners, ranked.size()); ++position) {
        m_send(ranked[position], origin);
    }
}

void StreamOrigins::find(const RequestId &request, Found found, TimePoint now)
{
    if (const SoftwareVersion version = knownVersion(request, now); !version.empty()) {
        found({version, OriginSource::OwnMemory});
        return;
    }
    const bool isFull = m_lookups.size() >= m_limits.lookups && !m_lookups.contains(request);
    if (isFull || !isAcceptable(request)) {
        m_metrics.countEvent("stream_lookup_refused");
        found({});
        return;
    }
    const auto [lookup, isNew] = m_lookups.try_emplace(request);
    lookup->second.found.push_back(std::move(found));
    if (isNew) {
        // One more than the owners: this node's ranking may contain the node that began the stream, which that node's own does not.
        ask(request, lookup->second, 0, m_limits.owners + 1, now);
        proceed(lookup, now);
    }
}

void StreamOrigins::onMessage(const VmId &from, const StreamOriginMessage &message, TimePoint now)
{
    std::visit([&](const auto &typed) { handle(from, typed, now); }, message);
}

void StreamOrigins::handle(const VmId &, const StreamOrigin &origin, TimePoint now)
{
    store(origin, now);
    const auto lookup = m_lookups.find(origin.request);
    if (lookup != m_lookups.end()) {
        finish(lookup, {knownVersion(origin.request, now), OriginSource::OtherNode});
    }
}

void StreamOrigins::handle(const VmId &from, const StreamOriginQuery &query, TimePoint now)
{
    m_send(from, StreamOriginReply{query.request, knownVersion(query.request, now)});
}

void StreamOrigins::handle(const VmId &from, const StreamOriginReply &reply, TimePoint now)
{
    const auto lookup = m_lookups.find(reply.request);
    if (lookup == m_lookups.end()) {
        return;
    }
    if (!reply.version.empty()) {
        store({reply.request, reply.version}, now);
        finish(lookup, {reply.version, OriginSource::OtherNode});
        return;
    }
    lookup->second.awaited.erase(from);
    proceed(lookup, now);
}

void StreamOrigins::tick(TimePoint now)
{
    std::vector<RequestId> expired;
    for (const auto &[request, lookup] : m_lookups) {
        if (now >= lookup.timeoutAt) {
            expired.push_back(request);
        }
    }
    for (const RequestId &request : expired) {
        const auto lookup = m_lookups.find(request);
        lookup->second.awaited.clear();
        proceed(lookup, now);
    }
}

// The first origin recorded for a request is kept, since a stream never changes its version.
void StreamOrigins::store(const StreamOrigin &origin, TimePoint now)
{
    dropOutdated(now);
    if (!isAcceptable(origin)) {
        return;
    }
    if (m_origins.try_emplace(origin.request, Entry{origin.version, now}).second) {
        m_byAge.push_back(origin.request);
    }
    if (m_origins.size() > m_limits.origins) {
        m_origins.erase(m_byAge.front());
        m_byAge.pop_front();
        m_metrics.countEvent("stream_origin_dropped");
    }
}

void StreamOrigins::dropOutdated(TimePoint now)
{
    while (!m_byAge.empty() && now - m_origins.at(m_byAge.front()).recordedAt >= m_limits.retention) {
        m_origins.erase(m_byAge.front());
        m_byAge.pop_front();
    }
}

SoftwareVersion StreamOrigins::knownVersion(const RequestId &request, TimePoint now)
{
    dropOutdated(now);
    const auto found = m_origins.find(request);
    return found == m_origins.end() ? SoftwareVersion{} : found->second.version;
}

void StreamOrigins::ask(const RequestId &request, Lookup &lookup, std::size_t first, std::size_t end, TimePoint now)
{
    const std::vector<VmId> ranked = rankNodes(request.value, m_others);
    lookup.timeoutAt = now + m_limits.answerTimeout;
    for (std::size_t position = first; position < std::min(end, ranked.size()); ++position) {
        lookup.awaited.insert(ranked[position]);
    }
    for (const VmId &node : lookup.awaited) {
        m_send(node, StreamOriginQuery{request});
    }
}

void StreamOrigins::proceed(Lookups::iterator lookup, TimePoint now)
{
    if (!lookup->second.awaited.empty()) {
        return;
    }
    if (!std::exchange(lookup->second.askedFurtherNodes, true)) {
        // Asks the owners again too, since a datagram to or from them may have been lost.
        ask(lookup->first, lookup->second, 0, m_limits.owners + 1 + m_limits.furtherNodes, now);
        if (!lookup->second.awaited.empty()) {
            return;
        }
    }
    finish(lookup, {});
}

void StreamOrigins::finish(Lookups::iterator lookup, const OriginLookupResult &result)
{
    const std::vector<Found> callbacks = std::move(lookup->second.found);
    m_lookups.erase(lookup);
    for (const Found &found : callbacks) {
        found(result);
    }
}

} // namespace Hemlockhill
