// Tests of the JSON encoding of the endpoint directory.
#include "hemlockhill/endpoint_directory.h"

#include "hemlockhill/failure.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

LiveEndpoint runner(const std::string &id)
{
    LiveEndpoint endpoint;
    endpoint.id = EndpointId{id};
    endpoint.incarnation = Incarnation{"17"};
    endpoint.service = ServiceId{"drafts"};
    endpoint.address = Address{"10.0.0.1", 8080};
    endpoint.dataCentre = DataCentreId{"a"};
    endpoint.softwareVersion = SoftwareVersion{"2.4"};
    endpoint.slots = 64;
    endpoint.held = {{ModelId{"m"}, {}}, {ModelId{"m"}, AdapterId{"a1"}}};
    endpoint.loading = ModelId{"n"};
    endpoint.loadingLeft = std::chrono::milliseconds(1500);
    return endpoint;
}

} // namespace

BOOST_AUTO_TEST_CASE(directory_encoding_round_trips)
{
    const EndpointsById endpoints{{EndpointId{"r1"}, runner("r1")}, {EndpointId{"r2"}, runner("r2")}};
    BOOST_CHECK(decodeEndpoints(encodeEndpoints(endpoints)) == endpoints);
    BOOST_CHECK(decodeEndpoints(boost::json::parse("[]")).empty());
}

// Guards against a node that cannot read the directory of a leader of an earlier build.
BOOST_AUTO_TEST_CASE(directory_without_software_versions_is_unreadable)
{
    auto list = encodeEndpoints({{EndpointId{"r1"}, runner("r1")}});
    list.at(0).as_object().erase("software_version");
    const EndpointsById decoded = decodeEndpoints(list);
    BOOST_REQUIRE_EQUAL(decoded.size(), 1);
    BOOST_CHECK(decoded.begin()->second.softwareVersion.empty());
    BOOST_CHECK(!decoded.begin()->second.continuesStreamsOf(SoftwareVersion{}));
}

BOOST_AUTO_TEST_CASE(malformed_directory_is_rejected)
{
    for (const char *text : {"\"\"", "{}", "[1]", "[{\"id\": \"r1\"}]", "[{\"id\": 3}]"}) {
        BOOST_CHECK_THROW(decodeEndpoints(boost::json::parse(text)), DecodeError);
    }
}

BOOST_AUTO_TEST_CASE(active_endpoints_belong_to_the_service_and_are_not_leaving)
{
    EndpointsById endpoints{{EndpointId{"r1"}, runner("r1")}, {EndpointId{"r2"}, runner("r2")}, {EndpointId{"r3"}, runner("r3")}};
    endpoints[EndpointId{"r2"}].leaving = true;
    endpoints[EndpointId{"r3"}].service = ServiceId{"other"};
    const auto active = activeEndpoints(endpoints, ServiceId{"drafts"});
    BOOST_REQUIRE_EQUAL(active.size(), 1);
    BOOST_CHECK_EQUAL(active.front()->id, EndpointId{"r1"});
}
