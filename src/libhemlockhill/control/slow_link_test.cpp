// Controllers behind links that take long to transport the entries of the log.
#include "control/simulated_region.h"

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

// What a link of 1 Mbit/s transports within the timeout of a call, one second.
constexpr std::size_t SlowLinkBytes = 125'000;
constexpr std::size_t DocumentBytes = 14'000;
constexpr std::size_t Documents = 60;

} // namespace

BOOST_AUTO_TEST_CASE(controller_with_a_lost_disk_catches_up_over_a_slow_link)
{
    SimulatedRegion region(SeedCount, firstSeed());
    region.documentBytes = DocumentBytes;
    startAll(region);
    region.run(std::chrono::seconds(12));
    BOOST_REQUIRE_EQUAL(region.voters(), SeedCount);
    for (std::size_t document = 0; document < Documents; ++document) {
        region.submit();
        region.run(Step * 10);
    }
    region.run(std::chrono::seconds(2));
    BOOST_REQUIRE_EQUAL(region.acknowledged, Documents);
    const std::size_t lost = (region.leader().value() + 1) % SeedCount;
    region.loseDisk(lost);
    region.messageLimit = SlowLinkBytes;
    region.run(std::chrono::seconds(1));
    region.start(lost);
    region.run(std::chrono::seconds(20));
    BOOST_CHECK_EQUAL(region.controllerOf(lost).state().deployment().current().version.value, Documents);
    BOOST_CHECK_EQUAL(region.voters(), SeedCount);
    region.checkInvariants();
}
