// Acceptance of requests, routing, and dispatch of waiting requests in order of priority.
#include "hemlockhill/gateway.h"

#include "endpoint_paths.h"
#include "gateway_forwarded_request.h"
#include "gateway_request.h"
#include "hemlockhill/endpoint_queueing.h"
#include "hemlockhill/log.h"
#include "hemlockhill/refusal_answer.h"
#include "net/arrival_clock.h"

#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <utility>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

// Period at which waiting requests are re-evaluated even if nothing has changed. A node where none wait has no timer.
constexpr Duration DispatchPeriod = std::chrono::milliseconds(10);
// Period at which unreachable endpoints are looked for and probed.
constexpr Duration PathReviewPeriod = std::chrono::milliseconds(50);
// Size of the headers that nodes add to a forwarded request.
constexpr Bytes ForwardingHeaders{4096};
// The body of a request that is being forwarded exists twice: as received, for further attempts, and as sent.
constexpr std::uint32_t BodyCopies = 2;
// Period at which suspects that have expired, and losses of endpoints that still run, are dropped.
constexpr Duration SuspectReviewPeriod = std::chrono::seconds(1);
// Delays after which the count of requests under a rate limit is announced again, as the first notice may have been lost.
constexpr std::array<Duration, 2> RateLimitRepeats{std::chrono::milliseconds(60), std::chrono::milliseconds(300)};
// Delays after which the tokens at an endpoint are announced again, as a notice may have been lost. Within the time for which an owner
// counts what it has granted.
constexpr std::array<Duration, 2> MemoryNoticeRepeats{std::chrono::milliseconds(60), std::chrono::milliseconds(130)};
// Additional time for receiving a request after the header timeout.
constexpr Duration BodyTimeout = std::chrono::seconds(7);

HttpServerLimits serverLimits(const CallerLimits &limits, std::uint32_t connections, const GatewaySettings &settings)
{
    HttpServerLimits server;
    server.header = limits.header;
    server.body = limits.body;
    server.request = limits.headerTimeout + BodyTimeout;
    server.idle = limits.idleTimeout;
    server.connections = connections;
    server.copies = BodyCopies;
    server.requestBudget = settings.requestBudget;
    server.answerBudget = settings.answerBudget;
    return server;
}

HttpServerLimits callerServerLimits(const CallerLimits &limits, const GatewaySettings &settings)
{
    return serverLimits(limits, settings.connectionLimit, settings);
}

HttpServerLimits forwardingServerLimits(const CallerLimits &limits, const GatewaySettings &settings)
{
    HttpServerLimits server = serverLimits(limits, settings.forwardingConnectionLimit, settings);
    server.header += ForwardingHeaders;
    return server;
}

std::uint64_t randomSeed(const Address &listen)
{
    const std::string text = listen.text();
    return XXH3_64bits(text.data(), text.size()) ^ static_cast<std::uint64_t>(currentTime().time_since_epoch().count());
}

// Identifies this process. Two processes of one node must not agree, also when they start at the same time of their machines' clocks.
std::uint64_t randomProcess()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

} // namespace

std::string encodeTargetDemand(const DemandByTarget &demand)
{
    json::array list;
    for (const auto &[target, targetDemand] : demand) {
        json::array entry{target.model.value,
                          target.adapter.value,
                          targetDemand.arrivals,
                          targetDemand.waiting,
                          targetDemand.promptTokens,
                          targetDemand.expectedTokens};
        // Left out if empty, as by earlier versions, which ignore it.
        if (!targetDemand.running.empty()) {
            json::object running;
            for (const auto &[endpoint, count] : targetDemand.running) {
                running[endpoint.value] = count;
            }
            entry.push_back(std::move(running));
        }
        list.push_back(std::move(entry));
    }
    return json::serialize(list);
}

