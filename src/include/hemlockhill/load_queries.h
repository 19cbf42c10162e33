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
#include <vector>

namespace Hemlockhill
{

// What requests need of the endpoints whose load they ask for.
struct LoadSubject {
    ServiceId service;
    // Empty for a service without models.
    RoutingTarget target;

    auto operator<=>(const LoadSubject &) const = default;
};

// The requests of one node that wait for a subject: their number, and the rank of the most urgent one at the time of the message.
struct WaitingAtNode {
    std::uint32_t workspacePriority = 0;
    std::uint32_t priority = 0;
    bool isNew = true;
    bool isLate = false;
    // Time until which it must be dispatched, and since it has arrived.
    Duration dispatchIn{0};
    Duration age{0};
    std::uint32_t requests = 0;
    // Whether it has let others go first for long enough.
    bool hasYielded = false;

    bool operator==(const WaitingAtNode &) const = default;
};

// The requests of all other nodes that wait for a subject.
struct WaitingElsewhere {
    // Nodes whose most urgent request precedes that of the node which asked.
    std::uint32_t moreUrgent = 0;
    std::uint32_t requests = 0;
    // Whether the owner has granted no memory because these requests need it.
    bool isWithheld = false;

    bool operator==(const WaitingElsewhere &) const = default;
};

// Asks for the load of some endpoints. They are named, since there may be more than fit in a datagram, and the directories of two nodes may
// differ.
struct LoadQuery {
    LoadSubject subject;
    std::vector<EndpointId> endpoints;
    // The sender's requests in progress at all endpoints of the service: what the owner has missed of them is corrected by this.
    std::vector<EndpointRequests> own;
    // Where the memory of endpoints is bounded: number of the query, and tokens of the request that needs room. 0 elsewhere.
    std::uint32_t number = 0;
    TokenCount tokens = {};
    // What waits at the node, where requests are ordered across nodes.
    std::optional<WaitingAtNode> waiting = {};

    bool operator==(const LoadQuery &) const = default;
};

// The load of one endpoint without the requests of the node that asked.
struct ReportedLoad {
    EndpointRequests others;
    // Prompt tokens that the endpoint could take at once; negative if it has more to read than the rate limit allows.
    std::int32_t promptAllowance = 0;
    // Tokens that the node which asked may dispatch there, where the memory of endpoints is bounded.
    TokenCount granted = {};

    bool operator==(const ReportedLoad &) const = default;
};

// Answers a query.
struct LoadReport {
    LoadSubject subject;
    std::vector<ReportedLoad> loads;
    // Number of the query that is answered; 0 if it has none.
    std::uint32_t number = 0;
    // What waits at other nodes, where requests are ordered across nodes.
    std::optional<WaitingElsewhere> elsewhere = {};
    // Set if this answers no query, but tells of a free slot: the node should ask for it.
    bool isInvitation = false;

    bool operator==(const LoadReport &) const = default;
};

// Number of endpoints that a query asks for: the best of a dozen is hardly worse than the best of all, and owners have little to do.
inline constexpr std::size_t LoadCandidateLimit = 12;
// Maximum number of endpoints with requests of its sender that a query names, so that it fits in a datagram.
inline constexpr std::size_t LoadEntryLimit = 30;

struct LoadQueryLimits {
    // How long a node waits for an answer.
    Duration answerTimeout = std::chrono::milliseconds(40);
    // How long an owner that has not answered is not asked.
    Duration silencePeriod = std::chrono::milliseconds(500);
    // Queries that the owner which decides for all must leave unanswered before another one is asked in its place. A lost answer alone must
    // not make a node go by its own knowledge, as nodes that do so overfill endpoints.
    std::uint32_t unansweredLimit = 3;
    // A report is not asked for again within this time.
    Duration reuse = std::chrono::milliseconds(8);
    // Queries a second of all nodes together, and how many of its share a node may send at once.
    double fleetRate = 2'000;
    double burst = 8;
    // Part of the burst that is kept for new requests, when others wait for capacity.
    double newRequestShare = 0.5;
    // How long a new request waits for its turn to ask.
    Duration turnTimeout = std::chrono::milliseconds(60);
    // For how long a subject counts as waited for.
    Duration recheckMemory = std::chrono::milliseconds(100);
    // From this number of subjects on, those that were not asked for lately are forgotten.
    std::size_t subjects = 1'000;
};

// What a request needs knowledge of the load for.
enum class LoadPurpose {
    // It has just arrived, or goes to another endpoint.
    Dispatch,
    // By the last report there was no room for it: it looks for room again.
    Recheck
};

// Which of the owners are asked.
enum class OwnerChoice {
    // Any of them that answers. Owners do not ask.
    Any,
    // The first by rank that answers, since one must decide for all. Only that one does not ask.
    First
};

// Whether a request can be dispatched by what is known of the load.
enum class LoadKnowledge {
    // The load is known as well as it can be now.
    Ready,
    // An answer is awaited, or the turn to ask.
    Awaited,
    // The caller must send a query to the node named by the plan.
    QueryDue
};

struct LoadQueryPlan {
    LoadKnowledge knowledge = LoadKnowledge::Ready;
    // The owner to ask, if a query is due.
    VmId owner;
};

// Decides when to ask, and whom.
class LoadQueries
{
public:
    LoadQueries(LoadQueryLimits limits, Metrics &metrics, std::uint64_t seed);

    // Decides whether a request needs a query. If one is due, it counts as sent.
    LoadQueryPlan
    plan(const LoadSubject &subject, LoadPurpose purpose, LoadOwners &owners, TimePoint now, OwnerChoice choice = OwnerChoice::Any);
    // Returns the owner that decides for all nodes, which may be this one; empty if none answers.
    std::optional<VmId> decider(const ServiceId &service, LoadOwners &owners, TimePoint now) const;
    // An owner has told of a free slot: a request that looks for room asks at once.
    void onInvitation(const LoadSubject &subject);
    // An owner has answered.
    void onReport(const VmId &owner, const LoadReport &report, TimePoint now);

private:
    struct State {
        // The owner that was asked last; empty once it has answered.
        VmId asked;
        TimePoint askedAt;
        TimePoint answeredAt;
        // When a request looked for room again.
        TimePoint recheckedAt;
        bool isInvited = false;
        // Since when a new request has had no turn to ask.
        std::optional<TimePoint> turnAwaitedSince;
    };

    // Takes the turn of a request to ask, if it has one.
    bool takeTurn(State &state, LoadPurpose purpose, std::size_t nodes, TimePoint now);
    // Time between two queries for a subject that requests wait for: all of these have turns alike.
    Duration recheckInterval(double rate, TimePoint now) const;

    // Returns an owner that answers, as far as is known; empty if there is none.
    VmId chooseOwner(const std::vector<VmId> &owners, TimePoint now);
    bool isSilent(const VmId &owner, TimePoint now) const;
    void refill(double rate, TimePoint now);
    void dropOutdated(TimePoint now);

    LoadQueryLimits m_limits;
    Metrics &m_metrics;
    boost::random::mt19937_64 m_random;
    std::map<LoadSubject, State> m_states;
    std::map<VmId, TimePoint> m_silentUntil;
    // Queries in a row that an owner has not answered.
    std::map<VmId, std::uint32_t> m_unanswered;
    double m_allowance;
    TimePoint m_filledAt;
};

} // namespace Hemlockhill
