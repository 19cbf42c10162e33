// Selects the endpoint for a routed request at one node. Deterministic, without I/O: the caller passes in the current time and the
// seed.
//
// Designed for many nodes that share the same endpoints, where each node handles a small fraction of the requests: a node knows the
// number of its own requests exactly, and learns the number of the others' from their dispatch notices or from the owners of the service.
// A load that is not known at present counts as a cost, but never as a reason to send nothing: the endpoint's own queue decides then.
#pragma once

#include "hemlockhill/brittle_endpoints.h"
#include "hemlockhill/dispatch_notices.h"
#include "hemlockhill/endpoint_availability.h"
#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/endpoint_failures.h"
#include "hemlockhill/endpoint_loads.h"
#include "hemlockhill/endpoint_memory.h"
#include "hemlockhill/endpoint_queueing.h"
#include "hemlockhill/endpoint_rate_limiter.h"
#include "hemlockhill/load_queries.h"
#include "hemlockhill/prompt_rate_limiter.h"
#include "hemlockhill/request_dialect.h"
#include "hemlockhill/service_line.h"
#include "hemlockhill/stream_duration.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace Hemlockhill
{

// What a request requires of its endpoint.
struct EndpointRequirements {
    ServiceId service;
    // When the model is empty, every endpoint of the service is suitable.
    RoutingTarget target;
    TokenCount prompt;
    std::vector<PromptPart> sharedParts;
    // Set for the rest of a stream: only endpoints of the version that began it are suitable.
    std::optional<SoftwareVersion> softwareVersion;
    // Endpoints to which this request has already been sent.
    std::set<EndpointId> avoided;
    // Tokens that the request holds in the end, where the memory of endpoints is bounded.
    TokenCount tokens = {};
    // What it asks for, if it is a stream of a model.
    StreamDemand stream = {};
};

// Why no endpoint was selected.
enum class NoEndpointReason {
    // The node's knowledge of the endpoints is too old: any of them may have begun to leave.
    DirectoryOutdated,
    // The service has no endpoint that accepts requests.
    NoEndpoint,
    // The service has no endpoint of the software version that began the stream.
    VersionAbsent,
    // No endpoint has loaded the model or is loading it.
    ModelAbsent,
    // The model is loaded or being loaded, but the adapter is not loaded.
    NotLoadedYet,
    // Every suitable endpoint failed recently or has already been tried.
    NoneLeft,
    // Every suitable endpoint is at its limit of requests.
    Full,
    // The load of the endpoints has been asked for, and the answer is awaited.
    LoadAwaited,
    // Every suitable endpoint has reached its rate limit for prompt tokens.
    RateLimited,
    // Every suitable endpoint accepts a limited rate of requests from all nodes, which is used up, or wants none for a while.
    RequestLimited
};

std::string_view toText(NoEndpointReason reason);

// The selected endpoint, or the reason why there is none.
struct EndpointChoice {
    std::optional<EndpointId> endpoint;
    NoEndpointReason reason = NoEndpointReason::NoEndpoint;
    // With rate-limited or pausing endpoints: time until the first of them accepts the request.
    Duration delay{0};
    // With endpoints that limit the rate of requests: the rate that they accept from this node, all of them together.
    RequestRate acceptedRate;
    // Whether an owner has granted the room for this request, so that nothing need be asked.
    bool isGranted = false;
    // Further requests that the suitable endpoints can take, if one is selected.
    double freeSlots = 0;

    // Whether other loads of the endpoints could lead to another choice.
    bool dependsOnLoad() const
    {
        return !isGranted && (endpoint || reason == NoEndpointReason::Full || reason == NoEndpointReason::RateLimited);
    }
};

// What a node takes for the load of one endpoint, for logs.
struct EndpointLoad {
    EndpointId endpoint;
    std::uint32_t slots = 0;
    // Requests in progress there of this node and of the others.
    std::uint32_t own = 0;
    OthersLoad others;
    // Tokens of the requests that this node knows of.
    TokenCount tokens = {};
};

// Limits on the load and the failures of an endpoint.
struct EndpointChooserLimits {
    // Requests queued at an endpoint, as a ratio of its slots, unless the hook says otherwise. All other requests wait at the nodes, where
    // the most urgent one is dispatched first.
    double queueRatio = MinimumQueueRatio;
    EndpointFailureLimits failures;
    PromptRateLimit promptRateLimit;
    EndpointRateLimits requestRateLimits;
    BrittleEndpointLimits brittleEndpoints;
    EndpointAvailabilityLimits availability;
    EndpointMemoryLimits memory;
    ServiceLineLimits line;
};

// How a notice changes the number of a node's requests at an endpoint.
enum class LoadChange { None, More, Less };

// Selects endpoints and tracks their load, failures and cached prefixes.
class EndpointChooser
{
public:
    EndpointChooser(DataCentreId dataCentre, EndpointChooserLimits limits, std::uint64_t seed, VmId self = {});

    // Additional cost of the way to an endpoint, in requests per slot; empty if there is none at this moment. Optional.
    std::function<std::optional<double>(const LiveEndpoint &endpoint)> pathCost;
    // Whether this node hears of all requests to a service by notices, so that it need not ask for its load. Optional: it does.
    std::function<bool(const ServiceId &service)> hearsAll;
    // Requests that may queue at an endpoint of the service, as a ratio of its slots. Optional: the limit above.
    std::function<double(const ServiceId &service)> queueRatio;
    // Memory of each endpoint of a service, in tokens; 0 if it is not bounded. Optional: it is not.
    std::function<TokenCount(const ServiceId &service)> memoryCapacity;
    // Who decides about it. Optional: this node.
    std::function<MemoryAuthority(const ServiceId &service)> memoryAuthority;
    // What waits at this node, for the order across nodes. Optional: nothing.
    std::function<std::optional<WaitingAtNode>(const LoadSubject &subject)> ownWaiting;

    // Selects the suitable endpoint with the lowest cost: load and uncached prompt tokens per slot, and a penalty for other data centres.
    EndpointChoice choose(const EndpointsById &endpoints, const EndpointRequirements &need, TimePoint now);

    // Returns what waits at other nodes. An owner knows it itself; `rank` is that of this node's request.
    WaitingElsewhere waitingElsewhere(const LoadSubject &subject, const WaitingRank &rank, TimePoint now);
    // A request has ended at an endpoint. Returns the node and the subject of the most urgent request that can take its place.
    std::optional<std::pair<VmId, LoadSubject>> invite(const LiveEndpoint &endpoint, TimePoint now);
    ServiceLine &line() { return m_line; }
    // Whether a request holds more than the whole memory of an endpoint.
    bool exceedsMemory(const EndpointRequirements &need) const;
    bool boundsMemory(const ServiceId &service) const { return capacityOf(service) > TokenCount{0}; }
    // Returns the tokens of this node's requests at the endpoint.
    TokenCount ownTokens(const EndpointId &endpoint) const { return m_memory.own(endpoint); }
    // Number of prompt tokens that the endpoint probably has to process, because they are not in its prefix cache.
    TokenCount uncachedTokens(const EndpointId &endpoint, const EndpointRequirements &need) const;
    void onDispatched(const EndpointId &endpoint, const EndpointRequirements &need, TimePoint now);
    // Another node dispatched a request to the endpoint, or one of its requests there ended. The prompt size is 0 when it is to be
    // disregarded.
    LoadChange onDispatchNotice(const VmId &node, const DispatchNotice &notice, TimePoint now);
    // Another node asks for the load of a service's endpoints. The report is true as far as this node hears of all requests.
    LoadReport answerLoadQuery(const VmId &node, const LoadQuery &query, const EndpointsById &endpoints, TimePoint now);
    // An owner of the service has answered this node's query.
    void onLoadReport(const LoadReport &report, TimePoint now);
    // Returns the question about endpoints that a request can go to: of many, those that suit it best, but for their load, mixed at random.
    LoadQuery loadQuery(const EndpointRequirements &need, const EndpointsById &endpoints, TimePoint now);
    // An exchange with the endpoint ended, successfully or not.
    void onEnded(const EndpointId &endpoint, TokenCount tokens = {});
    // The endpoint returned a valid response.
    void onSucceeded(const EndpointId &endpoint);
    // The endpoint was unreachable, closed the connection early, or returned an error of its own.
    FailureAssessment onFailed(const EndpointId &endpoint, TimePoint now, EndpointFailureKind kind = EndpointFailureKind::Exchange);
    // Neither this node nor others can connect to the endpoint.
    FailureAssessment onUnreachable(const EndpointId &endpoint, TimePoint now);
    // Discards the records of endpoints that are no longer listed and have no requests in flight from this node.
    void onDirectory(const EndpointsById &endpoints, TimePoint now);
    // Returns what this node takes for the load of an endpoint.
    EndpointLoad loadOf(const LiveEndpoint &endpoint, TimePoint now);
    // Returns what this node takes for the load of the endpoints that hold what the request needs.
    std::vector<EndpointLoad> loads(const EndpointsById &endpoints, const EndpointRequirements &need, TimePoint now);
    // Number of this node's requests in flight at the endpoint.
    std::uint32_t inFlight(const EndpointId &endpoint) const;
    // The limits that endpoints declare for the requests of all nodes.
    EndpointRateLimiter &requestRates() { return m_requestRates; }
    // The endpoints that fail when they have to reject too many requests.
    BrittleEndpoints &brittleEndpoints() { return m_brittleEndpoints; }
    // The endpoints that want no requests at present.
    EndpointAvailability &availability() { return m_availability; }

private:
    struct Record {
        std::uint32_t inFlight = 0;
    };

    TokenCount capacityOf(const ServiceId &service) const { return memoryCapacity ? memoryCapacity(service) : TokenCount{0}; }
    MemoryAuthority authorityOf(const ServiceId &service, TimePoint now) const;
    // Tokens at the endpoint of all requests that this node knows of, and what it has promised to other nodes than the given one.
    TokenCount heldTokens(const EndpointId &endpoint, const VmId &node, TimePoint now);
    // Whether the endpoint has memory for a request. `authority` decides, `capacity` is not 0.
    bool
    hasMemory(const EndpointId &endpoint, const EndpointRequirements &need, TokenCount capacity, MemoryAuthority authority, TimePoint now);
    // Counts a slot as taken that the node will use by this report, unless more urgent requests of other nodes need it.
    void promiseSlot(const VmId &node, const LoadQuery &query, const EndpointsById &endpoints, LoadReport &report, TimePoint now);
    // Grants a node that asks for it the memory for a request at the best of the reported endpoints that have it, unless more urgent
    // requests of other nodes need it.
    void grantMemory(const VmId &node, const LoadQuery &query, const EndpointsById &endpoints, LoadReport &report, TimePoint now);
    bool isInBackoff(const EndpointId &endpoint, TimePoint now) const;
    // Longest interval between events with which the stream is complete by its deadline. Unlimited if no suitable endpoint is that fast:
    // the caller's estimate of the length may be wrong.
    static Duration
    longestUsefulInterval(const std::vector<const LiveEndpoint *> &active, const EndpointRequirements &need, Duration typical);
    // Interval between the events of a stream at the endpoint; that of the others of its service if its own is not known.
    static Duration eventInterval(const LiveEndpoint &endpoint, Duration typical);
    // Cost of the way to the endpoint's data centre, in requests per slot.
    double dataCentreCost(const LiveEndpoint &endpoint) const;
    // What the other nodes have in progress at the endpoint, as far as this node knows.
    OthersLoad othersLoad(const LiveEndpoint &endpoint, TimePoint now);
    // Number of requests that run and queue at an endpoint when it is full.
    double requestLimit(const LiveEndpoint &endpoint) const;
    bool isFull(const LiveEndpoint &endpoint, const OthersLoad &others, TimePoint now);

    DataCentreId m_dataCentre;
    VmId m_self;
    EndpointChooserLimits m_limits;
    boost::random::mt19937_64 m_random;
    PromptRateLimiter m_rateLimiter;
    EndpointRateLimiter m_requestRates;
    BrittleEndpoints m_brittleEndpoints;
    EndpointAvailability m_availability;
    EndpointFailures m_failures;
    PrefixIndex m_prefixes;
    EndpointLoads m_loads;
    EndpointMemory m_memory;
    // Slots that nodes have been told of and that count as taken until they have had time to dispatch, in requests. Used where requests are
    // ordered across nodes.
    EndpointMemory m_promisedSlots;
    ServiceLine m_line;
    LineReports m_lineReports;
    // When an owner of an earlier build, which grants nothing, has answered last.
    std::map<ServiceId, TimePoint> m_withoutGrants;
    std::map<EndpointId, Record> m_records;
};

} // namespace Hemlockhill
