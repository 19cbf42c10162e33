// HTTP responses for refusals: a JSON problem document with a typed reason.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/http.h"
#include "hemlockhill/world.h"

#include <boost/json/object.hpp>

#include <string_view>

namespace Hemlockhill
{

// The problem document. It contains the members "reason", "ran", "detail", "request" and, where it applies, "retry_after_s" and "revision".
boost::json::object refusalBody(const Refusal &refusal, const RequestId &request);

// Carries the "ran" of a refusal. No answer of a service has it, so that none is taken for a refusal.
inline constexpr std::string_view RanHeader = "Hemlockhill-Ran";

// The complete response, with a Retry-After header if the refusal has a retry delay.
HttpResponse refusalAnswer(const Refusal &refusal, const RequestId &request);

// The same with the RanHeader, for callers of models and services.
HttpResponse callerRefusalAnswer(const Refusal &refusal, const RequestId &request);

} // namespace Hemlockhill