DemandByTarget decodeTargetDemand(std::string_view text)
{
    DemandByTarget demand;
    try {
        const json::value list = json::parse(text);
        for (const json::value &entry : list.as_array()) {
            const RoutingTarget target{ModelId{std::string(entry.at(0).as_string())}, AdapterId{std::string(entry.at(1).as_string())}};
            TargetDemand &decoded = demand[target];
            decoded = {entry.at(2).to_number<std::uint32_t>(),
                       entry.at(3).to_number<std::uint32_t>(),
                       entry.at(4).to_number<std::uint64_t>(),
                       entry.at(5).to_number<std::uint64_t>()};
            const json::value *running = entry.as_array().if_contains(6);
            for (const auto &[endpoint, count] : running == nullptr ? json::object() : running->as_object()) {
                decoded.running[EndpointId{std::string(endpoint)}] = count.to_number<std::uint32_t>();
            }
        }
    } catch (const std::exception &error) {
        throw DecodeError(std::string("malformed target demand: ") + error.what());
    }
    return demand;
}

Gateway::Gateway(boost::asio::io_context &loop, GatewaySettings settings, TimerService &timers, Metrics &metrics, RequestDialect dialect)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_timers(timers)
    , m_metrics(metrics)
    , m_dialect(std::move(dialect))
    , m_pool(loop, m_settings.idleConnections)
    , m_paths(std::make_unique<EndpointPaths>(
          loop, EndpointPathSettings{m_settings.dataCentre, m_settings.forwardingListen}, m_pool, metrics, randomSeed(m_settings.listen)))
    , m_chooser(m_settings.dataCentre, {}, randomSeed(m_settings.listen), VmId{m_settings.listen.host})
    , m_loadOwners(VmId{m_settings.listen.host}, {}, m_settings.isFirstStart)
    , m_loadQueries({}, metrics, randomSeed(m_settings.listen))
    , m_slotTimes({})
    , m_arrivalClock(std::make_shared<ArrivalClock>(loop))
    , m_directory(m_settings.directoryAge)
    , m_crashGuard(m_settings.crashes)
    , m_versions(StreamOriginLimits().retention)
    , m_quota(loop, timers, metrics, VmId{m_settings.listen.host}, randomProcess())
    , m_randomEngine(randomSeed(m_settings.listen))
{
    m_pool.setOpenLimit(m_settings.endpointConnectionLimit);
    m_chooser.hearsAll = [this](const ServiceId &service) { return m_loadOwners.isOwner(service, currentTime()); };
    if (m_settings.isFirstStart) {
        m_versions.onFirstStart();
    }
    if (m_settings.boundsEndpointMemory) {
        boundEndpointMemory();
    }
    m_chooser.queueRatio = [this](const ServiceId &service) { return queueRatio(service); };
    m_chooser.ownWaiting = [this](const LoadSubject &subject) { return describeQueue(subject); };
}

Gateway::~Gateway()
{
    m_arrivalClock->stop();
}

void Gateway::start()
{
    m_server = std::make_unique<HttpServer>(
        m_loop,
        m_settings.listen,
        callerServerLimits({}, m_settings),
        [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) { onRequest(std::move(request), responder); },
        [this](Reason reason) {
            m_metrics.countRefusal(reason);
            logEvent(Severity::Info, "request refused before it was read", {{"reason", toText(reason)}});
        });
    m_server->setArrivalClock(m_arrivalClock);
    m_arrivalClock->start();
    if (m_settings.forwardingListen) {
        startForwardingServer();
    }
    m_timers.every(SuspectReviewPeriod, m_loop, [this] { reviewSuspects(); });
}

void Gateway::startForwardingServer()
{
    m_forwardingServer = std::make_unique<HttpServer>(
        m_loop,
        *m_settings.forwardingListen,
        forwardingServerLimits({}, m_settings),
        [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) { onForwardedRequest(std::move(request), responder); },
        [this](Reason reason) { m_metrics.countRefusal(reason); });
    m_forwardingServer->setArrivalClock(m_arrivalClock);
    m_forwardingServer->setRefusalAnswer([](Reason reason) { return forwardingFailureAnswer({reason, false}, RequestId{}); });
    m_paths->onQuery = [this](const ForwardingMessage &query) {
        if (onForwardingQuery) {
            onForwardingQuery(query);
        }
    };
    m_chooser.pathCost = [this](const LiveEndpoint &endpoint) { return m_paths->cost(endpoint); };
}

