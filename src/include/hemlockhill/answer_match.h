// Tells the answer to a request from other responses on the same connection. An endpoint may send a response more than once, or one that
// no request has asked for; the order of responses on a connection does not tell them apart.
#pragma once

#include "hemlockhill/http_exchange.h"
#include "hemlockhill/request_dialect.h"

#include <string_view>

namespace Hemlockhill
{

// How a response relates to the request of the exchange that reads it.
enum class AnswerMatch {
    // It names the request, which its connection has carried once.
    Named,
    // It names no request, and its connection has carried no other exchange.
    OnlyOnConnection,
    // It names the request, and may answer an earlier exchange of it: its connection has carried the request before.
    EarlierExchange,
    // It names another request, or several.
    OtherRequest,
    // It names no request, and may answer an earlier request on its connection, or none.
    Unnamed
};

AnswerMatch matchAnswer(const RequestId &request, const EndpointAnswerHead &answer, const ResponsePosition &position);
// Whether the response is certainly the answer to the request.
bool isOwnAnswer(AnswerMatch match);
ResponseMatch toResponseMatch(AnswerMatch match);
// Answers to a request without an id name nothing, so each needs a connection of its own.
ConnectionChoice connectionChoice(const RequestId &request, bool isRepeated);
// Name of the counter of responses that are dropped for this reason.
std::string_view strayEvent(AnswerMatch match);

} // namespace Hemlockhill
