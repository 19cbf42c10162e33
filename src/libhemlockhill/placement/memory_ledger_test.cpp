// Tests of the memory ledger: which conclusions a report permits, given the possible age of its figures.
#include "hemlockhill/memory_ledger.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace std::chrono_literals;

namespace
{

const OrderBounds Bounds{2s, 10s, 1s, 1s};
const TimePoint Start{100s};
constexpr Bytes Limit{100};

Order order(OrderAction action, const std::string &incarnation = "i1", const std::string &id = "o")
{
    return {
        OrderId{id}, FencingNumber{1}, 1, EndpointId{"r"}, Incarnation{incarnation}, action, {ModelId{"a"}, {}, VersionId{"v"}}, Bytes{60}};
}

EndpointReport report(Duration at, bool holds, const std::string &incarnation = "i1")
{
    EndpointReport report;
    report.incarnation = Incarnation{incarnation};
    report.memoryTotal = Limit;
    report.requestedAt = Start + at;
    if (holds) {
        report.models.push_back({ModelId{"a"}, VersionId{"v"}, Bytes{60}});
        report.memoryUsed = Bytes{60};
    }
    return report;
}

EndpointLedger ledger(FencingMode mode)
{
    EndpointLedger ledger(Bounds, Start);
    ledger.declare(Limit, mode);
    return ledger;
}

} // namespace

BOOST_AUTO_TEST_CASE(ledgerIsUpToDateOnlyAfterAReportFromAfterItsStart)
{
    EndpointLedger memory = ledger(FencingMode::Checked);
    memory.report(report(500ms, false));
    BOOST_TEST(!memory.isUpToDate());
    memory.report(report(1500ms, false));
    BOOST_TEST(memory.isUpToDate());
}

BOOST_AUTO_TEST_CASE(absenceInAPossiblyOlderReportFreesNoMemory)
{
    EndpointLedger memory = ledger(FencingMode::Checked);
    EndpointReport first = report(2s, true);
    first.memoryUsed = Bytes{};
    memory.report(first);
    memory.report(report(2500ms, false));
    BOOST_TEST(memory.charged().value == 60U);
    memory.report(report(3100ms, false));
    BOOST_TEST(memory.charged().value == 0U);
}

BOOST_AUTO_TEST_CASE(newIncarnationIsAcceptedOnlyFromACertainlyLaterReport)
{
    EndpointLedger memory = ledger(FencingMode::Checked);
    memory.report(report(2s, true));
    memory.report(report(2500ms, false, "i0"));
    BOOST_TEST(memory.charged().value == 60U);
    BOOST_TEST(memory.incarnation().value == "i1");
    memory.report(report(3100ms, false, "i2"));
    BOOST_TEST(memory.charged().value == 0U);
    BOOST_TEST(memory.incarnation().value == "i2");
}

BOOST_AUTO_TEST_CASE(loadIsNotObservedInAReportThatMayPredateIt)
{
    EndpointLedger memory = ledger(FencingMode::Checked);
    memory.report(report(2s, false));
    memory.charge(order(OrderAction::Load), Start + 3s);
    memory.setLatestArrival(OrderId{"o"}, Start + 5s);
    memory.report(report(3500ms, true));
    BOOST_TEST((memory.effect(OrderId{"o"}) == OrderEffect::Possible));
    memory.report(report(4100ms, true));
    BOOST_TEST((memory.effect(OrderId{"o"}) == OrderEffect::Observed));
    BOOST_TEST(memory.charged().value == 60U);
}

BOOST_AUTO_TEST_CASE(lostLoadStaysChargedUntilItCanNoLongerTakeEffect)
{
    EndpointLedger memory = ledger(FencingMode::Checked);
    memory.report(report(2s, false));
    memory.charge(order(OrderAction::Load), Start + 3s);
    memory.report(report(90s, false));
    BOOST_TEST(memory.charged().value == 60U);
    memory.setLatestArrival(OrderId{"o"}, Start + 100s);
    memory.report(report(111s, false));
    BOOST_TEST(memory.charged().value == 60U);
    memory.report(report(111100ms, false));
    BOOST_TEST(memory.charged().value == 0U);
    BOOST_TEST((memory.effect(OrderId{"o"}) == OrderEffect::Expired));
}

BOOST_AUTO_TEST_CASE(restartVoidsAnOrderOnlyIfTheEngineChecksIncarnations)
{
    for (const FencingMode mode : {FencingMode::Checked, FencingMode::Ignored}) {
        EndpointLedger memory = ledger(mode);
        memory.report(report(2s, false));
        memory.charge(order(OrderAction::Load), Start + 3s);
        memory.setLatestArrival(OrderId{"o"}, Start + 5s);
        memory.report(report(4s, false, "i2"));
        const bool checked = mode == FencingMode::Checked;
        BOOST_TEST(memory.charged().value == (checked ? 0U : 60U));
        BOOST_TEST((memory.effect(OrderId{"o"}) == (checked ? OrderEffect::LostInRestart : OrderEffect::Possible)));
    }
}

BOOST_AUTO_TEST_CASE(unlistedUsedMemoryIsCharged)
{
    EndpointLedger memory = ledger(FencingMode::Checked);
    EndpointReport unlisted = report(2s, true);
    unlisted.memoryUsed = Bytes{75};
    memory.report(unlisted);
    BOOST_TEST(memory.free().value == 25U);
}
