// Test support: a fleet of nodes that dispatch to the same few endpoints of a plain service, in virtual time. Each node has a link with
// a queue of limited size: what a node sends waits behind what it has sent before, and datagrams that find no room are lost.
#pragma once

#include "hemlockhill/dispatch_notice_pacer.h"
#include "hemlockhill/endpoint_choice.h"
#include "hemlockhill/load_owners.h"
#include "hemlockhill/load_queries.h"
#include "hemlockhill/metrics.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace Hemlockhill::Testing
{

// Sizes and speeds as on a fleet of the target size: 291 nodes, of which each gets about one request a second.
struct FleetScenario {
    std::uint32_t nodes = 291;
    std::uint32_t endpoints = 5;
    std::uint32_t slots = 6;
    std::uint32_t endpointQueue = 24;
    Duration work = std::chrono::milliseconds(30);
    double requestsPerSecond = 319;
    // Notices a second of all nodes about requests to other endpoints.
    double otherNoticesPerSecond = 1'800;
    Duration latencyTarget = std::chrono::milliseconds(150);
    Duration timeout = std::chrono::seconds(1);
    Duration length = std::chrono::seconds(4);
    Bandwidth link{1'250'000};
    double linkQueueBytes = 32'768;
    Duration linkDelay = std::chrono::microseconds(1'400);
    // Share of all datagrams that is lost besides.
    double loss = 0;
    // Memory of an endpoint in tokens, and what a request needs of it; 0 if it is not bounded.
    TokenCount memory;
    TokenCount requestTokens;
    // Share of urgent requests, whose route has a higher priority, and their target.
    double urgentShare = 0;
    Duration urgentTarget = std::chrono::milliseconds(500);
    // Whether nodes tell each other what waits.
    bool ordersAcrossNodes = false;
    std::uint64_t seed = 1;
};

struct FleetOutcome {
    std::uint32_t asked = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0;
    // Refused by the nodes, without having been sent to any endpoint.
    std::uint32_t refused = 0;
    // Rejected by endpoints whose queue was full.
    std::uint32_t rejected = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t datagramsLost = 0;
    // Requests that reached an endpoint whose memory was full, and the most that an endpoint held.
    std::uint32_t overfilled = 0;
    std::uint32_t urgentAsked = 0;
    std::uint32_t urgentInTime = 0;
    // Total time of urgent requests until they were dispatched, and until an endpoint began to run them.
    Duration urgentDispatched{0};
    Duration urgentBegun{0};
    TokenCount mostHeld;

    double ratio(std::uint32_t count) const { return asked == 0 ? 0 : static_cast<double>(count) / asked; }
};

class FleetSimulation
{
public:
    explicit FleetSimulation(FleetScenario scenario);

    FleetOutcome run();

private:
    // A request that has arrived at a node and is not answered yet.
    struct PendingRequest {
        std::uint32_t node = 0;
        TimePoint arrivedAt;
        bool isUrgent = false;
    };

    struct Node {
        VmId id;
        std::unique_ptr<EndpointChooser> chooser;
        std::unique_ptr<LoadOwners> owners;
        std::unique_ptr<LoadQueries> queries;
        DispatchNoticePacer notices{Bandwidth{0}};
        bool noticesScheduled = false;
        // When the last byte of what was sent leaves the node.
        TimePoint linkFreeAt;
        std::deque<PendingRequest> waiting;
        // Whether there was no room for the first of them.
        bool waitsForCapacity = false;
        bool retryScheduled = false;
        // Since when the first of them lets others go first.
        std::optional<TimePoint> yieldsSince;
    };

    struct Endpoint {
        std::uint32_t running = 0;
        TokenCount held;
        std::deque<std::pair<PendingRequest, EndpointId>> queue;
    };

    struct Event {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const { return std::pair(other.at, other.number) < std::pair(at, number); }
    };

    void at(TimePoint time, std::function<void()> action) { m_events.push({time, ++m_lastEvent, std::move(action)}); }
    void arrive();
    // Sends a notice about another endpoint.
    void notifyOfOther();
    // Dispatches the requests that wait at a node, the oldest first, and refuses those whose time is over.
    void dispatchWaiting(std::uint32_t node);
    void dispatch(std::uint32_t node, const PendingRequest &request, const EndpointId &endpoint);
    void reach(const PendingRequest &request, const EndpointId &endpoint);
    void run(const PendingRequest &request, const EndpointId &endpoint);
    void end(const PendingRequest &request, const EndpointId &endpoint);
    void answer(const PendingRequest &request);
    MemoryAuthority authority(Node &node, const ServiceId &service);
    OwnerChoice ownerChoice() const
    {
        const bool asksFirst = m_scenario.memory > TokenCount{0} || m_scenario.ordersAcrossNodes;
        return asksFirst ? OwnerChoice::First : OwnerChoice::Any;
    }
    WaitingRank rank(const PendingRequest &request) const;
    std::optional<WaitingAtNode> describeQueue(const Node &node) const;
    // Whether the first request of a node lets those of others go first.
    bool mustYield(Node &node, const EndpointChoice &choice);
    // A slot has become free: an owner tells the node whose request is the next.
    void inviteNext(std::uint32_t owner, const EndpointId &endpoint);
    // Whether a node must wait until it knows the load.
    bool awaitsLoad(std::uint32_t node);
    void answerLoadQuery(std::uint32_t owner, std::uint32_t node, const LoadQuery &query);
    void notify(std::uint32_t node, const EndpointId &endpoint);
    void announce(std::uint32_t node, const EndpointId &endpoint);
    void sendNotices(std::uint32_t node);
    // Sends a datagram that calls `received` when it arrives.
    void sendDatagram(std::uint32_t node, double bytes, std::function<void()> received);
    // Sends bytes over the link of a node. Returns when they arrive; empty if they were lost, which only datagrams are.
    std::optional<TimePoint> transmit(std::uint32_t node, double bytes, bool isDatagram);

    FleetScenario m_scenario;
    EndpointsById m_directory;
    EndpointRequirements m_need;
    Metrics m_metrics;
    std::vector<Node> m_nodes;
    std::map<VmId, std::uint32_t> m_indexes;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastEvent = 0;
    TimePoint m_now;
    TimePoint m_end;
    boost::random::mt19937_64 m_random;
    FleetOutcome m_outcome;
};

inline FleetSimulation::FleetSimulation(FleetScenario scenario)
    : m_scenario(scenario)
    , m_now(TimePoint{} + std::chrono::seconds(100))
    , m_end(m_now + scenario.length)
    , m_random(scenario.seed)
{
    constexpr std::uint32_t DataCentres = 5;
    constexpr double NoticeLinkRatio = 0.5;
    m_need.service = ServiceId{"register"};
    m_need.tokens = m_scenario.requestTokens;
    for (std::uint32_t index = 0; index < m_scenario.endpoints; ++index) {
        LiveEndpoint endpoint;
        endpoint.id = EndpointId{"e" + std::to_string(index)};
        endpoint.service = m_need.service;
        endpoint.dataCentre = DataCentreId{std::to_string(index % DataCentres)};
        endpoint.slots = m_scenario.slots;
        m_directory.emplace(endpoint.id, endpoint);
    }
    for (std::uint32_t index = 0; index < m_scenario.nodes; ++index) {
        Node node;
        node.id = VmId{"n" + std::to_string(index)};
        const DataCentreId dataCentre{std::to_string(index * DataCentres / m_scenario.nodes)};
        node.chooser = std::make_unique<EndpointChooser>(dataCentre, EndpointChooserLimits{}, m_scenario.seed * 10'000 + index, node.id);
        node.notices = DispatchNoticePacer(Bandwidth{NoticeLinkRatio * m_scenario.link.value});
        node.owners = std::make_unique<LoadOwners>(node.id, LoadOwnerLimits{}, true);
        node.queries = std::make_unique<LoadQueries>(LoadQueryLimits{}, m_metrics, m_scenario.seed * 20'000 + index);
        node.chooser->hearsAll = [this, owners = node.owners.get()](const ServiceId &service) { return owners->isOwner(service, m_now); };
        if (m_scenario.memory > TokenCount{0}) {
            node.chooser->memoryCapacity = [this](const ServiceId &) { return m_scenario.memory; };
            node.chooser->memoryAuthority = [this, index](const ServiceId &service) { return authority(m_nodes[index], service); };
        }
        if (m_scenario.ordersAcrossNodes) {
            node.chooser->ownWaiting = [this, index](const LoadSubject &) { return describeQueue(m_nodes[index]); };
        }
        m_indexes[node.id] = index;
        m_nodes.push_back(std::move(node));
    }
    std::vector<VmId> ids;
    for (const Node &node : m_nodes) {
        ids.push_back(node.id);
    }
    for (Node &node : m_nodes) {
        node.owners->setNodes(ids, m_now);
    }
}

inline FleetOutcome FleetSimulation::run()
{
    arrive();
    notifyOfOther();
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    return m_outcome;
}

inline void FleetSimulation::arrive()
{
    boost::random::exponential_distribution<double> pause(m_scenario.requestsPerSecond);
    const TimePoint next = m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause(m_random)));
    if (next >= m_end) {
        return;
    }
    at(next, [this] {
        boost::random::uniform_int_distribution<std::uint32_t> draw(0, m_scenario.nodes - 1);
        const std::uint32_t node = draw(m_random);
        ++m_outcome.asked;
        bool isUrgent = false;
        if (m_scenario.urgentShare > 0) {
            isUrgent = boost::random::uniform_real_distribution<double>(0, 1)(m_random) < m_scenario.urgentShare;
        }
        m_outcome.urgentAsked += isUrgent ? 1 : 0;
        m_nodes[node].waiting.push_back({node, m_now, isUrgent});
        dispatchWaiting(node);
        arrive();
    });
}

inline void FleetSimulation::notifyOfOther()
{
    constexpr std::uint32_t OtherEndpoints = 160;
    boost::random::exponential_distribution<double> pause(m_scenario.otherNoticesPerSecond);
    const TimePoint next = m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause(m_random)));
    if (next >= m_end) {
        return;
    }
    at(next, [this] {
        boost::random::uniform_int_distribution<std::uint32_t> drawNode(0, m_scenario.nodes - 1);
        boost::random::uniform_int_distribution<std::uint32_t> drawEndpoint(0, OtherEndpoints - 1);
        const std::uint32_t node = drawNode(m_random);
        const EndpointId endpoint{"other" + std::to_string(drawEndpoint(m_random))};
        m_nodes[node].notices.add({endpoint, TokenCount{0}, 1}, m_nodes[node].owners->listeners(ServiceId{"other"}, m_now));
        sendNotices(node);
        notifyOfOther();
    });
}

