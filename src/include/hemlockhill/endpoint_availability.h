// Keeps requests away from endpoints that have said that they want none, or that reject whatever they get. Deterministic, without I/O.
//
// Each node decides for itself by the answers that it gets. Endpoints come back slowly: first one request at a time, and twice as many with
// each one that is served, so that the nodes do not overwhelm an endpoint that they return to at the same moment.
#pragma once

#include "hemlockhill/declared_capacity.h"
#include "hemlockhill/endpoint_directory.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace Hemlockhill
{

struct EndpointAvailabilityLimits {
    // Rejections in a row, without a request being served in between, after which an endpoint gets none for a while. The time doubles with
    // each further rejection up to the maximum.
    std::uint32_t rejectionsInRow = 3;
    Duration initialBackoff = std::chrono::milliseconds(250);
    Duration maximumBackoff = std::chrono::seconds(2);
    // Maximum pause that an endpoint may ask for.
    Duration maximumPause = std::chrono::hours(1);
    // A pause is prolonged by a random part of this ratio, but by no more than the maximum, so that not all nodes return at once.
    double prolongationRatio = 0.1;
    Duration maximumProlongation = std::chrono::milliseconds(500);
    // For how long an endpoint whose address has answered as another one gets no requests. The list of endpoints shows it within this time.
    Duration replacedPeriod = std::chrono::seconds(10);
};

class EndpointAvailability
{
public:
    EndpointAvailability(EndpointAvailabilityLimits limits, std::uint64_t seed);

    // An incarnation of an endpoint has answered. Returns whether it has not been known before that it leaves or pauses.
    bool onAnswer(const EndpointId &endpoint, const Incarnation &incarnation, const DeclaredCapacity &declared, TimePoint now);
    // An endpoint has rejected a request of this node for want of room.
    void onRejected(const LiveEndpoint &endpoint, TimePoint now);
    // Another endpoint has answered at the address: this one is gone, whatever the list of endpoints says.
    void onReplaced(const LiveEndpoint &endpoint, TimePoint now);
    // An endpoint has served a request of this node.
    void onServed(const EndpointId &endpoint);
    void onDirectory(const EndpointsById &endpoints);

    // Whether the endpoint has said that it is leaving. It gets no more requests, whatever the list of endpoints says.
    bool isLeaving(const LiveEndpoint &endpoint) const;
    // Whether another endpoint has lately answered at the address. An endpoint that is gone has no load, and would attract requests.
    bool isReplaced(const LiveEndpoint &endpoint, TimePoint now) const;
    // Time until the endpoint accepts requests again; zero if it does.
    Duration delay(const LiveEndpoint &endpoint, TimePoint now) const;
    // Whether an endpoint that accepts requests bears another one of this node, which has `own` requests there.
    bool accepts(const LiveEndpoint &endpoint, std::uint32_t own) const;

private:
    struct Record {
        Incarnation incarnation;
        bool isLeaving = false;
        TimePoint replacedUntil;
        std::uint32_t rejections = 0;
        // No requests are sent before this time.
        TimePoint pausedUntil;
        // Maximum number of this node's requests in progress; empty if there is no limit.
        std::optional<std::uint32_t> bound;
    };

    Record &recordOf(const EndpointId &endpoint, const Incarnation &incarnation);
    const Record *find(const LiveEndpoint &endpoint) const;
    void pause(Record &record, Duration duration, TimePoint now);

    EndpointAvailabilityLimits m_limits;
    boost::random::mt19937_64 m_random;
    std::map<EndpointId, Record> m_records;
};

} // namespace Hemlockhill
