// The ways from this node to the endpoints: its own connections or, where those fail, another node that forwards the request.
#pragma once

#include "hemlockhill/endpoint_reachability.h"
#include "hemlockhill/forwarding_peers.h"
#include "hemlockhill/http_exchange.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/request_dialect.h"
#include "hemlockhill/unnamed_answers.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Hemlockhill
{

struct EndpointPathSettings {
    DataCentreId dataCentre;
    // Address at which this node accepts requests that other nodes forward through it. All nodes use the same port. If empty, nodes do not
    // forward through each other.
    std::optional<Address> listen;
    // Idle connections kept open to each other node.
    std::size_t idleConnections = 32;
};

// All members must be called on the given event loop.
class EndpointPaths
{
public:
    EndpointPaths(boost::asio::io_context &loop, EndpointPathSettings settings, ConnectionPool &pool, Metrics &metrics, std::uint64_t seed);

    // Called with a question for some of the other nodes, whether they can forward.
    std::function<void(const ForwardingMessage &query)> onQuery;
    // Another node offers to forward.
    void onOffer(const VmId &peer, const ForwardingMessage &offer);

    // Additional cost of sending a request to the endpoint, in requests per slot; empty if there is no way at this moment.
    std::optional<double> cost(const LiveEndpoint &endpoint);
    // The node to forward through; empty if the request is to be sent over a connection of this node.
    std::optional<VmId> choosePeer(const LiveEndpoint &endpoint, const std::set<VmId> &avoided);

    std::shared_ptr<HttpExchange> startDirect(const LiveEndpoint &endpoint,
                                              const HttpRequest &request,
                                              const ExchangeLimits &limits,
                                              ConnectionChoice connection,
                                              ExchangeHooks hooks);
    // The endpoint has answered a request of startDirect() without naming it, or has sent nothing but responses that name none.
    void onUnnamedAnswer(const EndpointId &endpoint);
    // The caller must call onPeerDone() at the end.
    std::shared_ptr<HttpExchange> startThroughPeer(const VmId &peer,
                                                   HttpRequest request,
                                                   const ForwardOptions &options,
                                                   const ExchangeLimits &limits,
                                                   ConnectionChoice connection,
                                                   ExchangeHooks hooks);
    void onPeerDone(const VmId &peer) { m_peers.onEnded(peer); }
    // The peer could not be reached, or takes no requests at present.
    void onPeerFailed(const VmId &peer);
    // The peer closed a new connection after the request was sent.
    void onPeerBrokeOff(const VmId &peer);
    void onPeerAnswered(const VmId &peer) { m_peers.onAnswered(peer); }
    // The peer takes no more requests than it has.
    void onPeerFull(const VmId &peer) { m_peers.onFull(peer); }
    // A peer does not reach the endpoint either. Returns whether enough peers have said so recently to take it for lost.
    bool confirmLoss(const EndpointId &endpoint, const VmId &peer);
    // A peer is connected to the endpoint but hears nothing of it either.
    void onSilentElsewhere(const EndpointId &endpoint);
    // Why this node could not forward a request to the endpoint for another one; empty if it could.
    std::optional<Reason> obstacle(const LiveEndpoint &endpoint);

    void onDirectory(const EndpointsById &endpoints);
    // Whether requests can be forwarded through other nodes at all.
    bool mayForward() const { return m_settings.listen.has_value(); }
    // Whether no other node is there to tell an endpoint that has stopped from one that only this node does not reach.
    bool lacksPeers() const;
    // Whether this node reaches no endpoint itself.
    bool isIsolated() const;
    // Another node looks for one that forwards: some endpoints that this node does not reach are probed, as for its own requests.
    void onQueried();
    // Whether the last review found endpoints that this node does not reach.
    bool hasUnreachable() const { return !m_unreachable.empty(); }
    // Closes the idle connections to endpoints that have become silent, and looks for peers while any endpoint is unreachable.
    void review(const EndpointsById &endpoints);
    // Endpoints that must be probed now.
    std::vector<EndpointId> probesDue();
    void probe(const LiveEndpoint &endpoint, const HttpRequest &request);

private:
    enum class Way { Direct, Peer, None };

    Way wayTo(const LiveEndpoint &endpoint, const std::set<VmId> &avoided, TimePoint now);
    void queryPeers(TimePoint now);

    EndpointPathSettings m_settings;
    ConnectionPool &m_pool;
    Metrics &m_metrics;
    // Connections to other nodes, which recognize this one by its address.
    ConnectionPool m_peerPool;
    std::shared_ptr<EndpointReachability> m_reachability;
    ForwardingPeers m_peers;
    UnnamedAnswers m_unnamedAnswers;
    // Endpoints that were unreachable at the last review.
    std::set<EndpointId> m_unreachable;
    // When each peer has last said that it does not reach an endpoint.
    std::map<EndpointId, std::map<VmId, TimePoint>> m_lostAtPeers;
};

} // namespace Hemlockhill
