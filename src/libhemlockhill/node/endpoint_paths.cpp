// Choice between own connections and forwarding through other nodes, and probes of endpoints.
#include "endpoint_paths.h"

#include "direct_exchange.h"
#include "hemlockhill/forwarded_request.h"
#include "hemlockhill/log.h"
#include "hemlockhill/timer_service.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

// Cost of forwarding, in requests per slot: endpoints that the node reaches itself are preferred as long as they have free slots.
constexpr double ForwardingCost = 1.0;
// Endpoints that an isolated node probes because others ask: one that answers ends its isolation.
constexpr std::size_t ProbedForOthers = 8;
// An endpoint that this node and this many others have not reached within this time is lost. Another node may be cut off itself.
constexpr std::size_t PeersThatConfirmLoss = 2;
constexpr Duration LossConfirmationPeriod = std::chrono::seconds(2);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);

} // namespace

EndpointPaths::EndpointPaths(
    boost::asio::io_context &loop, EndpointPathSettings settings, ConnectionPool &pool, Metrics &metrics, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_pool(pool)
    , m_metrics(metrics)
    , m_peerPool(loop, m_settings.idleConnections, m_settings.listen ? m_settings.listen->host : std::string())
    , m_reachability(std::make_shared<EndpointReachability>())
    , m_peers(m_settings.dataCentre, {}, seed)
{
}

void EndpointPaths::onOffer(const VmId &peer, const ForwardingMessage &offer)
{
    m_peers.onOffer(peer, offer, currentTime());
}

void EndpointPaths::queryPeers(TimePoint now)
{
    if (mayForward() && onQuery && m_peers.takeQueryDue(now)) {
        m_metrics.countEvent("forwarding_query_sent");
        onQuery({true, m_settings.dataCentre, 0});
    }
}

EndpointPaths::Way EndpointPaths::wayTo(const LiveEndpoint &endpoint, const std::set<VmId> &avoided, TimePoint now)
{
    if (!mayForward() || m_reachability->isReachable(endpoint.id, now)) {
        return Way::Direct;
    }
    m_reachability->onWanted(endpoint.id, now);
    if (m_reachability->acceptsOpenConnections(endpoint.id, now) && m_pool.idleConnections(endpoint.address) > 0) {
        return Way::Direct;
    }
    queryPeers(now);
    if (m_peers.choose(avoided, now)) {
        return Way::Peer;
    }
    return m_peers.awaitsOffers(now) ? Way::None : Way::Direct;
}

std::optional<double> EndpointPaths::cost(const LiveEndpoint &endpoint)
{
    switch (wayTo(endpoint, {}, currentTime())) {
    case Way::Direct:
        return 0;
    case Way::Peer:
        return ForwardingCost;
    case Way::None:
        break;
    }
    return std::nullopt;
}

std::optional<VmId> EndpointPaths::choosePeer(const LiveEndpoint &endpoint, const std::set<VmId> &avoided)
{
    const TimePoint now = currentTime();
    return wayTo(endpoint, avoided, now) == Way::Peer ? m_peers.choose(avoided, now) : std::nullopt;
}

std::shared_ptr<HttpExchange> EndpointPaths::startDirect(const LiveEndpoint &endpoint,
                                                         const HttpRequest &request,
                                                         const ExchangeLimits &limits,
                                                         ConnectionChoice connection,
                                                         ExchangeHooks hooks)
{
    if (connection == ConnectionChoice::PreferIdle && m_unnamedAnswers.isExpected(endpoint.id, currentTime())) {
        m_metrics.countEvent("connection_for_unnamed_answer");
        connection = ConnectionChoice::FreshOnly;
    }
    return startDirectExchange(m_pool, m_reachability, endpoint.id, endpoint.address, request, limits, connection, std::move(hooks));
}

std::shared_ptr<HttpExchange> EndpointPaths::startThroughPeer(const VmId &peer,
                                                              HttpRequest request,
                                                              const ForwardOptions &options,
                                                              const ExchangeLimits &limits,
                                                              ConnectionChoice connection,
                                                              ExchangeHooks hooks)
{
    m_peers.onDispatched(peer);
    m_metrics.countEvent("request_forwarded_through_peer");
    setForwardOptions(request, options);
    const Address address{peer.value, m_settings.listen->port};
    return m_peerPool.start(address, request, limits, connection, std::move(hooks));
}

void EndpointPaths::onUnnamedAnswer(const EndpointId &endpoint)
{
    m_unnamedAnswers.onUnnamed(endpoint, currentTime());
}

void EndpointPaths::onPeerFailed(const VmId &peer)
{
    m_metrics.countEvent("forwarding_peer_failed");
    m_peers.onFailed(peer, currentTime());
}

void EndpointPaths::onPeerBrokeOff(const VmId &peer)
{
    m_metrics.countEvent("forwarding_peer_broke_off");
    m_peers.onBrokenOff(peer, currentTime());
}

void EndpointPaths::onDirectory(const EndpointsById &endpoints)
{
    m_reachability->onDirectory(endpoints);
    m_unnamedAnswers.onDirectory(endpoints);
    std::erase_if(m_lostAtPeers, [&](const auto &entry) { return !endpoints.contains(entry.first); });
}

bool EndpointPaths::confirmLoss(const EndpointId &endpoint, const VmId &peer)
{
    const TimePoint now = currentTime();
    auto &peers = m_lostAtPeers[endpoint];
    peers[peer] = now;
    std::erase_if(peers, [now](const auto &entry) { return now - entry.second > LossConfirmationPeriod; });
    std::set<VmId> asked;
    for (const auto &[vm, at] : peers) {
        asked.insert(vm);
    }
    return peers.size() >= PeersThatConfirmLoss || !m_peers.isOfferedBeside(asked, now);
}

void EndpointPaths::onSilentElsewhere(const EndpointId &endpoint)
{
    m_reachability->onSilentElsewhere(endpoint, currentTime());
}

std::optional<Reason> EndpointPaths::obstacle(const LiveEndpoint &endpoint)
{
    const TimePoint now = currentTime();
    if (m_reachability->isIsolated(now)) {
        return Reason::Draining;
    }
    if (m_reachability->isReachable(endpoint.id, now)) {
        return std::nullopt;
    }
    m_reachability->onWanted(endpoint.id, now);
    return m_reachability->isSilent(endpoint.id, now) ? Reason::EndpointSilent : Reason::EndpointLost;
}

bool EndpointPaths::lacksPeers() const
{
    return !mayForward() || m_peers.isUnanswered(currentTime());
}

bool EndpointPaths::isIsolated() const
{
    return m_reachability->isIsolated(currentTime());
}

void EndpointPaths::onQueried()
{
    const TimePoint now = currentTime();
    std::size_t wanted = 0;
    for (const EndpointId &id : m_unreachable) {
        if (++wanted > ProbedForOthers) {
            return;
        }
        m_reachability->onWanted(id, now);
    }
}

void EndpointPaths::review(const EndpointsById &endpoints)
{
    const TimePoint now = currentTime();
    std::set<EndpointId> unreachable;
    for (const EndpointId &id : m_reachability->unreachable(now)) {
        unreachable.insert(id);
        const auto listed = endpoints.find(id);
        if (m_unreachable.contains(id) || listed == endpoints.end()) {
            continue;
        }
        logEvent(Severity::Info, "endpoint unreachable", {{"endpoint", id.value}, {"isolated", m_reachability->isIsolated(now)}});
        m_metrics.countEvent("endpoint_unreachable");
        if (!m_reachability->acceptsOpenConnections(id, now)) {
            m_pool.dropIdle(listed->second.address);
        }
    }
    for (const EndpointId &id : m_unreachable) {
        if (!unreachable.contains(id)) {
            logEvent(Severity::Info, "endpoint reachable again", {{"endpoint", id.value}});
        }
    }
    m_unreachable = std::move(unreachable);
    if (!m_unreachable.empty()) {
        queryPeers(now);
    }
}

std::vector<EndpointId> EndpointPaths::probesDue()
{
    return m_reachability->probesDue(currentTime());
}

void EndpointPaths::probe(const LiveEndpoint &endpoint, const HttpRequest &request)
{
    m_metrics.countEvent("endpoint_probed");
    ExchangeLimits limits;
    limits.connect = ProbeTimeout;
    limits.firstByte = ProbeTimeout;
    limits.completeBefore = currentTime() + ProbeTimeout;
    ExchangeHooks hooks;
    hooks.onHead = [this, id = endpoint.id](const ResponseHead &) { m_reachability->onProbeAnswered(id, currentTime()); };
    m_pool.start(endpoint.address, request, limits, ConnectionChoice::FreshOnly, std::move(hooks));
}

} // namespace Hemlockhill
