// Tests of the quota queries of an entry.
#include "hemlockhill/quota_client.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Hemlockhill;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkspaceId Clerks{"clerks"};
const TimePoint Start{seconds(100)};
const VmId Owners[] = {VmId{"10.0.0.1"}, VmId{"10.0.0.2"}};

struct Client {
    explicit Client(QuotaClientLimits limits = {})
        : client(limits, 500)
    {
        QuotaLeases leases;
        leases.table = ShardTableDigest{7};
        leases.owners.resize(ShardCount);
        for (std::uint8_t share = 0; share < SharesOfWorkspace; ++share) {
            leases.owners.at(shardOf(Clerks, ShareNumber{share}).value) = Owners[share];
        }
        client.onTable(leases);
    }

    // Starts a charge that asks share 0 first, and takes its query.
    QuotaQuery start(std::uint64_t number = 2)
    {
        client.start(ChargeNumber{number}, Clerks, 3000, Start);
        return nextQuery();
    }

    QuotaQuery nextQuery()
    {
        const auto actions = client.takeActions();
        BOOST_REQUIRE_EQUAL(actions.size(), 1U);
        const auto *send = std::get_if<SendQuotaQuery>(&actions.front());
        BOOST_REQUIRE(send);
        BOOST_CHECK(send->to == Owners[send->query.share.value]);
        return send->query;
    }

    QuotaDecision decision()
    {
        const auto actions = client.takeActions();
        BOOST_REQUIRE_EQUAL(actions.size(), 1U);
        const auto *decision = std::get_if<QuotaDecision>(&actions.front());
        BOOST_REQUIRE(decision);
        return *decision;
    }

    void reply(const QuotaQuery &query, QuotaVerdict verdict, Duration wait = Duration(0), TimePoint now = Start)
    {
        client.onReply(Owners[query.share.value], {query.id, verdict, wait}, now);
    }

    QuotaClient client;
};

} // namespace

BOOST_AUTO_TEST_CASE(grant_of_an_owner_decides)
{
    Client client;
    const QuotaQuery query = client.start();
    BOOST_CHECK_EQUAL(query.cost, 3000);
    BOOST_CHECK(query.share == ShareNumber{0});
    client.reply(query, QuotaVerdict::Granted);
    const QuotaDecision decision = client.decision();
    BOOST_CHECK(decision.outcome == QuotaOutcome::Granted);
    BOOST_CHECK(decision.grant == (QuotaGrant{Owners[0], query.id}));
    // The same datagram again.
    client.reply(query, QuotaVerdict::Granted);
    BOOST_CHECK(client.client.takeActions().empty());
    BOOST_CHECK_EQUAL(client.client.pending(), 0);
}

BOOST_AUTO_TEST_CASE(shares_are_asked_in_turn)
{
    Client client;
    BOOST_CHECK(client.start(2).share == ShareNumber{0});
    BOOST_CHECK(client.start(3).share == ShareNumber{1});
}

BOOST_AUTO_TEST_CASE(request_is_refused_once_both_shares_have_no_room)
{
    Client client;
    client.reply(client.start(), QuotaVerdict::Refused, milliseconds(900));
    const QuotaQuery second = client.nextQuery();
    BOOST_CHECK(second.share == ShareNumber{1});
    client.reply(second, QuotaVerdict::Refused, milliseconds(400));
    const QuotaDecision decision = client.decision();
    BOOST_CHECK(decision.outcome == QuotaOutcome::Exceeded);
    BOOST_CHECK(decision.retryAfter == milliseconds(400));
}

// An owner that has died must not cost its workspace the other half of the limit.
BOOST_AUTO_TEST_CASE(silent_owner_is_passed_over_after_the_timeout)
{
    Client client;
    client.start();
    client.client.tick(Start + milliseconds(39));
    BOOST_CHECK(client.client.takeActions().empty());
    client.client.tick(Start + milliseconds(40));
    const QuotaQuery second = client.nextQuery();
    BOOST_CHECK(second.share == ShareNumber{1});
    client.client.tick(Start + milliseconds(80));
    BOOST_CHECK(client.nextQuery().share == ShareNumber{0});
    client.reply(second, QuotaVerdict::Granted);
    BOOST_CHECK(client.decision().outcome == QuotaOutcome::Granted);
}

BOOST_AUTO_TEST_CASE(request_is_undecided_if_no_owner_answers)
{
    Client client;
    client.start();
    client.client.tick(Start + milliseconds(149));
    client.client.takeActions();
    client.client.tick(Start + milliseconds(150));
    const QuotaDecision decision = client.decision();
    BOOST_CHECK(decision.outcome == QuotaOutcome::Unknown);
    BOOST_CHECK(decision.retryAfter == seconds(1));
}

