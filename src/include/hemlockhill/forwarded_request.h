// Messages between the two nodes that serve one request together: the one that took it from its caller, and the one that reaches the
// endpoint.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/http.h"
#include "hemlockhill/request_dialect.h"

#include <optional>
#include <vector>

namespace Hemlockhill
{

// Why the node that reaches the endpoint has no answer of it.
struct ForwardingFailure {
    Reason reason = Reason::EndpointLost;
    // False only if no byte of the request can have left that node.
    bool mayHaveReached = false;

    bool operator==(const ForwardingFailure &) const = default;
};

// Adds the options to a request, for the node that is to forward it.
void setForwardOptions(HttpRequest &request, const ForwardOptions &options);
// Removes the options from a request that another node has sent, and returns them. Throws DecodeError if they are missing or malformed.
ForwardOptions takeForwardOptions(HttpRequest &request);

// The answer in place of the endpoint's.
HttpResponse forwardingFailureAnswer(const ForwardingFailure &failure);
// Returns the failure that an answer of another node reports; empty if it is the endpoint's own answer.
std::optional<ForwardingFailure> readForwardingFailure(const std::vector<HttpHeader> &headers);
// Removes the headers by which nodes report failures, which only they may set.
void removeForwardingFailure(std::vector<HttpHeader> &headers);

} // namespace Hemlockhill
