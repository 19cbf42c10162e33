// Tests of the forecast of room, and of what refused callers are told.
#include "hemlockhill/room_forecast.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace Hemlockhill;

namespace
{

const LoadSubject Subject{ServiceId{"scribe"}, {ModelId{"m"}, {}}};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

BOOST_AUTO_TEST_CASE(rate_follows_from_a_few_requests)
{
    SlotTimes times({});
    for (int request = 0; request < 7; ++request) {
        times.onServed(Subject, std::chrono::milliseconds(500));
    }
    BOOST_CHECK_EQUAL(times.releaseRate(Subject, 12).value, 0);
    times.onServed(Subject, std::chrono::milliseconds(500));
    BOOST_CHECK_CLOSE(times.releaseRate(Subject, 12).value, 24, 0.1);
    BOOST_CHECK_EQUAL(times.releaseRate({ServiceId{"other"}, {}}, 12).value, 0);
}

// Callers honour a third of their time only.
BOOST_AUTO_TEST_CASE(caller_is_told_to_return_after_it_has_left)
{
    for (const double fraction : {0.0, 0.5, 0.999}) {
        for (const int roomMs : {0, 700, 90'000}) {
            const Duration delay = returnDelay(std::chrono::milliseconds(roomMs), std::chrono::seconds(9), fraction);
            BOOST_CHECK(delay >= Duration(std::chrono::milliseconds(200)));
            BOOST_CHECK(delay <= Duration(std::chrono::seconds(3)));
        }
    }
    BOOST_CHECK(returnDelay(std::chrono::seconds(2), std::chrono::seconds(9), 0) >= Duration(std::chrono::milliseconds(1'800)));
}

// Guards against callers that come back before there is room, or all at once: 300 callers are refused in one second, beyond what a service
// takes that frees 60 slots a second, each with a third of 15 s. Each returns once.
BOOST_AUTO_TEST_CASE(returning_callers_are_refused_again)
{
    constexpr int Callers = 300;
    constexpr double Rate = 60;
    boost::random::mt19937 random(3);
    boost::random::uniform_real_distribution<double> draw(0, 1);
    const auto countRefusedAgain = [&](const auto &delayOf) {
        std::vector<double> returns;
        for (int caller = 0; caller < Callers; ++caller) {
            const double arrival = static_cast<double>(caller) / Callers;
            // Those who are refused wait for their turn behind all that were refused before.
            returns.push_back(arrival + delayOf(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(caller / Rate))));
        }
        std::sort(returns.begin(), returns.end());
        // A caller is refused again when more than a queue of half a second is before it.
        double queue = 0;
        double last = 0;
        int refused = 0;
        for (const double at : returns) {
            queue = std::max(0.0, queue - (at - last) * Rate);
            last = at;
            if (queue >= Rate / 2) {
                ++refused;
            } else {
                queue += 1;
            }
        }
        return refused;
    };
    const int before = countRefusedAgain([&](Duration) { return 0.2 + 1.3 * draw(random); });
    const int after =
        countRefusedAgain([&](Duration roomIn) { return seconds(returnDelay(roomIn, std::chrono::seconds(15), draw(random))); });
    BOOST_TEST_MESSAGE("refused again: " << before << " of " << Callers << " with 0.2 to 1.5 s, " << after << " with the forecast");
    BOOST_CHECK_LT(after, before / 2);
}
