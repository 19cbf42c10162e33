// An HTTP reverse proxy that forwards callers' requests to endpoints, by the routes of a deployment, and returns the answers unchanged.
#pragma once

#include "hemlockhill/crash_guard.h"
#include "hemlockhill/deployment.h"
#include "hemlockhill/directory_view.h"
#include "hemlockhill/dispatch_notices.h"
#include "hemlockhill/endpoint_choice.h"
#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/forwarding_peers.h"
#include "hemlockhill/gateway_quota.h"
#include "hemlockhill/http_exchange.h"
#include "hemlockhill/http_server.h"
#include "hemlockhill/load_owners.h"
#include "hemlockhill/load_queries.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/request_dialect.h"
#include "hemlockhill/retry_budget.h"
#include "hemlockhill/room_forecast.h"
#include "hemlockhill/stream_origins.h"
#include "hemlockhill/timer_service.h"
#include "hemlockhill/version_history.h"
#include "hemlockhill/workspace_admission.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hemlockhill
{

class ArrivalClock;
class BufferBudget;
class EndpointPaths;

struct GatewaySettings {
    Address listen;
    // Address for requests that other nodes forward through this one; empty if nodes do not forward through each other.
    std::optional<Address> forwardingListen;
    // Maximum number of such requests in progress, so that this node's own callers keep most of its capacity.
    std::uint32_t forwardedRequests = 100;
    DataCentreId dataCentre;
    // Idle connections kept open to each endpoint.
    std::size_t idleConnections = 24;
    // Number of connections to all endpoints together from which on idle ones are closed for new ones.
    std::uint32_t endpointConnectionLimit = 10'000;
    // Maximum number of open connections from callers.
    std::uint32_t connectionLimit = 3000;
    // Maximum number of open connections from other nodes.
    std::uint32_t forwardingConnectionLimit = 1024;
    // Bounds what this node holds of requests; null for no bound.
    std::shared_ptr<BufferBudget> requestBudget;
    // Bounds what callers and other nodes have not read of answers; null for no bound.
    std::shared_ptr<BufferBudget> answerBudget;
    RetryBudgetLimits retries;
    DirectoryAgeLimits directoryAge;
    CrashGuardLimits crashes;
    KeyLimits keys;
    // Whether the whole group starts for the first time, so that no stream has begun before.
    bool isFirstStart = false;
    // Whether the tokens of the requests at an endpoint must stay within its memory, since it fails otherwise.
    bool boundsEndpointMemory = false;
};

// Demand for one model, or one adapter on it, since the previous report.
struct TargetDemand {
    std::uint32_t arrivals = 0;
    // Requests waiting for an endpoint at the time of the report.
    std::uint32_t waiting = 0;
    // Total prompt length of the arrivals.
    std::uint64_t promptTokens = 0;
    // Total of the callers' estimates of the tokens to be generated.
    std::uint64_t expectedTokens = 0;
    // Requests for an adapter that are in progress, by endpoint. Empty for models.
    std::map<EndpointId, std::uint32_t> running = {};
};
using DemandByTarget = std::map<RoutingTarget, TargetDemand>;

// Encodes demand as JSON text and decodes it. Decoding throws DecodeError on malformed text.
std::string encodeTargetDemand(const DemandByTarget &demand);
DemandByTarget decodeTargetDemand(std::string_view text);

// Routes, queues, retries and forwards requests. All members must be called on the given event loop.
class Gateway
{
public:
    Gateway(boost::asio::io_context &loop, GatewaySettings settings, TimerService &timers, Metrics &metrics, RequestDialect dialect);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    // Called when a request is dispatched to an endpoint or ends there, so that these nodes can be notified.
    std::function<void(const DispatchNotice &notice, const std::vector<VmId> &nodes)> onDispatch;
    // Takes into account that another node has dispatched a request to an endpoint, or that one has ended there.
    void onRemoteDispatch(const VmId &node, const DispatchNotice &notice);
    // Called to ask an owner of a service for the load of its endpoints.
    std::function<void(const VmId &owner, const LoadQuery &query)> sendLoadQuery;
    // Another node asks. Returns the answer; empty if this node does not own the loads of the service.
    std::optional<LoadReport> onLoadQuery(const VmId &node, const LoadQuery &query);
    // Called to tell another node that a slot has become free for its requests.
    std::function<void(const VmId &node, const LoadReport &invitation)> sendInvitation;
    // An owner has answered, or tells of a free slot.
    void onLoadReport(const VmId &owner, const LoadReport &report);
    // Called when the other nodes must learn about the rate limit of an endpoint, or about a request that was dispatched under it.
    std::function<void(const RateLimitNotice &notice)> onRateLimit;
    // Another node has sent such a notice. Returns the notice to send back, if any.
    std::optional<RateLimitNotice> onRemoteRateLimit(const VmId &node, const RateLimitNotice &notice);
    // Returns what this node knows of the endpoints' rate limits.
    std::vector<RateLimitNotice> rateLimits();
    // Sets the nodes of the group, including this one. Only they may forward requests through this node.
    void setNodes(const std::vector<VmId> &nodes);
    // Called to ask some of the other nodes whether requests can be forwarded through them.
    std::function<void(const ForwardingMessage &query)> onForwardingQuery;
    // Another node asks or offers. Returns this node's offer, if it is asked and takes requests of others.
    std::optional<ForwardingMessage> onForwardingMessage(const VmId &node, const ForwardingMessage &message);
    // Called when the other nodes must learn about requests that crash endpoints.
    std::function<void(const CrashSuspectNotice &notice)> onCrashSuspects;
    // Another node has sent such a notice.
    void onRemoteCrashSuspects(const CrashSuspectNotice &notice);
    // Returns the requests and parts of prompts that this node refuses because they crash endpoints.
    std::vector<CrashSuspectNotice> refusedSuspects() const;
    // Called when the first event of a resumable stream is forwarded.
    std::function<void(const StreamOrigin &origin)> onStreamBegun;
    // Looks up the origin of a stream that a caller wants to continue; must call `found` once. Unless set, the origin of no stream is
    // known.
    std::function<void(const RequestId &request, StreamOrigins::Found found)> findStreamOrigin;
    // Called when a request starts waiting for a model or adapter that no endpoint has loaded.
    std::function<void()> onTargetMissing;

    // Listens for callers. Throws EnvironmentError if the address cannot be bound.
    void start();
    // Replaces the routes and limits. Requests in progress keep the deployment with which they started. Call after start().
    void setDeployment(std::shared_ptr<const Deployment> deployment);
    // The leader has confirmed that no document was newer at the given time than the one in force now.
    void onDeploymentConfirmed(BootTimePoint at) { m_documentAge.onConfirmed(at); }
    // The leader's directory has changed. It agrees with an endpoint list that was requested at listedAt.
    void onLeaderDirectory(EndpointsById endpoints, TimePoint listedAt);
    // The leader's directory has not changed, but agrees with a list that was requested at listedAt.
    void onLeaderListing(TimePoint listedAt);
    // This node has read the endpoint list, which it requested at listedAt.
    void onOwnListing(EndpointsById listing, TimePoint listedAt);
    // This node has tried to read the endpoint list, and the list did not answer.
    void onListUnavailable();
    // Whether the owner should read the endpoint list, because the leader's is outdated.
    bool needsListing() const;
    // Returns the demand since the previous call and resets the counters.
    DemandByTarget takeTargetDemand();
    GatewayQuota &quota() { return m_quota; }
    bool hasDeployment() const { return m_deployment != nullptr; }
    bool hasEndpoints() const { return !m_directory.endpoints().empty(); }

    // Closes each connection after the next answer. Requests are still accepted.
    void beginDraining();
    // Accepts no more requests and refuses those that are waiting. Requests dispatched to endpoints continue.
    void stopAccepting();
    // Ends the requests that are still in progress: a caller that has received nothing yet is told that its request failed.
    void endRequests();
    std::size_t requestsInProgress() const { return m_requests.size() + m_forwardedRequests.size(); }
    // True when no request is in progress and every answer has been written and its connection closed.
    bool isIdle() const;

private:
    class Request;
    friend class Request;
    class ForwardedRequest;
    friend class ForwardedRequest;

    void startForwardingServer();
    // Empty if the request names none, or is malformed.
    RequestId requestId(const HttpRequest &request) const;
    void onForwardedRequest(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    // Looks for endpoints that this node does not reach, and probes them.
    void reviewPaths();
    void onRequest(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void refuse(HttpResponder &responder, Reason reason, const RoutedRequestHead &head, std::string detail);
    // By what the requests for a service that have the priority of the route are ordered.
    DispatchOrder dispatchOrder(const ServiceId &service, const Route &route) const;
    // Decides by the credential whether a request may run, by the document in force now.
    WorkspaceAdmission admitByCredential(const Route &route, const Credential &credential) const;
    void dispatchWaiting();
    // Evaluates the waiting requests again after a while, for as long as there are any.
    void scheduleDispatch();
    // Looks for unreachable endpoints after a while, for as long as requests are in progress or endpoints unreachable.
    void schedulePathReview();
    void onDirectoryChanged();
    // Whether requests for the model are already waiting for capacity.
    bool isQueued(const ServiceId &service, const ModelId &model) const;
    // Decides at which software version a stream may go on; empty if it may at none. The stream began within the given time.
    SoftwareVersion versionToResume(const ServiceId &service, Duration begunWithin, const OriginLookupResult &origin);
    void notifyOtherNodes(const EndpointId &endpoint, TokenCount prompt, bool rejected = false);
    // The nodes that must learn of requests to the endpoint.
    const std::vector<VmId> &nodesToNotify(const EndpointId &endpoint);
    // Whether a request must wait until the load of the endpoints is known. Asks for it if that is due.
    bool awaitsLoad(const EndpointRequirements &need, LoadPurpose purpose);
    // Sets the hooks of the chooser that bound the memory of endpoints.
    void boundEndpointMemory();
    // Whether the requests of all nodes are dispatched in one order: where the deployment has workspaces or memory is bounded.
    bool ordersAcrossNodes() const;
    // What waits at this node for a subject, with the request that is to be dispatched now.
    std::optional<WaitingAtNode> describeQueue(const LoadSubject &subject) const;
    // A slot has become free: tells the node of the most urgent request that waits for one.
    void inviteNext(const EndpointId &endpoint);
    // Returns the rate at which the slots of the endpoints that a request can go to become free, as far as this node knows; 0 if not at
    // all.
    RequestRate releaseRate(const EndpointRequirements &need);
    MemoryAuthority memoryAuthority(const ServiceId &service);
    // Requests that may queue at an endpoint of the service, as a ratio of its slots.
    double queueRatio(const ServiceId &service) const;
    // Takes what an endpoint has said of its capacity in the answer to a request that was sent at the given time.
    void onDeclaredCapacity(const EndpointId &endpoint, const Incarnation &incarnation, const DeclaredCapacity &declared, TimePoint sentAt);
    void logAvailability(const EndpointId &endpoint, const DeclaredCapacity &declared);
    // Notifies the other nodes of a request that was dispatched to an endpoint that limits their rate.
    void announceLimitedDispatch(const EndpointId &endpoint);
    // Counts and logs what follows a failure for an endpoint.
    void onEndpointAssessed(const EndpointId &endpoint, const FailureAssessment &assessment);
    void announceRateLimit(const EndpointId &endpoint, bool wantsReply);
    // Forgets losses of endpoints that run, and suspects that have expired.
    void reviewSuspects();
    // Notifies the other nodes of changed suspects, once for all that changes in one turn of the event loop.
    void scheduleSuspectNotices();
    RetryBudget &retryBudget(const ServiceId &service);
    // Returns a random number in [0, 1).
    double randomFraction();

    boost::asio::io_context &m_loop;
    GatewaySettings m_settings;
    TimerService &m_timers;
    Metrics &m_metrics;
    RequestDialect m_dialect;
    ConnectionPool m_pool;
    std::unique_ptr<EndpointPaths> m_paths;
    EndpointChooser m_chooser;
    LoadOwners m_loadOwners;
    LoadQueries m_loadQueries;
    SlotTimes m_slotTimes;
    std::shared_ptr<ArrivalClock> m_arrivalClock;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpServer> m_forwardingServer;
    std::set<VmId> m_nodes;
    // The same without this node.
    std::vector<VmId> m_otherNodes;
    std::shared_ptr<const Deployment> m_deployment;
    DocumentAge m_documentAge;
    std::set<DispatchClass> m_classesOfMixedTargets;
    // The shortest latency target of the routes to each service.
    std::map<ServiceId, Duration> m_latencyTargets;
    DirectoryView m_directory;
    CrashGuard m_crashGuard;
    bool m_suspectNoticesScheduled = false;
    VersionHistory m_versions;
    GatewayQuota m_quota;
    std::map<std::uint64_t, std::shared_ptr<Request>> m_requests;
    std::map<std::uint64_t, std::shared_ptr<ForwardedRequest>> m_forwardedRequests;
    std::uint64_t m_lastRequestNumber = 0;
    bool m_dispatchScheduled = false;
    // The request that is being dispatched; null outside of that.
    const Request *m_dispatched = nullptr;
    bool m_pathReviewScheduled = false;
    bool m_isDraining = false;
    bool m_isStopping = false;
    std::map<ServiceId, RetryBudget> m_budgets;
    DemandByTarget m_demand;
    boost::random::mt19937_64 m_randomEngine;
};

} // namespace Hemlockhill
