// Index of the prompt prefixes that endpoints probably have in their caches. The entries are hints and may be wrong or missing.
#pragma once

#include "hemlockhill/world.h"

#include <cstdint>
#include <list>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace Hemlockhill
{

using PrefixHash = Quantity<struct PrefixHashTag>;

// Returns the hashes of a prompt's prefixes, one for each complete block. Each hash covers all preceding blocks. The model and the
// adapter are part of the hash, so that their prompts do not share entries.
std::vector<PrefixHash> prefixHashes(const ModelId &model, const AdapterId &adapter, std::string_view prompt);

enum class CacheAction { Store, Evict };

// One event of an engine's prefix cache.
struct CacheEvent {
    std::uint64_t sequence = 0;
    CacheAction action = CacheAction::Store;
    PrefixHash prefix;
};

// Maps endpoints and prefixes to cache entries, with a bounded number of entries.
class PrefixIndex
{
public:
    // limit is the maximum number of pairs of endpoint and prefix. The least recently used pairs are evicted first.
    explicit PrefixIndex(std::size_t limit);

    // A prompt with these prefixes was sent to the endpoint, which will soon have them in its cache.
    void onPromptSent(const EndpointId &endpoint, const std::vector<PrefixHash> &prefixes);
    // Applies events in the order of their sequence numbers. After a gap, each older entry of the endpoint counts as half a block.
    void onEvents(const EndpointId &endpoint, const std::vector<CacheEvent> &events);
    // Removes all entries of an endpoint that restarted or was removed.
    void removeEndpoint(const EndpointId &endpoint);

    // Returns the estimated fraction of the prompt's blocks that are in the endpoint's cache, from 0 to 1.
    double hitRatio(const EndpointId &endpoint, const std::vector<PrefixHash> &prefixes) const;
    std::size_t size() const { return m_entries.size(); }
    // Sequence number of the endpoint's last event. 0 before the first.
    std::uint64_t lastSequence(const EndpointId &endpoint) const;

private:
    using Key = std::pair<EndpointId, PrefixHash>;
    struct Entry {
        // Number of gaps in the endpoint's events when the entry was last confirmed.
        std::uint32_t gaps = 0;
        std::list<Key>::iterator position;
    };
    struct Sequence {
        std::uint64_t last = 0;
        std::uint32_t gaps = 0;
    };

    void store(const EndpointId &endpoint, PrefixHash prefix);
    void evict(const EndpointId &endpoint, PrefixHash prefix);

    std::size_t m_limit;
    std::map<Key, Entry> m_entries;
    // Keys in order of use, least recently used first.
    std::list<Key> m_keysByUse;
    std::map<EndpointId, Sequence> m_sequences;
};

} // namespace Hemlockhill
