// Tests how many endpoints the requests with one part in their prompts take, if it crashes each endpoint that begins to answer them.
#include "node/crashing_fleet_testing.h"

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr std::uint16_t FirstPort = 9'300;
constexpr std::size_t EndpointCount = 6;
constexpr int Repeats = 60;
// A part may cost this many endpoints.
constexpr int AllowedCrashes = 3;

constexpr std::uint16_t StreamPort = 9'325;
constexpr Duration EventInterval = std::chrono::milliseconds(50);
constexpr int StreamEvents = 14;

std::string number(int value)
{
    return std::to_string(value);
}

// A part that was refused three losses ago, the last of them this long ago.
CrashSuspectNotice refusedPart(const std::string &part, std::chrono::milliseconds age)
{
    CrashSuspect suspect{Fingerprint{std::hash<std::string>()(part)}, {}};
    for (std::uint64_t loss = 1; loss <= AllowedCrashes; ++loss) {
        suspect.losses.push_back({LossId{loss}, age + std::chrono::milliseconds(300 * (loss - 1))});
    }
    CrashSuspectNotice notice;
    notice.subject = CrashSuspectSubject::PromptPart;
    notice.suspects = {suspect};
    return notice;
}

// Endpoints that answer each request with a stream of events at intervals.
GatewayFixture::EndpointFactory streamingEndpoints(TimerService &timers)
{
    const auto stream = [&timers](
                            boost::asio::io_context &loop, const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        HttpResponse head = signedAnswer(request);
        head.contentType = "text/event-stream";
        head.body.clear();
        responder->begin(std::move(head));
        for (int event = 1; event <= StreamEvents; ++event) {
            timers.after(event * EventInterval, loop, [responder, event] { responder->write("id: " + number(event) + "\ndata: x\n\n"); });
        }
        timers.after((StreamEvents + 1) * EventInterval, loop, [responder] { responder->end(); });
    };
    return [stream](boost::asio::io_context &loop, const Address &address) {
        return std::make_shared<HttpServer>(
            loop,
            address,
            HttpServerLimits{},
            [stream, &loop](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                stream(loop, request, responder);
            },
            [](Reason) {});
    };
}

} // namespace

// Guards against requests that are all different but for a part of their prompts, and crash one endpoint after the other.
BOOST_AUTO_TEST_CASE(requests_with_a_part_that_crashes_endpoints_are_sent_to_ever_more_of_them)
{
    CrashingFleet fleet(FirstPort, 3, EndpointCount);
    fleet.crashingParts = {"bad"};
    int served = 0;
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        const std::size_t node = static_cast<std::size_t>(repeat) % fleet.nodes();
        fleet.status(node, "/x/crash-" + number(repeat), "first bad");
        served += fleet.status(node, "/x/sound-" + number(repeat), "first subject-" + number(repeat % 7)) == 200 ? 1 : 0;
        fleet.run(Pause);
    }
    BOOST_CHECK_LE(fleet.crashes, AllowedCrashes);
    BOOST_CHECK_EQUAL(served, Repeats);
}

// Guards against sound parts that are refused because they are in the requests of several lost endpoints.
BOOST_AUTO_TEST_CASE(part_that_was_answered_in_between_is_refused_after_several_losses)
{
    CrashingFleet fleet(FirstPort, 2, EndpointCount);
    for (int loss = 0; loss < 5; ++loss) {
        const std::string path = "/x/crash-" + number(loss);
        fleet.crashing = {path};
        fleet.crashesLeft = 1;
        fleet.status(static_cast<std::size_t>(loss) % 2, path, "first subject");
        BOOST_CHECK_EQUAL(fleet.status(static_cast<std::size_t>(loss) % 2, "/x/sound-" + number(loss), "first subject"), 200);
        fleet.run(RestartTime);
    }
    BOOST_CHECK_EQUAL(fleet.crashes, 5);
}

// Guards against a sound part that is refused because it precedes the culprit in all that is sent while endpoints are lost.
BOOST_AUTO_TEST_CASE(part_that_had_been_answered_is_refused_with_the_one_behind_it)
{
    CrashingFleet fleet(FirstPort, 2, EndpointCount);
    fleet.crashingParts = {"bad"};
    BOOST_REQUIRE_EQUAL(fleet.status(0, "/x/before", "first subject"), 200);
    for (int repeat = 0; repeat < 12; ++repeat) {
        fleet.status(1, "/x/crash-" + number(repeat), "first bad");
        fleet.run(RestartTime);
    }
    BOOST_CHECK_LE(fleet.crashes, AllowedCrashes);
    for (const std::size_t node : {0U, 1U}) {
        BOOST_CHECK_EQUAL(fleet.status(node, "/x/sound", "first another"), 200);
    }
}

// Guards against a part that was sound before and is then let through for ever.
BOOST_AUTO_TEST_CASE(part_that_had_been_answered_takes_ever_more_endpoints_once_it_crashes_them)
{
    CrashingFleet fleet(FirstPort, 2, EndpointCount);
    BOOST_REQUIRE_EQUAL(fleet.status(0, "/x/before", "first turned"), 200);
    fleet.crashingParts = {"turned"};
    for (int repeat = 0; repeat < 24; ++repeat) {
        fleet.status(static_cast<std::size_t>(repeat) % 2, "/x/crash-" + number(repeat), "turned");
        fleet.run(RestartTime);
    }
    BOOST_CHECK_LE(fleet.crashes, 2 * AllowedCrashes);
}

