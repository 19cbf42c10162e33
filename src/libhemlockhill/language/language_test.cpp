// Tests of the operator language: valid statements, error columns, suggestions and filters.
#include "hemlockhill/language.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

std::string roundTrip(std::string_view text)
{
    return format(std::get<CommandRequest>(parseStatement(text)).command);
}

std::size_t errorColumn(std::string_view text)
{
    try {
        parseStatement(text);
    } catch (const LanguageError &error) {
        return error.column();
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(commands_round_trip_through_format_and_parse)
{
    const std::vector<std::string> statements{
        "declare endpoint r1 address 127.0.0.1:9001 in ktm-1 memory 80GB kind runner fencing ignored",
        "declare model scribe version v1 weights 12GB kv 2GB copies 2 service drafts",
        "declare adapter bagmati for scribe version v3 weights 100MB pinned",
        "declare service drafts priority interactive first-token 470ms between-tokens 25ms deadline 30s once-only endpoints a,b",
        "withdraw model scribe",
        "drain endpoint r1",
        "admit endpoint r1",
        "pin model scribe on r1",
        "unpin model scribe on r1",
        "declare vm vm-a address 127.0.0.1:7300 in ktm-1 controller",
        "replace vm vm-a by vm-b address 127.0.0.1:7300 in ktm-2",
        "withdraw vm vm-a",
        "change endpoint r1 in ktm-2",
        "change model scribe version v2 copies 3",
        "change model scribe service -",
        "change adapter bagmati unpinned",
        "change service drafts priority batch repeatable endpoints -",
        "set move-weight 0.25",
        "unset concurrent-loads",
    };
    for (const std::string &statement : statements) {
        BOOST_TEST(roundTrip(statement) == statement);
    }
}

BOOST_AUTO_TEST_CASE(clause_order_is_irrelevant)
{
    BOOST_TEST(roundTrip("declare model m kv 1GB weights 2GB version v1 at 41")
               == "declare model m version v1 weights 2GB kv 1GB copies 1");
}

BOOST_AUTO_TEST_CASE(expected_revision_and_operation_id_are_parsed)
{
    const auto request = std::get<CommandRequest>(parseStatement("drain endpoint r1 at 41 operation op-7"));
    BOOST_TEST(request.expected->value == 41U);
    BOOST_TEST(request.operation.value == "op-7");
}

BOOST_AUTO_TEST_CASE(errors_report_the_column)
{
    BOOST_TEST(errorColumn("") == 1U);
    BOOST_TEST(errorColumn("frobnicate") == 1U);
    BOOST_TEST(errorColumn("declare planet x") == 9U);
    BOOST_TEST(errorColumn("declare model m version v1 weights 12 kv 2GB") == 36U);
    BOOST_TEST(errorColumn("declare model m version v1 weights 12GB") == 40U);
    BOOST_TEST(errorColumn("declare model m version v1 version v2") == 28U);
    BOOST_TEST(errorColumn("drain endpoint r1 \"quoted\"") == 19U);
    BOOST_TEST(errorColumn("show models now") == 13U);
    BOOST_TEST(errorColumn("declare service -x") == 17U);
    BOOST_TEST(errorColumn("change model m") == 15U);
    BOOST_TEST(errorColumn("change adapter a pinned unpinned") == 25U);
    BOOST_TEST(errorColumn("declare service s deadline 0s") == 28U);
    BOOST_TEST(errorColumn("plan show models") == 6U);
    BOOST_TEST(errorColumn("declare model m version v1 weights 1001TB kv 2GB") == 36U);
}

BOOST_AUTO_TEST_CASE(similar_keyword_is_suggested)
{
    const auto suggestion = [](std::string_view text) {
        try {
            parseStatement(text);
        } catch (const LanguageError &error) {
            return error.suggestion();
        }
        return std::string("accepted");
    };
    BOOST_TEST(suggestion("delcare model m") == "declare");
    BOOST_TEST(suggestion("declare modle m") == "model");
    BOOST_TEST(suggestion("show placment") == "placement");
    BOOST_TEST(suggestion("declare model m version v1 wieghts 2GB") == "weights");
    BOOST_TEST(suggestion("set move-wight 2") == "move-weight");
    BOOST_TEST(suggestion("declare spaceship m").empty());
    BOOST_TEST(suggestion("declare").empty());
}

BOOST_AUTO_TEST_CASE(query_filters_are_parsed)
{
    const auto show = std::get<ShowQuery>(parseStatement("show journal last 1h model scribe"));
    BOOST_TEST(show.filter.model.value == "scribe");
    BOOST_CHECK(*show.filter.last == std::chrono::hours(1));
    BOOST_CHECK(std::get<ExplainQuery>(parseStatement("explain request vm-a-17-1")).subject
                == decltype(ExplainQuery::subject)(RequestId{"vm-a-17-1"}));
    const auto plan = std::get<PlanQuery>(parseStatement("plan drain endpoint r1 at 4"));
    BOOST_TEST(format(plan.request) == "drain endpoint r1 at 4");
    BOOST_TEST(errorColumn("show memory model scribe") == 13U);
}
