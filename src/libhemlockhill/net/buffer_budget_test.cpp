// Tests which buffers are given up when all together exceed the bound.
#include "hemlockhill/buffer_budget.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace Hemlockhill;

namespace
{

constexpr TimePoint Start{std::chrono::seconds(1000)};

struct Holder {
    explicit Holder(BufferBudget &budget)
        : share(&budget)
    {
        share.makeReclaimable([this] { ++givenUp; });
        share.touch(Start);
    }

    int givenUp = 0;
    BufferShare share;
};

} // namespace

// Guards against many small requests being refused for the sake of a large one.
BOOST_AUTO_TEST_CASE(largest_share_is_given_up_first)
{
    BufferBudget budget(Bytes{100});
    Holder large(budget);
    Holder small(budget);
    BOOST_CHECK(large.share.resize(Bytes{70}, Start));
    BOOST_CHECK(small.share.resize(Bytes{30}, Start));
    BOOST_CHECK(small.share.resize(Bytes{31}, Start));
    BOOST_CHECK_EQUAL(large.givenUp, 1);
    BOOST_CHECK_EQUAL(small.givenUp, 0);
    BOOST_CHECK_EQUAL(budget.used(), Bytes{31});
}

// Guards against senders that stopped being kept at the cost of those that go on.
BOOST_AUTO_TEST_CASE(stalled_share_is_given_up_before_a_larger_one)
{
    BufferBudget budget(Bytes{100});
    Holder stalled(budget);
    Holder large(budget);
    const TimePoint later = Start + std::chrono::seconds(2);
    BOOST_CHECK(stalled.share.resize(Bytes{10}, Start));
    large.share.touch(later);
    BOOST_CHECK(large.share.resize(Bytes{95}, later));
    BOOST_CHECK_EQUAL(stalled.givenUp, 1);
    BOOST_CHECK_EQUAL(large.givenUp, 0);
}

// Guards against a request that is already in progress losing its bytes.
BOOST_AUTO_TEST_CASE(kept_share_is_not_given_up)
{
    BufferBudget budget(Bytes{100});
    Holder running(budget);
    Holder arriving(budget);
    BOOST_CHECK(running.share.resize(Bytes{90}, Start));
    running.share.keep();
    BOOST_CHECK(!arriving.share.resize(Bytes{20}, Start));
    BOOST_CHECK_EQUAL(running.givenUp, 0);
    BOOST_CHECK_EQUAL(arriving.givenUp, 0);
    BOOST_CHECK_EQUAL(budget.used(), Bytes{90});
}

// Guards against bytes that stay counted when their connection has ended.
BOOST_AUTO_TEST_CASE(ended_share_is_no_longer_counted)
{
    BufferBudget budget(Bytes{100});
    {
        Holder holder(budget);
        BOOST_CHECK(holder.share.resize(Bytes{60}, Start));
        BOOST_CHECK(!holder.share.tryResize(Bytes{101}));
        BOOST_CHECK(holder.share.tryResize(Bytes{100}));
    }
    BOOST_CHECK_EQUAL(budget.used(), Bytes{0});
}
