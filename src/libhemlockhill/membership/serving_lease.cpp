// Serving leases and attestations, on the nodes and on the leading controller.
#include "hemlockhill/serving_lease.h"

#include <algorithm>

namespace Hemlockhill
{

LeaseTimes leaseTimes(const ControlSettings &control)
{
    LeaseTimes times;
    times.lease = control.lease;
    times.attestation = control.lease;
    return times;
}

ServingLease::ServingLease(LeaseTimes times, std::size_t nodes, TimePoint startedAt)
    : m_times(times)
    , m_majority(nodes / 2 + 1)
    , m_startedAt(startedAt)
    , m_leaseUntil(startedAt)
    , m_attestedUntil(startedAt)
    , m_promiseUntil(startedAt)
    , m_roundBeganAt(startedAt)
{
}

void ServingLease::onRenewed(TimePoint sentAt, Revision revision)
{
    m_leaseUntil = std::max(m_leaseUntil, sentAt + m_times.shortened(m_times.lease));
    m_revision = std::max(m_revision, revision);
    m_syncedWithLeader = true;
}

void ServingLease::onPeerState(Revision revision)
{
    m_revision = std::max(m_revision, revision);
    if (m_roundOpen) {
        concludeRound();
    }
}

Revision ServingLease::confirmableRevision(TimePoint now) const
{
    // Promises are not persisted. After a restart nothing is confirmed until any earlier promise must have expired.
    if (now < m_startedAt + m_times.lengthened(m_times.attestation)) {
        return Revision{0};
    }
    return now < m_promiseUntil ? std::min(m_revision, m_promisedRevision) : m_revision;
}

Attestation ServingLease::attest(TimePoint now)
{
    if (holdsLease(now) || !m_syncedWithLeader) {
        return {false, m_revision};
    }
    if (now >= m_promiseUntil) {
        m_promisedRevision = m_revision;
    }
    m_promiseUntil = now + m_times.lengthened(m_times.attestation);
    return {true, m_revision};
}

void ServingLease::beginRound(TimePoint now)
{
    m_roundBeganAt = now;
    m_roundOpen = true;
    m_grants.clear();
    m_ownGrant.reset();
    const Attestation own = attest(now);
    if (own.granted) {
        m_ownGrant = own.revision;
    }
    concludeRound();
}

void ServingLease::onAttestation(const VmId &node, const Attestation &attestation)
{
    if (!m_roundOpen || !attestation.granted) {
        return;
    }
    m_grants[node] = attestation.revision;
    concludeRound();
}

std::optional<Revision> ServingLease::laterRevision() const
{
    Revision latest = m_revision;
    for (const auto &[node, revision] : m_grants) {
        latest = std::max(latest, revision);
    }
    return m_roundOpen && latest > m_revision ? std::optional(latest) : std::nullopt;
}

void ServingLease::concludeRound()
{
    const std::size_t grants = m_grants.size() + (m_ownGrant ? 1 : 0);
    if (grants < m_majority || laterRevision()) {
        return;
    }
    m_attestedUntil = m_roundBeganAt + m_times.shortened(m_times.attestation);
}

ServingMode ServingLease::mode(TimePoint now) const
{
    if (holdsLease(now)) {
        return ServingMode::Leased;
    }
    return now < m_attestedUntil ? ServingMode::Attested : ServingMode::Stopped;
}

LeaseRegister::LeaseRegister(LeaseTimes times, const std::set<VmId> &nodes, TimePoint leaderSince)
    : m_times(times)
{
    for (const VmId &node : nodes) {
        m_nodes[node].leaseUntil = leaderSince + m_times.lengthened(m_times.lease);
    }
}

bool LeaseRegister::recordReport(const VmId &node, Revision confirmed, TimePoint now)
{
    const auto found = m_nodes.find(node);
    if (found == m_nodes.end()) {
        return false;
    }
    found->second.confirmed = confirmed;
    found->second.leaseUntil = now + m_times.lengthened(m_times.lease);
    found->second.hasReported = true;
    return true;
}

bool LeaseRegister::inForceEverywhere(Revision revision, TimePoint now) const
{
    std::size_t confirmed = 0;
    for (const auto &[vm, node] : m_nodes) {
        if (node.confirmed >= revision) {
            ++confirmed;
        } else if (now < node.leaseUntil) {
            return false;
        }
    }
    return confirmed >= m_nodes.size() / 2 + 1;
}

} // namespace Hemlockhill
