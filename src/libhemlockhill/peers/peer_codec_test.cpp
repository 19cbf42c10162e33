// Encoding of what requests and replies of followers say about quotas, also towards nodes of builds that do not know it.
#include "peers/peer_codec.h"

#include "hemlockhill/failure.h"

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>

using namespace Hemlockhill;

namespace
{

ShardSet shards(std::initializer_list<std::size_t> numbers)
{
    ShardSet set;
    for (const std::size_t number : numbers) {
        set.set(number);
    }
    return set;
}

FollowRequest roundTrip(const FollowRequest &request)
{
    capnp::MallocMessageBuilder message;
    write(message.initRoot<Wire::FollowRequest>(), request);
    return read(message.getRoot<Wire::FollowRequest>().asReader());
}

FollowReply roundTrip(const FollowReply &reply)
{
    capnp::MallocMessageBuilder message;
    write(message.initRoot<Wire::FollowReply>(), reply);
    return read(message.getRoot<Wire::FollowReply>().asReader());
}

} // namespace

BOOST_AUTO_TEST_CASE(claims_and_leases_round_trip)
{
    FollowRequest request;
    request.quotaClaim = QuotaClaim{ProcessId{0x9c41d07be2a35f68}, shards({0, 7, 31}), true, ShardTableDigest{5}};
    BOOST_CHECK(roundTrip(request).quotaClaim == request.quotaClaim);
    FollowReply reply;
    reply.quotaLeases = QuotaLeases{shards({3, 4}), shards({4}), ShardTableDigest{6}, std::vector<VmId>(ShardCount, VmId{"10.0.0.1"})};
    BOOST_CHECK(roundTrip(reply).quotaLeases == reply.quotaLeases);
}

// A node of an earlier build sends neither, and must not be taken for one that holds no shards.
BOOST_AUTO_TEST_CASE(messages_without_quotas_have_no_claims_and_leases)
{
    BOOST_CHECK(!roundTrip(FollowRequest{}).quotaClaim);
    BOOST_CHECK(!roundTrip(FollowReply{}).quotaLeases);
}

BOOST_AUTO_TEST_CASE(numbers_of_shards_out_of_range_are_malformed)
{
    for (const std::uint8_t number : {std::uint8_t{64}, std::uint8_t{255}}) {
        capnp::MallocMessageBuilder message;
        auto request = message.initRoot<Wire::FollowRequest>();
        request.initQuotaClaim().initHeld(1).set(0, number);
        BOOST_CHECK_THROW(read(request.asReader()), DecodeError);
    }
}

// A later build may have more shards; a node of this one leaves those to others.
BOOST_AUTO_TEST_CASE(shards_of_later_builds_are_ignored)
{
    capnp::MallocMessageBuilder message;
    auto request = message.initRoot<Wire::FollowRequest>();
    auto held = request.initQuotaClaim().initHeld(2);
    held.set(0, 9);
    held.set(1, 63);
    BOOST_CHECK(read(request.asReader()).quotaClaim->held == shards({9}));
}