void Gateway::setDeployment(std::shared_ptr<const Deployment> deployment)
{
    m_deployment = std::move(deployment);
    m_server->setLimits(callerServerLimits(m_deployment->limits, m_settings));
    m_quota.setDeployment(*m_deployment);
    m_classesOfMixedTargets = classesOfMixedTargets(*m_deployment);
    m_latencyTargets = shortestTargets(*m_deployment);
    if (m_forwardingServer) {
        m_forwardingServer->setLimits(forwardingServerLimits(m_deployment->limits, m_settings));
    }
}

void Gateway::onLeaderDirectory(EndpointsById endpoints, TimePoint listedAt)
{
    m_directory.onLeaderDirectory(std::move(endpoints), listedAt);
    onDirectoryChanged();
}

void Gateway::onLeaderListing(TimePoint listedAt)
{
    m_directory.onLeaderListing(listedAt);
    reviewSuspects();
}

void Gateway::onOwnListing(EndpointsById listing, TimePoint listedAt)
{
    m_directory.onOwnListing(std::move(listing), listedAt);
    onDirectoryChanged();
}

void Gateway::onListUnavailable()
{
    m_directory.onListUnavailable(currentTime());
}

bool Gateway::needsListing() const
{
    return m_directory.needsListing(currentTime());
}

void Gateway::onDirectoryChanged()
{
    m_chooser.onDirectory(m_directory.endpoints(), currentTime());
    m_paths->onDirectory(m_directory.endpoints());
    m_versions.onDirectory(m_directory.endpoints(), currentTime());
    reviewSuspects();
    dispatchWaiting();
}

void Gateway::onRemoteDispatch(const VmId &node, const DispatchNotice &notice)
{
    const LoadChange change = m_chooser.onDispatchNotice(node, notice, currentTime());
    const auto listed = m_directory.endpoints().find(notice.endpoint);
    if (change == LoadChange::Less) {
        inviteNext(notice.endpoint);
    } else if (change == LoadChange::More && listed != m_directory.endpoints().end()) {
        m_chooser.line().onDispatched(node, listed->second);
    }
}

std::optional<RateLimitNotice> Gateway::onRemoteRateLimit(const VmId &node, const RateLimitNotice &notice)
{
    const TimePoint now = currentTime();
    if (!m_chooser.requestRates().onNotice(node, notice, now)) {
        return std::nullopt;
    }
    return m_chooser.requestRates().notice(notice.endpoint, false, now);
}

std::vector<RateLimitNotice> Gateway::rateLimits()
{
    return m_chooser.requestRates().notices(currentTime());
}

void Gateway::setNodes(const std::vector<VmId> &nodes)
{
    const VmId self{m_settings.listen.host};
    m_nodes = std::set<VmId>(nodes.begin(), nodes.end());
    m_otherNodes = nodes;
    std::erase(m_otherNodes, self);
    m_loadOwners.setNodes(nodes, currentTime());
    // In a large fleet this node does not hear from the others.
    m_chooser.brittleEndpoints().setActiveNodes(m_loadOwners.areAllOwners() ? std::set<VmId>{} : m_nodes);
    m_crashGuard.setNodes(self, nodes);
    m_chooser.requestRates().setNodeCount(nodes.size());
}

std::optional<ForwardingMessage> Gateway::onForwardingMessage(const VmId &node, const ForwardingMessage &message)
{
    if (!message.isQuery) {
        m_paths->onOffer(node, message);
        return std::nullopt;
    }
    if (m_paths->isIsolated()) {
        // A node without requests of its own would not notice that it reaches endpoints again.
        m_paths->onQueried();
    }
    const auto inProgress = static_cast<std::uint32_t>(m_forwardedRequests.size());
    const bool takesRequests = m_forwardingServer && m_deployment && hasEndpoints() && !m_isDraining && !m_paths->isIsolated()
                               && m_directory.mayDispatch(currentTime());
    if (!takesRequests || inProgress >= m_settings.forwardedRequests) {
        return std::nullopt;
    }
    return ForwardingMessage{false, m_settings.dataCentre, m_settings.forwardedRequests - inProgress};
}

RequestId Gateway::requestId(const HttpRequest &request) const
{
    try {
        return m_dialect.readRequest(request).id;
    } catch (const DecodeError &) {
        return {};
    }
}

