// Tests of the token bucket.
#include "hemlockhill/token_bucket.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace Hemlockhill;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const BootTimePoint Start{seconds(100)};

} // namespace

BOOST_AUTO_TEST_CASE(bucket_goes_into_debt_by_one_request)
{
    TokenBucket bucket({1000, 500}, 500, Start);
    BOOST_CHECK(bucket.take(3000, Start));
    BOOST_CHECK(!bucket.take(1, Start));
    BOOST_CHECK_CLOSE(bucket.level(Start), -2500, 1e-6);
    BOOST_CHECK(bucket.untilRoom(Start) == milliseconds(2500));
    BOOST_CHECK(!bucket.take(1, Start + milliseconds(2499)));
    BOOST_CHECK(bucket.take(1, Start + milliseconds(2500)));
}

// Guards against a workspace without burst that is never served.
BOOST_AUTO_TEST_CASE(bucket_without_capacity_grants_at_its_rate)
{
    TokenBucket bucket({10, 0}, 0, Start);
    BOOST_CHECK(bucket.take(1, Start));
    BOOST_CHECK(!bucket.take(1, Start + milliseconds(99)));
    BOOST_CHECK(bucket.take(1, Start + milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(level_is_bounded_by_the_capacity_also_after_it_is_lowered)
{
    TokenBucket bucket({100, 50}, 80, Start);
    BOOST_CHECK_EQUAL(bucket.level(Start + seconds(9)), 50);
    bucket.setLimits({10, 20}, Start + seconds(9));
    BOOST_CHECK_EQUAL(bucket.level(Start + seconds(9)), 20);
}

BOOST_AUTO_TEST_CASE(returned_units_are_there_again)
{
    TokenBucket bucket({100, 50}, 50, Start);
    const auto grant = bucket.take(1000, Start);
    BOOST_REQUIRE(grant);
    BOOST_CHECK(!bucket.take(1, Start + seconds(1)));
    bucket.giveBack(*grant, 1000, Start + seconds(1));
    BOOST_CHECK(bucket.take(1, Start + seconds(1)));
}

// A bucket that has refilled since the grant would exceed its limit by all that is given back.
BOOST_AUTO_TEST_CASE(units_returned_after_a_refill_do_not_exceed_the_limit)
{
    TokenBucket bucket({10, 10}, 10, Start);
    const auto grant = bucket.take(10, Start);
    BOOST_REQUIRE(grant);
    const BootTimePoint later = Start + seconds(1);
    BOOST_REQUIRE(bucket.take(10, later));
    BOOST_CHECK_EQUAL(bucket.level(later), 0);
    bucket.giveBack(*grant, 10, later);
    BOOST_CHECK_EQUAL(bucket.level(later), 0);
}

// The sum of what was granted and not given back stays within capacity + rate x time + one request, for all windows.
BOOST_AUTO_TEST_CASE(random_grants_and_returns_stay_within_the_limit)
{
    struct Granted {
        BootTimePoint at;
        GrantNumber number;
        double cost;
    };
    const double rate = 100;
    const double capacity = 60;
    const double largest = 80;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        boost::random::mt19937 random(seed);
        TokenBucket bucket({rate, capacity}, capacity, Start);
        std::vector<Granted> granted;
        std::size_t grants = 0;
        BootTimePoint now = Start;
        for (int step = 0; step < 3000; ++step) {
            now += milliseconds(boost::random::uniform_int_distribution<int>(0, step % 500 < 50 ? 400 : 40)(random));
            if (!granted.empty() && random() % 16 == 0) {
                const std::size_t index = granted.size() - 1 - random() % std::min<std::size_t>(granted.size(), 30);
                bucket.giveBack(granted[index].number, granted[index].cost, now);
                granted.erase(granted.begin() + static_cast<std::ptrdiff_t>(index));
                continue;
            }
            const double cost = boost::random::uniform_real_distribution<double>(1, largest)(random);
            const auto number = bucket.take(cost, now);
            if (!number) {
                continue;
            }
            ++grants;
            granted.push_back({now, *number, cost});
            double sum = 0;
            for (auto entry = granted.rbegin(); entry != granted.rend() && now - entry->at <= seconds(60); ++entry) {
                sum += entry->cost;
                const double elapsed = std::chrono::duration<double>(now - entry->at).count();
                BOOST_REQUIRE_MESSAGE(sum <= capacity + rate * elapsed + largest + 1e-3, "seed " << seed << " step " << step);
            }
        }
        BOOST_CHECK_GT(grants, 100U);
    }
}