inline void FleetSimulation::dispatchWaiting(std::uint32_t node)
{
    constexpr Duration RetryPeriod = std::chrono::milliseconds(10);
    auto &waiting = m_nodes[node].waiting;
    while (!waiting.empty()) {
        if (m_scenario.urgentShare > 0) {
            std::sort(waiting.begin(), waiting.end(), [this](const PendingRequest &left, const PendingRequest &right) {
                return rank(left) < rank(right);
            });
        }
        const PendingRequest request = waiting.front();
        if (m_now - request.arrivedAt >= m_scenario.timeout) {
            ++m_outcome.refused;
            waiting.pop_front();
            continue;
        }
        const EndpointChoice choice = m_nodes[node].chooser->choose(m_directory, m_need, m_now);
        const bool awaits = choice.dependsOnLoad() && awaitsLoad(node);
        const bool yields = !awaits && mustYield(m_nodes[node], choice);
        m_nodes[node].waitsForCapacity = awaits ? m_nodes[node].waitsForCapacity : yields || !choice.endpoint;
        if (awaits || yields || !choice.endpoint) {
            // As on a gateway, a node with a queue looks at it once in a period.
            if (m_scenario.urgentShare > 0 && std::exchange(m_nodes[node].retryScheduled, true)) {
                return;
            }
            at(m_now + RetryPeriod, [this, node] {
                m_nodes[node].retryScheduled = false;
                dispatchWaiting(node);
            });
            return;
        }
        waiting.pop_front();
        dispatch(node, request, *choice.endpoint);
    }
}

