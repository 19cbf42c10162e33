// Hooks that translate between the gateway and the request and answer headers of a deployment. The gateway itself interprets only
// standard HTTP headers.
#pragma once

#include "hemlockhill/declared_capacity.h"
#include "hemlockhill/deployment.h"
#include "hemlockhill/engine_api.h"
#include "hemlockhill/http.h"
#include "hemlockhill/prefix_index.h"
#include "hemlockhill/quarantine.h"
#include "hemlockhill/world.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Hemlockhill
{

// A section of a prompt that other requests may have in common, such as a system prompt.
struct PromptPart {
    // Hash of the prompt up to the end of this section, specific to the model and adapter.
    PrefixHash prefix;
    // Length of this section.
    TokenCount tokens;
};

// The properties of a request that its headers declare.
struct RoutedRequestHead {
    // Assigned by the caller to this attempt. Endpoints repeat it in their answers.
    RequestId id;
    // The caller's timeout, measured from the arrival of the request.
    std::optional<Duration> callerDeadline;
    // Empty if the request does not use a model.
    RoutingTarget target;
    TokenCount promptTokens;
    // The beginning of the prompt, in order, without the section that is specific to this request.
    std::vector<PromptPart> sharedParts;
    // Maximum number of tokens to generate.
    TokenCount outputTokens;
    // The caller's estimate of the number of tokens generated. Often inaccurate.
    TokenCount expectedTokens;
    // Id of the last event received by the caller before an earlier stream was interrupted; empty otherwise.
    std::string lastEventId;
    // The request that brought the first event of that stream; empty if the caller does not name it.
    RequestId resumedRequest;
    // Identifies the sections of the prompt that other requests may have in common, each by itself, whatever precedes it.
    std::vector<Fingerprint> promptParts;
    // Identifies what is asked: the same each time that a caller sends the request again.
    Fingerprint fingerprint;
    // Prompt and output tokens together; empty if the request does not declare them.
    std::optional<TokenCount> declaredTokens;
    Credential credential;
};

// How a deployment with workspaces hands a request on.
struct WorkspaceIdentity {
    // Empty if the request belongs to none.
    WorkspaceId workspace;
};

// Parameters for forwarding a request to one endpoint.
struct ForwardOptions {
    // The only endpoint that may run the request.
    EndpointId endpoint;
    // Time until the request's deadline.
    Duration timeLeft{0};
    // Id of the event after which the stream resumes; empty to request the entire answer.
    std::string resumeAfter;
    // Whether the endpoint may have answered this request before. A late or repeated answer on a connection that carried it then could not
    // be told from the answer that is awaited now.
    bool isRepeated = false;
    // Set if this node has checked the caller's credential: it is removed, and the endpoint gets the name of the workspace in its place.
    std::optional<WorkspaceIdentity> identity;
    // Urgency for the endpoint's batch, 0 to 9, 0 first. Set only where the memory of endpoints is bounded: an endpoint that runs out of
    // memory preempts less urgent requests, whose prompts it must read anew.
    std::optional<std::uint32_t> urgency = {};
};

// The properties of an answer that the endpoint's headers declare.
struct EndpointAnswerHead {
    // The request being answered; empty if the headers do not name it.
    RequestId id;
    // Whether the headers name different requests.
    bool namesSeveral = false;
    // The endpoint guarantees that the request has not run there and will not.
    bool notRun = false;
    // The answer carries the endpoint's signature.
    bool isSigned = false;
    bool isEventStream = false;
    // What the endpoint says of its capacity.
    DeclaredCapacity capacity;
};

// All hooks must be set.
struct RequestDialect {
    // Reads a caller's headers. Throws DecodeError if they are malformed.
    std::function<RoutedRequestHead(const HttpRequest &request)> readRequest;
    // Builds the request that is sent to an endpoint.
    std::function<HttpRequest(const HttpRequest &request, const ForwardOptions &options)> forward;
    // Reads the headers of an endpoint's answer.
    std::function<EndpointAnswerHead(unsigned status, const std::vector<HttpHeader> &headers)> readAnswer;
    // Selects the headers of an endpoint's answer that are returned to the caller.
    std::function<std::vector<HttpHeader>(const std::vector<HttpHeader> &headers)> answerHeaders;
    // Builds a request that an endpoint of the service answers quickly, whatever the answer.
    std::function<HttpRequest(const EndpointId &endpoint, const RoutedService &service)> probe;
};

} // namespace Hemlockhill
