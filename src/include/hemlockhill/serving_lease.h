// The serving lease protocol, which decides when a node may serve and when a change is in force on all nodes. Both sides are
// deterministic state machines without I/O.
//
// A node serves while it holds a lease from the leading controller. The lease is renewed each time the node reports the revision it
// applies. A change is in force everywhere once every node has either confirmed its revision or lost its lease, and a majority of all
// nodes has confirmed it. The majority allows nodes to continue serving after the controllers have lost their quorum: a node without
// a lease may serve its current revision while a majority of all nodes attests that they hold no lease and know no later revision.
// A node that grants an attestation does not confirm a later revision until that attestation has expired.
#pragma once

#include "hemlockhill/settings.h"
#include "hemlockhill/world.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Hemlockhill
{

// Nominal durations, with a margin for clock drift: the holder of a lease or attestation uses the shortened duration, its grantor the
// lengthened one.
struct LeaseTimes {
    Duration lease = std::chrono::milliseconds(1500);
    Duration attestation = std::chrono::milliseconds(1500);
    // The clocks of two VMs differ in rate by at most 1/clockDriftDivisor.
    std::int64_t clockDriftDivisor = 50;

    Duration shortened(Duration duration) const { return duration - duration / clockDriftDivisor; }
    Duration lengthened(Duration duration) const { return duration + duration / clockDriftDivisor; }
};

// Returns the durations for the given settings. Control settings are the same on all nodes, so the durations are too.
LeaseTimes leaseTimes(const ControlSettings &control);

// A node's answer to a request for an attestation.
struct Attestation {
    // False if the answering node holds a lease, or has not received the state from the leading controller since it started.
    bool granted = false;
    // The latest revision known to the answering node.
    Revision revision;

    bool operator==(const Attestation &) const = default;
};

// The basis on which a node serves.
enum class ServingMode {
    // The node holds a lease from the leading controller.
    Leased,
    // The node holds no lease, but a majority of all nodes attested that no later revision can have been accepted.
    Attested,
    // Neither; new requests are refused.
    Stopped,
};

// The node's side of the protocol. Not thread-safe.
class ServingLease
{
public:
    // `nodes` is the number of all nodes of the region, including this one.
    ServingLease(LeaseTimes times, std::size_t nodes, TimePoint startedAt);

    // The leading controller has answered a report sent at `sentAt`, and this node now has the given revision.
    void onRenewed(TimePoint sentAt, Revision revision);
    // This node has received the state from another node rather than from the leading controller.
    void onPeerState(Revision revision);

    // Returns the latest revision that may be confirmed to the leading controller; 0 if none.
    Revision confirmableRevision(TimePoint now) const;
    // Answers a request for an attestation and records the promise that a granted one implies.
    Attestation attest(TimePoint now);

    // Starts a new round of attestation requests to all other nodes. Answers to earlier rounds must no longer be passed in.
    void beginRound(TimePoint now);
    // Adds another node's answer to the current round.
    void onAttestation(const VmId &node, const Attestation &attestation);
    // Returns the latest revision attested in the current round if this node does not have it yet. The round cannot succeed before
    // onPeerState() has been called with that revision.
    std::optional<Revision> laterRevision() const;

    ServingMode mode(TimePoint now) const;
    // When this node must stop serving unless its lease or its attestations are renewed.
    TimePoint servingUntil() const { return std::max(m_leaseUntil, m_attestedUntil); }
    bool holdsLease(TimePoint now) const { return now < m_leaseUntil; }
    Revision revision() const { return m_revision; }

private:
    void concludeRound();

    LeaseTimes m_times;
    std::size_t m_majority;
    TimePoint m_startedAt;
    TimePoint m_leaseUntil;
    TimePoint m_attestedUntil;
    TimePoint m_promiseUntil;
    Revision m_promisedRevision;
    Revision m_revision;
    bool m_syncedWithLeader = false;
    TimePoint m_roundBeganAt;
    bool m_roundOpen = false;
    std::map<VmId, Revision> m_grants;
    std::optional<Revision> m_ownGrant;
};

// The leading controller's record of one node.
struct NodeLease {
    // The revision most recently reported as applied.
    Revision confirmed;
    // The node cannot hold a lease after this time.
    TimePoint leaseUntil;
    // Whether the node has reported to this leader.
    bool hasReported = false;
};

// The leading controller's side of the protocol. Created anew each time a controller becomes leader. Not thread-safe.
class LeaseRegister
{
public:
    // Assumes that every node may hold a lease that the previous leader granted just before `leaderSince`.
    LeaseRegister(LeaseTimes times, const std::set<VmId> &nodes, TimePoint leaderSince);

    // Records the revision that a node applies and grants it a lease, which takes effect with the answer. Returns false for a node that
    // does not belong to this region.
    bool recordReport(const VmId &node, Revision confirmed, TimePoint now);

    // Whether a majority of nodes has confirmed the revision and no node can still serve an earlier one.
    bool inForceEverywhere(Revision revision, TimePoint now) const;
    const std::map<VmId, NodeLease> &nodes() const { return m_nodes; }

private:
    LeaseTimes m_times;
    std::map<VmId, NodeLease> m_nodes;
};

} // namespace Hemlockhill
