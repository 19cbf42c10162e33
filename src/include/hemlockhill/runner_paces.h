// How fast runners produce the events of streams, measured by the progress of their requests between two reports. Deterministic, without
// I/O.
//
// Runners of one service may differ in speed, and do not declare it. A long stream may never end in time at a slow one.
#pragma once

#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <map>

namespace Hemlockhill
{

// The number of events that each running request has produced.
using EventCounts = std::map<RequestId, std::uint32_t>;

struct RunnerPaceLimits {
    // Reports that are closer together than this show too little progress.
    Duration minimumSpan = std::chrono::milliseconds(250);
    // Time constant of the moving average.
    Duration timeConstant = std::chrono::seconds(4);
    // A measured interval replaces the last one that was told if they differ by more than this factor, so that the directory changes
    // rarely.
    double tolerance = 1.25;
    // Longer intervals are not distinguished: the runner stands still.
    Duration maximumInterval = std::chrono::seconds(1);
};

class RunnerPaces
{
public:
    explicit RunnerPaces(RunnerPaceLimits limits = {})
        : m_limits(limits)
    {
    }

    // A runner has reported its running requests.
    void onReport(const EndpointId &runner, const Incarnation &incarnation, const EventCounts &events, TimePoint now);
    // Time between two events of a stream at the runner; zero if it is not known.
    Duration eventInterval(const EndpointId &runner) const;
    // Forgets runners that are not listed any more.
    void onListing(const EndpointsById &listing);

private:
    struct Record {
        Incarnation incarnation;
        EventCounts events;
        TimePoint reportedAt;
        // Seconds; 0 if nothing has been measured.
        double measured = 0;
        double told = 0;
    };

    void measure(Record &record, const EventCounts &events, Duration span) const;

    RunnerPaceLimits m_limits;
    std::map<EndpointId, Record> m_records;
};

} // namespace Hemlockhill