void Gateway::onForwardedRequest(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    const VmId sender{responder->remoteHost()};
    if (!m_nodes.contains(sender)) {
        m_metrics.countEvent("forwarding_refused_outsider");
        logEvent(Severity::Warning, "forwarded request from outside the group refused", {{"from", sender.value}});
        responder->answer(forwardingFailureAnswer({Reason::MalformedRequest, false}, requestId(request)));
        return;
    }
    if (m_forwardedRequests.size() >= m_settings.forwardedRequests) {
        m_metrics.countRefusal(Reason::QueueFull);
        responder->answer(forwardingFailureAnswer({Reason::QueueFull, false}, requestId(request)));
        return;
    }
    m_metrics.countEvent("request_forwarded_for_peer");
    const std::uint64_t number = ++m_lastRequestNumber;
    const auto started = std::make_shared<ForwardedRequest>(*this, number, std::move(request), responder);
    m_forwardedRequests.emplace(number, started);
    started->start();
    schedulePathReview();
}

void Gateway::schedulePathReview()
{
    const bool isNeeded = requestsInProgress() > 0 || m_paths->hasUnreachable();
    if (!m_forwardingServer || !isNeeded || std::exchange(m_pathReviewScheduled, true)) {
        return;
    }
    m_timers.after(PathReviewPeriod, m_loop, [this] {
        m_pathReviewScheduled = false;
        reviewPaths();
        schedulePathReview();
    });
}

void Gateway::reviewPaths()
{
    m_paths->review(m_directory.endpoints());
    for (const EndpointId &id : m_paths->probesDue()) {
        const auto endpoint = m_directory.endpoints().find(id);
        if (endpoint == m_directory.endpoints().end() || !m_deployment) {
            continue;
        }
        const auto service = m_deployment->services.find(endpoint->second.service);
        const TimePoint now = currentTime();
        const bool wantsRequests = m_chooser.requestRates().delay(id, now) == Duration(0)
                                   && m_chooser.availability().delay(endpoint->second, now) == Duration(0)
                                   && !m_chooser.availability().isLeaving(endpoint->second);
        if (service != m_deployment->services.end() && wantsRequests) {
            m_paths->probe(endpoint->second, m_dialect.probe(id, service->second));
        }
    }
}

void Gateway::onDeclaredCapacity(const EndpointId &endpoint,
                                 const Incarnation &incarnation,
                                 const DeclaredCapacity &declared,
                                 TimePoint sentAt)
{
    const auto listed = m_directory.endpoints().find(endpoint);
    if (m_chooser.availability().onAnswer(endpoint, incarnation, declared, currentTime())) {
        logAvailability(endpoint, declared);
    }
    if (declared.isOwn && listed != m_directory.endpoints().end()) {
        m_chooser.brittleEndpoints().onAnswer(listed->second, declared.rejectionLimit, currentTime());
    }
    if (!m_chooser.requestRates().onAnswer(endpoint, incarnation, declared, sentAt, currentTime())) {
        return;
    }
    const bool isLimited = declared.rateLimit == RateLimitStatement::Limited;
    logEvent(Severity::Info,
             "endpoint rate limit changed",
             {{"endpoint", endpoint.value}, {"limited", isLimited}, {"requests_per_second", declared.rate.value}});
    m_metrics.countEvent(isLimited ? "endpoint_rate_limit_declared" : "endpoint_rate_limit_ended");
    announceRateLimit(endpoint, true);
}

void Gateway::logAvailability(const EndpointId &endpoint, const DeclaredCapacity &declared)
{
    if (declared.isLeaving) {
        m_metrics.countEvent("endpoint_leaving_declared");
        logEvent(Severity::Info, "endpoint is leaving", {{"endpoint", endpoint.value}});
    }
    if (declared.pause) {
        const auto pauseMs = std::chrono::duration_cast<std::chrono::milliseconds>(*declared.pause).count();
        m_metrics.countEvent("endpoint_pause_declared");
        logEvent(Severity::Info, "endpoint wants no requests", {{"endpoint", endpoint.value}, {"pause_ms", pauseMs}});
    }
}

