// Fields of log lines that describe answers.
#include "answer_trace.h"

namespace Hemlockhill
{

AnswerTrace traceOf(const ResponseHead &head, const EndpointAnswerHead &answer)
{
    return {head.status, answer.id, answer.isSigned, answer.notRun, head.position};
}

boost::json::object describe(const AnswerTrace &answer)
{
    return {{"status", answer.status},
            {"id", answer.id.value},
            {"signed", answer.isSigned},
            {"states_not_run", answer.statesNotRun},
            {"earlier_responses", answer.position.earlierResponses},
            {"precedes_request", answer.position.precedesRequest},
            {"request_carried_before", answer.position.hasCarriedRequest}};
}

} // namespace Hemlockhill
