// A leader leases shards of quotas to the nodes that claim some, and its successor does not lease them a second time.
#include "control/simulated_region.h"
#include "hemlockhill/quota_shards.h"

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

const VmId First{"10.0.1.1"};
const VmId Second{"10.0.1.2"};

std::optional<QuotaLeases> claim(SimulatedRegion &region, const VmId &node, const std::optional<ShardSet> &held)
{
    BOOST_REQUIRE(region.leader());
    FollowRequest request;
    // A node that is not up to date is answered at once.
    request.quarantineDigest = StateDigest{1};
    if (held) {
        request.quotaClaim = QuotaClaim{ProcessId{1}, *held, false, {}};
    }
    std::optional<FollowReply> reply;
    region.controllerOf(*region.leader())
        .follow(
            node, request, [&reply](FollowReply answer) { reply = std::move(answer); }, region.now);
    BOOST_REQUIRE(reply && reply->leading);
    return reply->quotaLeases;
}

} // namespace

BOOST_AUTO_TEST_CASE(leader_leases_shards_to_the_nodes_that_claim_some)
{
    SimulatedRegion region(3, 7);
    startAll(region);
    region.run(std::chrono::seconds(5));
    BOOST_CHECK(!claim(region, First, std::nullopt));
    claim(region, First, ShardSet{});
    claim(region, Second, ShardSet{});
    region.run(std::chrono::seconds(1));
    // Nothing was declared before this leader, so no node can have granted anything.
    const auto leases = claim(region, First, ShardSet{});
    BOOST_REQUIRE(leases);
    BOOST_CHECK_EQUAL(leases->held.count(), ShardCount / 2);
    BOOST_CHECK(leases->rested == leases->held);
    BOOST_CHECK_EQUAL(leases->owners.size(), ShardCount);
}

// Guards against two owners of a shard after a change of leader.
BOOST_AUTO_TEST_CASE(new_leader_leases_no_shard_that_may_still_be_held)
{
    SimulatedRegion region(3, 7);
    startAll(region);
    region.run(std::chrono::seconds(5));
    region.submit();
    claim(region, First, ShardSet{});
    region.run(std::chrono::seconds(1));
    const auto leases = claim(region, First, ShardSet{});
    BOOST_REQUIRE(leases);
    BOOST_CHECK(leases->held.all());
    region.kill(*region.leader());
    while (!region.leader()) {
        region.step();
    }
    // The first node is out of touch; another one gets none of its shards until the first one's lease must have ended.
    const QuotaLeaseTimes times;
    const TimePoint end = region.now + times.lease - std::chrono::milliseconds(500);
    while (region.now < end) {
        BOOST_REQUIRE(claim(region, Second, ShardSet{})->held.none());
        region.step();
    }
    BOOST_CHECK(claim(region, First, leases->held)->held == leases->held);
    BOOST_CHECK(claim(region, Second, leases->held)->held.none());
    region.run(times.lease + times.margin + std::chrono::milliseconds(500));
    BOOST_CHECK(claim(region, Second, ShardSet{})->held.all());
}