void Gateway::onEndpointAssessed(const EndpointId &endpoint, const FailureAssessment &assessment)
{
    if (assessment.verdict == FailureVerdict::Tolerated) {
        return;
    }
    const bool isBackedOff = assessment.verdict == FailureVerdict::BackedOff;
    m_metrics.countEvent(isBackedOff ? "endpoint_backed_off" : "endpoint_failure_no_worse");
    if (!assessment.isNew) {
        return;
    }
    boost::json::object fields{
        {"endpoint", endpoint.value}, {"failure_rate", assessment.failureRate}, {"consecutive_failures", assessment.consecutiveFailures}};
    if (assessment.othersRate) {
        fields["others_failure_rate"] = *assessment.othersRate;
    }
    if (isBackedOff) {
        fields["backoff_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(assessment.backoff).count();
    }
    logEvent(Severity::Info, isBackedOff ? "endpoint put into backoff" : "endpoint fails as others do", std::move(fields));
}

void Gateway::announceRateLimit(const EndpointId &endpoint, bool wantsReply)
{
    const auto notice = m_chooser.requestRates().notice(endpoint, wantsReply, currentTime());
    if (notice && onRateLimit) {
        onRateLimit(*notice);
    }
}

void Gateway::announceLimitedDispatch(const EndpointId &endpoint)
{
    if (!m_chooser.requestRates().isLimited(endpoint)) {
        return;
    }
    announceRateLimit(endpoint, true);
    for (const Duration delay : RateLimitRepeats) {
        m_timers.after(delay, m_loop, [this, endpoint] { announceRateLimit(endpoint, false); });
    }
}

void Gateway::onRemoteCrashSuspects(const CrashSuspectNotice &notice)
{
    m_crashGuard.onNotice(notice, currentTime());
    scheduleSuspectNotices();
}

std::vector<CrashSuspectNotice> Gateway::refusedSuspects() const
{
    return m_crashGuard.refusals(currentTime());
}

void Gateway::reviewSuspects()
{
    m_metrics.setGauge("crash_suspects", static_cast<double>(m_crashGuard.size()));
    if (!m_crashGuard.needsReview()) {
        return;
    }
    ListedIncarnations listed;
    listed.listedAt = m_directory.listedAt();
    for (const auto &[id, endpoint] : m_directory.endpoints()) {
        listed.losses.insert(lossIdOf(id, endpoint.incarnation));
    }
    m_crashGuard.onListed(listed, currentTime());
    m_crashGuard.dropExpired(currentTime());
    scheduleSuspectNotices();
}

void Gateway::scheduleSuspectNotices()
{
    if (std::exchange(m_suspectNoticesScheduled, true)) {
        return;
    }
    boost::asio::post(m_loop, [this] {
        m_suspectNoticesScheduled = false;
        for (const CrashSuspectNotice &notice : m_crashGuard.takeNotices(currentTime())) {
            if (onCrashSuspects) {
                onCrashSuspects(notice);
            }
        }
    });
}

SoftwareVersion Gateway::versionToResume(const ServiceId &service, Duration begunWithin, const OriginLookupResult &origin)
{
    if (!origin.version.empty()) {
        m_metrics.countEvent("stream_resumed_" + std::string(toText(origin.source)));
        return origin.version;
    }
    SoftwareVersion only = m_versions.onlyVersion(service, begunWithin, currentTime());
    m_metrics.countEvent(only.empty() ? "stream_origin_unknown" : "stream_resumed_only_version");
    return only;
}

void Gateway::notifyOtherNodes(const EndpointId &endpoint, TokenCount prompt, bool rejected)
{
    if (!onDispatch) {
        return;
    }
    const auto announce = [this, endpoint](TokenCount sent, bool wasRejected) {
        onDispatch({endpoint, sent, m_chooser.inFlight(endpoint), wasRejected, m_chooser.ownTokens(endpoint)}, nodesToNotify(endpoint));
    };
    announce(prompt, rejected);
    const auto listed = m_directory.endpoints().find(endpoint);
    if (listed != m_directory.endpoints().end() && m_chooser.boundsMemory(listed->second.service)) {
        for (const Duration delay : MemoryNoticeRepeats) {
            m_timers.after(delay, m_loop, [announce] { announce(TokenCount{0}, false); });
        }
    }
}

// A brittle endpoint's quotas rest on what each node knows of the others, without a question before each dispatch.
const std::vector<VmId> &Gateway::nodesToNotify(const EndpointId &endpoint)
{
    const TimePoint now = currentTime();
    const auto listed = m_directory.endpoints().find(endpoint);
    const bool isListed = listed != m_directory.endpoints().end();
    if (!isListed || m_chooser.brittleEndpoints().isBrittle(listed->second, now)) {
        return m_otherNodes;
    }
    return m_loadOwners.listeners(listed->second.service, now);
}

bool Gateway::awaitsLoad(const EndpointRequirements &need, LoadPurpose purpose)
{
    if (!sendLoadQuery) {
        return false;
    }
    const TimePoint now = currentTime();
    // In a small fleet nodes do not ask for the order alone.
    const bool asksFirst = m_chooser.boundsMemory(need.service) || (ordersAcrossNodes() && !m_loadOwners.areAllOwners());
    const OwnerChoice choice = asksFirst ? OwnerChoice::First : OwnerChoice::Any;
    const LoadQueryPlan plan = m_loadQueries.plan({need.service, need.target}, purpose, m_loadOwners, now, choice);
    if (plan.knowledge == LoadKnowledge::QueryDue) {
        sendLoadQuery(plan.owner, m_chooser.loadQuery(need, m_directory.endpoints(), now));
    }
    return plan.knowledge != LoadKnowledge::Ready;
}

void Gateway::boundEndpointMemory()
{
    m_chooser.memoryCapacity = [this](const ServiceId &service) {
        if (!m_deployment) {
            return TokenCount{0};
        }
        const auto found = m_deployment->services.find(service);
        const bool hasEngine = found != m_deployment->services.end() && found->second.engine;
        return hasEngine ? found->second.engine->cacheCapacity : TokenCount{0};
    };
    m_chooser.memoryAuthority = [this](const ServiceId &service) { return memoryAuthority(service); };
}

bool Gateway::ordersAcrossNodes() const
{
    return m_settings.boundsEndpointMemory || (m_deployment && !m_deployment->workspaces.empty());
}

std::optional<WaitingAtNode> Gateway::describeQueue(const LoadSubject &subject) const
{
    if (!ordersAcrossNodes()) {
        return std::nullopt;
    }
    const TimePoint now = currentTime();
    std::optional<WaitingRank> first;
    bool hasYielded = false;
    std::uint32_t count = 0;
    for (const auto &[number, request] : m_requests) {
        const bool isQueued = request->isWaiting() || request.get() == m_dispatched;
        if (!isQueued || request->service() != subject.service || request->target() != subject.target) {
            continue;
        }
        ++count;
        const WaitingRank rank = request->rank(now);
        if (!first || rank < *first) {
            first = rank;
            hasYielded = request->hasYielded(now);
        }
    }
    return describeWaiting(first.value_or(WaitingRank{}), count, hasYielded, now);
}

void Gateway::inviteNext(const EndpointId &endpoint)
{
    const auto listed = m_directory.endpoints().find(endpoint);
    if (!ordersAcrossNodes() || listed == m_directory.endpoints().end()) {
        return;
    }
    const auto next = m_chooser.invite(listed->second, currentTime());
    if (!next) {
        return;
    }
    m_metrics.countEvent("line_invitation");
    if (next->first == m_loadOwners.self()) {
        boost::asio::post(m_loop, [this] { dispatchWaiting(); });
    } else if (sendInvitation) {
        LoadReport invitation{next->second, {}};
        invitation.isInvitation = true;
        sendInvitation(next->first, invitation);
    }
}

RequestRate Gateway::releaseRate(const EndpointRequirements &need)
{
    const TokenCount capacity = m_chooser.memoryCapacity ? m_chooser.memoryCapacity(need.service) : TokenCount{0};
    const double held = static_cast<double>(capacity.value) / static_cast<double>(std::max<std::uint64_t>(need.tokens.value, 1));
    double slots = 0;
    for (const EndpointLoad &load : m_chooser.loads(m_directory.endpoints(), need, currentTime())) {
        slots += capacity > TokenCount{0} ? std::min<double>(load.slots, held) : load.slots;
    }
    return m_slotTimes.releaseRate({need.service, {need.target.model, {}}}, slots);
}

// Nodes of a small fleet hear of all requests, and streams of models hold their slots for longer than what is known of the load is old.
double Gateway::queueRatio(const ServiceId &service) const
{
    const auto target = m_latencyTargets.find(service);
    if (m_loadOwners.areAllOwners() || target == m_latencyTargets.end() || m_deployment->services.at(service).engine) {
        return MinimumQueueRatio;
    }
    return endpointQueueRatio(target->second, m_slotTimes.meanTime({service, {}}));
}

MemoryAuthority Gateway::memoryAuthority(const ServiceId &service)
{
    const TimePoint now = currentTime();
    const auto decider = sendLoadQuery ? m_loadQueries.decider(service, m_loadOwners, now) : m_loadOwners.self();
    if (!decider) {
        return MemoryAuthority::Unheard;
    }
    if (*decider != m_loadOwners.self()) {
        return MemoryAuthority::Granted;
    }
    const auto &deciders = m_loadOwners.deciders(service, now);
    return deciders.empty() || deciders.front() == *decider ? MemoryAuthority::Own : MemoryAuthority::Substitute;
}

std::optional<LoadReport> Gateway::onLoadQuery(const VmId &node, const LoadQuery &query)
{
    const TimePoint now = currentTime();
    if (!m_loadOwners.isOwner(query.subject.service, now)) {
        m_metrics.countEvent("load_query_refused");
        return std::nullopt;
    }
    m_metrics.countEvent("load_query_answered");
    LoadReport report = m_chooser.answerLoadQuery(node, query, m_directory.endpoints(), now);
    if (query.tokens > TokenCount{0}) {
        const bool isGranted =
            std::any_of(report.loads.begin(), report.loads.end(), [](const ReportedLoad &load) { return load.granted > TokenCount{0}; });
        m_metrics.countEvent(isGranted ? "endpoint_memory_granted" : "endpoint_memory_withheld");
    }
    return report;
}

void Gateway::onLoadReport(const VmId &owner, const LoadReport &report)
{
    const TimePoint now = currentTime();
    if (report.isInvitation) {
        m_loadQueries.onInvitation(report.subject);
        dispatchWaiting();
        return;
    }
    m_loadQueries.onReport(owner, report, now);
    m_chooser.onLoadReport(report, now);
    dispatchWaiting();
}

DemandByTarget Gateway::takeTargetDemand()
{
    DemandByTarget demand = std::exchange(m_demand, {});
    for (const auto &[number, request] : m_requests) {
        if (request->isWaiting() && !request->target().model.empty()) {
            ++demand[request->target()].waiting;
        }
        const auto endpoint = request->currentEndpoint();
        if (endpoint && !request->target().adapter.empty()) {
            ++demand[request->target()].running[*endpoint];
        }
    }
    return demand;
}

void Gateway::beginDraining()
{
    m_isDraining = true;
    m_server->closeAfterAnswers();
    if (m_forwardingServer) {
        m_forwardingServer->closeAfterAnswers();
    }
}

void Gateway::stopAccepting()
{
    m_isStopping = true;
    m_server->stopAccepting();
    if (m_forwardingServer) {
        m_forwardingServer->stopAccepting();
    }
    dispatchWaiting();
}

void Gateway::endRequests()
{
    // Each request removes itself when it ends.
    for (const auto &[number, request] : std::map(m_requests)) {
        request->onShutdown();
    }
}

bool Gateway::isIdle() const
{
    const std::size_t connections = m_server->connections() + (m_forwardingServer ? m_forwardingServer->connections() : 0);
    return requestsInProgress() == 0 && connections == 0;
}

void Gateway::onRequest(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    RoutedRequestHead head;
    if (!m_deployment) {
        refuse(*responder, Reason::LeaseExpired, head, "this node has not received a deployment yet");
        return;
    }
    try {
        head = m_dialect.readRequest(request);
    } catch (const DecodeError &error) {
        refuse(*responder, Reason::MalformedRequest, head, error.what());
        return;
    }
    const Route *route = m_deployment->match(request.header("Host"), request.path());
    if (route == nullptr) {
        refuse(*responder, Reason::UnknownPath, head, "no route matches the host and path");
        return;
    }
    m_metrics.countRequest(toText(route->kind));
    if (m_isStopping) {
        // Its answer might not be complete before the process ends.
        refuse(*responder, Reason::Draining, head, "this node is shutting down");
        return;
    }
    const WorkspaceAdmission admission = admitByCredential(*route, head.credential);
    if (admission.verdict != KeyVerdict::Accepted) {
        refuse(*responder, refusalReason(admission.verdict), head, std::string(refusalDetail(admission.verdict)));
        return;
    }
    double total = 0;
    for (const WeightedService &share : route->weightedServices) {
        total += share.weight;
    }
    double position = randomFraction() * total;
    const auto chosen = std::find_if(route->weightedServices.begin(),
                                     route->weightedServices.end(),
                                     [&position](const WeightedService &share) { return (position -= share.weight) < 0; });
    const ServiceId service = chosen == route->weightedServices.end() ? route->weightedServices.back().service : chosen->service;
    const std::uint64_t number = ++m_lastRequestNumber;
    const auto started =
        std::make_shared<Request>(*this, number, std::move(request), std::move(head), m_deployment, *route, service, responder);
    started->setWorkspace(admission.workspace);
    m_requests.emplace(number, started);
    started->start();
    schedulePathReview();
}

// Endpoints whose memory is bounded take fewer requests than they have slots, so that few requests can be in time.
DispatchOrder Gateway::dispatchOrder(const ServiceId &service, const Route &route) const
{
    const bool isByTarget = m_chooser.boundsMemory(service) || m_classesOfMixedTargets.contains({service, route.priority});
    return isByTarget ? DispatchOrder::ByTarget : DispatchOrder::ByPatience;
}

WorkspaceAdmission Gateway::admitByCredential(const Route &route, const Credential &credential) const
{
    return admitByKey(*m_deployment, route, credential, m_documentAge.at(BootClock::now()), m_settings.keys);
}

void Gateway::refuse(HttpResponder &responder, Reason reason, const RoutedRequestHead &head, std::string detail)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.detail = std::move(detail);
    if (traitsOf(reason).retryable) {
        refusal.retryAfter = std::chrono::seconds(1);
    }
    m_metrics.countRefusal(reason);
    logEvent(Severity::Info,
             "request refused",
             {{"request", head.id.value},
              {"reason", toText(reason)},
              {"detail", refusal.detail},
              {"deployment", m_deployment ? m_deployment->version.value : 0}});
    responder.answer(refusalAnswer(refusal, head.id));
}

