// The head of an endpoint's answer, for logs.
#pragma once

#include "hemlockhill/http_exchange.h"
#include "hemlockhill/request_dialect.h"

#include <boost/json/object.hpp>

namespace Hemlockhill
{

// What shows afterwards whether an answer was the one to its request.
struct AnswerTrace {
    unsigned status = 0;
    // The request that the answer names; empty if it names none.
    RequestId id;
    bool isSigned = false;
    bool statesNotRun = false;
    ResponsePosition position;
};

AnswerTrace traceOf(const ResponseHead &head, const EndpointAnswerHead &answer);
boost::json::object describe(const AnswerTrace &answer);

} // namespace Hemlockhill
