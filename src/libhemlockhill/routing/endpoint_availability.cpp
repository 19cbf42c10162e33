// Pauses of endpoints and their way back.
#include "hemlockhill/endpoint_availability.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Beyond this bound an endpoint has come back.
constexpr std::uint32_t FullBound = 64;

} // namespace

EndpointAvailability::EndpointAvailability(EndpointAvailabilityLimits limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
{
}

EndpointAvailability::Record &EndpointAvailability::recordOf(const EndpointId &endpoint, const Incarnation &incarnation)
{
    Record &record = m_records[endpoint];
    if (record.incarnation != incarnation) {
        record = Record{};
        record.incarnation = incarnation;
    }
    return record;
}

const EndpointAvailability::Record *EndpointAvailability::find(const LiveEndpoint &endpoint) const
{
    const auto found = m_records.find(endpoint.id);
    return found == m_records.end() || found->second.incarnation != endpoint.incarnation ? nullptr : &found->second;
}

bool EndpointAvailability::onAnswer(const EndpointId &endpoint,
                                    const Incarnation &incarnation,
                                    const DeclaredCapacity &declared,
                                    TimePoint now)
{
    if (!declared.isOwn || (!declared.isLeaving && !declared.pause)) {
        return false;
    }
    Record &record = recordOf(endpoint, incarnation);
    const bool isNew = (declared.isLeaving && !record.isLeaving) || (declared.pause && record.pausedUntil <= now);
    record.isLeaving = record.isLeaving || declared.isLeaving;
    if (declared.pause) {
        pause(record, std::min(*declared.pause, m_limits.maximumPause), now);
    }
    return isNew;
}

// A later answer may be older than the one that began the pause, and so does not shorten it.
void EndpointAvailability::pause(Record &record, Duration duration, TimePoint now)
{
    const auto longest =
        std::min(std::chrono::duration_cast<Duration>(duration * m_limits.prolongationRatio), m_limits.maximumProlongation);
    boost::random::uniform_real_distribution<double> part(0, 1);
    const auto prolongation = std::chrono::duration_cast<Duration>(longest * part(m_random));
    record.pausedUntil = std::max(record.pausedUntil, now + duration + prolongation);
    record.bound = 1;
}

void EndpointAvailability::onRejected(const LiveEndpoint &endpoint, TimePoint now)
{
    Record &record = recordOf(endpoint.id, endpoint.incarnation);
    if (++record.rejections < m_limits.rejectionsInRow) {
        return;
    }
    constexpr std::uint32_t MaximumDoublings = 8;
    const std::uint32_t doublings = std::min(record.rejections - m_limits.rejectionsInRow, MaximumDoublings);
    pause(record, std::min(m_limits.initialBackoff * (1U << doublings), m_limits.maximumBackoff), now);
}

void EndpointAvailability::onReplaced(const LiveEndpoint &endpoint, TimePoint now)
{
    recordOf(endpoint.id, endpoint.incarnation).replacedUntil = now + m_limits.replacedPeriod;
}

void EndpointAvailability::onServed(const EndpointId &endpoint)
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end()) {
        return;
    }
    Record &record = found->second;
    record.rejections = 0;
    if (record.bound) {
        *record.bound *= 2;
    }
    if (record.bound >= FullBound) {
        record.bound.reset();
    }
}

void EndpointAvailability::onDirectory(const EndpointsById &endpoints)
{
    std::erase_if(m_records, [&](const auto &entry) { return !endpoints.contains(entry.first); });
}

bool EndpointAvailability::isLeaving(const LiveEndpoint &endpoint) const
{
    const Record *record = find(endpoint);
    return record != nullptr && record->isLeaving;
}

bool EndpointAvailability::isReplaced(const LiveEndpoint &endpoint, TimePoint now) const
{
    const Record *record = find(endpoint);
    return record != nullptr && now < record->replacedUntil;
}

Duration EndpointAvailability::delay(const LiveEndpoint &endpoint, TimePoint now) const
{
    const Record *record = find(endpoint);
    return record == nullptr ? Duration(0) : std::max(Duration(0), std::chrono::duration_cast<Duration>(record->pausedUntil - now));
}

bool EndpointAvailability::accepts(const LiveEndpoint &endpoint, std::uint32_t own) const
{
    const Record *record = find(endpoint);
    return record == nullptr || !record->bound || own < *record->bound;
}

} // namespace Hemlockhill