inline WaitingRank FleetSimulation::rank(const PendingRequest &request) const
{
    Route route;
    route.kind = RouteKind::Safe;
    route.priority = request.isUrgent || m_scenario.urgentShare == 0 ? 0 : 1;
    route.latencyTarget = request.isUrgent ? m_scenario.urgentTarget : m_scenario.latencyTarget;
    return rankAt(m_now, route, {0, false, request.arrivedAt, request.arrivedAt + m_scenario.timeout});
}

inline std::optional<WaitingAtNode> FleetSimulation::describeQueue(const Node &node) const
{
    WaitingRank first;
    for (const PendingRequest &request : node.waiting) {
        first = &request == &node.waiting.front() ? rank(request) : std::min(first, rank(request));
    }
    const bool hasYielded = node.yieldsSince && m_now - *node.yieldsSince >= ServiceLineLimits().yieldTime;
    return describeWaiting(first, static_cast<std::uint32_t>(node.waiting.size()), hasYielded, m_now);
}

inline bool FleetSimulation::mustYield(Node &node, const EndpointChoice &choice)
{
    if (!m_scenario.ordersAcrossNodes || choice.isGranted) {
        return false;
    }
    const WaitingElsewhere elsewhere = node.chooser->waitingElsewhere({m_need.service, {}}, rank(node.waiting.front()), m_now);
    const bool yields = choice.endpoint ? yieldsToOthers(elsewhere, choice.freeSlots) : elsewhere.isWithheld;
    if (!yields) {
        node.yieldsSince.reset();
        return false;
    }
    node.yieldsSince = node.yieldsSince.value_or(m_now);
    return choice.endpoint && m_now - *node.yieldsSince < ServiceLineLimits().yieldTime;
}

