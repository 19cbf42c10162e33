// Tokens held at endpoints, grants and promises.
#include "hemlockhill/endpoint_memory.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Part of the memory that must be free beside a second promise.
constexpr double SecondPromiseShare = 0.5;

TokenCount part(TokenCount capacity, double ratio)
{
    return TokenCount{static_cast<std::uint64_t>(static_cast<double>(capacity.value) * ratio)};
}

} // namespace

EndpointMemory::EndpointMemory(EndpointMemoryLimits limits)
    : m_limits(limits)
{
}

void EndpointMemory::onDispatched(const EndpointId &endpoint, TokenCount tokens)
{
    m_own[endpoint] += tokens;
    if (const auto grant = m_grants.find(endpoint); grant != m_grants.end()) {
        grant->second.tokens -= std::min(grant->second.tokens, tokens);
    }
}

void EndpointMemory::onEnded(const EndpointId &endpoint, TokenCount tokens)
{
    const auto held = m_own.find(endpoint);
    if (held == m_own.end()) {
        return;
    }
    held->second -= std::min(held->second, tokens);
    if (held->second == TokenCount{0}) {
        m_own.erase(held);
    }
}

TokenCount EndpointMemory::own(const EndpointId &endpoint) const
{
    const auto held = m_own.find(endpoint);
    return held == m_own.end() ? TokenCount{0} : held->second;
}

bool EndpointMemory::fits(TokenCount held, TokenCount tokens, TokenCount capacity, MemoryAuthority authority) const
{
    if (authority == MemoryAuthority::Unheard) {
        return held + tokens <= part(capacity, m_limits.unheardShare) || (held == TokenCount{0} && tokens < capacity);
    }
    const double margin = authority == MemoryAuthority::Own ? m_limits.margin : m_limits.substituteMargin;
    return held + tokens <= part(capacity, 1 - margin) || (held == TokenCount{0} && tokens < capacity);
}

TokenCount EndpointMemory::promise(
    const VmId &node, const EndpointId &endpoint, TokenCount held, TokenCount tokens, TokenCount capacity, TimePoint now)
{
    const bool hasMuchRoom = held + tokens + tokens <= part(capacity, 1 - SecondPromiseShare);
    const TokenCount promised = hasMuchRoom ? tokens + tokens : tokens;
    m_promises[endpoint][node] = {promised, now + m_limits.promiseValidity};
    return promised;
}

TokenCount EndpointMemory::promisedWithout(const VmId &node, const EndpointId &endpoint, TimePoint now)
{
    const auto found = m_promises.find(endpoint);
    if (found == m_promises.end()) {
        return TokenCount{0};
    }
    std::erase_if(found->second, [now](const auto &entry) { return now >= entry.second.until; });
    TokenCount sum{0};
    for (const auto &[holder, promise] : found->second) {
        sum += holder == node ? TokenCount{0} : promise.tokens;
    }
    if (found->second.empty()) {
        m_promises.erase(found);
    }
    return sum;
}

void EndpointMemory::onIncreased(const VmId &node, const EndpointId &endpoint, TokenCount by)
{
    const auto found = m_promises.find(endpoint);
    if (found == m_promises.end()) {
        return;
    }
    if (const auto promise = found->second.find(node); promise != found->second.end()) {
        promise->second.tokens -= std::min(promise->second.tokens, by);
    }
}

std::uint32_t EndpointMemory::onQuery(TimePoint now)
{
    std::erase_if(m_queries, [now](const auto &entry) { return now >= entry.second; });
    std::erase_if(m_grants, [now](const auto &entry) { return now >= entry.second.until; });
    // Answers to queries without a number come from nodes of an earlier build.
    m_lastQuery = std::max(m_lastQuery + 1, 1U);
    m_queries[m_lastQuery] = now + m_limits.grantValidity;
    return m_lastQuery;
}

void EndpointMemory::onGranted(std::uint32_t query, const EndpointId &endpoint, TokenCount tokens)
{
    if (const auto sent = m_queries.find(query); sent != m_queries.end()) {
        m_grants[endpoint] = {tokens, sent->second};
    }
}

TokenCount EndpointMemory::granted(const EndpointId &endpoint, TimePoint now) const
{
    const auto grant = m_grants.find(endpoint);
    return grant == m_grants.end() || now >= grant->second.until ? TokenCount{0} : grant->second.tokens;
}

} // namespace Hemlockhill
