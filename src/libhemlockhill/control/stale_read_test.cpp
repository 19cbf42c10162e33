// A controller answers no read with a state older than one that was acknowledged before the read, whatever its clock shows.
#include "control/simulated_region.h"

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr Duration StartTime = std::chrono::seconds(5);
// More than an election timeout and an election.
constexpr Duration SuccessorTime = std::chrono::seconds(5);
// More than it takes to exchange messages, less than a caller waits.
constexpr Duration AnswerTime = std::chrono::milliseconds(900);
constexpr std::size_t Documents = 3;

// Starts a region and acknowledges a document. Returns the leader.
std::size_t startWithDocument(SimulatedRegion &region)
{
    startAll(region);
    region.run(StartTime);
    region.submit();
    region.run(AnswerTime);
    const auto leader = region.leader();
    BOOST_REQUIRE(leader);
    BOOST_REQUIRE_EQUAL(region.acknowledged, 1);
    return *leader;
}

// Lets the other controllers elect a successor and acknowledge newer documents.
void acknowledgeElsewhere(SimulatedRegion &region)
{
    region.run(SuccessorTime);
    const std::uint64_t before = region.acknowledged;
    for (std::size_t document = 0; document < Documents; ++document) {
        region.submit();
        region.run(AnswerTime);
    }
    BOOST_REQUIRE_EQUAL(region.acknowledged, before + Documents);
}

void checkNotOlder(const ReadOutcome &read, std::uint64_t acknowledged)
{
    BOOST_CHECK(!read.version || *read.version >= acknowledged);
}

} // namespace

// Guards against an older answer of a leader that was suspended, while its clock stood still, before it hears of its successor.
BOOST_AUTO_TEST_CASE(suspended_leader_answers_a_read_under_its_lease)
{
    for (const std::size_t size : {3, 5}) {
        SimulatedRegion region(size, 1);
        const std::size_t former = startWithDocument(region);
        region.suspend(former);
        acknowledgeElsewhere(region);
        region.resume(former);
        const auto read = region.read(former);
        region.run(AnswerTime);
        BOOST_CHECK(read->isAnswered);
        checkNotOlder(*read, region.acknowledged);
    }
}

// Guards against an older answer of a leader that is cut off and whose clock stands still, so that its lease does not end.
BOOST_AUTO_TEST_CASE(leader_with_a_stopped_clock_answers_reads_while_it_is_cut_off)
{
    for (const std::size_t size : {3, 5}) {
        SimulatedRegion region(size, 2);
        const std::size_t former = startWithDocument(region);
        for (std::size_t other = 0; other < size; ++other) {
            region.cuts.insert({former, other});
            region.cuts.insert({other, former});
        }
        region.stopClock(former);
        acknowledgeElsewhere(region);
        const auto read = region.read(former);
        region.run(AnswerTime);
        checkNotOlder(*read, region.acknowledged);
    }
}

// The leader answers a read in calm, with the newest document, within the time of a round of messages.
BOOST_AUTO_TEST_CASE(leader_answers_a_read_with_the_newest_document)
{
    for (const std::size_t size : {3, 5}) {
        SimulatedRegion region(size, 3);
        const std::size_t leader = startWithDocument(region);
        const auto read = region.read(leader);
        region.run(AnswerTime);
        BOOST_REQUIRE(read->isAnswered);
        BOOST_REQUIRE(read->version);
        BOOST_CHECK_EQUAL(*read->version, region.acknowledged);
    }
}

// A controller that does not lead answers at once, so that the caller is sent on.
BOOST_AUTO_TEST_CASE(follower_refuses_a_read_at_once)
{
    SimulatedRegion region(3, 4);
    const std::size_t leader = startWithDocument(region);
    const auto read = region.read((leader + 1) % 3);
    BOOST_CHECK(read->isAnswered);
    BOOST_CHECK(!read->version);
}
