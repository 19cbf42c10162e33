// Replication of the declared state: a node that lags receives a delta; one that lags too far or has a different state, a snapshot.
#include "hemlockhill/state_follower.h"

#include "hemlockhill/language.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

// State machine and command history of a leader.
struct Leader {
    void apply(const std::string &statement)
    {
        const auto request = std::get<CommandRequest>(parseStatement(statement));
        BOOST_REQUIRE(std::holds_alternative<CommandAccepted>(machine.apply(request)));
        history.recordAccepted(request.command, machine);
    }

    void declareModels(int from, int to)
    {
        for (int number = from; number < to; ++number) {
            apply("declare model m" + std::to_string(number) + " version v1 weights 1GB kv 1GB");
        }
    }

    FollowReply answerTo(const StateFollower &follower) const
    {
        return history.answer(follower.state().revision, follower.digest(), machine);
    }

    RegionStateMachine machine;
    StateHistory history;
};

} // namespace

BOOST_AUTO_TEST_CASE(follower_catches_up_by_delta)
{
    Leader leader;
    StateFollower follower;
    leader.history.reset(leader.machine);
    leader.declareModels(0, 3);
    follower.apply(leader.answerTo(follower));
    leader.declareModels(3, 5);
    const FollowReply delta = leader.answerTo(follower);
    BOOST_TEST(delta.statements.size() == 2U);
    BOOST_TEST(delta.snapshot.empty());
    follower.apply(delta);
    BOOST_CHECK(follower.state() == leader.machine.state());
    BOOST_TEST(leader.answerTo(follower).statements.empty());
}

BOOST_AUTO_TEST_CASE(follower_too_far_behind_receives_snapshot)
{
    Leader leader;
    StateFollower follower;
    leader.history.reset(leader.machine);
    leader.declareModels(0, 2);
    follower.apply(leader.answerTo(follower));
    leader.declareModels(2, 2 + static_cast<int>(StateHistory::CommandLimit) + 1);
    const FollowReply whole = leader.answerTo(follower);
    BOOST_TEST(whole.statements.empty());
    BOOST_TEST(!whole.snapshot.empty());
    follower.apply(whole);
    BOOST_CHECK(follower.state() == leader.machine.state());
}

BOOST_AUTO_TEST_CASE(follower_with_different_state_at_same_revision_receives_snapshot)
{
    Leader leader;
    Leader other;
    StateFollower follower;
    leader.history.reset(leader.machine);
    other.history.reset(other.machine);
    other.declareModels(7, 8);
    follower.apply(other.answerTo(follower));
    leader.declareModels(0, 1);
    const FollowReply sameRevision = leader.answerTo(follower);
    BOOST_TEST(!sameRevision.snapshot.empty());
    leader.declareModels(1, 2);
    const FollowReply later = leader.answerTo(follower);
    BOOST_TEST(!later.snapshot.empty());
    follower.apply(later);
    BOOST_CHECK(follower.state() == leader.machine.state());
}

BOOST_AUTO_TEST_CASE(delta_with_wrong_digest_is_rejected_and_replaced_by_snapshot)
{
    Leader leader;
    StateFollower follower;
    leader.history.reset(leader.machine);
    leader.declareModels(0, 1);
    FollowReply reply = leader.answerTo(follower);
    reply.digest = StateDigest{reply.digest.value + 1};
    BOOST_CHECK_THROW(follower.apply(reply), DecodeError);
    BOOST_TEST(follower.state().revision.value == 0U);
    follower.apply(leader.answerTo(follower));
    BOOST_CHECK(follower.state() == leader.machine.state());
}
