// Rate limits that endpoints declare for the requests of all nodes together. Deterministic, without I/O: the caller passes in the current
// time.
//
// Each node keeps a token bucket for each limited endpoint and draws from it for its own requests and for those that the other nodes
// announce. Nodes that wait for the same token draw a random surplus that it must reach, so that they rarely claim it at the same moment;
// where they do, the bucket's level becomes negative and all of them wait longer. A node that hears nothing of the others falls back to its
// share of the rate.
#pragma once

#include "hemlockhill/declared_capacity.h"
#include "hemlockhill/endpoint_directory.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Hemlockhill
{

struct EndpointRateLimits {
    // Tokens for requests that may be sent at once: the rate times this duration, at least one.
    Duration burst = std::chrono::milliseconds(20);
    // Range of the random surplus, in tokens.
    double claimRange = 0.5;
    // Replaces lower limits, also of zero: an endpoint that receives no request at all could not say that its limit has ended.
    RequestRate minimumRate{0.1};
    // The level never falls below what the endpoint accepts in this time.
    Duration maximumDebt = std::chrono::seconds(4);
    // A node whose notice nobody has answered for this long does not hear the others.
    Duration replyTimeout = std::chrono::milliseconds(150);
    // A new incarnation keeps a limit that was declared this recently, since the answer may have been its own.
    Duration listingLag = std::chrono::seconds(2);
    // How long the end of a limit is remembered, against notices that are still on their way.
    Duration endRetention = std::chrono::seconds(10);
};

class EndpointRateLimiter
{
public:
    EndpointRateLimiter(EndpointRateLimits limits, std::uint64_t seed);

    // Number of nodes that send requests to endpoints, including this one.
    void setNodeCount(std::size_t nodes);

    // An endpoint has answered a request that was sent to it at the given time. Returns whether the other nodes must be told.
    bool
    onAnswer(const EndpointId &endpoint, const Incarnation &incarnation, const DeclaredCapacity &declared, TimePoint sentAt, TimePoint now);
    // Another node has sent a notice. Returns whether it must be answered.
    bool onNotice(const VmId &node, const RateLimitNotice &notice, TimePoint now);
    // This node has dispatched a request. Returns whether the endpoint is limited, so that the other nodes must be told.
    bool onDispatched(const EndpointId &endpoint, TimePoint now);
    // Drops the limits of endpoints that are no longer listed or have started again.
    void onDirectory(const EndpointsById &endpoints, TimePoint now);

    bool isLimited(const EndpointId &endpoint) const;
    // Time until the endpoint accepts another request of this node. Zero if it accepts one now.
    Duration delay(const EndpointId &endpoint, TimePoint now) const;
    // The part of the endpoint's rate that this node's requests have taken lately.
    RequestRate expectedRate(const EndpointId &endpoint) const;
    // What to tell the other nodes of the endpoint; empty if nothing is known.
    std::optional<RateLimitNotice> notice(const EndpointId &endpoint, bool wantsReply, TimePoint now) const;
    // Such notices for all limited endpoints.
    std::vector<RateLimitNotice> notices(TimePoint now) const;
    std::size_t size() const { return m_buckets.size(); }

private:
    // What is known of another node's requests to one endpoint.
    struct PeerCount {
        CountId count;
        std::uint64_t dispatched = 0;
    };

    struct Bucket {
        Incarnation incarnation;
        RequestRate rate;
        // When the limit was last declared.
        TimePoint declaredAt;
        // Tokens at the time `at`; negative after nodes have claimed the same one.
        double level = 0;
        TimePoint at;
        // This node's own share of the tokens, for the time in which it does not hear the others.
        double shareLevel = 0;
        TimePoint shareAt;
        // Random surplus that the level must reach.
        double claim = 0;
        // Whether another node has ever been heard of this endpoint, and since when this node's last notice has not been answered.
        bool hasHeard = false;
        std::optional<TimePoint> unansweredSince;
        CountId count;
        std::uint64_t dispatched = 0;
        std::map<VmId, PeerCount> peers;
        // Moving average of the part of the requests that were this node's own.
        double ownShare = 0;
    };

    double capacity(const Bucket &bucket) const;
    double levelAt(const Bucket &bucket, TimePoint now) const;
    double shareLevelAt(const Bucket &bucket, TimePoint now) const;
    bool hearsOthers(const Bucket &bucket, TimePoint now) const;
    void take(Bucket &bucket, double tokens, bool isOwn, TimePoint now);
    void setRate(Bucket &bucket, RequestRate rate, TimePoint now);
    bool declare(const EndpointId &endpoint, const Incarnation &incarnation, RequestRate rate, TimePoint declaredAt, TimePoint now);
    bool end(const EndpointId &endpoint, TimePoint sentAt, TimePoint now);
    void countPeer(Bucket &bucket, const VmId &node, const RateLimitNotice &notice, TimePoint now);
    double drawClaim();

    EndpointRateLimits m_limits;
    std::size_t m_nodes = 1;
    boost::random::mt19937_64 m_random;
    std::map<EndpointId, Bucket> m_buckets;
    // Limits that have ended: when the request was sent whose answer named none.
    std::map<EndpointId, TimePoint> m_ended;
};

} // namespace Hemlockhill
