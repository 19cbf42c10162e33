// Directory of the running endpoints and of the models that each runner has loaded.
//
// The leader builds the directory from the platform's list and the runners' reports, and replicates it to the other nodes.
#pragma once

#include "hemlockhill/engine_api.h"
#include "hemlockhill/world.h"

#include <boost/json/array.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hemlockhill
{

// One incarnation of an endpoint. An address can be reassigned to another endpoint, and an id can return with another incarnation.
struct LiveEndpoint {
    EndpointId id;
    Incarnation incarnation;
    ServiceId service;
    Address address;
    DataCentreId dataCentre;
    // Empty if it is not known. Endpoints of different versions may serve side by side, but cannot continue each other's streams.
    SoftwareVersion softwareVersion;
    // Number of requests that the endpoint runs concurrently.
    std::uint32_t slots = 1;
    // True when the endpoint no longer accepts requests.
    bool leaving = false;
    // Models, and adapters on them, that are loaded into accelerator memory. Empty for a plain service.
    std::set<RoutingTarget> held;
    // The model that is being loaded, if any, and the remaining load time when the directory was built.
    ModelId loading;
    Duration loadingLeft{0};
    // Time between two events of a stream here; zero if it is not known.
    Duration eventInterval{0};

    bool holds(const RoutingTarget &target) const { return held.contains(target); }
    // Whether the endpoint can continue a stream that an endpoint of the given version began.
    bool continuesStreamsOf(const SoftwareVersion &version) const { return !version.empty() && softwareVersion == version; }
    bool operator==(const LiveEndpoint &) const = default;
};

using EndpointsById = std::map<EndpointId, LiveEndpoint>;

// Returns the endpoints of a service that accept requests, ordered by id.
std::vector<const LiveEndpoint *> activeEndpoints(const EndpointsById &endpoints, const ServiceId &service);

// Encodes endpoints as JSON, and decodes them. Decoding throws DecodeError.
boost::json::array encodeEndpoints(const EndpointsById &endpoints);
EndpointsById decodeEndpoints(const boost::json::value &list);

} // namespace Hemlockhill
