// What a deployment's callers and endpoints say in headers, as hooks: the gateway itself knows no header but those of HTTP.
#pragma once

#include "hemlockhill/engine_api.h"
#include "hemlockhill/http.h"
#include "hemlockhill/prefix_index.h"
#include "hemlockhill/world.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Hemlockhill
{

// A part of a prompt that other requests may share.
struct PromptPart {
    // Covers the part and everything before it, for this model and adapter.
    PrefixHash prefix;
    TokenCount tokens;
};

// What a caller's headers say of its request.
struct RoutedRequestHead {
    // The caller's own name for this attempt; endpoints repeat it in their answers.
    RequestId id;
    // How long the caller will wait, from when it sent the request.
    std::optional<Duration> callerDeadline;
    // Empty when the request is for no model.
    RoutingTarget target;
    TokenCount promptTokens;
    // The beginning of the prompt, in order, without the part that belongs to this request alone.
    std::vector<PromptPart> sharedParts;
    // The most that may be generated.
    TokenCount outputTokens;
    // What the caller expects to be generated; often far off.
    TokenCount expectedTokens;
    // The last event that the caller has of an answer that broke off.
    std::string lastEventId;
};

// How a request goes to one endpoint.
struct ForwardOptions {
    // No other endpoint may run it.
    EndpointId endpoint;
    Duration timeLeft{0};
    // The stream goes on after this event; empty for a whole answer.
    std::string resumeAfter;
};

// What an endpoint's headers say of its answer.
struct EndpointAnswerHead {
    // The request that it answers; empty when it does not say.
    RequestId id;
    // The endpoint promises that the request has not run there and will not.
    bool notRun = false;
    // The answer bears the endpoint's signature.
    bool isSigned = false;
    bool isEventStream = false;
};

struct RequestDialect {
    // Throws DecodeError with what is wrong.
    std::function<RoutedRequestHead(const HttpRequest &request)> readRequest;
    std::function<HttpRequest(const HttpRequest &request, const ForwardOptions &options)> forward;
    std::function<EndpointAnswerHead(unsigned status, const std::vector<HttpHeader> &headers)> readAnswer;
    // The headers of an endpoint's answer that go to the caller.
    std::function<std::vector<HttpHeader>(const std::vector<HttpHeader> &headers)> answerHeaders;
};

} // namespace Hemlockhill
