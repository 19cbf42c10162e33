// Tests of the order life cycle, the order book and the wire format.
#include "hemlockhill/failure.h"
#include "hemlockhill/order_book.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

Order order(std::uint64_t fencing, std::uint64_t sequence, const std::string &model = "a", const std::string &adapter = "")
{
    const OrderId id{"o-" + std::to_string(fencing) + "-" + std::to_string(sequence)};
    const MemoryItem item{ModelId{model}, AdapterId{adapter}, VersionId{"v1"}};
    return {id, FencingNumber{fencing}, sequence, EndpointId{"r1"}, Incarnation{"i1"}, OrderAction::Load, item, Bytes{5}};
}

OrderBook bookWithOneOrder()
{
    OrderBook book;
    BOOST_REQUIRE((book.apply(TakeFencing{FencingNumber{3}}) == OrderCommandOutcome::Applied));
    BOOST_REQUIRE((book.apply(CommitOrder{order(3, 1)}) == OrderCommandOutcome::Applied));
    return book;
}

} // namespace

BOOST_AUTO_TEST_CASE(lifecycleRefusesInvalidTransitions)
{
    OrderLifecycle lifecycle;
    BOOST_TEST(!lifecycle.handle(OrderEvent::Send));
    BOOST_TEST(toText(lifecycle.phase()) == "planned");
    for (const auto &[event, name] : {std::pair{OrderEvent::Commit, "committed"},
                                      {OrderEvent::Send, "sent"},
                                      {OrderEvent::Send, "sent"},
                                      {OrderEvent::Accept, "acknowledged"},
                                      {OrderEvent::Observe, "observed"}}) {
        BOOST_TEST(lifecycle.handle(event));
        BOOST_TEST(toText(lifecycle.phase()) == name);
    }
    BOOST_TEST(!lifecycle.handle(OrderEvent::Expire));
    OrderLifecycle refused;
    refused.handle(OrderEvent::Commit);
    refused.handle(OrderEvent::Send);
    BOOST_TEST(refused.handle(OrderEvent::Refuse));
    BOOST_TEST(toText(refused.phase()) == "failed");
    OrderLifecycle withdrawn;
    BOOST_TEST(withdrawn.handle(OrderEvent::Withdraw));
    BOOST_TEST(toText(withdrawn.phase()) == "abandoned");
}

BOOST_AUTO_TEST_CASE(bookAcceptsOnlyTheLatestFencingNumber)
{
    OrderBook book = bookWithOneOrder();
    BOOST_TEST((book.apply(TakeFencing{FencingNumber{3}}) == OrderCommandOutcome::OldFencing));
    BOOST_TEST((book.apply(TakeFencing{FencingNumber{4}}) == OrderCommandOutcome::Applied));
    BOOST_TEST((book.apply(CommitOrder{order(3, 2, "b")}) == OrderCommandOutcome::OldFencing));
    BOOST_TEST((book.apply(CloseOrder{FencingNumber{3}, OrderId{"o-3-1"}, OrderPhase::Failed}) == OrderCommandOutcome::OldFencing));
    BOOST_TEST(book.openOrders().size() == 1U);
    BOOST_TEST((book.apply(CloseOrder{FencingNumber{4}, OrderId{"o-3-1"}, OrderPhase::Failed}) == OrderCommandOutcome::Applied));
    BOOST_TEST(book.openOrders().empty());
}

BOOST_AUTO_TEST_CASE(closedOrderIsNotReopenedByARepeatedProposal)
{
    OrderBook book = bookWithOneOrder();
    book.apply(CloseOrder{FencingNumber{3}, OrderId{"o-3-1"}, OrderPhase::Observed});
    BOOST_TEST((book.apply(CommitOrder{order(3, 1)}) == OrderCommandOutcome::OldSequence));
    BOOST_TEST(book.openOrders().empty());
}

BOOST_AUTO_TEST_CASE(conflictingOrdersAreRefused)
{
    OrderBook book = bookWithOneOrder();
    BOOST_TEST((book.apply(CommitOrder{order(3, 2)}) == OrderCommandOutcome::Conflict));
    BOOST_TEST((book.apply(CommitOrder{order(3, 3, "a", "x")}) == OrderCommandOutcome::Conflict));
    BOOST_TEST((book.apply(CommitOrder{order(3, 4, "b", "x")}) == OrderCommandOutcome::Applied));
    BOOST_TEST((book.apply(CommitOrder{order(3, 5, "b", "y")}) == OrderCommandOutcome::Applied));
    BOOST_TEST((book.apply(CommitOrder{order(3, 6, "b")}) == OrderCommandOutcome::Conflict));
    Order adapterEviction = order(3, 7, "c", "x");
    Order modelEviction = order(3, 8, "c");
    adapterEviction.action = OrderAction::Evict;
    modelEviction.action = OrderAction::Evict;
    BOOST_TEST((book.apply(CommitOrder{adapterEviction}) == OrderCommandOutcome::Applied));
    BOOST_TEST((book.apply(CommitOrder{modelEviction}) == OrderCommandOutcome::Applied));
    BOOST_TEST((book.apply(CommitOrder{order(3, 9, "c", "y")}) == OrderCommandOutcome::Conflict));
}

BOOST_AUTO_TEST_CASE(commandsAndSnapshotsRoundTrip)
{
    const OrderBook book = bookWithOneOrder();
    BOOST_TEST((OrderBook::restore(book.snapshot()) == book));
    for (const OrderCommand &command : {OrderCommand(TakeFencing{FencingNumber{9}}),
                                        OrderCommand(CommitOrder{order(3, 2, "b", "x")}),
                                        OrderCommand(CloseOrder{FencingNumber{3}, OrderId{"o-3-1"}, OrderPhase::Abandoned})}) {
        BOOST_TEST((decodeOrderCommand(encode(command)) == command));
    }
    for (const char *text : {"", "[]", "{}", R"({"command":"commit"})", R"({"command":"take_fencing","fencing":-1})", R"({"command":1})"}) {
        BOOST_CHECK_THROW(decodeOrderCommand(text), DecodeError);
        BOOST_CHECK_THROW(OrderBook::restore(text), DecodeError);
    }
}

BOOST_AUTO_TEST_CASE(wireFormatMatchesTheEngineApi)
{
    const HttpRequest request = orderRequest(order(3, 1, "a", "x"));
    BOOST_TEST(request.target == "/engine/v1/orders");
    BOOST_TEST(request.body
               == R"({"order":"o-3-1","fencing":3,"incarnation":"i1","action":"load","model":"a","version":"v1","bytes":5,"adapter":"x"})");
    BOOST_TEST((parseOrderAnswer(200, R"({"accepted":"o-3-1"})") == OrderAnswer(OrderAccepted{})));
    BOOST_TEST((parseOrderAnswer(409, R"({"refused":"old_fencing_number","fencing":7})") == OrderAnswer(OrderFenced{FencingNumber{7}})));
    BOOST_TEST((parseOrderAnswer(409, R"({"refused":"other_incarnation","incarnation":"i2"})")
                == OrderAnswer(OrderOtherIncarnation{Incarnation{"i2"}})));
    BOOST_TEST((parseOrderAnswer(409, R"({"refused":"no_memory"})") == OrderAnswer(OrderNoMemory{})));
    BOOST_TEST((parseOrderAnswer(200, "half an ans") == OrderAnswer(OrderMalformed{})));
    BOOST_TEST((parseOrderAnswer(502, "") == OrderAnswer(OrderUnanswered{})));
}
