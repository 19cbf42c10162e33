// Evidence that a request has not run. A refusal tells the caller that its request has not run and never will, so it must rest on such
// evidence for each exchange of the request: the types here can be made from nothing else.
#pragma once

#include "hemlockhill/answer_match.h"
#include "hemlockhill/forwarded_request.h"
#include "hemlockhill/http_exchange.h"
#include "hemlockhill/request_dialect.h"

#include <optional>
#include <string_view>

namespace Hemlockhill
{

// Whether callers take the status for the statement that the request has not run and never will.
bool promisesNotRun(unsigned status);
// Whether the status says that the request was meant for another endpoint than the one that has answered.
bool isMisdirected(unsigned status);

// What shows that a request has not run at an endpoint.
enum class NotRunGround {
    // No byte of the request has left this VM.
    NothingSent,
    // The endpoint has stated it.
    EndpointStatement,
    // The node that was to forward the request has sent no byte of it.
    ForwardingNode
};
std::string_view toText(NotRunGround ground);

// Evidence that a request has not run at the endpoint of one exchange, and will not.
class NotRunProof
{
public:
    // Empty if the request may have been sent.
    static std::optional<NotRunProof> fromFailure(const ExchangeFailure &failure);
    // For an exchange that was cancelled by its onSending hook.
    static NotRunProof fromCancelledSending();
    // Empty if the endpoint does not state that the request has not run, reports success all the same, or may mean another request.
    static std::optional<NotRunProof> fromAnswer(unsigned status, const EndpointAnswerHead &answer, AnswerMatch match);
    // Empty if the request may have been sent, or the failure may be that of another request.
    static std::optional<NotRunProof> fromForwardingFailure(const ForwardingFailure &failure, AnswerMatch match);

    NotRunGround ground() const { return m_ground; }

private:
    explicit NotRunProof(NotRunGround ground)
        : m_ground(ground)
    {
    }

    NotRunGround m_ground;
};

// Evidence that a request has run at no endpoint and will not. Made by AttemptHistory.
class NeverRan
{
private:
    friend class AttemptHistory;
    NeverRan() = default;
};

} // namespace Hemlockhill
