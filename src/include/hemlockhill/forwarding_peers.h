// The other nodes through which this one can forward requests to endpoints that it does not reach. Deterministic, without I/O.
//
// A node that needs them asks some nodes at a time; those that reach endpoints and take requests of others offer themselves. An offer
// expires soon, so that a node that has frozen or stopped is not used any more.
#pragma once

#include "hemlockhill/world.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Hemlockhill
{

// A message about forwarding through another node: the question who can forward, or the answer to it.
struct ForwardingMessage {
    // True in the question.
    bool isQuery = false;
    // Data centre of the sender.
    DataCentreId dataCentre;
    // In an offer: how many more requests of others the sender takes at present.
    std::uint32_t capacity = 0;

    bool operator==(const ForwardingMessage &) const = default;
};

struct ForwardingPeerLimits {
    // Time after which an offer expires.
    Duration offerExpiry = std::chrono::milliseconds(1300);
    // Interval between two queries while this node needs peers.
    Duration queryPeriod = std::chrono::milliseconds(400);
    // How long requests wait for the first offer.
    Duration offerWait = std::chrono::milliseconds(60);
    // Number of connections that a peer has broken off one after the other, from which on it has failed.
    std::uint32_t brokenOffInRow = 2;
    // How long a peer that has failed is not used.
    Duration failureBackoff = std::chrono::seconds(2);
    // A peer in another data centre is preferred when it has fewer requests of this node by this many.
    double otherDataCentreCost = 8;
};

class ForwardingPeers
{
public:
    ForwardingPeers(DataCentreId dataCentre, ForwardingPeerLimits limits, std::uint64_t seed);

    // Whether a query must be sent now; marks it as sent.
    bool takeQueryDue(TimePoint now);
    void onOffer(const VmId &peer, const ForwardingMessage &offer, TimePoint now);
    // The peer could not be reached, or takes no requests at present.
    void onFailed(const VmId &peer, TimePoint now);
    // The peer closed a new connection without an answer. Once may be due to the request or its endpoint; a peer that does so again without
    // an answer in between has failed.
    void onBrokenOff(const VmId &peer, TimePoint now);
    void onAnswered(const VmId &peer);
    // The peer takes no more requests until it offers to.
    void onFull(const VmId &peer);
    // The peer with the fewest requests of this node, this data centre first; empty if none has room.
    std::optional<VmId> choose(const std::set<VmId> &avoided, TimePoint now);
    void onDispatched(const VmId &peer);
    void onEnded(const VmId &peer);
    // Whether an offer may still arrive for a query that was sent just now.
    bool awaitsOffers(TimePoint now) const;
    bool hasOffers(TimePoint now) const;
    // Whether another peer offers itself, with room or without.
    bool isOfferedBeside(const std::set<VmId> &peers, TimePoint now) const;
    // Whether no node has offered itself although there was time to.
    bool isUnanswered(TimePoint now) const;

private:
    struct Peer {
        DataCentreId dataCentre;
        // Requests that the peer takes in addition to those that this node had there when the offer came.
        std::uint32_t capacity = 0;
        std::uint32_t inFlight = 0;
        std::uint32_t brokenOff = 0;
        std::optional<TimePoint> offeredAt;
        TimePoint backoffUntil;
    };

    bool isOffered(const Peer &peer, TimePoint now) const;
    bool isUsable(const Peer &peer, TimePoint now) const;

    DataCentreId m_dataCentre;
    ForwardingPeerLimits m_limits;
    boost::random::mt19937_64 m_random;
    std::map<VmId, Peer> m_peers;
    std::optional<TimePoint> m_queriedAt;
    // When the present need for peers began.
    std::optional<TimePoint> m_firstQueryAt;
};

} // namespace Hemlockhill
