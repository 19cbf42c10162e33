// The deployment that an operator declares in one document: routes, services, the models of their engines, and limits for callers.
//
// A document replaces the previous one as a whole. The highest version takes effect. The content of a version never changes.
#pragma once

#include "hemlockhill/workspace_keys.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

using DeploymentVersion = Quantity<struct DeploymentVersionTag>;
using RouteId = Id<struct RouteTag>;
// Accelerator memory in megabytes, the unit that engines and operators use for the size of weights.
using Megabytes = Quantity<struct MegabytesTag, double>;

// Whether a route's requests have side effects on the endpoint. Only Safe requests may be repeated from the beginning.
enum class RouteKind { Safe, Unsafe, Streaming };

std::string_view toText(RouteKind kind);

// A service that receives a weighted fraction of a route's requests.
struct WeightedService {
    ServiceId service;
    double weight = 1;

    bool operator==(const WeightedService &) const = default;
};

// Routing rule for the requests with one host name and one path prefix.
struct Route {
    RouteId id;
    std::string host;
    // Starts and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Safe;
    // True when an interrupted stream can be resumed at another endpoint after the last delivered event.
    bool resumable = false;
    // Maximum time from the arrival of a request to the end of its response.
    Duration timeout{0};
    // Target time to the complete response, or to the first event of a streamed response.
    Duration latencyTarget{0};
    // Target for the maximum time between two events of a stream.
    Duration eventGapTarget{0};
    // 0 is the highest priority.
    std::uint32_t priority = 0;
    // Maximum number of endpoints that may run one request.
    std::uint32_t attemptLimit = 1;
    // Whether requests need no key, in a deployment with workspaces.
    bool isPublic = false;
    std::vector<WeightedService> weightedServices;

    // True when a request may run more than once.
    bool idempotent() const { return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable); }
    bool operator==(const Route &) const = default;
};

// A model that the engines of a service can load.
struct EngineModel {
    ModelId id;
    Megabytes weights;
    // Number of adapters. They are named a1, a2 and so on.
    std::uint32_t adapters = 0;
    Megabytes adapterWeights;
    // Time to load the model from the weight store, from the runner's disk, and from the runner's main memory.
    Duration loadTime{0};
    Duration diskLoadTime{0};
    Duration warmLoadTime{0};

    bool operator==(const EngineModel &) const = default;
};

// Capacity of each runner of a service, and the models that it can load.
struct EngineProfile {
    // Maximum number of requests in one batch.
    std::uint32_t slots = 1;
    TokenCount cacheCapacity;
    // Tokens in one event of a stream.
    std::uint32_t tokensPerEvent = 1;
    // For the weights of models and adapters together.
    Megabytes weightCapacity;
    std::uint32_t adapterSlots = 0;
    // Maximum rate of loads from the weight store, over all runners.
    double loadsPerSecond = 1;
    std::map<ModelId, EngineModel> models;

    bool operator==(const EngineProfile &) const = default;
};

struct RoutedService {
    ServiceId id;
    std::string healthPath;
    // Maximum number of connections to one endpoint, over all nodes.
    std::uint32_t connectionLimit = 0;
    // Set when the endpoints are runners.
    std::optional<EngineProfile> engine;

    bool operator==(const RoutedService &) const = default;
};

// What a workspace's quota counts.
enum class QuotaUnit { Requests, Tokens };

// Limit on what a workspace may use, over all nodes together: a token bucket.
struct WorkspaceQuota {
    QuotaUnit unit = QuotaUnit::Requests;
    // Refill rate in units per second; always above 0.
    double ratePerSecond = 0;
    // Capacity of the bucket in units.
    double burst = 0;

    bool operator==(const WorkspaceQuota &) const = default;
};

// A customer of the deployment. Its callers prove with a key that they belong to it.
struct Workspace {
    WorkspaceId id;
    // Precedes the priority of the route; 0 is the highest. Empty if the workspace has none.
    std::optional<std::uint32_t> priority;
    // Empty if the workspace is not limited.
    std::optional<WorkspaceQuota> quota;
    // What a request costs that does not declare its tokens, where the quota counts tokens.
    TokenCount undeclaredTokens;

    bool operator==(const Workspace &) const = default;
};

// Limits on the size and duration of caller requests.
struct CallerLimits {
    Bytes header{16'384};
    Bytes body{4'194'304};
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const CallerLimits &) const = default;
};

struct Deployment {
    DeploymentVersion version;
    std::vector<Route> routes;
    std::map<ServiceId, RoutedService> services;
    // Empty if the deployment has no workspaces: then requests need no key.
    std::map<WorkspaceId, Workspace> workspaces;
    WorkspaceKeys keys;
    CallerLimits limits;

    // Returns the route of the host with the longest matching path prefix, or null when none matches.
    const Route *match(std::string_view host, std::string_view path) const;
    bool operator==(const Deployment &) const = default;
};

// The document exactly as the operator sent it, so that reads return it unchanged.
struct DeploymentDocument {
    // 0 until a document has been applied.
    DeploymentVersion version;
    std::string text;

    bool operator==(const DeploymentDocument &) const = default;
};

// Encodes a document as text, for a snapshot of the replicated state.
std::string encode(const DeploymentDocument &document);
// Encodes a document with its text compressed, for the log and for other nodes: a document with a thousand routes is sent to all nodes
// at the same time.
std::string encodeCompressed(const DeploymentDocument &document);
// Decodes both encodings. Throws DecodeError.
DeploymentDocument decodeDeploymentDocument(std::string_view bytes);

// Replicated state that holds the document with the highest version applied so far.
class DeploymentRegister
{
public:
    // Returns true when the document took effect. A document whose version is not higher than the current one is ignored.
    bool apply(DeploymentDocument document);
    const DeploymentDocument &current() const { return m_current; }

private:
    DeploymentDocument m_current;
};

} // namespace Hemlockhill
