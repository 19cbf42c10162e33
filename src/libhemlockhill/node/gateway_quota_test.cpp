// Tests quotas of workspaces at the gateway, over loopback sockets: what is charged, what is refused as not run, and what is given back.
#include "node/gateway_testing.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string Key = "key-of-clerks";
const WorkspaceId Clerks{"clerks"};
const VmId Self{"127.0.0.1"};
const VmId Other{"127.0.0.9"};

// A gateway that owns all shards, unless the leader says otherwise.
struct QuotaFixture : GatewayFixture {
    explicit QuotaFixture(std::uint16_t firstPort, WorkspaceQuota quota = {QuotaUnit::Requests, 0.5, 4})
        : GatewayFixture(scenario(firstPort), [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            if (answersNotRun) {
                responder->answer({503, "text/plain", {{"Id", std::string(request.header("Id"))}, {"Not-Run", "1"}}, "full"});
            } else {
                responder->answer(signedAnswer(request));
            }
        })
    {
        setQuota(quota);
        extraHeaders = {{"Key", Key}};
        gateway().quota().send = [this](const VmId &to, const QuotaMessage &message) {
            BOOST_CHECK(to == Other);
            sent.push_back(message);
        };
    }

    static GatewayScenario scenario(std::uint16_t firstPort)
    {
        GatewayScenario scenario;
        scenario.kind = RouteKind::Unsafe;
        scenario.firstPort = firstPort;
        return scenario;
    }

    void setQuota(const std::optional<WorkspaceQuota> &quota, bool isPublic = false)
    {
        auto deployment = std::make_shared<Deployment>(*singleRoute(address(), RouteKind::Unsafe, false));
        deployment->routes.front().isPublic = isPublic;
        Workspace &workspace = deployment->workspaces[Clerks];
        workspace.id = Clerks;
        workspace.quota = quota;
        workspace.undeclaredTokens = TokenCount{700};
        deployment->keys.add(Clerks, Key);
        gateway().setDeployment(deployment);
        gateway().onDeploymentConfirmed(BootClock::now());
    }

    // The leader leases all shards to the node, which is this one or another.
    void lease(const VmId &owner = Self)
    {
        QuotaLeases leases;
        if (owner == Self) {
            leases.held.set();
            leases.rested.set();
        }
        leases.table = ShardTableDigest{1};
        leases.owners.assign(ShardCount, owner);
        gateway().quota().onLeases({}, leases, BootClock::now());
    }

    unsigned status() { return exchange("/x/1").value().status; }

    bool answersNotRun = false;
    std::vector<QuotaMessage> sent;
};

} // namespace

