#include "hemlockhill/unnamed_answers.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

// Guards against connections that are not reused for longer than an endpoint answers without naming the request.
BOOST_AUTO_TEST_CASE(endpoint_is_remembered_after_it_names_requests_again)
{
    const EndpointId endpoint{"e0"};
    const TimePoint start = TimePoint{} + std::chrono::hours(1);
    UnnamedAnswers answers;
    BOOST_CHECK(!answers.isExpected(endpoint, start));
    answers.onUnnamed(endpoint, start);
    BOOST_CHECK(answers.isExpected(endpoint, start));
    BOOST_CHECK(answers.isExpected(endpoint, start + UnnamedAnswers::Period / 2));
    BOOST_CHECK(!answers.isExpected(endpoint, start + UnnamedAnswers::Period));
    BOOST_CHECK(!answers.isExpected(EndpointId{"e1"}, start));
    answers.onUnnamed(endpoint, start + UnnamedAnswers::Period / 2);
    BOOST_CHECK(answers.isExpected(endpoint, start + UnnamedAnswers::Period));
    answers.onDirectory({});
    BOOST_CHECK(!answers.isExpected(endpoint, start + UnnamedAnswers::Period));
}
