// Tests of the rate limit for prompts, which prevents concurrent prompts from stalling a runner's streams.
#include "hemlockhill/prompt_rate_limiter.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <vector>

using namespace Hemlockhill;

namespace
{

const EndpointId Runner{"r1"};

struct Sent {
    TimePoint at;
    std::uint64_t tokens;
};

} // namespace

BOOST_AUTO_TEST_CASE(prompt_larger_than_the_bucket_is_sent_when_the_bucket_is_full)
{
    PromptRateLimiter limiter({1000, 500});
    const TimePoint start{};
    BOOST_CHECK(limiter.delay(Runner, TokenCount{2000}, start) == Duration(0));
    limiter.onDispatched(Runner, TokenCount{2000}, start);
    BOOST_CHECK(limiter.delay(Runner, TokenCount{1}, start) > std::chrono::seconds(1));
    BOOST_CHECK(limiter.delay(Runner, TokenCount{2000}, start + std::chrono::milliseconds(2001)) == Duration(0));
}

BOOST_AUTO_TEST_CASE(other_runners_are_not_delayed)
{
    PromptRateLimiter limiter({1000, 500});
    limiter.onDispatched(Runner, TokenCount{2000}, TimePoint{});
    BOOST_CHECK(limiter.delay(EndpointId{"r2"}, TokenCount{400}, TimePoint{}) == Duration(0));
}

// Load of a runner with the most requested model: 20 prompts per second of 1,460 tokens each, as a Poisson process. The prompts sent
// to the runner in the time of three stream events must be small enough that the events are less than 250 ms apart.
BOOST_AUTO_TEST_CASE(burst_of_prompts_is_spread_within_the_rate_limit)
{
    const PromptRateLimit limit;
    PromptRateLimiter limiter(limit);
    boost::random::mt19937_64 random(11);
    boost::random::exponential_distribution<double> gap(20);
    std::deque<TimePoint> waiting;
    std::vector<Sent> sent;
    constexpr std::uint64_t Prompt = 1460;
    TimePoint nextArrival{};
    const TimePoint end = TimePoint{} + std::chrono::seconds(60);
    for (TimePoint now{}; now < end; now += std::chrono::milliseconds(1)) {
        while (nextArrival <= now) {
            waiting.push_back(nextArrival);
            nextArrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        }
        if (!waiting.empty() && limiter.delay(Runner, TokenCount{Prompt}, now) == Duration(0)) {
            limiter.onDispatched(Runner, TokenCount{Prompt}, now);
            sent.push_back({now, Prompt});
            waiting.pop_front();
        }
    }
    constexpr Duration Window = std::chrono::milliseconds(200);
    const double bound = limit.burst + limit.tokensPerSecond * std::chrono::duration<double>(Window).count();
    std::uint64_t most = 0;
    for (std::size_t first = 0; first < sent.size(); ++first) {
        std::uint64_t sum = 0;
        for (std::size_t index = first; index < sent.size() && sent[index].at - sent[first].at <= Window; ++index) {
            sum += sent[index].tokens;
        }
        most = std::max(most, sum);
    }
    BOOST_CHECK_LE(static_cast<double>(most), bound);
    // The limit is used nearly in full while prompts are queued.
    const double rate = static_cast<double>(sent.size() * Prompt) / 60;
    BOOST_CHECK_GE(rate, limit.tokensPerSecond * 0.9);
}
