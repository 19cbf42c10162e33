// Bound on the tokens that the requests at an endpoint hold and will come to hold, where endpoints fail when their memory is exceeded.
// Deterministic, without I/O.
//
// Many nodes decide at once, each on counts that are some milliseconds old, and an endpoint holds a few requests only: a margin for what
// the others may dispatch at the same time would be larger than the endpoint. So one node decides for all. The first owner of a service
// grants tokens in its answer to a load query, and counts what it has granted as held until it hears of the dispatch.
#pragma once

#include "hemlockhill/world.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace Hemlockhill
{

struct EndpointMemoryLimits {
    // Part of an endpoint's memory that is kept free, for dispatches of which the notices are lost.
    double margin = 0.06;
    // The same where the first owner is silent and another one decides: it does not know what the first has granted.
    double substituteMargin = 0.25;
    // Part of an endpoint's memory that a node uses when no owner answers it.
    double unheardShare = 0.25;
    // For how long a grant counts as held at the owner, and may be used by the node that got it, counted from its query. The difference
    // is the time that the notice of the dispatch may take.
    Duration promiseValidity = std::chrono::milliseconds(250);
    Duration grantValidity = std::chrono::milliseconds(100);
};

// Tokens of a request that does not declare them, and of each request of a node of an earlier build.
inline constexpr TokenCount UndeclaredTokens{4'096};

// Who decides about the memory of a service's endpoints.
enum class MemoryAuthority {
    // This node, which is the first owner.
    Own,
    // This node, since the first owner is silent.
    Substitute,
    // An owner, by its grants.
    Granted,
    // Nobody answers.
    Unheard
};

// The tokens of this node's requests, what it has been granted, and what it has granted to other nodes.
class EndpointMemory
{
public:
    explicit EndpointMemory(EndpointMemoryLimits limits);

    void onDispatched(const EndpointId &endpoint, TokenCount tokens);
    void onEnded(const EndpointId &endpoint, TokenCount tokens);
    // Returns the tokens of this node's requests at the endpoint.
    TokenCount own(const EndpointId &endpoint) const;

    // Whether a request fits beside what the endpoint holds. One that fits by itself only goes to an empty endpoint.
    bool fits(TokenCount held, TokenCount tokens, TokenCount capacity, MemoryAuthority authority) const;
    // Promises tokens to a node. Returns how many, which is enough for a second request where the endpoint has much room: its next one
    // then needs no query. `held` includes what is promised to others.
    TokenCount
    promise(const VmId &node, const EndpointId &endpoint, TokenCount held, TokenCount tokens, TokenCount capacity, TimePoint now);
    // Returns what is promised to all nodes but the given one.
    TokenCount promisedWithout(const VmId &node, const EndpointId &endpoint, TimePoint now);
    // A node's requests hold more tokens than before: its promise is redeemed.
    void onIncreased(const VmId &node, const EndpointId &endpoint, TokenCount by);

    // This node sends a query. Returns its number.
    std::uint32_t onQuery(TimePoint now);
    // An owner has granted tokens in its answer to the query with the given number.
    void onGranted(std::uint32_t query, const EndpointId &endpoint, TokenCount tokens);
    // Returns the granted tokens that this node has not used.
    TokenCount granted(const EndpointId &endpoint, TimePoint now) const;

private:
    struct Expiring {
        TokenCount tokens;
        TimePoint until;
    };

    EndpointMemoryLimits m_limits;
    std::unordered_map<EndpointId, TokenCount> m_own;
    std::unordered_map<EndpointId, std::map<VmId, Expiring>> m_promises;
    std::unordered_map<EndpointId, Expiring> m_grants;
    // Queries that may be answered yet, with the end of what they are granted.
    std::map<std::uint32_t, TimePoint> m_queries;
    std::uint32_t m_lastQuery = 0;
};

} // namespace Hemlockhill
