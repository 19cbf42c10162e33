// The endpoints that the platform runs at present, and what each runner holds.
//
// The leader reads the platform's list and the runners' reports, and gives the directory to the other nodes.
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

// One life of an endpoint. An address may be given to another endpoint later, and an id may come back with another incarnation.
struct LiveEndpoint {
    EndpointId id;
    Incarnation incarnation;
    ServiceId service;
    Address address;
    DataCentreId dataCentre;
    // Requests that it runs at one time.
    std::uint32_t slots = 1;
    // True once it takes no new work.
    bool leaving = false;
    // Models, and adapters on them, that it has in its memory. Empty for a plain service.
    std::set<RoutingTarget> held;
    // The model that it is loading, if any, and how long that will take from when the directory was made.
    ModelId loading;
    Duration loadingLeft{0};

    bool holds(const RoutingTarget &target) const { return held.contains(target); }
    bool operator==(const LiveEndpoint &) const = default;
};

using EndpointsById = std::map<EndpointId, LiveEndpoint>;

// The endpoints of a service that take work, in the order of their ids.
std::vector<const LiveEndpoint *> activeEndpoints(const EndpointsById &endpoints, const ServiceId &service);

// Endpoints as JSON, and back. Throws DecodeError.
boost::json::array encodeEndpoints(const EndpointsById &endpoints);
EndpointsById decodeEndpoints(const boost::json::value &list);

} // namespace Hemlockhill