BOOST_AUTO_TEST_CASE(request_with_a_part_that_crashes_endpoints_is_refused_as_not_run_at_a_node_that_has_just_started)
{
    CrashingFleet fleet(FirstPort, 1, EndpointCount);
    fleet.crashingParts = {"bad"};
    for (int repeat = 0; repeat < 4; ++repeat) {
        fleet.status(0, "/x/crash-" + number(repeat), "first bad");
        fleet.run(RestartTime);
    }
    const int crashes = fleet.crashes;
    fleet.addNode();
    for (const CrashSuspectNotice &refused : fleet.node(0).refusedSuspects()) {
        fleet.node(1).onRemoteCrashSuspects(refused);
    }
    const auto answer = fleet.exchange(1, "/x/another", "first bad");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 503);
    BOOST_CHECK(answer->body.find("\"ran\":\"no\"") != std::string::npos);
    BOOST_CHECK_EQUAL(fleet.crashes, crashes);
}

// Guards against a part that goes on crashing endpoints because its callers leave before the crash, when no exchange is left to break off.
BOOST_AUTO_TEST_CASE(part_crashes_endpoints_after_its_callers_have_left)
{
    CrashingFleet fleet(FirstPort, 3, EndpointCount);
    fleet.lateCrashingParts = {"bad"};
    int repeat = 0;
    for (; repeat < AllowedCrashes; ++repeat) {
        fleet.sendAndLeave(static_cast<std::size_t>(repeat) % fleet.nodes(), "/x/crash-" + number(repeat), "first bad");
        // Each loss must be noticed as one of its own.
        fleet.run(ReviewTime);
    }
    BOOST_REQUIRE_EQUAL(fleet.crashes, AllowedCrashes);
    for (; repeat < 12; ++repeat) {
        fleet.sendAndLeave(static_cast<std::size_t>(repeat) % fleet.nodes(), "/x/crash-" + number(repeat), "first bad");
    }
    BOOST_CHECK_EQUAL(fleet.crashes, AllowedCrashes);
}

// Guards against a sound part that is refused because its callers left, although the endpoints go on running.
BOOST_AUTO_TEST_CASE(part_is_refused_because_its_callers_left_at_endpoints_that_run)
{
    CrashingFleet fleet(FirstPort, 2, EndpointCount);
    fleet.lateCrashingParts = {"slow"};
    fleet.crashesLeft = 0;
    for (int repeat = 0; repeat < 12; ++repeat) {
        fleet.sendAndLeave(0, "/x/left-" + number(repeat), "subject slow");
    }
    fleet.run(ReviewTime);
    fleet.publish();
    BOOST_CHECK_EQUAL(fleet.status(0, "/x/sound", "subject"), 200);
    BOOST_CHECK_EQUAL(fleet.crashes, 0);
}

// Guards against a part that stays refused although endpoints go on writing on it: a part that crashes them does so at the beginning.
BOOST_AUTO_TEST_CASE(part_stays_refused_although_a_stream_with_it_goes_on)
{
    TimerService timers;
    GatewayScenario scenario;
    scenario.kind = RouteKind::Streaming;
    scenario.firstPort = StreamPort;
    boost::asio::io_context *loop = nullptr;
    GatewayFixture fixture(scenario, [&](boost::asio::io_context &ownLoop, const Address &address) {
        loop = &ownLoop;
        return streamingEndpoints(timers)(ownLoop, address);
    });
    fixture.extraHeaders = {{"Parts", "first subject"}};
    std::size_t refusedBefore = 0;
    std::optional<std::size_t> refusedAfter;
    timers.after(2 * EventInterval, *loop, [&] {
        fixture.gateway().onRemoteCrashSuspects(refusedPart("first", std::chrono::milliseconds(300)));
        refusedBefore = fixture.gateway().refusedSuspects().size();
    });
    timers.after((StreamEvents - 2) * EventInterval, *loop, [&] { refusedAfter = fixture.gateway().refusedSuspects().size(); });
    BOOST_CHECK(fixture.exchange("/x/1"));
    BOOST_CHECK_EQUAL(refusedBefore, 1);
    BOOST_REQUIRE(refusedAfter);
    BOOST_CHECK_EQUAL(*refusedAfter, 0);
}

// Guards against a shared part that stays refused because the endpoint of its trial had just started and took no requests yet.
BOOST_AUTO_TEST_CASE(trial_of_a_part_ends_with_the_first_endpoint_that_refuses_it)
{
    CrashingFleet fleet(FirstPort, 1, EndpointCount);
    fleet.node(0).onRemoteCrashSuspects(refusedPart("first", std::chrono::milliseconds(2900)));
    for (int repeat = 0; repeat < 4; ++repeat) {
        BOOST_REQUIRE_EQUAL(fleet.status(0, "/x/refused-" + number(repeat), "first subject"), 503);
    }
    fleet.run(std::chrono::milliseconds(200));
    fleet.refusalsLeft = 1;
    BOOST_CHECK_EQUAL(fleet.status(0, "/x/trial", "first subject"), 200);
    BOOST_CHECK_EQUAL(fleet.status(0, "/x/next", "first another"), 200);
}
