// Selection of nodes to forward through.
#include "hemlockhill/forwarding_peers.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

ForwardingPeers::ForwardingPeers(DataCentreId dataCentre, ForwardingPeerLimits limits, std::uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_limits(limits)
    , m_random(seed)
{
}

bool ForwardingPeers::takeQueryDue(TimePoint now)
{
    if (m_queriedAt && now - *m_queriedAt < m_limits.queryPeriod) {
        return false;
    }
    // A pause in the queries ends the need for peers; what was offered before does not count for the next one.
    const bool isContinued = m_queriedAt && now - *m_queriedAt < m_limits.offerExpiry;
    if (!isContinued) {
        m_firstQueryAt = now;
    }
    m_queriedAt = now;
    return true;
}

void ForwardingPeers::onOffer(const VmId &peer, const ForwardingMessage &offer, TimePoint now)
{
    Peer &known = m_peers[peer];
    known.dataCentre = offer.dataCentre;
    known.capacity = known.inFlight + offer.capacity;
    known.offeredAt = now;
}

void ForwardingPeers::onFailed(const VmId &peer, TimePoint now)
{
    Peer &known = m_peers[peer];
    known.brokenOff = 0;
    known.offeredAt.reset();
    known.backoffUntil = now + m_limits.failureBackoff;
}

void ForwardingPeers::onBrokenOff(const VmId &peer, TimePoint now)
{
    if (++m_peers[peer].brokenOff >= m_limits.brokenOffInRow) {
        onFailed(peer, now);
    }
}

void ForwardingPeers::onAnswered(const VmId &peer)
{
    m_peers[peer].brokenOff = 0;
}

void ForwardingPeers::onFull(const VmId &peer)
{
    m_peers[peer].capacity = 0;
}

bool ForwardingPeers::isOffered(const Peer &peer, TimePoint now) const
{
    return peer.offeredAt && now - *peer.offeredAt < m_limits.offerExpiry && now >= peer.backoffUntil;
}

bool ForwardingPeers::isUsable(const Peer &peer, TimePoint now) const
{
    return isOffered(peer, now) && peer.inFlight < peer.capacity;
}

std::optional<VmId> ForwardingPeers::choose(const std::set<VmId> &avoided, TimePoint now)
{
    std::optional<VmId> best;
    double bestCost = 0;
    boost::random::uniform_real_distribution<double> draw(0, 1);
    for (const auto &[vm, peer] : m_peers) {
        if (!isUsable(peer, now) || avoided.contains(vm)) {
            continue;
        }
        const double cost = peer.inFlight + draw(m_random) + (peer.dataCentre == m_dataCentre ? 0 : m_limits.otherDataCentreCost);
        if (!best || cost < bestCost) {
            best = vm;
            bestCost = cost;
        }
    }
    return best;
}

void ForwardingPeers::onDispatched(const VmId &peer)
{
    ++m_peers[peer].inFlight;
}

void ForwardingPeers::onEnded(const VmId &peer)
{
    Peer &known = m_peers[peer];
    known.inFlight -= known.inFlight > 0 ? 1 : 0;
}

bool ForwardingPeers::awaitsOffers(TimePoint now) const
{
    return m_firstQueryAt && now - *m_firstQueryAt < m_limits.offerWait && !hasOffers(now);
}

bool ForwardingPeers::hasOffers(TimePoint now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) { return isUsable(entry.second, now); });
}

bool ForwardingPeers::isOfferedBeside(const std::set<VmId> &peers, TimePoint now) const
{
    return std::any_of(
        m_peers.begin(), m_peers.end(), [&](const auto &entry) { return !peers.contains(entry.first) && isOffered(entry.second, now); });
}

bool ForwardingPeers::isUnanswered(TimePoint now) const
{
    return m_firstQueryAt && now - *m_firstQueryAt >= m_limits.offerWait && !hasOffers(now);
}

} // namespace Hemlockhill
