// HTTP responses for refusals: a JSON problem document with a typed reason.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/http.h"
#include "hemlockhill/world.h"

#include <boost/json/object.hpp>

namespace Hemlockhill
{

// The problem document. It contains the members "reason", "ran", "detail", "request" and, where it applies, "retry_after_s" and "revision".
boost::json::object refusalBody(const Refusal &refusal, const RequestId &request);

// The complete response, with a Retry-After header if the refusal has a retry delay.
HttpResponse refusalAnswer(const Refusal &refusal, const RequestId &request);

} // namespace Hemlockhill
