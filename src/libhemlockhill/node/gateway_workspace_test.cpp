// Tests keys of workspaces at the gateway, over loopback sockets: what reaches an endpoint, and what is refused as not run.
#include "node/gateway_testing.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

using std::chrono::milliseconds;

const std::string Key = "key-of-clerks";

struct WorkspaceFixture : GatewayFixture {
    explicit WorkspaceFixture(std::uint16_t firstPort, KeyLimits keys = {milliseconds(5000), milliseconds(2500)})
        : GatewayFixture(scenario(firstPort, keys), [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            workspace = std::string(request.header("Workspace"));
            responder->answer(signedAnswer(request));
        })
    {
        setKey(Key);
        gateway().onDeploymentConfirmed(BootClock::now());
    }

    static GatewayScenario scenario(std::uint16_t firstPort, const KeyLimits &keys)
    {
        GatewayScenario scenario;
        scenario.kind = RouteKind::Unsafe;
        scenario.firstPort = firstPort;
        scenario.keys = keys;
        return scenario;
    }

    // Puts a document in force in which the workspace has only this key.
    void setKey(const std::string &key)
    {
        auto deployment = std::make_shared<Deployment>(*singleRoute(address(), RouteKind::Unsafe, false));
        deployment->workspaces[WorkspaceId{"clerks"}].id = WorkspaceId{"clerks"};
        deployment->keys.add(WorkspaceId{"clerks"}, key);
        gateway().setDeployment(deployment);
    }

    unsigned statusWith(const std::string &key)
    {
        extraHeaders = {{"Key", key}};
        return exchange("/x/1").value().status;
    }

    std::string workspace;
};

} // namespace

BOOST_AUTO_TEST_CASE(request_with_a_known_key_runs_as_its_workspace)
{
    WorkspaceFixture fixture(12'110);
    BOOST_CHECK_EQUAL(fixture.statusWith(Key), 200);
    BOOST_CHECK_EQUAL(fixture.workspace, "clerks");
}

BOOST_AUTO_TEST_CASE(request_with_an_unknown_key_does_not_run)
{
    WorkspaceFixture fixture(12'120);
    BOOST_CHECK_EQUAL(fixture.statusWith("other"), 401);
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 401);
    BOOST_CHECK_EQUAL(fixture.runs, 0);
}

BOOST_AUTO_TEST_CASE(key_that_a_new_document_has_taken_away_does_not_work)
{
    WorkspaceFixture fixture(12'130);
    fixture.setKey("new");
    BOOST_CHECK_EQUAL(fixture.statusWith(Key), 401);
    BOOST_CHECK_EQUAL(fixture.statusWith("new"), 200);
}

// A node that is cut off from the controllers cannot know whether the key still works.
BOOST_AUTO_TEST_CASE(node_without_confirmation_refuses_keys_as_not_run)
{
    WorkspaceFixture fixture(12'140, {milliseconds(400), milliseconds(300)});
    BOOST_CHECK_EQUAL(fixture.statusWith(Key), 200);
    fixture.runFor(milliseconds(350));
    BOOST_CHECK_EQUAL(fixture.statusWith(Key), 503);
    BOOST_CHECK_EQUAL(fixture.statusWith("other"), 503);
    BOOST_CHECK_EQUAL(fixture.runs, 1);
    fixture.gateway().onDeploymentConfirmed(BootClock::now());
    BOOST_CHECK_EQUAL(fixture.statusWith(Key), 200);
}

// A request that waits for an endpoint must not leave with a key that has been taken away meanwhile.
BOOST_AUTO_TEST_CASE(waiting_request_is_rejected_when_its_key_is_taken_away)
{
    WorkspaceFixture fixture(12'150);
    const EndpointsById endpoints = fixture.takeEndpoints();
    fixture.after(milliseconds(60), [&fixture] { fixture.setKey("new"); });
    fixture.after(milliseconds(120), [&] { fixture.gateway().onLeaderDirectory(endpoints, currentTime()); });
    BOOST_CHECK_EQUAL(fixture.statusWith(Key), 401);
    BOOST_CHECK_EQUAL(fixture.runs, 0);
}

// A document may introduce workspaces while requests wait that needed no key when they arrived.
BOOST_AUTO_TEST_CASE(waiting_request_without_a_key_does_not_run_once_keys_are_needed)
{
    WorkspaceFixture fixture(12'170);
    fixture.gateway().setDeployment(singleRoute(fixture.address(), RouteKind::Unsafe, false));
    const EndpointsById endpoints = fixture.takeEndpoints();
    fixture.after(milliseconds(60), [&fixture] { fixture.setKey("new"); });
    fixture.after(milliseconds(120), [&] { fixture.gateway().onLeaderDirectory(endpoints, currentTime()); });
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 401);
    BOOST_CHECK_EQUAL(fixture.runs, 0);
}

// The same at a node that is cut off: the wait must not outlast what the node knows.
BOOST_AUTO_TEST_CASE(waiting_request_is_refused_when_the_document_grows_too_old)
{
    WorkspaceFixture fixture(12'160, {milliseconds(200), milliseconds(2500)});
    const EndpointsById endpoints = fixture.takeEndpoints();
    fixture.after(milliseconds(220), [&] { fixture.gateway().onLeaderDirectory(endpoints, currentTime()); });
    BOOST_CHECK_EQUAL(fixture.statusWith(Key), 503);
    BOOST_CHECK_EQUAL(fixture.runs, 0);
}
