// Adaptive timeouts and probe decisions of ConnectionHealth.
#include "hemlockhill/connection_health.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace std::chrono_literals;

namespace
{

ExchangeLimits limits()
{
    ExchangeLimits limits;
    limits.firstByte = 8s;
    limits.reusedFirstByte = 8s;
    limits.betweenBytes = 2s;
    return limits;
}

} // namespace

BOOST_AUTO_TEST_CASE(timeouts_adapt_to_observed_delays_within_limits)
{
    ConnectionHealth health(limits());
    BOOST_TEST((health.adaptedLimits().reusedFirstByte == 8s));
    for (int sample = 0; sample < 100; ++sample) {
        health.onFirstByte(20ms);
        health.onNextByte(5ms);
    }
    BOOST_TEST((health.adaptedLimits().reusedFirstByte == 2s));
    BOOST_TEST((health.adaptedLimits().firstByte == 8s));
    BOOST_TEST((health.adaptedLimits().betweenBytes == 500ms));
    for (int sample = 0; sample < 100; ++sample) {
        health.onFirstByte(2s);
        health.onNextByte(10s);
    }
    BOOST_TEST((health.adaptedLimits().reusedFirstByte >= 4s));
    BOOST_TEST((health.adaptedLimits().betweenBytes == 2s));
}

BOOST_AUTO_TEST_CASE(timeout_starts_one_probe_whose_result_decides)
{
    ConnectionHealth health(limits());
    const ExchangeFailure silent{Reason::EndpointSilent, true, true};
    BOOST_TEST((health.onExchangeFailed(silent) == HealthVerdict::ProbeFresh));
    BOOST_TEST((health.onExchangeFailed(silent) == HealthVerdict::Wait));
    BOOST_TEST((health.onProbeAnswered() == HealthVerdict::Wait));
    BOOST_TEST((health.onExchangeFailed(silent) == HealthVerdict::ProbeFresh));
    BOOST_TEST((health.onProbeFailed() == HealthVerdict::EndpointDown));
}

BOOST_AUTO_TEST_CASE(incomplete_answer_does_not_start_probe)
{
    ConnectionHealth health(limits());
    BOOST_TEST((health.onExchangeFailed(ExchangeFailure{Reason::IncompleteAnswer, true, false}) == HealthVerdict::Wait));
}
