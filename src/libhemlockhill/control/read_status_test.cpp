// Each state in which a controller cannot answer a read is told apart from the others.
#include "hemlockhill/read_status.h"

#include "consensus/simulated_group.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

constexpr std::int64_t Millisecond = 1000;
constexpr std::int64_t Second = 1000 * Millisecond;

ReadObstacle obstacleAt(SimulatedGroup &group, std::size_t node)
{
    return readStatusOf(*group.core(node), group.local(node)).obstacle;
}

// Runs until a voter leads, whether it holds a lease or not.
std::size_t awaitLeader(SimulatedGroup &group)
{
    while (!group.leader()) {
        BOOST_REQUIRE(group.time() < 20 * Second);
        group.run(10 * Millisecond);
    }
    return *group.leader();
}

} // namespace

BOOST_AUTO_TEST_CASE(voter_that_has_just_started_knows_no_leader)
{
    SimulatedGroup group(3, 1);
    BOOST_TEST((obstacleAt(group, 0) == ReadObstacle::NoLeader));
}

BOOST_AUTO_TEST_CASE(leader_answers_reads_once_an_entry_of_its_term_is_committed)
{
    SimulatedGroup group(3, 1);
    group.network.minSync = 200 * Millisecond;
    group.network.maxSync = 200 * Millisecond;
    const std::size_t leader = awaitLeader(group);
    BOOST_TEST((obstacleAt(group, leader) == ReadObstacle::TermNotCommitted));
    group.run(Second);
    BOOST_TEST((obstacleAt(group, leader) == ReadObstacle::None));
    BOOST_TEST((obstacleAt(group, leader == 0 ? 1 : 0) == ReadObstacle::Follower));
}

BOOST_AUTO_TEST_CASE(leader_without_answers_loses_its_lease_before_its_leadership)
{
    SimulatedGroup group(3, 1);
    const std::size_t leader = awaitLeader(group);
    group.run(Second);
    group.isolate(leader);
    group.run(900 * Millisecond);
    BOOST_TEST((obstacleAt(group, leader) == ReadObstacle::LeaseExpired));
}

BOOST_AUTO_TEST_CASE(leader_that_transfers_its_leadership_answers_no_reads)
{
    SimulatedGroup group(3, 1);
    const std::size_t leader = awaitLeader(group);
    group.run(Second);
    BOOST_TEST(group.core(leader)->transferLeadership(group.local(leader)));
    BOOST_TEST((obstacleAt(group, leader) == ReadObstacle::TransferringLeadership));
}