inline void FleetSimulation::inviteNext(std::uint32_t owner, const EndpointId &endpoint)
{
    constexpr double InvitationBytes = 120;
    const auto listed = m_directory.find(endpoint);
    if (!m_scenario.ordersAcrossNodes || listed == m_directory.end()) {
        return;
    }
    const auto next = m_nodes[owner].chooser->invite(listed->second, m_now);
    if (!next) {
        return;
    }
    const std::uint32_t node = m_indexes.at(next->first);
    if (node == owner) {
        at(m_now, [this, node] { dispatchWaiting(node); });
        return;
    }
    sendDatagram(owner, InvitationBytes, [this, node, subject = next->second] {
        m_nodes[node].queries->onInvitation(subject);
        dispatchWaiting(node);
    });
}

inline MemoryAuthority FleetSimulation::authority(Node &node, const ServiceId &service)
{
    const auto decider = node.queries->decider(service, *node.owners, m_now);
    if (!decider) {
        return MemoryAuthority::Unheard;
    }
    if (*decider != node.id) {
        return MemoryAuthority::Granted;
    }
    return node.owners->deciders(service, m_now).front() == node.id ? MemoryAuthority::Own : MemoryAuthority::Substitute;
}

inline bool FleetSimulation::awaitsLoad(std::uint32_t node)
{
    constexpr double QueryBytes = 200;
    Node &asker = m_nodes[node];
    const auto purpose = asker.waitsForCapacity ? LoadPurpose::Recheck : LoadPurpose::Dispatch;
    const LoadQueryPlan plan = asker.queries->plan({m_need.service, {}}, purpose, *asker.owners, m_now, ownerChoice());
    if (plan.knowledge == LoadKnowledge::QueryDue) {
        const LoadQuery query = asker.chooser->loadQuery(m_need, m_directory, m_now);
        sendDatagram(node, QueryBytes, [this, owner = m_indexes.at(plan.owner), node, query] { answerLoadQuery(owner, node, query); });
    }
    return plan.knowledge != LoadKnowledge::Ready;
}

inline void FleetSimulation::answerLoadQuery(std::uint32_t owner, std::uint32_t node, const LoadQuery &query)
{
    constexpr double ReportBytes = 400;
    const LoadReport report = m_nodes[owner].chooser->answerLoadQuery(m_nodes[node].id, query, m_directory, m_now);
    sendDatagram(owner, ReportBytes, [this, owner, node, report] {
        m_nodes[node].queries->onReport(m_nodes[owner].id, report, m_now);
        m_nodes[node].chooser->onLoadReport(report, m_now);
        dispatchWaiting(node);
    });
}

inline void FleetSimulation::dispatch(std::uint32_t node, const PendingRequest &request, const EndpointId &endpoint)
{
    constexpr double RequestBytes = 900;
    m_outcome.urgentDispatched += request.isUrgent ? std::chrono::duration_cast<Duration>(m_now - request.arrivedAt) : Duration(0);
    m_nodes[node].chooser->onDispatched(endpoint, m_need, m_now);
    notify(node, endpoint);
    at(*transmit(node, RequestBytes, false), [this, request, endpoint] { reach(request, endpoint); });
}

inline void FleetSimulation::reach(const PendingRequest &request, const EndpointId &endpoint)
{
    Endpoint &state = m_endpoints[endpoint];
    if (state.running >= m_scenario.slots && state.queue.size() >= m_scenario.endpointQueue) {
        ++m_outcome.rejected;
        at(m_now + m_scenario.linkDelay, [this, request, endpoint] {
            m_nodes[request.node].chooser->onEnded(endpoint, m_need.tokens);
            notify(request.node, endpoint);
        });
        return;
    }
    state.held += m_need.tokens;
    m_outcome.mostHeld = std::max(m_outcome.mostHeld, state.held);
    m_outcome.overfilled += state.held > m_scenario.memory ? 1 : 0;
    if (state.running < m_scenario.slots) {
        run(request, endpoint);
    } else {
        state.queue.emplace_back(request, endpoint);
    }
}

