// Encoding of refusals as JSON problem documents.
#include "hemlockhill/refusal_answer.h"

#include <boost/json/serialize.hpp>

namespace Hemlockhill
{

boost::json::object refusalBody(const Refusal &refusal, const RequestId &request)
{
    boost::json::object body;
    body["title"] = toText(refusal.reason);
    body["status"] = traitsOf(refusal.reason).httpStatus;
    body["reason"] = toText(refusal.reason);
    body["ran"] = toText(refusal.ran);
    if (!refusal.detail.empty()) {
        body["detail"] = refusal.detail;
    }
    if (!request.empty()) {
        body["request"] = request.value;
    }
    if (refusal.retryAfter) {
        body["retry_after_s"] = refusal.retryAfter->count();
    }
    if (refusal.currentRevision) {
        body["revision"] = *refusal.currentRevision;
    }
    // Clients of OpenAI-compatible model servers expect this member.
    body["error"] = {{"message", refusal.detail.empty() ? std::string(toText(refusal.reason)) : refusal.detail},
                     {"type", toText(refusal.reason)},
                     {"code", toText(refusal.reason)}};
    return body;
}

HttpResponse refusalAnswer(const Refusal &refusal, const RequestId &request)
{
    HttpResponse response;
    response.status = traitsOf(refusal.reason).httpStatus;
    response.contentType = "application/problem+json";
    response.body = boost::json::serialize(refusalBody(refusal, request));
    if (refusal.retryAfter) {
        response.headers.push_back({"Retry-After", std::to_string(refusal.retryAfter->count())});
    }
    if (refusal.reason == Reason::Unauthenticated) {
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    if (!request.empty()) {
        response.headers.push_back({"Hemlockhill-Request", request.value});
    }
    return response;
}

HttpResponse callerRefusalAnswer(const Refusal &refusal, const RequestId &request)
{
    HttpResponse response = refusalAnswer(refusal, request);
    response.headers.push_back({std::string(RanHeader), std::string(toText(refusal.ran))});
    return response;
}

} // namespace Hemlockhill
