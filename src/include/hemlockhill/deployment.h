// The deployment as its operator declares it in one document: routes, services, the models of their engines, and limits on callers.
//
// A document replaces the one before as a whole. The highest version wins, and a version never changes its content.
#pragma once

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
// Accelerator memory in megabytes, as engines and operators count weights.
using Megabytes = Quantity<struct MegabytesTag, double>;

// What a route's requests may do to their endpoint. Only Safe requests may run again without being resumed.
enum class RouteKind { Safe, Unsafe, Streaming };

std::string_view toText(RouteKind kind);

// A service that takes a share of a route's requests.
struct RouteShare {
    ServiceId service;
    double weight = 1;

    bool operator==(const RouteShare &) const = default;
};

// Requests of one host below one path prefix.
struct Route {
    RouteId id;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Safe;
    // True when an interrupted stream may go on at another endpoint after the last event that was delivered.
    bool resumable = false;
    // The longest time that a caller is kept waiting for the end of an answer.
    Duration timeout{0};
    // To the whole answer; to the first event of a stream.
    Duration latencyTarget{0};
    // The longest pause between two events of a stream that is still on time.
    Duration eventGapTarget{0};
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // Endpoints that may run one request.
    std::uint32_t attemptLimit = 1;
    std::vector<RouteShare> shares;

    // True when the same request may run more than once.
    bool idempotent() const { return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable); }
    bool operator==(const Route &) const = default;
};

// A model that an engine of a service may be ordered to load.
struct EngineModel {
    ModelId id;
    Megabytes weights;
    // Adapters are named a1, a2 and so on up to this count.
    std::uint32_t adapters = 0;
    Megabytes adapterWeights;
    // From the weight store, from the runner's disk, and from its memory.
    Duration loadTime{0};
    Duration diskLoadTime{0};
    Duration warmLoadTime{0};

    bool operator==(const EngineModel &) const = default;
};

// What every runner of a service has and may be ordered to do.
struct EngineProfile {
    // Requests in one batch.
    std::uint32_t slots = 1;
    TokenCount cacheCapacity;
    // For weights of models and adapters together.
    Megabytes weightCapacity;
    std::uint32_t adapterSlots = 0;
    // Loads from the weight store, over all runners.
    double loadsPerSecond = 1;
    std::map<ModelId, EngineModel> models;

    bool operator==(const EngineProfile &) const = default;
};

struct RoutedService {
    ServiceId id;
    std::string healthPath;
    // Connections that one endpoint takes from all nodes together.
    std::uint32_t connectionLimit = 0;
    // Present when the endpoints are runners.
    std::optional<EngineProfile> engine;

    bool operator==(const RoutedService &) const = default;
};

// What callers may send and how long they may take.
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
    CallerLimits limits;

    // The route with the longest prefix of the path among those of the host. Null when there is none.
    const Route *match(std::string_view host, std::string_view path) const;
    bool operator==(const Deployment &) const = default;
};

// The document as the operator sent it, so that it is read back unchanged.
struct DeploymentDocument {
    // 0 before the first document.
    DeploymentVersion version;
    std::string text;

    bool operator==(const DeploymentDocument &) const = default;
};

// Encodes a document as text for a snapshot of the replicated state.
std::string encode(const DeploymentDocument &document);
// The same compressed, for the log and for other nodes: a document of a thousand routes goes to every node at once.
std::string pack(const DeploymentDocument &document);
// Reads either. Throws DecodeError.
DeploymentDocument decodeDeploymentDocument(std::string_view bytes);

// The replicated register of the deployment's document: the highest version that was ever applied.
class DeploymentRegister
{
public:
    // True when the document took effect; one with a version that is not higher changes nothing.
    bool apply(DeploymentDocument document);
    const DeploymentDocument &current() const { return m_current; }

private:
    DeploymentDocument m_current;
};

} // namespace Hemlockhill
