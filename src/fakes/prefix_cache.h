// Prefix cache of the fake engine: bounded, with LRU eviction. Its events are published late and some are dropped, so that clients
// must tolerate stale and missing events.
#pragma once

#include "hemlockhill/prefix_index.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace Hemlockhill::Fakes
{

class PrefixCache
{
public:
    PrefixCache(std::size_t blockLimit, Duration eventLag);

    // Stores the prefixes of a prompt. Returns the number of leading prefixes that were already cached.
    std::size_t use(const std::vector<PrefixHash> &prefixes, TimePoint now);
    // Returns the JSON body with the published events after the given sequence number.
    std::string eventsAfter(std::uint64_t sequence, TimePoint now) const;

private:
    struct Event {
        CacheEvent event;
        TimePoint at;
    };

    void publish(CacheAction action, PrefixHash prefix, TimePoint now);

    std::size_t m_blockLimit;
    Duration m_eventLag;
    // Least recently used first.
    std::list<PrefixHash> m_lruOrder;
    std::map<PrefixHash, std::list<PrefixHash>::iterator> m_blocks;
    std::deque<Event> m_events;
    std::uint64_t m_lastSequence = 0;
};

} // namespace Hemlockhill::Fakes
