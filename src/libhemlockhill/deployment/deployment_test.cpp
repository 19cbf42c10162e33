// Tests of route matching and of the replicated deployment document.
#include "hemlockhill/deployment.h"

#include "hemlockhill/failure.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_matches)
{
    Deployment deployment;
    deployment.routes.push_back({RouteId{"wide"}, "a.example", "/x/"});
    deployment.routes.push_back({RouteId{"narrow"}, "a.example", "/x/y/"});
    deployment.routes.push_back({RouteId{"other"}, "b.example", "/x/y/z/"});
    BOOST_CHECK_EQUAL(deployment.match("a.example", "/x/y/z/1")->id, RouteId{"narrow"});
    BOOST_CHECK_EQUAL(deployment.match("a.example", "/x/1")->id, RouteId{"wide"});
    BOOST_CHECK(deployment.match("a.example", "/x") == nullptr);
    BOOST_CHECK(deployment.match("c.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(only_a_higher_version_replaces_the_document)
{
    DeploymentRegister documents;
    BOOST_CHECK(documents.apply({DeploymentVersion{3}, "three"}));
    BOOST_CHECK(!documents.apply({DeploymentVersion{3}, "another three"}));
    BOOST_CHECK(!documents.apply({DeploymentVersion{2}, "two"}));
    BOOST_CHECK_EQUAL(documents.current().text, "three");
}

BOOST_AUTO_TEST_CASE(document_encoding_round_trips)
{
    const DeploymentDocument document{DeploymentVersion{17}, "{\n\"routes\": []}"};
    BOOST_CHECK(decodeDeploymentDocument(encode(document)) == document);
    BOOST_CHECK(decodeDeploymentDocument(encodeCompressed(document)) == document);
    BOOST_CHECK_THROW(decodeDeploymentDocument("17"), DecodeError);
    BOOST_CHECK_THROW(decodeDeploymentDocument(""), DecodeError);
}

// A document with 1,280 additional routes is sent to 67 nodes at the same time, by a leader with a link of 170 Mbit/s and 1/13 of a
// core, over links of 10 Mbit/s. All copies must leave the leader within half a second.
BOOST_AUTO_TEST_CASE(compressed_document_of_many_routes_is_small)
{
    DeploymentDocument document{DeploymentVersion{27}, "{"};
    for (int route = 0; route < 1280; ++route) {
        const std::string number = std::to_string(route * 7919 % 100'000);
        document.text.append(R"({"name":"r-)").append(number);
        document.text.append(R"(","host":"ficu95.example","prefix":"/lohu)").append(number);
        document.text.append(R"(/","type":"streaming","timeout_ms":15000,"target_latency_ms":500,"priority":1,)");
        document.text.append(R"("service":"huvo11a","max_attempts":1},)");
    }
    const std::string compressed = encodeCompressed(document);
    BOOST_CHECK_LE(compressed.size() * 67 * 8, 170'000'000 / 2);
    BOOST_CHECK(decodeDeploymentDocument(compressed) == document);
}

BOOST_AUTO_TEST_CASE(malformed_compressed_documents_are_rejected)
{
    const std::string compressed = encodeCompressed({DeploymentVersion{4}, std::string(5000, 'x')});
    for (std::size_t length = 0; length + 1 < compressed.size(); ++length) {
        BOOST_CHECK_THROW(decodeDeploymentDocument(std::string_view(compressed).substr(0, length)), DecodeError);
    }
    BOOST_CHECK_THROW(decodeDeploymentDocument("4z99999999999999\nx"), DecodeError);
}
