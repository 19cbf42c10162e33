// Tests what counts as evidence that a request has not run.
#include "hemlockhill/not_run_proof.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

const RequestId Request{"request-1"};
constexpr ResponsePosition First{0, false};
constexpr ResponsePosition Second{1, false};
constexpr ResponsePosition Early{0, true};
constexpr ResponsePosition SameRequestBefore{1, false, true};

EndpointAnswerHead refusal(const std::string &id)
{
    EndpointAnswerHead answer;
    answer.id = RequestId{id};
    answer.notRun = true;
    return answer;
}

bool proves(const EndpointAnswerHead &answer, const ResponsePosition &position, unsigned status = 503)
{
    return NotRunProof::fromAnswer(status, answer, matchAnswer(Request, answer, position)).has_value();
}

} // namespace

BOOST_AUTO_TEST_CASE(failure_of_an_exchange_that_may_have_reached_the_endpoint_proves_not_run)
{
    BOOST_CHECK(NotRunProof::fromFailure({Reason::EndpointLost, false})->ground() == NotRunGround::NothingSent);
    BOOST_CHECK(!NotRunProof::fromFailure({Reason::EndpointLost, true}));
}

BOOST_AUTO_TEST_CASE(statement_that_may_mean_another_request_proves_not_run)
{
    for (const ResponsePosition &position : {First, Second, Early}) {
        BOOST_CHECK(proves(refusal("request-1"), position));
        BOOST_CHECK(!proves(refusal("request-0"), position));
        EndpointAnswerHead several = refusal("request-1");
        several.namesSeveral = true;
        BOOST_CHECK(!proves(several, position));
    }
    BOOST_CHECK(proves(refusal(""), First));
    BOOST_CHECK(!proves(refusal(""), Second));
    BOOST_CHECK(!proves(refusal(""), Early));
}

// A copy of the refusal of an earlier exchange names the request too.
BOOST_AUTO_TEST_CASE(statement_that_may_mean_an_earlier_exchange_of_the_request_proves_not_run)
{
    BOOST_CHECK(!proves(refusal("request-1"), SameRequestBefore));
    BOOST_CHECK(!proves(refusal(""), SameRequestBefore));
}

BOOST_AUTO_TEST_CASE(answer_without_a_statement_proves_not_run)
{
    EndpointAnswerHead silent = refusal("request-1");
    silent.notRun = false;
    silent.isSigned = true;
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        BOOST_CHECK(promisesNotRun(status));
        BOOST_CHECK(!proves(silent, First, status));
    }
    for (const unsigned status : {200U, 400U, 404U, 500U, 502U, 504U}) {
        BOOST_CHECK(!promisesNotRun(status));
    }
}

BOOST_AUTO_TEST_CASE(success_that_states_not_run_proves_it)
{
    BOOST_CHECK(!proves(refusal("request-1"), First, 200));
    BOOST_CHECK(!proves(refusal("request-1"), First, 299));
    BOOST_CHECK(proves(refusal("request-1"), First, 400));
}

BOOST_AUTO_TEST_CASE(word_of_another_node_on_another_request_proves_not_run)
{
    const ForwardingFailure unsent{Reason::EndpointLost, false};
    BOOST_CHECK(NotRunProof::fromForwardingFailure(unsent, AnswerMatch::Named)->ground() == NotRunGround::ForwardingNode);
    BOOST_CHECK(NotRunProof::fromForwardingFailure(unsent, AnswerMatch::OnlyOnConnection));
    BOOST_CHECK(!NotRunProof::fromForwardingFailure(unsent, AnswerMatch::Unnamed));
    BOOST_CHECK(!NotRunProof::fromForwardingFailure(unsent, AnswerMatch::OtherRequest));
    BOOST_CHECK(!NotRunProof::fromForwardingFailure({Reason::EndpointLost, true}, AnswerMatch::Named));
}
