// Randomised schedules of at-most-once calls. Failing seeds are printed; set HEMLOCKHILL_SEED to run a single one.
#include "once_schedule_testing.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace Hemlockhill;
using Testing::OnceSchedule;
using Testing::OnceScheduleResult;

namespace
{

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t ScheduleCount = 5'000;
#else
constexpr std::uint64_t ScheduleCount = 100'000;
#endif

} // namespace

BOOST_AUTO_TEST_CASE(calls_run_at_most_once_and_reported_outcomes_are_true)
{
    const char *single = std::getenv("HEMLOCKHILL_SEED");
    const std::uint64_t first = single != nullptr ? std::strtoull(single, nullptr, 10) : 1;
    const std::uint64_t last = single != nullptr ? first : ScheduleCount;
    OnceScheduleResult total;
    std::uint64_t faultySchedules = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        const OnceScheduleResult result = OnceSchedule(seed).run();
        if (result.faults() > 0 && ++faultySchedules <= 5) {
            BOOST_ERROR("seed " << seed << ": extra runs " << result.extraRuns << ", falsely reported as not run " << result.falseNotRun
                                << ", wrong answers " << result.wrongAnswers << ", falsely reported as run " << result.falseRun
                                << ", callers without response " << result.unanswered);
        }
        total.runs += result.runs;
        total.answered += result.answered;
        total.unknown += result.unknown;
        total.notRun += result.notRun;
        total.lateRuns += result.lateRuns;
    }
    BOOST_TEST(faultySchedules == 0U);
    BOOST_TEST_MESSAGE("runs " << total.runs << ", answered " << total.answered << ", reported as unknown " << total.unknown
                               << ", reported as not run " << total.notRun << ", sent after the dispatch deadline because of a freeze "
                               << total.lateRuns);
    // Every kind of outcome must occur, otherwise the checks above are vacuous.
    const bool allReached = total.runs > 0 && total.answered > 0 && total.unknown > 0 && total.notRun > 0 && total.lateRuns > 0;
    BOOST_TEST((single != nullptr || allReached));
}
