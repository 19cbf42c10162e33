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
    bool mayHaveReached = true;

    bool operator==(const ForwardingFailure &) const = default;
};

// Adds the options to a request, for the node that is to forward it.
void setForwardOptions(HttpRequest &request, const ForwardOptions &options);
// Removes the options from a request that another node has sent, and returns them. Throws DecodeError if they are missing or malformed.
ForwardOptions takeForwardOptions(HttpRequest &request);

// The answer to the request in place of the endpoint's. The request is not named if its id is empty.
HttpResponse forwardingFailureAnswer(const ForwardingFailure &failure, const RequestId &request);
// Returns the failure that an answer of another node reports; empty if it is the endpoint's own answer.
std::optional<ForwardingFailure> readForwardingFailure(const std::vector<HttpHeader> &headers);
// Names the request in an answer, for the other node.
void nameAnsweredRequest(std::vector<HttpHeader> &headers, const RequestId &request);
// Returns the request that the forwarding node has named; empty if it has named none, as in answers of endpoints that name it themselves.
RequestId readAnsweredRequest(const std::vector<HttpHeader> &headers);
// Removes the headers of answers that only nodes may set.
void removeForwardingHeaders(std::vector<HttpHeader> &headers);

} // namespace Hemlockhill
