// JSON encoding of the endpoint directory.
#include "hemlockhill/endpoint_directory.h"

#include "hemlockhill/failure.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

json::array encodeHeld(const std::set<RoutingTarget> &held)
{
    json::array list;
    for (const RoutingTarget &target : held) {
        list.push_back(json::array{target.model.value, target.adapter.value});
    }
    return list;
}

std::string text(const json::value &value)
{
    return std::string(value.as_string());
}

LiveEndpoint decodeEndpoint(const json::object &object)
{
    LiveEndpoint endpoint;
    endpoint.id = EndpointId{text(object.at("id"))};
    endpoint.incarnation = Incarnation{text(object.at("incarnation"))};
    endpoint.service = ServiceId{text(object.at("service"))};
    const auto address = parseAddress(text(object.at("address")));
    if (!address) {
        throw DecodeError("endpoint has no valid address");
    }
    endpoint.address = *address;
    endpoint.dataCentre = DataCentreId{text(object.at("data_centre"))};
    // Absent in messages of nodes that do not know software versions.
    if (const json::value *version = object.if_contains("software_version")) {
        endpoint.softwareVersion = SoftwareVersion{text(*version)};
    }
    endpoint.slots = object.at("slots").to_number<std::uint32_t>();
    endpoint.leaving = object.at("leaving").as_bool();
    for (const json::value &entry : object.at("held").as_array()) {
        endpoint.held.insert({ModelId{text(entry.at(0))}, AdapterId{text(entry.at(1))}});
    }
    endpoint.loading = ModelId{text(object.at("loading"))};
    endpoint.loadingLeft = std::chrono::milliseconds(object.at("loading_left_ms").to_number<std::int64_t>());
    if (const json::value *interval = object.if_contains("event_interval_ms")) {
        endpoint.eventInterval = std::chrono::milliseconds(interval->to_number<std::int64_t>());
    }
    return endpoint;
}

} // namespace

std::vector<const LiveEndpoint *> activeEndpoints(const EndpointsById &endpoints, const ServiceId &service)
{
    std::vector<const LiveEndpoint *> active;
    for (const auto &[id, endpoint] : endpoints) {
        if (endpoint.service == service && !endpoint.leaving) {
            active.push_back(&endpoint);
        }
    }
    return active;
}

json::array encodeEndpoints(const EndpointsById &endpoints)
{
    json::array list;
    for (const auto &[id, endpoint] : endpoints) {
        json::object encoded{{"id", endpoint.id.value},
                             {"incarnation", endpoint.incarnation.value},
                             {"service", endpoint.service.value},
                             {"address", endpoint.address.text()},
                             {"data_centre", endpoint.dataCentre.value},
                             {"software_version", endpoint.softwareVersion.value},
                             {"slots", endpoint.slots},
                             {"leaving", endpoint.leaving},
                             {"held", encodeHeld(endpoint.held)},
                             {"loading", endpoint.loading.value},
                             {"loading_left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(endpoint.loadingLeft).count()}};
        if (endpoint.eventInterval > Duration(0)) {
            encoded["event_interval_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(endpoint.eventInterval).count();
        }
        list.push_back(std::move(encoded));
    }
    return list;
}

EndpointsById decodeEndpoints(const json::value &list)
{
    EndpointsById endpoints;
    try {
        for (const json::value &entry : list.as_array()) {
            LiveEndpoint endpoint = decodeEndpoint(entry.as_object());
            const EndpointId id = endpoint.id;
            endpoints.emplace(id, std::move(endpoint));
        }
    } catch (const DecodeError &) {
        throw;
    } catch (const std::exception &error) {
        throw DecodeError(std::string("malformed endpoint directory: ") + error.what());
    }
    return endpoints;
}

} // namespace Hemlockhill
