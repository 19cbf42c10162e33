// What counts as evidence that a request has not run.
#include "hemlockhill/not_run_proof.h"

namespace Hemlockhill
{

namespace
{

constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusMisdirectedRequest = 421;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusServiceUnavailable = 503;

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

bool promisesNotRun(unsigned status)
{
    return status == StatusRequestTimeout || status == StatusMisdirectedRequest || status == StatusTooManyRequests
           || status == StatusServiceUnavailable;
}

bool isMisdirected(unsigned status)
{
    return status == StatusMisdirectedRequest;
}

std::string_view toText(NotRunGround ground)
{
    switch (ground) {
    case NotRunGround::NothingSent:
        return "nothing_sent";
    case NotRunGround::EndpointStatement:
        return "endpoint_statement";
    case NotRunGround::ForwardingNode:
        break;
    }
    return "forwarding_node";
}

std::optional<NotRunProof> NotRunProof::fromFailure(const ExchangeFailure &failure)
{
    return failure.mayHaveReached ? std::nullopt : std::optional(NotRunProof(NotRunGround::NothingSent));
}

NotRunProof NotRunProof::fromCancelledSending()
{
    return NotRunProof(NotRunGround::NothingSent);
}

std::optional<NotRunProof> NotRunProof::fromAnswer(unsigned status, const EndpointAnswerHead &answer, AnswerMatch match)
{
    // Endpoints sign what they have run.
    const bool isContradicted = isSuccess(status) || answer.isSigned;
    const bool isStated = answer.notRun && !isContradicted && isOwnAnswer(match);
    return isStated ? std::optional(NotRunProof(NotRunGround::EndpointStatement)) : std::nullopt;
}

std::optional<NotRunProof> NotRunProof::fromForwardingFailure(const ForwardingFailure &failure, AnswerMatch match)
{
    const bool isStated = !failure.mayHaveReached && isOwnAnswer(match);
    return isStated ? std::optional(NotRunProof(NotRunGround::ForwardingNode)) : std::nullopt;
}

} // namespace Hemlockhill
