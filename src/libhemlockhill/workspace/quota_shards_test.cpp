// Tests of the leader's leases of shards.
#include "hemlockhill/quota_shards.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace Hemlockhill;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const VmId First{"10.0.0.1"};
const VmId Second{"10.0.0.2"};

// Both clocks show the same as long as the machine is not suspended.
NodeTime at(Duration time, Duration suspended = Duration(0))
{
    return {TimePoint(time), BootTimePoint(time + suspended)};
}

QuotaClaim claimOf(const ShardSet &held, std::uint64_t process = 1)
{
    return {ProcessId{process}, held, false, {}};
}

struct Leader {
    explicit Leader(Duration start = seconds(100))
        : shards({seconds(3)}, at(start))
    {
    }

    QuotaLeases claim(const VmId &node, const ShardSet &held, Duration time, std::uint64_t process = 1)
    {
        const auto leases = shards.onClaim(node, claimOf(held, process), at(time));
        BOOST_REQUIRE(leases);
        return *leases;
    }

    QuotaShards shards;
};

} // namespace

// A new leader does not know which leases the former one has granted.
BOOST_AUTO_TEST_CASE(new_leader_only_confirms_claims_until_former_leases_have_ended)
{
    Leader leader;
    ShardSet held;
    held.set(3);
    BOOST_CHECK(leader.claim(First, held, seconds(101)).held == held);
    // Neither a shard that another entry has claimed, nor one that nobody has.
    BOOST_CHECK(leader.claim(Second, held, seconds(101)).held.none());
    BOOST_CHECK(leader.claim(Second, {}, milliseconds(103'499)).held.none());
    BOOST_CHECK(leader.claim(First, held, milliseconds(103'499)).held == held);
    BOOST_CHECK(leader.claim(First, held, milliseconds(103'500)).held.count() == 16);
    BOOST_CHECK(leader.claim(Second, {}, milliseconds(103'500)).held.count() == 16);
}

// A claim may be overtaken by a lease of the former leader to another entry, so it counts only while the entry goes on claiming.
BOOST_AUTO_TEST_CASE(claim_that_is_not_repeated_is_not_confirmed_before_former_leases_have_ended)
{
    Leader leader;
    ShardSet held;
    held.set(3);
    leader.claim(First, held, seconds(101));
    BOOST_CHECK(leader.claim(First, {}, milliseconds(101'500)).held.none());
}

BOOST_AUTO_TEST_CASE(table_is_sent_once_it_is_complete_and_only_if_it_differs)
{
    Leader leader;
    BOOST_CHECK(leader.claim(First, {}, seconds(101)).owners.empty());
    const QuotaLeases leases = leader.claim(First, {}, seconds(104));
    BOOST_CHECK_EQUAL(leases.owners.size(), ShardCount);
    QuotaClaim known = claimOf(leases.held);
    known.table = leases.table;
    const auto again = leader.shards.onClaim(First, known, at(seconds(104)));
    BOOST_REQUIRE(again);
    BOOST_CHECK(again->owners.empty());
}

BOOST_AUTO_TEST_CASE(shards_of_a_silent_entry_are_leased_again_after_lease_and_margin)
{
    Leader leader;
    leader.claim(First, {}, seconds(101));
    leader.claim(Second, {}, seconds(103));
    const ShardSet first = leader.claim(First, {}, seconds(104)).held;
    ShardSet second = leader.claim(Second, {}, seconds(104)).held;
    BOOST_CHECK((first & second).none());
    BOOST_CHECK_EQUAL((first | second).count(), ShardCount);
    BOOST_CHECK(leader.claim(Second, second, milliseconds(107'499)).held == second);
    const QuotaLeases all = leader.claim(Second, second, milliseconds(107'500));
    BOOST_CHECK(all.held.all());
    BOOST_CHECK((all.rested & first).none());
}

// The buckets of the former process are lost, and it may still run.
BOOST_AUTO_TEST_CASE(restarted_process_does_not_inherit_leases)
{
    Leader leader;
    leader.claim(First, {}, seconds(103));
    BOOST_CHECK(leader.claim(First, {}, seconds(104)).held.all());
    BOOST_CHECK(leader.claim(First, {}, seconds(105), 2).held.none());
    BOOST_CHECK(leader.claim(First, {}, milliseconds(107'500), 2).held.all());
}

BOOST_AUTO_TEST_CASE(leaving_entry_gives_up_only_the_leases_of_its_process)
{
    Leader leader;
    leader.claim(First, {}, seconds(103));
    const ShardSet all = leader.claim(First, {}, seconds(104)).held;
    leader.claim(Second, {}, seconds(104));
    QuotaClaim leaving = claimOf({}, 2);
    leaving.isLeaving = true;
    leader.shards.onClaim(First, leaving, at(seconds(105)));
    BOOST_CHECK(leader.claim(Second, {}, seconds(105)).held.none());
    leaving.process = ProcessId{1};
    leader.shards.onClaim(First, leaving, at(seconds(106)));
    BOOST_CHECK(leader.claim(Second, {}, seconds(106)).held == all);
}

// At the first start of a group nobody should be refused for the leases of a leader that there never was.
BOOST_AUTO_TEST_CASE(shards_are_rested_if_nothing_was_leased_before)
{
    Leader leader;
    leader.shards.onNothingLeasedBefore();
    BOOST_CHECK(leader.claim(First, {}, milliseconds(100'100)).held.none());
    leader.claim(Second, {}, milliseconds(100'500));
    const QuotaLeases leases = leader.claim(First, {}, milliseconds(101'100));
    BOOST_CHECK_EQUAL(leases.held.count(), 16);
    BOOST_CHECK(leases.rested == leases.held);
}

BOOST_AUTO_TEST_CASE(shards_are_rested_after_a_window_without_owner)
{
    Leader leader;
    leader.claim(First, {}, seconds(110));
    BOOST_CHECK(leader.claim(First, {}, milliseconds(111'499)).rested.none());
    Leader second;
    second.claim(First, {}, seconds(110));
    BOOST_CHECK(second.claim(First, {}, milliseconds(111'500)).rested.all());
}

// Its clock for the leader's lease has stood still, so that another process may lead by now.
BOOST_AUTO_TEST_CASE(leader_that_was_suspended_answers_no_claims_for_a_while)
{
    Leader leader;
    leader.claim(First, {}, seconds(103));
    const QuotaClaim claim = claimOf({});
    BOOST_CHECK(leader.shards.onClaim(First, claim, at(seconds(104))));
    BOOST_CHECK(!leader.shards.onClaim(First, claim, at(seconds(104), seconds(10))));
    BOOST_CHECK(!leader.shards.onClaim(First, claim, at(milliseconds(104'599), seconds(10))));
    BOOST_CHECK(leader.shards.onClaim(First, claim, at(milliseconds(104'600), seconds(10))));
}

BOOST_AUTO_TEST_CASE(shares_of_a_workspace_are_in_different_shards)
{
    std::set<std::uint8_t> used;
    for (int number = 0; number < 1000; ++number) {
        const WorkspaceId workspace{"w" + std::to_string(number)};
        const ShardNumber first = shardOf(workspace, ShareNumber{0});
        const ShardNumber second = shardOf(workspace, ShareNumber{1});
        BOOST_CHECK(first != second);
        used.insert(first.value);
        used.insert(second.value);
    }
    BOOST_CHECK_EQUAL(used.size(), ShardCount);
}
