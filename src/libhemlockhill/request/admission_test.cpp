// Tests of admission: order, fairness between models, and refusals.
#include "hemlockhill/admission.h"
#include "hemlockhill/retry_budget.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start{Duration(1s)};
const CapacityCheck Anywhere = [](const RoutingTarget &) { return true; };

ModelForecast forecastOf(std::uint32_t slots, std::uint32_t load)
{
    ModelForecast forecast;
    forecast.slots = slots;
    forecast.load = load;
    forecast.endpoints = 1;
    forecast.serviceTime = 400ms;
    forecast.firstToken = 50ms;
    return forecast;
}

AdmissionRequest requestOf(std::uint64_t id, const char *model, Duration deadline, Priority priority = Priority::Interactive)
{
    Service service;
    service.priority = priority;
    AdmissionRequest request;
    request.id = AttemptId{id};
    request.service = ServiceId{toText(priority).data()};
    request.target.model = ModelId{model};
    request.priority = priority;
    request.arrivedAt = Start;
    request.deadline = Start + deadline;
    request.firstTokenBy = firstTokenDue(service, Start, request.deadline);
    return request;
}

std::uint64_t nextOf(Admission &admission)
{
    const auto request = admission.next(Anywhere);
    return request ? request->id.value : 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(priority_first_then_earliest_deadline)
{
    Admission admission(100, 1.0);
    const ModelForecast idle = forecastOf(100, 0);
    admission.offer(requestOf(1, "scribe", 9s, Priority::Batch), idle, Start);
    admission.offer(requestOf(2, "scribe", 9s), idle, Start);
    admission.offer(requestOf(3, "scribe", 3s), idle, Start);
    admission.offer(requestOf(4, "scribe", 1s, Priority::Normal), idle, Start);
    BOOST_TEST(nextOf(admission) == 3U);
    BOOST_TEST(nextOf(admission) == 2U);
    BOOST_TEST(nextOf(admission) == 4U);
    BOOST_TEST(nextOf(admission) == 1U);
    BOOST_TEST(nextOf(admission) == 0U);
}

BOOST_AUTO_TEST_CASE(models_take_turns)
{
    Admission admission(100, 1.0);
    const ModelForecast idle = forecastOf(100, 0);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        admission.offer(requestOf(id, "busy", 3s), idle, Start);
    }
    admission.offer(requestOf(7, "quiet", 9s), idle, Start);
    admission.offer(requestOf(8, "quiet", 9s), idle, Start);
    BOOST_TEST(nextOf(admission) == 1U);
    BOOST_TEST(nextOf(admission) == 7U);
    BOOST_TEST(nextOf(admission) == 2U);
    BOOST_TEST(nextOf(admission) == 8U);
}

BOOST_AUTO_TEST_CASE(model_without_capacity_does_not_block_other_models)
{
    Admission admission(100, 1.0);
    admission.offer(requestOf(1, "full", 1s), forecastOf(4, 4), Start);
    admission.offer(requestOf(2, "free", 9s), forecastOf(4, 0), Start);
    const auto next = admission.next([](const RoutingTarget &target) { return target.model.value == "free"; });
    BOOST_TEST(next->id.value == 2U);
}

BOOST_AUTO_TEST_CASE(unreachable_deadline_is_refused_with_a_computed_retry_time)
{
    Admission admission(100, 1.0);
    // 41 requests in excess of the slots: 41 * 400 ms / 4 = 4.1 s, and 50 ms to the first token, against a limit of 470 ms.
    const auto refusal = admission.offer(requestOf(1, "scribe", 9s), forecastOf(4, 44), Start);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->reason == Reason::DeadlineUnreachable));
    BOOST_TEST((refusal->ran == Ran::No));
    BOOST_TEST(refusal->retryAfter->count() == 4);
    BOOST_TEST(!admission.offer(requestOf(2, "scribe", 9s, Priority::Batch), forecastOf(4, 44), Start).has_value());
    BOOST_TEST(admission.offer(requestOf(3, "scribe", 3s, Priority::Batch), forecastOf(4, 44), Start).has_value());
}

BOOST_AUTO_TEST_CASE(lag_reduces_the_predicted_wait)
{
    Admission admission(100, 1.0);
    ModelForecast forecast = forecastOf(4, 9);
    BOOST_TEST(admission.offer(requestOf(1, "scribe", 9s), forecast, Start).has_value());
    forecast.lag = 300ms;
    BOOST_TEST(!admission.offer(requestOf(2, "scribe", 9s), forecast, Start).has_value());
}

BOOST_AUTO_TEST_CASE(queued_requests_expire_once_their_deadline_is_unreachable)
{
    Admission admission(100, 1.0);
    admission.offer(requestOf(1, "scribe", 9s), forecastOf(4, 3), Start);
    admission.offer(requestOf(2, "scribe", 9s, Priority::Batch), forecastOf(4, 3), Start);
    const ForecastSource busy = [](const RoutingTarget &) { return forecastOf(4, 6); };
    BOOST_TEST(admission.expire(busy, Start).empty());
    const auto expired = admission.expire(busy, Start + 300ms);
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired[0].id.value == 1U);
    BOOST_TEST(expired[0].refusal.retryAfter.has_value());
    BOOST_TEST(admission.waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(queue_is_limited_in_total_and_by_service)
{
    Admission admission(4, 0.5);
    const ModelForecast idle = forecastOf(100, 0);
    BOOST_TEST(!admission.offer(requestOf(1, "scribe", 9s), idle, Start).has_value());
    BOOST_TEST(!admission.offer(requestOf(2, "scribe", 9s), idle, Start).has_value());
    BOOST_TEST((admission.offer(requestOf(3, "scribe", 9s), idle, Start)->reason == Reason::QueueFull));
    BOOST_TEST(!admission.offer(requestOf(4, "scribe", 9s, Priority::Batch), idle, Start).has_value());
    admission.remove(AttemptId{1});
    BOOST_TEST(!admission.offer(requestOf(5, "scribe", 9s), idle, Start).has_value());
}

BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_ratio_of_requests)
{
    RetryBudget budget(RetryBudgetLimits{0.25, 2});
    BOOST_TEST(budget.spend());
    BOOST_TEST(budget.spend());
    BOOST_TEST(!budget.spend());
    for (int request = 0; request < 4; ++request) {
        budget.onRequest();
    }
    BOOST_TEST(budget.spend());
    BOOST_TEST(!budget.spend());
}
