// Questions to the owners of a service about the load of its endpoints. Deterministic, without I/O: messages may be lost, late or
// repeated.
//
// A node that is no owner asks before it dispatches, unless it has asked a moment ago. An owner that does not answer in time is not asked
// again for a while; when none answers, the node dispatches without knowledge of the load.
#pragma once

#include "hemlockhill/endpoint_loads.h"
#include "hemlockhill/load_owners.h"
#include "hemlockhill/metrics.h"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// Asks for the load of the endpoints of a service that hold a model; of all its endpoints if the model is empty.
struct LoadQuery {
    ServiceId service;
    ModelId model;
    // The sender's requests in progress at all endpoints of the service: what the owner has missed of them is corrected by this.
    std::vector<EndpointRequests> own;

    bool operator==(const LoadQuery &) const = default;
};

// The load of one endpoint without the requests of the node that asked.
struct ReportedLoad {
    EndpointRequests others;
    // Prompt tokens that the endpoint could take at once; negative if it has more to read than the rate limit allows.
    std::int32_t promptAllowance = 0;

    bool operator==(const ReportedLoad &) const = default;
};

// Answers a query. Names the endpoints with the lowest load if there are too many for a datagram.
struct LoadReport {
    ServiceId service;
    ModelId model;
    std::vector<ReportedLoad> loads;

    bool operator==(const LoadReport &) const = default;
};

// Maximum number of endpoints named by a query or a report, so that it fits in a datagram.
inline constexpr std::size_t LoadEntryLimit = 40;

struct LoadQueryLimits {
    // How long a node waits for an answer.
    Duration answerTimeout = std::chrono::milliseconds(20);
    // How long an owner that has not answered is not asked.
    Duration silencePeriod = std::chrono::seconds(2);
    // A report is not asked for again within this time.
    Duration reuse = std::chrono::milliseconds(8);
    // Queries a second of all nodes together, and how many of its share a node may send at once.
    double fleetRate = 4'000;
    double burst = 8;
    // From this number of services and models on, those that were not asked for lately are forgotten.
    std::size_t subjects = 1'000;
};

// Whether a request can be dispatched by what is known of the load.
enum class LoadKnowledge {
    // The load is known as well as it can be now.
    Ready,
    // An answer is awaited.
    Awaited,
    // The caller must send a query to the node named by the plan.
    QueryDue
};

struct LoadQueryPlan {
    LoadKnowledge knowledge = LoadKnowledge::Ready;
    // The owner to ask, if a query is due.
    VmId owner;
};

class LoadQueries
{
public:
    LoadQueries(LoadQueryLimits limits, Metrics &metrics, std::uint64_t seed);

    // Decides whether a request for the model needs a query. If one is due, it counts as sent.
    LoadQueryPlan plan(const ServiceId &service, const ModelId &model, LoadOwners &owners, TimePoint now);
    // An owner has answered.
    void onReport(const VmId &owner, const LoadReport &report, TimePoint now);

private:
    struct Subject {
        ServiceId service;
        ModelId model;
        auto operator<=>(const Subject &) const = default;
    };

    struct State {
        // The owner that was asked last; empty once it has answered.
        VmId asked;
        TimePoint askedAt;
        TimePoint answeredAt;
    };

    // Returns an owner that answers, as far as is known; empty if there is none.
    VmId chooseOwner(const std::vector<VmId> &owners, TimePoint now);
    bool takeAllowance(std::size_t nodes, TimePoint now);
    void dropOutdated(TimePoint now);

    LoadQueryLimits m_limits;
    Metrics &m_metrics;
    boost::random::mt19937_64 m_random;
    std::map<Subject, State> m_states;
    std::map<VmId, TimePoint> m_silentUntil;
    double m_allowance;
    TimePoint m_filledAt;
};

} // namespace Hemlockhill
