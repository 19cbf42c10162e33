// Tests of the questions to the owners of a service.
#include "hemlockhill/load_queries.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Hemlockhill;

namespace
{

const ServiceId Register{"register"};
const TimePoint Start = TimePoint{} + std::chrono::seconds(100);
constexpr Duration Timeout = std::chrono::milliseconds(40);

// A node of a fleet that is no owner.
struct Asker {
    explicit Asker(std::size_t nodes = 100)
        : owners(VmId{"asker"}, {}, true)
        , queries({}, metrics, 7)
    {
        std::vector<VmId> group;
        for (std::size_t index = 0; index < nodes; ++index) {
            group.push_back(VmId{"n" + std::to_string(index)});
        }
        owners.setNodes(group, Start);
        BOOST_REQUIRE(!owners.isOwner(Register, Start));
    }

    LoadQueryPlan plan(TimePoint now, const ModelId &model = {}, LoadPurpose purpose = LoadPurpose::Dispatch)
    {
        return queries.plan({Register, {model, {}}}, purpose, owners, now);
    }
    void answer(const VmId &owner, TimePoint now, const ModelId &model = {})
    {
        queries.onReport(owner, {{Register, {model, {}}}, {}}, now);
    }

    Metrics metrics;
    LoadOwners owners;
    LoadQueries queries;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_request_waits_for_the_answer_of_an_owner)
{
    Asker asker;
    const LoadQueryPlan first = asker.plan(Start);
    BOOST_CHECK(first.knowledge == LoadKnowledge::QueryDue);
    BOOST_CHECK(!first.owner.empty());
    BOOST_CHECK(asker.plan(Start).knowledge == LoadKnowledge::Awaited);
    asker.answer(first.owner, Start + std::chrono::milliseconds(3));
    BOOST_CHECK(asker.plan(Start + std::chrono::milliseconds(3)).knowledge == LoadKnowledge::Ready);
    // What was answered a moment ago is not asked for again, but later it is.
    BOOST_CHECK(asker.plan(Start + std::chrono::milliseconds(10)).knowledge == LoadKnowledge::Ready);
    BOOST_CHECK(asker.plan(Start + std::chrono::milliseconds(30)).knowledge == LoadKnowledge::QueryDue);
}

BOOST_AUTO_TEST_CASE(models_are_asked_for_separately)
{
    Asker asker;
    BOOST_CHECK(asker.plan(Start, ModelId{"m1"}).knowledge == LoadKnowledge::QueryDue);
    BOOST_CHECK(asker.plan(Start, ModelId{"m2"}).knowledge == LoadKnowledge::QueryDue);
    BOOST_CHECK(asker.plan(Start, ModelId{"m1"}).knowledge == LoadKnowledge::Awaited);
}

BOOST_AUTO_TEST_CASE(silent_owners_hold_up_requests_for_two_timeouts_at_most)
{
    Asker asker;
    const LoadQueryPlan first = asker.plan(Start);
    const LoadQueryPlan second = asker.plan(Start + Timeout);
    BOOST_REQUIRE(second.knowledge == LoadKnowledge::QueryDue);
    BOOST_CHECK(second.owner != first.owner);
    BOOST_CHECK(asker.plan(Start + 2 * Timeout).knowledge == LoadKnowledge::Ready);
    // Neither is asked for a while, whatever the model.
    BOOST_CHECK(asker.plan(Start + std::chrono::milliseconds(300), ModelId{"m"}).knowledge == LoadKnowledge::Ready);
    BOOST_CHECK(asker.plan(Start + std::chrono::seconds(1)).knowledge == LoadKnowledge::QueryDue);
}

BOOST_AUTO_TEST_CASE(an_owner_that_answers_late_is_asked_again)
{
    Asker asker;
    const LoadQueryPlan first = asker.plan(Start);
    asker.plan(Start + Timeout);
    asker.plan(Start + 2 * Timeout);
    asker.answer(first.owner, Start + 3 * Timeout);
    const LoadQueryPlan later = asker.plan(Start + 5 * Timeout);
    BOOST_CHECK(later.knowledge == LoadKnowledge::QueryDue);
    BOOST_CHECK_EQUAL(later.owner, first.owner);
}

// The load of owners must not grow with the number of nodes.
BOOST_AUTO_TEST_CASE(queries_of_a_fleet_are_limited)
{
    constexpr std::size_t Nodes = 1'000;
    Asker asker(Nodes);
    std::size_t sent = 0;
    const TimePoint end = Start + std::chrono::seconds(10);
    for (TimePoint now = Start; now < end; now += std::chrono::milliseconds(10)) {
        const LoadQueryPlan plan = asker.plan(now);
        if (plan.knowledge == LoadKnowledge::QueryDue) {
            ++sent;
            asker.answer(plan.owner, now);
        }
    }
    // 2,000 queries a second of all nodes, and a burst of 8 of each.
    BOOST_CHECK_LE(sent, 2 * 10 + 8);
    BOOST_CHECK_GE(sent, 20);
}

// Nodes had used up their queries for the models that requests waited for, and sent requests without knowledge
// of the load to endpoints that were full.
BOOST_AUTO_TEST_CASE(requests_that_wait_for_many_models_are_sent_without_knowledge)
{
    constexpr int Models = 20;
    Asker asker(67);
    std::vector<TimePoint> answeredAt(Models, Start);
    std::vector<int> answers(Models, 0);
    const TimePoint end = Start + std::chrono::seconds(10);
    for (TimePoint now = Start; now < end; now += std::chrono::milliseconds(10)) {
        for (int model = 0; model < Models; ++model) {
            const ModelId id{"m" + std::to_string(model)};
            const LoadQueryPlan plan = asker.plan(now, id, LoadPurpose::Recheck);
            if (plan.knowledge == LoadKnowledge::QueryDue) {
                asker.answer(plan.owner, now, id);
                answeredAt[model] = now;
                ++answers[model];
            } else if (plan.knowledge == LoadKnowledge::Ready) {
                BOOST_REQUIRE(now - answeredAt[model] < std::chrono::milliseconds(10));
            }
        }
    }
    // A twentieth of 30 queries a second for each.
    for (const int count : answers) {
        BOOST_CHECK_GE(count, 8);
        BOOST_CHECK_LE(count, 22);
    }
}

BOOST_AUTO_TEST_CASE(new_requests_have_a_turn_while_others_wait)
{
    Asker asker(291);
    for (TimePoint now = Start; now < Start + std::chrono::seconds(1); now += std::chrono::milliseconds(10)) {
        for (int model = 0; model < 20; ++model) {
            const ModelId id{"m" + std::to_string(model)};
            const LoadQueryPlan plan = asker.plan(now, id, LoadPurpose::Recheck);
            if (plan.knowledge == LoadKnowledge::QueryDue) {
                asker.answer(plan.owner, now, id);
            }
        }
    }
    BOOST_CHECK(asker.plan(Start + std::chrono::seconds(1), ModelId{"new"}).knowledge == LoadKnowledge::QueryDue);
}

// Guards against a node that leaves the owner which decides for all because of one lost datagram.
BOOST_AUTO_TEST_CASE(deciding_owner_is_left_after_one_lost_answer)
{
    Asker asker;
    const auto plan = [&](TimePoint now) {
        return asker.queries.plan({Register, {}}, LoadPurpose::Dispatch, asker.owners, now, OwnerChoice::First);
    };
    const auto deciders = asker.owners.deciders(Register, Start);
    BOOST_REQUIRE_EQUAL(deciders.size(), 2);
    TimePoint now = Start;
    for (int query = 0; query < 3; ++query) {
        BOOST_CHECK_EQUAL(plan(now).owner, deciders.front());
        now += Timeout;
    }
    // The owner is silent: the next one decides, until the first one answers again.
    BOOST_CHECK_EQUAL(plan(now).owner, deciders.back());
    BOOST_CHECK(asker.queries.decider(Register, asker.owners, now) == deciders.back());
    asker.answer(deciders.front(), now);
    BOOST_CHECK(asker.queries.decider(Register, asker.owners, now) == deciders.front());
}

BOOST_AUTO_TEST_CASE(silent_owners_decide)
{
    Asker asker;
    TimePoint now = Start;
    for (int query = 0; query < 7; ++query) {
        asker.queries.plan({Register, {}}, LoadPurpose::Dispatch, asker.owners, now, OwnerChoice::First);
        now += Timeout;
    }
    BOOST_CHECK(!asker.queries.decider(Register, asker.owners, now - Timeout));
}
