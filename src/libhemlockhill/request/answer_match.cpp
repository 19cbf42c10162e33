// Matching of answers to requests.
#include "hemlockhill/answer_match.h"

namespace Hemlockhill
{

AnswerMatch matchAnswer(const RequestId &request, const EndpointAnswerHead &answer, const ResponsePosition &position)
{
    if (answer.namesSeveral) {
        return AnswerMatch::OtherRequest;
    }
    if (!answer.id.empty() && answer.id != request) {
        return AnswerMatch::OtherRequest;
    }
    if (!answer.id.empty()) {
        return position.hasCarriedRequest ? AnswerMatch::EarlierExchange : AnswerMatch::Named;
    }
    return position.isOnly() ? AnswerMatch::OnlyOnConnection : AnswerMatch::Unnamed;
}

bool isOwnAnswer(AnswerMatch match)
{
    return match == AnswerMatch::Named || match == AnswerMatch::OnlyOnConnection;
}

ResponseMatch toResponseMatch(AnswerMatch match)
{
    switch (match) {
    case AnswerMatch::Named:
        return ResponseMatch::Own;
    case AnswerMatch::OnlyOnConnection:
        return ResponseMatch::OwnUnnamed;
    case AnswerMatch::EarlierExchange:
    case AnswerMatch::OtherRequest:
    case AnswerMatch::Unnamed:
        break;
    }
    return ResponseMatch::Stray;
}

ConnectionChoice connectionChoice(const RequestId &request, bool isRepeated)
{
    return request.empty() || isRepeated ? ConnectionChoice::FreshOnly : ConnectionChoice::PreferIdle;
}

std::string_view strayEvent(AnswerMatch match)
{
    switch (match) {
    case AnswerMatch::EarlierExchange:
        return "stray_answer_to_earlier_exchange";
    case AnswerMatch::OtherRequest:
        return "stray_answer_to_other_request";
    default:
        return "stray_answer_unnamed";
    }
}

} // namespace Hemlockhill
