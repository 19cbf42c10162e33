// The requests that wait for the same endpoints at different nodes, as an owner of the service knows them. Deterministic, without I/O.
//
// Each node orders its own queue, and has a few requests a second: without knowledge of the others it dispatches a patient request while an
// urgent one waits elsewhere. So each load query names the most urgent waiting request of its node, and the answer tells how many nodes
// have a more urgent one. What a node has said expires, so that a node that dies or is cut off delays the others only for that time.
#pragma once

#include "hemlockhill/load_queries.h"
#include "hemlockhill/queue_policy.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace Hemlockhill
{

struct ServiceLineLimits {
    // For how long the word of a node counts.
    Duration validity = std::chrono::milliseconds(150);
    // For how long a node that has been told of a free slot has time to ask for it, before the next node is told.
    Duration invitationTime = std::chrono::milliseconds(20);
    // For how long a request lets others go first although there is room: those that cannot use it, or that only this node takes for
    // more urgent, must not hold it up for longer. Several queries long.
    Duration yieldTime = std::chrono::seconds(1);
    // From this number of subjects on, those of which nothing valid is known are forgotten.
    std::size_t subjects = 1'000;
};

// Describes the queue of a node, by its most urgent request.
WaitingAtNode describeWaiting(const WaitingRank &mostUrgent, std::uint32_t requests, bool hasYielded, TimePoint now);
WaitingRank rankOf(const WaitingAtNode &waiting, TimePoint now);

// The owner's view of who waits.
class ServiceLine
{
public:
    explicit ServiceLine(ServiceLineLimits limits);

    // A node has said what it has waiting for a subject, in place of what it said before.
    void onWaiting(const VmId &node, const LoadSubject &subject, const WaitingAtNode &waiting, TimePoint now);
    // Returns what waits at other nodes than the given one, which has a request of the given rank.
    WaitingElsewhere elsewhere(const VmId &node, const LoadSubject &subject, const WaitingRank &rank, TimePoint now);
    // A node has dispatched a request to the endpoint: what it has said before is outdated.
    void onDispatched(const VmId &node, const LiveEndpoint &endpoint);
    // An endpoint has room. Returns the node and subject of the most urgent request that it can run; empty if none waits.
    std::optional<std::pair<VmId, LoadSubject>> invite(const LiveEndpoint &endpoint, TimePoint now);

private:
    struct Entry {
        WaitingRank mostUrgent;
        std::uint32_t requests = 0;
        TimePoint at;
        TimePoint invitedAt;
    };
    using Entries = std::map<VmId, Entry>;

    void dropExpired(Entries &entries, TimePoint now) const;

    ServiceLineLimits m_limits;
    std::map<LoadSubject, Entries> m_subjects;
};

// What a node that is no owner has been told of the others.
class LineReports
{
public:
    explicit LineReports(ServiceLineLimits limits);

    void onReport(const LoadSubject &subject, const WaitingElsewhere &elsewhere, TimePoint now);
    // Returns what was reported last, unless it has expired.
    WaitingElsewhere elsewhere(const LoadSubject &subject, TimePoint now) const;

private:
    struct Report {
        WaitingElsewhere elsewhere;
        TimePoint at;
    };

    ServiceLineLimits m_limits;
    std::map<LoadSubject, Report> m_reports;
};

// Whether a request lets those of other nodes go first: they take all free slots that this node could use. Where more is free, nobody
// waits for anybody.
bool yieldsToOthers(const WaitingElsewhere &elsewhere, double freeSlots);

} // namespace Hemlockhill