inline void FleetSimulation::run(const PendingRequest &request, const EndpointId &endpoint)
{
    m_outcome.urgentBegun += request.isUrgent ? std::chrono::duration_cast<Duration>(m_now - request.arrivedAt) : Duration(0);
    ++m_endpoints[endpoint].running;
    at(m_now + m_scenario.work, [this, request, endpoint] {
        Endpoint &state = m_endpoints[endpoint];
        --state.running;
        state.held -= m_need.tokens;
        if (!state.queue.empty()) {
            const auto next = state.queue.front();
            state.queue.pop_front();
            run(next.first, next.second);
        }
        at(m_now + m_scenario.linkDelay, [this, request, endpoint] { end(request, endpoint); });
    });
}

inline void FleetSimulation::end(const PendingRequest &request, const EndpointId &endpoint)
{
    constexpr double AnswerBytes = 1'000;
    Node &node = m_nodes[request.node];
    node.chooser->onEnded(endpoint, m_need.tokens);
    node.chooser->onSucceeded(endpoint);
    notify(request.node, endpoint);
    inviteNext(request.node, endpoint);
    at(*transmit(request.node, AnswerBytes, false), [this, request] { answer(request); });
    dispatchWaiting(request.node);
}

inline void FleetSimulation::answer(const PendingRequest &request)
{
    const bool isInTime = m_now - request.arrivedAt <= (request.isUrgent ? m_scenario.urgentTarget : m_scenario.latencyTarget);
    ++(isInTime ? m_outcome.inTime : m_outcome.late);
    m_outcome.urgentInTime += isInTime && request.isUrgent ? 1 : 0;
}

inline void FleetSimulation::notify(std::uint32_t node, const EndpointId &endpoint)
{
    announce(node, endpoint);
    if (m_scenario.memory > TokenCount{0}) {
        for (const int delayMs : {60, 130}) {
            at(m_now + std::chrono::milliseconds(delayMs), [this, node, endpoint] { announce(node, endpoint); });
        }
    }
}

inline void FleetSimulation::announce(std::uint32_t node, const EndpointId &endpoint)
{
    Node &sender = m_nodes[node];
    const DispatchNotice notice{endpoint, TokenCount{0}, sender.chooser->inFlight(endpoint), false, sender.chooser->ownTokens(endpoint)};
    sender.notices.add(notice, sender.owners->listeners(m_need.service, m_now));
    sendNotices(node);
}

inline void FleetSimulation::sendNotices(std::uint32_t node)
{
    constexpr Duration PendingNoticePeriod = std::chrono::milliseconds(10);
    constexpr double NoticeBytes = 130;
    Node &sender = m_nodes[node];
    for (const AddressedNotice &due : sender.notices.take(m_now)) {
        for (const VmId &receiver : due.nodes) {
            sendDatagram(node, NoticeBytes, [this, node, other = m_indexes.at(receiver), notice = due.notice] {
                const LoadChange change = m_nodes[other].chooser->onDispatchNotice(m_nodes[node].id, notice, m_now);
                const auto listed = m_directory.find(notice.endpoint);
                if (change == LoadChange::More && listed != m_directory.end()) {
                    m_nodes[other].chooser->line().onDispatched(m_nodes[node].id, listed->second);
                } else if (change == LoadChange::Less) {
                    inviteNext(other, notice.endpoint);
                }
            });
        }
    }
    if (sender.notices.hasPending() && !std::exchange(sender.noticesScheduled, true)) {
        at(m_now + PendingNoticePeriod, [this, node] {
            m_nodes[node].noticesScheduled = false;
            sendNotices(node);
        });
    }
}

inline void FleetSimulation::sendDatagram(std::uint32_t node, double bytes, std::function<void()> received)
{
    if (const auto arrival = transmit(node, bytes, true)) {
        at(*arrival, std::move(received));
    }
}

inline std::optional<TimePoint> FleetSimulation::transmit(std::uint32_t node, double bytes, bool isDatagram)
{
    Node &sender = m_nodes[node];
    const double queued = std::chrono::duration<double>(std::max(sender.linkFreeAt, m_now) - m_now).count() * m_scenario.link.value;
    if (isDatagram) {
        boost::random::uniform_real_distribution<double> draw(0, 1);
        ++m_outcome.datagrams;
        if (queued + bytes > m_scenario.linkQueueBytes || draw(m_random) < m_scenario.loss) {
            ++m_outcome.datagramsLost;
            return std::nullopt;
        }
    }
    const auto duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / m_scenario.link.value));
    sender.linkFreeAt = std::max(sender.linkFreeAt, m_now) + duration;
    return sender.linkFreeAt + m_scenario.linkDelay;
}

} // namespace Hemlockhill::Testing
