#include "prefix_cache.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Hemlockhill::Fakes
{

namespace
{

constexpr std::size_t MaxEvents = 4096;
// Every event whose sequence number is a multiple of this is dropped.
constexpr std::uint64_t DroppedEventInterval = 50;

} // namespace

PrefixCache::PrefixCache(std::size_t blockLimit, Duration eventLag)
    : m_blockLimit(blockLimit)
    , m_eventLag(eventLag)
{
}

std::size_t PrefixCache::use(const std::vector<PrefixHash> &prefixes, TimePoint now)
{
    std::size_t hits = 0;
    bool leading = true;
    for (const PrefixHash prefix : prefixes) {
        const auto found = m_blocks.find(prefix);
        leading = leading && found != m_blocks.end();
        hits += leading ? 1 : 0;
        if (found != m_blocks.end()) {
            m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, found->second);
            continue;
        }
        m_blocks[prefix] = m_lruOrder.insert(m_lruOrder.end(), prefix);
        publish(CacheAction::Store, prefix, now);
        if (m_blocks.size() > m_blockLimit) {
            const PrefixHash oldest = m_lruOrder.front();
            m_lruOrder.pop_front();
            m_blocks.erase(oldest);
            publish(CacheAction::Evict, oldest, now);
        }
    }
    return hits;
}

void PrefixCache::publish(CacheAction action, PrefixHash prefix, TimePoint now)
{
    ++m_lastSequence;
    if (m_lastSequence % DroppedEventInterval == 0) {
        return;
    }
    m_events.push_back({{m_lastSequence, action, prefix}, now});
    if (m_events.size() > MaxEvents) {
        m_events.pop_front();
    }
}

std::string PrefixCache::eventsAfter(std::uint64_t sequence, TimePoint now) const
{
    boost::json::array events;
    std::uint64_t last = sequence;
    for (const Event &entry : m_events) {
        if (entry.event.sequence <= sequence || entry.at + m_eventLag > now) {
            continue;
        }
        last = entry.event.sequence;
        events.push_back({{"sequence", entry.event.sequence},
                          {"action", entry.event.action == CacheAction::Store ? "store" : "evict"},
                          {"prefix", std::to_string(entry.event.prefix.value)}});
    }
    return boost::json::serialize(boost::json::object{{"events", std::move(events)}, {"last", last}});
}

} // namespace Hemlockhill::Fakes
