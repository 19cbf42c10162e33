// Route matching and the register of the deployment's document.
#include "hemlockhill/deployment.h"

#include "hemlockhill/failure.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
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

BOOST_AUTO_TEST_CASE(a_document_survives_its_encoding)
{
    const DeploymentDocument document{DeploymentVersion{17}, "{\n\"routes\": []}"};
    BOOST_CHECK(decodeDeploymentDocument(encode(document)) == document);
    BOOST_CHECK_THROW(decodeDeploymentDocument("17"), DecodeError);
    BOOST_CHECK_THROW(decodeDeploymentDocument(""), DecodeError);
}