// Two shares with a burst of 2 each, and a debt of one request in each.
BOOST_AUTO_TEST_CASE(requests_beyond_the_limit_are_refused_with_the_time_until_there_is_room)
{
    QuotaFixture fixture(12'210);
    fixture.lease();
    for (int request = 0; request < 6; ++request) {
        BOOST_CHECK_EQUAL(fixture.status(), 200);
    }
    const HttpResponse refused = fixture.exchange("/x/1").value();
    BOOST_CHECK_EQUAL(refused.status, 429);
    BOOST_CHECK(refused.body.find("quota_exceeded") != std::string::npos);
    const double wait = std::stod(std::string(findHeader(refused.headers, "Retry-After")));
    BOOST_CHECK_GT(wait, 0);
    BOOST_CHECK_LE(wait, 4.01);
    BOOST_CHECK_EQUAL(fixture.runs, 6);
    BOOST_CHECK(fixture.sent.empty());
}

// Nobody can tell whether there is room, so the request must not run.
BOOST_AUTO_TEST_CASE(request_without_known_owner_is_refused_in_time)
{
    QuotaFixture fixture(12'220);
    const TimePoint start = currentTime();
    const HttpResponse refused = fixture.exchange("/x/1").value();
    BOOST_CHECK_EQUAL(refused.status, 503);
    BOOST_CHECK(refused.body.find("quota_unknown") != std::string::npos);
    BOOST_CHECK(!findHeader(refused.headers, "Retry-After").empty());
    BOOST_CHECK(currentTime() - start >= milliseconds(150));
    BOOST_CHECK_EQUAL(fixture.runs, 0);
}

BOOST_AUTO_TEST_CASE(request_runs_once_another_node_has_granted_it)
{
    QuotaFixture fixture(12'230);
    fixture.lease(Other);
    fixture.gateway().quota().send = [&fixture](const VmId &to, const QuotaMessage &message) {
        fixture.sent.push_back(message);
        const QuotaReply reply{std::get<QuotaQuery>(message).id, QuotaVerdict::Granted, Duration(0)};
        fixture.after(milliseconds(5), [&fixture, to, reply] { fixture.gateway().quota().onMessage(to, reply); });
    };
    BOOST_CHECK_EQUAL(fixture.status(), 200);
    BOOST_CHECK_EQUAL(fixture.sent.size(), 1U);
    BOOST_CHECK_EQUAL(std::get<QuotaQuery>(fixture.sent.front()).cost, 1);
}

BOOST_AUTO_TEST_CASE(silent_owner_leaves_the_request_undecided)
{
    QuotaFixture fixture(12'240);
    fixture.lease(Other);
    BOOST_CHECK_EQUAL(fixture.status(), 503);
    BOOST_CHECK_EQUAL(fixture.sent.size(), 3U);
    BOOST_CHECK_EQUAL(fixture.runs, 0);
}

// A request that has not run is no use of the workspace: more of them than the limit allows leave it as it was.
BOOST_AUTO_TEST_CASE(request_that_no_endpoint_has_run_returns_its_units)
{
    QuotaFixture fixture(12'250);
    fixture.lease();
    const EndpointsById endpoints = fixture.takeEndpoints();
    for (int request = 0; request < 8; ++request) {
        // Renews the lease, which would end before the last request.
        fixture.lease();
        const HttpResponse refused = fixture.exchange("/x/1").value();
        BOOST_CHECK_EQUAL(refused.status, 503);
        BOOST_CHECK(refused.body.find("no_endpoint") != std::string::npos);
    }
    fixture.gateway().onLeaderDirectory(endpoints, currentTime());
    BOOST_CHECK_EQUAL(fixture.status(), 200);
}

// Several endpoints are tried, with one query and one return.
BOOST_AUTO_TEST_CASE(units_are_returned_to_another_owner)
{
    QuotaFixture fixture(12'260);
    fixture.lease(Other);
    fixture.answersNotRun = true;
    fixture.gateway().quota().send = [&fixture](const VmId &to, const QuotaMessage &message) {
        fixture.sent.push_back(message);
        if (const auto *query = std::get_if<QuotaQuery>(&message)) {
            const QuotaReply reply{query->id, QuotaVerdict::Granted, Duration(0)};
            fixture.after(milliseconds(5), [&fixture, to, reply] { fixture.gateway().quota().onMessage(to, reply); });
        }
    };
    BOOST_CHECK_EQUAL(fixture.status(), 503);
    BOOST_REQUIRE_EQUAL(fixture.sent.size(), 2U);
    BOOST_CHECK(std::get<QuotaReturn>(fixture.sent.back()).id == std::get<QuotaQuery>(fixture.sent.front()).id);
}

// A caller that leaves before the decision must not cost its workspace anything.
BOOST_AUTO_TEST_CASE(grant_for_a_caller_that_has_left_is_returned)
{
    QuotaFixture fixture(12'270);
    fixture.lease(Other);
    QuotaQueryId asked;
    bool isAsked = false;
    fixture.gateway().quota().send = [&](const VmId &, const QuotaMessage &message) {
        fixture.sent.push_back(message);
        if (const auto *query = std::get_if<QuotaQuery>(&message); query != nullptr && !std::exchange(isAsked, true)) {
            asked = query->id;
        }
    };
    boost::asio::io_context loop;
    {
        boost::asio::ip::tcp::socket caller(loop);
        caller.connect({boost::asio::ip::make_address(fixture.address().host), fixture.address().port});
        boost::asio::write(caller,
                           boost::asio::buffer("GET /x/1 HTTP/1.1\r\nKey: " + Key + "\r\nHost: " + fixture.address().text() + "\r\n\r\n"));
        fixture.runUntil(isAsked);
    }
    while (fixture.inProgress() > 0) {
        fixture.runFor(milliseconds(5));
    }
    fixture.gateway().quota().onMessage(Other, QuotaReply{asked, QuotaVerdict::Granted, Duration(0)});
    BOOST_CHECK(std::get<QuotaReturn>(fixture.sent.back()).id == asked);
    BOOST_CHECK_EQUAL(fixture.runs, 0);
}

BOOST_AUTO_TEST_CASE(tokens_that_a_request_does_not_declare_cost_what_the_workspace_says)
{
    QuotaFixture fixture(12'280, {QuotaUnit::Tokens, 1000, 0});
    fixture.lease();
    BOOST_CHECK_EQUAL(fixture.status(), 200);
    BOOST_CHECK_EQUAL(fixture.status(), 200);
    // Each share is 700 tokens in debt, at 500 a second.
    const HttpResponse refused = fixture.exchange("/x/1").value();
    BOOST_CHECK_EQUAL(refused.status, 429);
    BOOST_CHECK_LE(std::stod(std::string(findHeader(refused.headers, "Retry-After"))), 1.401);
    Workspace workspace;
    workspace.quota = WorkspaceQuota{QuotaUnit::Tokens, 1000, 0};
    workspace.undeclaredTokens = TokenCount{700};
    BOOST_CHECK_EQUAL(quotaCost(workspace, TokenCount{3000}), 3000);
    BOOST_CHECK_EQUAL(quotaCost(workspace, std::nullopt), 700);
    workspace.quota->unit = QuotaUnit::Requests;
    BOOST_CHECK_EQUAL(quotaCost(workspace, TokenCount{3000}), 1);
}

BOOST_AUTO_TEST_CASE(workspace_without_limit_and_public_routes_are_not_charged)
{
    QuotaFixture fixture(12'290);
    BOOST_CHECK(fixture.gateway().quota().claim());
    fixture.setQuota(WorkspaceQuota{QuotaUnit::Requests, 0.5, 4}, true);
    BOOST_CHECK_EQUAL(fixture.status(), 200);
    fixture.setQuota(std::nullopt);
    BOOST_CHECK(!fixture.gateway().quota().claim());
    BOOST_CHECK_EQUAL(fixture.status(), 200);
    BOOST_CHECK(fixture.sent.empty());
}

// What it granted after it has given its shards up would come on top of what the next owner grants.
BOOST_AUTO_TEST_CASE(leaving_node_grants_nothing_and_gives_its_shards_up)
{
    QuotaFixture fixture(12'300);
    fixture.lease();
    BOOST_CHECK(fixture.gateway().quota().claim().value().held.all());
    fixture.gateway().quota().leave();
    const QuotaClaim claim = fixture.gateway().quota().claim().value();
    BOOST_CHECK(claim.isLeaving);
    BOOST_CHECK(claim.held.none());
    BOOST_CHECK_EQUAL(fixture.status(), 503);
    fixture.gateway().quota().onMessage(Other, QuotaQuery{QuotaQueryId{1}, Clerks, ShareNumber{0}, 1});
    BOOST_REQUIRE_EQUAL(fixture.sent.size(), 1U);
    BOOST_CHECK(std::get<QuotaReply>(fixture.sent.front()).verdict == QuotaVerdict::NotOwner);
}