// Units that no request uses must not be lost to the workspace.
BOOST_AUTO_TEST_CASE(grant_after_the_decision_is_given_back_once)
{
    Client client;
    const QuotaQuery first = client.start();
    client.client.tick(Start + milliseconds(40));
    client.reply(client.nextQuery(), QuotaVerdict::Granted);
    client.decision();
    client.reply(first, QuotaVerdict::Granted);
    const auto actions = client.client.takeActions();
    BOOST_REQUIRE_EQUAL(actions.size(), 1U);
    const auto *returned = std::get_if<SendQuotaReturn>(&actions.front());
    BOOST_REQUIRE(returned);
    BOOST_CHECK(returned->to == Owners[0]);
    BOOST_CHECK(returned->message.id == first.id);
    client.reply(first, QuotaVerdict::Granted);
    BOOST_CHECK(client.client.takeActions().empty());
}

BOOST_AUTO_TEST_CASE(grant_for_a_request_that_has_ended_is_given_back)
{
    Client client;
    const QuotaQuery query = client.start();
    client.client.cancel(ChargeNumber{2}, Start);
    BOOST_CHECK(client.client.takeActions().empty());
    client.reply(query, QuotaVerdict::Granted);
    BOOST_CHECK(std::holds_alternative<SendQuotaReturn>(client.client.takeActions().at(0)));
}

// After a change of owner the asked node says at once that it does not own the share.
BOOST_AUTO_TEST_CASE(node_that_is_no_owner_is_passed_over_at_once)
{
    Client client;
    client.reply(client.start(), QuotaVerdict::NotOwner);
    const QuotaQuery second = client.nextQuery();
    BOOST_CHECK(second.share == ShareNumber{1});
    client.reply(second, QuotaVerdict::NotOwner);
    BOOST_CHECK(client.client.takeActions().empty());
    client.client.tick(Start + milliseconds(40));
    BOOST_CHECK(client.nextQuery().share == ShareNumber{0});
}

// Refused by one share and without a reply of the other, it is not known whether the limit is exceeded.
BOOST_AUTO_TEST_CASE(share_that_refused_is_not_asked_again)
{
    Client client;
    client.reply(client.start(), QuotaVerdict::Refused, milliseconds(400));
    client.nextQuery();
    client.client.tick(Start + milliseconds(40));
    BOOST_CHECK(client.nextQuery().share == ShareNumber{1});
    client.client.tick(Start + milliseconds(150));
    const QuotaDecision decision = client.decision();
    BOOST_CHECK(decision.outcome == QuotaOutcome::Unknown);
    BOOST_CHECK(decision.retryAfter == milliseconds(400));
}

BOOST_AUTO_TEST_CASE(owner_that_becomes_known_while_a_request_waits_is_asked)
{
    QuotaClient client({}, 1);
    client.start(ChargeNumber{2}, Clerks, 1, Start);
    BOOST_CHECK(client.takeActions().empty());
    QuotaLeases leases;
    leases.owners.assign(ShardCount, Owners[0]);
    client.onTable(leases);
    client.tick(Start + milliseconds(40));
    BOOST_CHECK_EQUAL(client.takeActions().size(), 1U);
}

// A leader that has just taken over does not know all owners, which still decide.
BOOST_AUTO_TEST_CASE(owner_that_a_table_leaves_out_is_still_asked)
{
    Client client;
    QuotaLeases leases;
    leases.table = ShardTableDigest{8};
    leases.owners.resize(ShardCount);
    client.client.onTable(leases);
    BOOST_CHECK(client.client.table() == ShardTableDigest{8});
    client.start();
}

BOOST_AUTO_TEST_CASE(pending_requests_are_bounded)
{
    QuotaClientLimits limits;
    limits.pending = 1;
    Client client(limits);
    client.start(2);
    client.client.start(ChargeNumber{3}, Clerks, 1, Start);
    BOOST_CHECK(client.decision().outcome == QuotaOutcome::Unknown);
}

BOOST_AUTO_TEST_CASE(replies_of_other_nodes_are_ignored)
{
    Client client;
    const QuotaQuery query = client.start();
    client.client.onReply(VmId{"10.0.0.77"}, {query.id, QuotaVerdict::Granted, Duration(0)}, Start);
    BOOST_CHECK(client.client.takeActions().empty());
    BOOST_CHECK_EQUAL(client.client.pending(), 1);
}
