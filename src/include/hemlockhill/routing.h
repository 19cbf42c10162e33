// Routing of model requests to endpoints. Deterministic, without I/O: the caller passes in the current time and the random seed.
#pragma once

#include "hemlockhill/admission.h"
#include "hemlockhill/engine_api.h"
#include "hemlockhill/prefix_index.h"
#include "hemlockhill/region_state.h"
#include "hemlockhill/world.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hemlockhill
{

// A request as routing sees it.
struct RoutingRequest {
    RoutingTarget target;
    std::vector<PrefixHash> prefixes;
    // Endpoints that failed this request. They are candidates only when no other endpoint is suitable.
    std::set<EndpointId> avoided;
};

// Costs and limits of the selection.
struct RoutingParameters {
    DataCentreId dataCentre;
    // Maximum age of a report. Endpoints with older reports are not candidates.
    Duration maximumReportAge = std::chrono::seconds(3);
    // Age of the values in a report when it arrives.
    Duration reportLag = std::chrono::milliseconds(300);
    // Maximum cost of running a request where its prefix is not cached. Limits the cost of a wrong hint.
    Duration prefixMissCost = std::chrono::milliseconds(100);
    Duration otherDataCentreCost = std::chrono::milliseconds(2);
    // Number of candidates drawn at random, in addition to the one with the longest cached prefix.
    std::uint32_t randomCandidates = 2;
    // Maximum number of pairs of endpoint and prefix in the prefix index.
    std::size_t prefixLimit = 100'000;
};

// A candidate endpoint for a request.
struct RoutingCandidate {
    EndpointId endpoint;
    // Estimated number of requests running and queued at the endpoint.
    std::uint32_t load = 0;
    std::uint32_t batchLimit = 1;
    double prefixHitRatio = 0;
    // Expected delay before the first token at this endpoint, relative to an idle one with the prefix cached.
    Duration cost{0};
};

// Returns the index of the selected candidate; the list is not empty. By default a few candidates are drawn at random and the one with
// the lowest cost is selected.
using RoutingHook = std::function<std::size_t(const std::vector<RoutingCandidate> &, boost::random::mt19937_64 &)>;

// Selects endpoints from the replicated state, the endpoints' reports and this node's own observations.
class Routing
{
public:
    Routing(RoutingParameters parameters, std::uint64_t seed);

    void setHook(RoutingHook hook) { m_hook = std::move(hook); }

    void onState(std::shared_ptr<const RegionState> state);
    void onReports(std::shared_ptr<const EndpointReports> reports);
    void onCacheEvents(const EndpointId &endpoint, const std::vector<CacheEvent> &events);
    // Sets the endpoints that the platform reports as leaving. Replaces the previous set.
    void onLeaving(std::set<EndpointId> leaving) { m_leaving = std::move(leaving); }

    // Resolves the model name of a request: MODEL, ADAPTER or MODEL:ADAPTER. Returns nothing when the name is not declared.
    std::optional<RoutingTarget> resolve(std::string_view name) const;

    // Selects an endpoint for the request. Returns nothing when no endpoint is suitable now.
    std::optional<EndpointId> choose(const RoutingRequest &request, TimePoint now);

    // Returns the candidates from which choose() selects.
    std::vector<RoutingCandidate> candidates(const RoutingRequest &request, TimePoint now) const;

    // The host reports the progress of each request with the following functions.
    void onDispatched(const EndpointId &endpoint, const RoutingRequest &request, TimePoint now);
    void onFirstToken(const EndpointId &endpoint, Duration sinceDispatch);
    // wholeAfter is the time from dispatch to the end of a complete response. Empty when the response was not complete.
    void onEnded(const EndpointId &endpoint, std::optional<Duration> wholeAfter, TimePoint now);
    void onFailed(const EndpointId &endpoint, Reason reason, TimePoint now);
    // The endpoint refused a request because it is leaving, which its next report will confirm.
    void onEndpointLeaving(const EndpointId &endpoint, TimePoint now);

    ModelForecast forecast(const RoutingTarget &target, TimePoint now) const;
    // Returns whether an endpoint can accept one more request without a long wait in its queue.
    bool hasCapacity(const RoutingTarget &target, TimePoint now) const;
    // Estimated number of requests running and queued at the endpoint: the values of its report, corrected by this node's dispatches
    // since then.
    std::uint32_t loadOf(const EndpointId &endpoint) const;

private:
    // Balance of requests started minus requests ended, after a change.
    struct Change {
        TimePoint at;
        std::int64_t net = 0;
    };

    // This node's own observations of an endpoint, in addition to its report.
    struct LocalState {
        std::uint32_t inProgress = 0;
        std::int64_t net = 0;
        // Balance at the time of the latest report's values, and the changes since then.
        std::int64_t netAtReport = 0;
        std::deque<Change> changes;
        Duration serviceTime{0};
        Duration firstToken{0};
        std::uint32_t failures = 0;
        TimePoint backoffUntil;
        TimePoint leavingRefusalAt;
        Incarnation incarnation;
    };

    // Whether the endpoint serves the target, has a recent report, is not leaving, and is in the given phase.
    bool usable(const EndpointId &id, const EndpointReport &report, const RoutingTarget &target, EndpointPhase phase, TimePoint now) const;
    // Returns Draining when only draining endpoints serve the target: they continue to serve until another copy is available.
    EndpointPhase servingPhase(const RoutingTarget &target, TimePoint now) const;
    Duration costOf(const EndpointId &id, const EndpointReport &report, const RoutingCandidate &candidate) const;
    std::size_t pick(const std::vector<RoutingCandidate> &candidates);
    static void recordChange(LocalState &local, TimePoint now, int delta);
    static void discardChangesUntil(LocalState &local, TimePoint time);

    RoutingParameters m_parameters;
    boost::random::mt19937_64 m_random;
    RoutingHook m_hook;
    std::shared_ptr<const RegionState> m_state;
    std::shared_ptr<const EndpointReports> m_reports;
    std::map<EndpointId, LocalState> m_localStates;
    std::set<EndpointId> m_leaving;
    PrefixIndex m_prefixes;
};

} // namespace Hemlockhill
