// Estimated contents of the engines' prefix caches.
#include "hemlockhill/prefix_index.h"

#include <xxhash.h>

#include <iterator>
#include <string>

namespace Hemlockhill
{

namespace
{

// Corresponds to about 64 tokens of English text.
constexpr std::size_t BlockBytes = 256;
// Maximum number of hashed blocks; longer prompts are distinguished by these only.
constexpr std::size_t MaximumBlocks = 64;
// Weight of an entry that was last confirmed before a gap in the events.
constexpr double UnconfirmedWeight = 0.5;

} // namespace

std::vector<PrefixHash> prefixHashes(const ModelId &model, const AdapterId &adapter, std::string_view prompt)
{
    std::vector<PrefixHash> hashes;
    const std::string root = model.value + '\n' + adapter.value;
    XXH64_hash_t hash = XXH64(root.data(), root.size(), 0);
    for (std::size_t start = 0; start + BlockBytes <= prompt.size() && hashes.size() < MaximumBlocks; start += BlockBytes) {
        hash = XXH64(prompt.data() + start, BlockBytes, hash);
        hashes.push_back(PrefixHash{hash});
    }
    return hashes;
}

PrefixIndex::PrefixIndex(std::size_t limit)
    : m_limit(limit)
{
}

void PrefixIndex::onPromptSent(const EndpointId &endpoint, const std::vector<PrefixHash> &prefixes)
{
    for (const PrefixHash prefix : prefixes) {
        store(endpoint, prefix);
    }
}

void PrefixIndex::onEvents(const EndpointId &endpoint, const std::vector<CacheEvent> &events)
{
    for (const CacheEvent &event : events) {
        Sequence &sequence = m_sequences[endpoint];
        if (event.sequence <= sequence.last) {
            continue;
        }
        if (event.sequence != sequence.last + 1 && sequence.last != 0) {
            ++sequence.gaps;
        }
        sequence.last = event.sequence;
        if (event.action == CacheAction::Store) {
            store(endpoint, event.prefix);
        } else {
            evict(endpoint, event.prefix);
        }
    }
}

void PrefixIndex::store(const EndpointId &endpoint, PrefixHash prefix)
{
    const std::uint32_t gaps = m_sequences[endpoint].gaps;
    const Key key{endpoint, prefix};
    const auto [entry, added] = m_entries.try_emplace(key);
    entry->second.gaps = gaps;
    if (!added) {
        m_keysByUse.splice(m_keysByUse.end(), m_keysByUse, entry->second.position);
        return;
    }
    entry->second.position = m_keysByUse.insert(m_keysByUse.end(), key);
    if (m_entries.size() > m_limit) {
        m_entries.erase(m_keysByUse.front());
        m_keysByUse.pop_front();
    }
}

void PrefixIndex::evict(const EndpointId &endpoint, PrefixHash prefix)
{
    const auto found = m_entries.find(Key{endpoint, prefix});
    if (found == m_entries.end()) {
        return;
    }
    m_keysByUse.erase(found->second.position);
    m_entries.erase(found);
}

void PrefixIndex::removeEndpoint(const EndpointId &endpoint)
{
    auto entry = m_entries.lower_bound(Key{endpoint, PrefixHash{0}});
    while (entry != m_entries.end() && entry->first.first == endpoint) {
        m_keysByUse.erase(entry->second.position);
        entry = m_entries.erase(entry);
    }
    m_sequences.erase(endpoint);
}

double PrefixIndex::hitRatio(const EndpointId &endpoint, const std::vector<PrefixHash> &prefixes) const
{
    if (prefixes.empty()) {
        return 0;
    }
    const auto sequence = m_sequences.find(endpoint);
    const std::uint32_t gaps = sequence == m_sequences.end() ? 0 : sequence->second.gaps;
    double held = 0;
    for (const PrefixHash prefix : prefixes) {
        const auto found = m_entries.find(Key{endpoint, prefix});
        if (found == m_entries.end()) {
            break;
        }
        held += found->second.gaps == gaps ? 1 : UnconfirmedWeight;
    }
    return held / static_cast<double>(prefixes.size());
}

std::uint64_t PrefixIndex::lastSequence(const EndpointId &endpoint) const
{
    const auto found = m_sequences.find(endpoint);
    return found == m_sequences.end() ? 0 : found->second.last;
}

} // namespace Hemlockhill
