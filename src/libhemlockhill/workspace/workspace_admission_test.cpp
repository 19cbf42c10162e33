// Tests which requests a key admits, by the document in force and by how long ago it was certainly the newest one.
#include "hemlockhill/workspace_admission.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

using std::chrono::milliseconds;

Deployment deploymentWith(std::initializer_list<const char *> keysOfClerks)
{
    Deployment deployment;
    deployment.workspaces[WorkspaceId{"clerks"}].id = WorkspaceId{"clerks"};
    deployment.workspaces[WorkspaceId{"library"}].id = WorkspaceId{"library"};
    for (const char *key : keysOfClerks) {
        BOOST_REQUIRE(deployment.keys.add(WorkspaceId{"clerks"}, key));
    }
    BOOST_REQUIRE(deployment.keys.add(WorkspaceId{"library"}, "key-of-library"));
    return deployment;
}

Credential key(std::string_view text)
{
    return {Credential::Kind::Key, digestOfKey(text)};
}

KeyLimits strict()
{
    return {milliseconds(5000), milliseconds(2500)};
}

KeyVerdict verdict(const Deployment &deployment, const Credential &credential, Duration age, const KeyLimits &limits)
{
    return admitByKey(deployment, Route{}, credential, age, limits).verdict;
}

} // namespace

BOOST_AUTO_TEST_CASE(known_key_admits_as_its_workspace)
{
    const Deployment deployment = deploymentWith({"k1", "k2"});
    for (const char *known : {"k1", "k2"}) {
        const WorkspaceAdmission admission = admitByKey(deployment, Route{}, key(known), milliseconds(100), strict());
        BOOST_CHECK(admission.verdict == KeyVerdict::Accepted);
        BOOST_REQUIRE(admission.workspace != nullptr);
        BOOST_CHECK_EQUAL(admission.workspace->id, WorkspaceId{"clerks"});
    }
}

BOOST_AUTO_TEST_CASE(missing_malformed_and_unknown_keys_are_rejected)
{
    const Deployment deployment = deploymentWith({"k1"});
    const Credential malformed{Credential::Kind::Malformed, {}};
    for (const Credential &credential : {Credential{}, malformed, key("k3"), key("")}) {
        BOOST_CHECK(verdict(deployment, credential, milliseconds(100), strict()) == KeyVerdict::Rejected);
    }
}

// A newer document may have added the key: a caller must not be told that it is wrong.
BOOST_AUTO_TEST_CASE(unknown_key_is_uncertain_while_a_newer_document_may_hold_it)
{
    const Deployment deployment = deploymentWith({"k1"});
    BOOST_CHECK(verdict(deployment, key("k3"), milliseconds(2499), strict()) == KeyVerdict::Rejected);
    BOOST_CHECK(verdict(deployment, key("k3"), milliseconds(2500), strict()) == KeyVerdict::Uncertain);
    BOOST_CHECK(verdict(deployment, Credential{}, DocumentAge().at(BootTimePoint()), strict()) == KeyVerdict::Uncertain);
}

// A node that is cut off cannot hear that a key was taken away.
BOOST_AUTO_TEST_CASE(known_key_stops_working_before_the_revocation_time_has_passed)
{
    const Deployment deployment = deploymentWith({"k1"});
    BOOST_CHECK(verdict(deployment, key("k1"), milliseconds(3749), strict()) == KeyVerdict::Accepted);
    BOOST_CHECK(verdict(deployment, key("k1"), milliseconds(3750), strict()) == KeyVerdict::Uncertain);
    BOOST_CHECK(verdict(deployment, key("k1"), Duration::max(), strict()) == KeyVerdict::Uncertain);
}

BOOST_AUTO_TEST_CASE(without_a_revocation_time_a_known_key_works_at_any_age)
{
    const Deployment deployment = deploymentWith({"k1"});
    BOOST_CHECK(verdict(deployment, key("k1"), Duration::max(), KeyLimits{}) == KeyVerdict::Accepted);
}

BOOST_AUTO_TEST_CASE(public_route_needs_no_key_and_names_only_a_certain_workspace)
{
    const Deployment deployment = deploymentWith({"k1"});
    Route route;
    route.isPublic = true;
    for (const Duration age : {Duration(milliseconds(100)), Duration::max()}) {
        const WorkspaceAdmission none = admitByKey(deployment, route, Credential{}, age, strict());
        BOOST_CHECK(none.verdict == KeyVerdict::Accepted && none.workspace == nullptr);
    }
    BOOST_CHECK(admitByKey(deployment, route, key("k1"), milliseconds(100), strict()).workspace != nullptr);
    const WorkspaceAdmission outdated = admitByKey(deployment, route, key("k1"), Duration::max(), strict());
    BOOST_CHECK(outdated.verdict == KeyVerdict::Accepted && outdated.workspace == nullptr);
}

BOOST_AUTO_TEST_CASE(deployment_without_workspaces_needs_no_key)
{
    const WorkspaceAdmission admission = admitByKey(Deployment{}, Route{}, Credential{}, Duration::max(), strict());
    BOOST_CHECK(admission.verdict == KeyVerdict::Accepted && admission.workspace == nullptr);
}

BOOST_AUTO_TEST_CASE(keys_belong_to_one_workspace_each)
{
    WorkspaceKeys keys;
    BOOST_CHECK(keys.add(WorkspaceId{"a"}, "k"));
    BOOST_CHECK(keys.add(WorkspaceId{"a"}, "k"));
    BOOST_CHECK(!keys.add(WorkspaceId{"b"}, "k"));
    BOOST_CHECK_EQUAL(keys.size(), 1);
    // An empty key would admit whoever sends none.
    BOOST_CHECK(keys.add(WorkspaceId{"b"}, ""));
    BOOST_CHECK(keys.find(digestOfKey("")) == nullptr);
}

// Replies to concurrent requests arrive in any order.
BOOST_AUTO_TEST_CASE(age_counts_from_the_latest_confirmation)
{
    const BootTimePoint start{milliseconds(10'000)};
    DocumentAge age;
    BOOST_CHECK(age.at(start) == Duration::max());
    age.onConfirmed(start + milliseconds(300));
    age.onConfirmed(start);
    BOOST_CHECK(age.at(start + milliseconds(1000)) == milliseconds(700));
}
