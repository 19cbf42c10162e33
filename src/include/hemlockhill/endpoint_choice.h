// Which live endpoint runs a routed request, as seen from one node. A pure core: time and the seed are passed in.
//
// Answers the load pattern of many nodes in front of the same endpoints, each of which has only a small part of their requests: a node
// knows its own requests exactly, and those of the others by the notices that they send.
#pragma once

#include "hemlockhill/dispatch_notices.h"
#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/prompt_pacer.h"
#include "hemlockhill/request_dialect.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Hemlockhill
{

struct EndpointNeed {
    ServiceId service;
    // Without a model any endpoint of the service will do.
    RoutingTarget target;
    TokenCount prompt;
    std::vector<PromptPart> sharedParts;
    // Endpoints that this request has already been sent to.
    std::set<EndpointId> avoided;
};

enum class NoChoice {
    // The service has no endpoint that takes work.
    NoEndpoint,
    // Endpoints hold neither the model nor are loading it.
    ModelAbsent,
    // The model is there or being loaded, and the adapter is not.
    NotLoadedYet,
    // Every endpoint that could run it has failed lately or was already tried.
    NoneLeft,
    // Every endpoint that could run it has as many requests as it can batch.
    Full,
    // Every endpoint that could run it has been given as many prompt tokens lately as its streams bear.
    Paced
};

std::string_view toText(NoChoice reason);

struct EndpointChoice {
    std::optional<EndpointId> endpoint;
    NoChoice reason = NoChoice::NoEndpoint;
    // When the reason is Paced: how long until the first of them may take it.
    Duration delay{0};
};

struct EndpointChooserLimits {
    // Requests that wait at an endpoint, as a part of its slots: enough that a slot that comes free is taken at once. The others wait at
    // the nodes, where the most urgent one goes first.
    double queueShare = 0.12;
    // An endpoint that failed is left alone for this long, twice as long after each further failure, up to the limit.
    Duration pauseAfterFailure = std::chrono::milliseconds(500);
    Duration longestPause = std::chrono::seconds(4);
    // Requests of its own that an endpoint may fail among its latest before it counts as failing.
    double failingShare = 0.3;
    PromptPace pace;
};

class EndpointChooser
{
public:
    EndpointChooser(DataCentreId dataCentre, EndpointChooserLimits limits, std::uint64_t seed);

    EndpointChoice choose(const EndpointsById &endpoints, const EndpointNeed &need, TimePoint now);

    // The part of the prompt that the endpoint probably has to read, as it keeps what it has read lately.
    TokenCount unreadTokens(const EndpointId &endpoint, const EndpointNeed &need) const;
    void onDispatched(const EndpointId &endpoint, const EndpointNeed &need, TimePoint now);
    // Another node has sent a request there, with a prompt of that size unless it is 0, or one of its requests has ended.
    void onOtherNode(const VmId &node, const DispatchNotice &notice, TimePoint now);
    // An exchange ended, well or not.
    void onEnded(const EndpointId &endpoint);
    // The endpoint answered as it should.
    void onSucceeded(const EndpointId &endpoint);
    // The endpoint could not be reached, broke off, or answered with a failure of its own.
    void onFailed(const EndpointId &endpoint, TimePoint now);
    // Keeps what is known of the endpoints that are still there.
    void onDirectory(const EndpointsById &endpoints);
    // Requests that this node has there.
    std::uint32_t inFlight(const EndpointId &endpoint) const;

private:
    struct OtherLoad {
        std::uint32_t inFlight = 0;
        TimePoint at;
    };

    struct Record {
        std::uint32_t inFlight = 0;
        std::map<VmId, OtherLoad> others;
        std::uint32_t failuresInARow = 0;
        // A moving share of requests that failed.
        double failureShare = 0;
        TimePoint pausedUntil;
    };

    bool isPaused(const EndpointId &endpoint, TimePoint now) const;
    double estimatedLoad(const EndpointId &endpoint, TimePoint now) const;

    DataCentreId m_dataCentre;
    EndpointChooserLimits m_limits;
    boost::random::mt19937_64 m_random;
    PromptPacer m_pacer;
    PrefixIndex m_prefixes;
    std::map<EndpointId, Record> m_records;
};

} // namespace Hemlockhill
