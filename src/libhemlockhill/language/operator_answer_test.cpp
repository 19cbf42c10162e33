// Tests of the answers to show, explain and plan queries.
#include "hemlockhill/operator_answer.h"

#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

struct Region {
    Region()
    {
        RegionStateMachine machine;
        for (const char *statement : {"declare endpoint r1 address 127.0.0.1:9001 in ktm-1 memory 80GB",
                                      "declare endpoint r2 address 127.0.0.1:9002 in ktm-2 memory 40GB",
                                      "declare model scribe version v1 weights 12GB kv 2GB copies 2",
                                      "pin model scribe on r1"}) {
            machine.apply(std::get<CommandRequest>(parseStatement(statement)));
        }
        view.now = TimePoint(std::chrono::hours(2));
        view.state = machine.state();
        EndpointReport report;
        report.memoryTotal = Bytes{80'000'000'000};
        report.models = {{ModelId{"scribe"}, VersionId{"v1"}, Bytes{14'000'000'000}}};
        report.requestedAt = view.now - std::chrono::milliseconds(250);
        view.reports[EndpointId{"r1"}] = report;
        view.residency = residencyOf(view.reports);
        view.nodes = {{VmId{"vm-a"}, DataCentreId{"ktm-1"}, Revision{4}, std::chrono::seconds(1), false, 3},
                      {VmId{"vm-b"}, DataCentreId{"ktm-2"}, Revision{2}, Duration::zero(), false, 0}};
        view.performance = {{ModelId{"scribe"}, 8, 6, std::chrono::milliseconds(40), 1205, 1, 2}};
        record(std::chrono::minutes(90), DecisionKind::ModelLoad, Cause::Reachability);
        record(std::chrono::minutes(5), DecisionKind::RequestRefused, Cause::Refusal);
        view.journal = &journal;
    }

    void record(Duration age, DecisionKind kind, Cause cause)
    {
        Decision decision;
        decision.time = view.now - age;
        decision.kind = kind;
        decision.cause = cause;
        decision.subjects.model = ModelId{"scribe"};
        if (kind == DecisionKind::RequestRefused) {
            decision.reason = Reason::QueueFull;
            decision.subjects.request = RequestId{"vm-a-17-1"};
        }
        journal.record(decision);
    }

    QueryOutcome query(std::string_view statement, const PlanHook &hook = {}) const
    {
        return answerQuery(view, parseStatement(statement), hook);
    }
    std::string text(std::string_view statement) const { return std::get<OperatorAnswer>(query(statement)).text(); }
    std::string json(std::string_view statement) const { return boost::json::serialize(std::get<OperatorAnswer>(query(statement)).json()); }

    OperatorView view;
    Journal journal;
};

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(tables_render_as_text_and_json)
{
    const Region region;
    BOOST_TEST(region.text("show nodes")
               == "vm    data_centre  revision  behind  lease_left  phase    requests\n"
                  "vm-a  ktm-1        4         0       1s          serving  3\n"
                  "vm-b  ktm-2        2         2       0us         expired  0\n");
    BOOST_TEST(region.json("show nodes in ktm-2")
               == R"([{"vm":"vm-b","data_centre":"ktm-2","revision":2,"behind":2,"lease_left":"0us","phase":"expired","requests":0}])");
    BOOST_TEST(region.json("show performance model scribe")
               == R"([{"model":"scribe","copies":1,"requests":8,"attained":7.5E-1,"first_token_mean":"40ms",)"
                  R"("tokens":1205,"retries":1,"refused":2}])");
}

BOOST_AUTO_TEST_CASE(filters_select_rows)
{
    const Region region;
    BOOST_TEST(region.json("show placement endpoint r2") == "[]");
    BOOST_TEST(contains(region.text("show placement model scribe"), "r1"));
    BOOST_TEST(!contains(region.text("show memory endpoint r1"), "r2"));
    BOOST_TEST(contains(region.text("show memory endpoint r1"), "250ms"));
    BOOST_TEST(!contains(region.text("show journal last 1h"), "model_load"));
    BOOST_TEST(contains(region.text("show journal last 1h"), "queue_full"));
    BOOST_TEST(contains(region.text("show journal model scribe"), "reachability"));
}

BOOST_AUTO_TEST_CASE(every_subject_has_an_answer)
{
    const Region region;
    for (int subject = 0; subject <= static_cast<int>(ShowSubject::Journal); ++subject) {
        const std::string statement = "show " + std::string(toText(static_cast<ShowSubject>(subject)));
        BOOST_TEST_CONTEXT(statement)
        {
            const std::string text = region.text(statement);
            BOOST_TEST(!text.empty());
            // The query must also succeed on an empty view.
            BOOST_TEST(!std::get<OperatorAnswer>(answerQuery(OperatorView{}, parseStatement(statement))).text().empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(explain_combines_state_residency_and_journal)
{
    const Region region;
    const std::string model = region.text("explain model scribe");
    for (const char *part : {"copies_declared  2", "copies_loaded    1", "pinned_on        r1", "reachability", "queue_full"}) {
        BOOST_TEST_CONTEXT(part)
        {
            BOOST_TEST(contains(model, part));
        }
    }
    BOOST_TEST(contains(region.text("explain request vm-a-17-1"), "queue_full"));
    BOOST_TEST(contains(region.text("explain endpoint r2"), "reports      no"));
    BOOST_TEST(contains(region.text("explain last 2h"), "model_load"));
    BOOST_CHECK(std::get<Refusal>(region.query("explain request vm-z-1")).reason == Reason::UnknownObject);
    BOOST_CHECK(std::get<Refusal>(region.query("explain model nothing")).reason == Reason::UnknownObject);
}

BOOST_AUTO_TEST_CASE(plan_reports_changes_moves_and_refusals_without_applying_the_command)
{
    const Region region;
    const auto hook = [](const RegionState &, const RegionState &after) {
        BOOST_CHECK(after.endpoints.at(EndpointId{"r1"}).phase == EndpointPhase::Draining);
        return std::vector<PlanStep>{{OrderRow::Action::Load, EndpointId{"r2"}, ModelId{"scribe"}, {}, VersionId{"v1"}, Bytes{14'000}}};
    };
    const std::string plan = std::get<OperatorAnswer>(region.query("plan drain endpoint r1 at 4", hook)).text();
    BOOST_TEST(contains(plan, "revision_then  5"));
    BOOST_TEST(contains(plan, "add     drain endpoint r1"));
    BOOST_TEST(contains(plan, "load    r2        scribe  -        v1       14KB"));
    BOOST_TEST(region.view.state.revision.value == 4U);
    BOOST_CHECK(std::get<Refusal>(region.query("plan drain endpoint r1 at 3")).reason == Reason::RevisionConflict);
    BOOST_CHECK(std::get<Refusal>(region.query("plan withdraw endpoint r1")).reason == Reason::ObjectInUse);
}
