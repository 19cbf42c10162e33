// Tests how many endpoints a request takes that crashes each one that runs it, sent again and again to all nodes.
#include "node/crashing_fleet_testing.h"

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr std::uint16_t FirstPort = 9'330;
constexpr int Repeats = 30;
// A request may cost this many endpoints.
constexpr int AllowedCrashes = 2;

} // namespace

// Guards against a request that crashes one endpoint after the other.
BOOST_AUTO_TEST_CASE(request_that_crashes_endpoints_is_sent_to_ever_more_of_them)
{
    CrashingFleet fleet(FirstPort, 2);
    fleet.crashing = {"/x/crash"};
    int served = 0;
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        fleet.status(static_cast<std::size_t>(repeat) % fleet.nodes(), "/x/crash");
        served += fleet.status(static_cast<std::size_t>(repeat) % fleet.nodes(), "/x/sound-" + std::to_string(repeat)) == 200 ? 1 : 0;
        fleet.run(Pause);
    }
    BOOST_CHECK_LE(fleet.crashes, AllowedCrashes);
    BOOST_CHECK_EQUAL(served, Repeats);
}

// Guards against a crash that counts for nothing, because the endpoint answers sound requests under the same id before the list shows that
// it was restarted.
BOOST_AUTO_TEST_CASE(request_that_crashes_endpoints_restarted_under_their_ids_is_sent_to_ever_more_of_them)
{
    CrashingFleet fleet(FirstPort, 2);
    fleet.keepsIds = true;
    fleet.crashing = {"/x/crash"};
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        fleet.status(static_cast<std::size_t>(repeat) % fleet.nodes(), "/x/crash");
        fleet.run(RestartTime);
        for (int sound = 0; sound < 6; ++sound) {
            fleet.status(static_cast<std::size_t>(sound) % fleet.nodes(), "/x/sound-" + std::to_string(sound));
        }
        fleet.run(ListLag);
    }
    BOOST_CHECK_LE(fleet.crashes, AllowedCrashes);
}

// Guards against a node that lets such a request through because it has just started.
BOOST_AUTO_TEST_CASE(request_that_crashes_endpoints_is_sent_by_a_node_that_has_just_started)
{
    CrashingFleet fleet(FirstPort, 1);
    fleet.crashing = {"/x/crash"};
    while (fleet.crashes < AllowedCrashes) {
        fleet.status(0, "/x/crash");
        fleet.run(RestartTime);
    }
    fleet.addNode();
    for (const CrashSuspectNotice &refused : fleet.node(0).refusedSuspects()) {
        fleet.node(1).onRemoteCrashSuspects(refused);
    }
    BOOST_CHECK_EQUAL(fleet.status(1, "/x/crash"), 503);
    BOOST_CHECK_EQUAL(fleet.crashes, AllowedCrashes);
}

BOOST_AUTO_TEST_CASE(request_that_crashes_endpoints_is_refused_as_not_run_with_a_time_to_come_back)
{
    CrashingFleet fleet(FirstPort, 1);
    fleet.crashing = {"/x/crash"};
    // One request may be sent to two endpoints.
    fleet.status(0, "/x/crash");
    fleet.run(RestartTime);
    const auto answer = fleet.exchange(0, "/x/crash");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->status, 503);
    BOOST_CHECK(answer->body.find("\"quarantined\"") != std::string::npos);
    BOOST_CHECK(answer->body.find("\"ran\":\"no\"") != std::string::npos);
    BOOST_CHECK_GT(std::stod(std::string(findHeader(answer->headers, "Retry-After"))), 60);
}

// Guards against connections that are reset for other reasons being taken for crashes.
BOOST_AUTO_TEST_CASE(request_whose_connections_were_reset_stays_refused_although_the_endpoints_answer)
{
    CrashingFleet fleet(FirstPort, 2);
    fleet.reset = {"/x/reset"};
    fleet.status(0, "/x/reset");
    fleet.status(1, "/x/reset");
    BOOST_CHECK_GE(fleet.resets, 2);
    for (int number = 0; number < 20; ++number) {
        fleet.status(static_cast<std::size_t>(number) % 2, "/x/sound-" + std::to_string(number));
    }
    // The answers may be those of other incarnations, until a later list shows the same ones.
    fleet.run(ListLag);
    fleet.publish();
    fleet.run(Pause);
    fleet.reset.clear();
    BOOST_CHECK_EQUAL(fleet.status(0, "/x/reset"), 200);
    BOOST_CHECK_EQUAL(fleet.status(1, "/x/reset"), 200);
}

// Guards against a request that stays refused because nobody else uses the endpoints that reset its connections.
BOOST_AUTO_TEST_CASE(request_whose_connections_were_reset_stays_refused_although_the_endpoints_are_listed)
{
    CrashingFleet fleet(FirstPort, 2);
    fleet.reset = {"/x/reset"};
    fleet.status(0, "/x/reset");
    fleet.reset.clear();
    BOOST_CHECK_EQUAL(fleet.status(1, "/x/reset"), 503);
    fleet.run(ReviewTime);
    BOOST_CHECK_EQUAL(fleet.status(1, "/x/reset"), 200);
}

// Guards against losses that are counted although the request was answered in between.
BOOST_AUTO_TEST_CASE(request_that_was_answered_after_a_loss_is_refused_after_the_next)
{
    CrashingFleet fleet(FirstPort, 2);
    fleet.crashing = {"/x/sound"};
    fleet.crashesLeft = 1;
    BOOST_CHECK_EQUAL(fleet.status(0, "/x/sound"), 200);
    fleet.run(2 * RestartTime);
    fleet.crashesLeft = 1;
    BOOST_CHECK_EQUAL(fleet.status(1, "/x/sound"), 200);
    fleet.run(Pause);
    BOOST_CHECK_EQUAL(fleet.status(0, "/x/sound"), 200);
    BOOST_CHECK_EQUAL(fleet.crashes, 2);
}