void Gateway::scheduleDispatch()
{
    if (std::exchange(m_dispatchScheduled, true)) {
        return;
    }
    m_timers.after(DispatchPeriod, m_loop, [this] {
        m_dispatchScheduled = false;
        dispatchWaiting();
        const bool anyWaits =
            std::any_of(m_requests.begin(), m_requests.end(), [](const auto &entry) { return entry.second->isWaiting(); });
        if (anyWaits) {
            scheduleDispatch();
        }
    });
}

void Gateway::dispatchWaiting()
{
    std::vector<std::shared_ptr<Request>> waiting;
    for (const auto &[number, request] : m_requests) {
        if (request->isWaiting()) {
            waiting.push_back(request);
        }
    }
    const TimePoint now = currentTime();
    std::sort(waiting.begin(), waiting.end(), [now](const auto &left, const auto &right) { return left->rank(now) < right->rank(now); });
    // Requests for the same service and model are dispatched in order: while one waits for capacity, those behind it wait too.
    std::map<std::pair<ServiceId, ModelId>, QueueForecast> queues;
    for (const auto &request : waiting) {
        const std::pair queue{request->service(), request->target().model};
        if (request->refuseIfSuspect()) {
            continue;
        }
        if (const auto found = queues.find(queue); found != queues.end()) {
            request->waitBehind(found->second);
            continue;
        }
        request->tryDispatch();
        if (request->waitsForCapacity()) {
            queues.emplace(queue, request->forecast());
        }
    }
}

bool Gateway::isQueued(const ServiceId &service, const ModelId &model) const
{
    return std::any_of(m_requests.begin(), m_requests.end(), [&](const auto &entry) {
        const Request &request = *entry.second;
        return request.waitsForCapacity() && request.service() == service && request.target().model == model;
    });
}

RetryBudget &Gateway::retryBudget(const ServiceId &service)
{
    return m_budgets.try_emplace(service, m_settings.retries).first->second;
}

double Gateway::randomFraction()
{
    return boost::random::uniform_real_distribution<double>(0, 1)(m_randomEngine);
}

} // namespace Hemlockhill
