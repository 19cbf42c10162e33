// What a node knows of the requests that the other nodes have in progress at the endpoints. Deterministic, without I/O.
//
// There are two sources: notices, in which another node tells the number of its own requests, and reports, in which an owner of the
// service tells the sum over all nodes but the receiver. Both may be lost, and both grow old.
#pragma once

#include "hemlockhill/endpoint_directory.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace Hemlockhill
{

// The requests of one node at one endpoint.
struct EndpointRequests {
    EndpointId endpoint;
    std::uint32_t requests = 0;
    // Tokens that they hold and will come to hold; 0 where the memory of endpoints is not bounded.
    TokenCount tokens = {};

    bool operator==(const EndpointRequests &) const = default;
};

// The requests of all other nodes at one endpoint.
struct OthersLoad {
    std::uint32_t requests = 0;
    // Age of the report; zero if notices tell the load.
    Duration age{0};
    // False if nothing is known of the endpoint's load, or only what was known some time ago.
    bool isCurrent = false;
};

// Counts of requests by node and endpoint, and what owners have reported.
class EndpointLoads
{
public:
    // Another node has this many requests in progress at the endpoint.
    void onNotice(const VmId &node, const EndpointRequests &count, TimePoint now);
    // Of the endpoints for which `isConcerned` holds, another node has requests in progress at the given ones only.
    void onCounts(const VmId &node,
                  const std::function<bool(const EndpointId &endpoint)> &isConcerned,
                  const std::vector<EndpointRequests> &counts,
                  TimePoint now);
    // An owner has reported the requests of all nodes but this one.
    void onReport(const EndpointRequests &others, TimePoint now);
    // Returns the load of an endpoint. Where this node hears of all requests, notices tell it; elsewhere reports.
    OthersLoad others(const EndpointId &endpoint, bool hearsAll, TimePoint now);
    // Returns the sum of the notices of all nodes but the given one.
    std::uint32_t sumWithout(const VmId &node, const EndpointId &endpoint, TimePoint now);
    // Returns the tokens of these requests. Those of nodes that do not tell them are estimated.
    TokenCount tokensWithout(const VmId &node, const EndpointId &endpoint, TimePoint now);
    // Returns the number of one node's requests, and their tokens.
    std::uint32_t requestsOf(const VmId &node, const EndpointId &endpoint) const;
    TokenCount tokensOf(const VmId &node, const EndpointId &endpoint) const;
    // Returns the age of the oldest notice that counts for the endpoint; zero if there is none.
    Duration oldestNotice(const EndpointId &endpoint, TimePoint now) const;
    // Forgets endpoints that are not listed any more.
    void onDirectory(const EndpointsById &endpoints);

private:
    struct NodeCount {
        std::uint32_t requests = 0;
        TokenCount tokens;
        TimePoint at;
    };

    struct Record {
        // Sum of the counts of all nodes.
        std::uint32_t total = 0;
        TokenCount tokens;
        std::uint32_t reported = 0;
        // Empty time point if there was no report.
        TimePoint reportedAt;
    };

    using Counts = std::unordered_map<EndpointId, NodeCount>;

    void drop(const EndpointId &endpoint, const NodeCount &count);
    void dropExpired(TimePoint now);

    std::unordered_map<VmId, Counts> m_nodes;
    std::unordered_map<EndpointId, Record> m_records;
    TimePoint m_expiredAt;
};

} // namespace Hemlockhill
