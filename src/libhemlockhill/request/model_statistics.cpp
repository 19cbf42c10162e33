// Aggregation of request outcomes by model.
#include "hemlockhill/model_statistics.h"

namespace Hemlockhill
{

Duration ModelTotals::firstTokenMean() const
{
    return firstTokens == 0 ? Duration(0) : firstTokenTotal / static_cast<std::int64_t>(firstTokens);
}

bool meetsTargets(const Service &service, const RequestOutcome &outcome)
{
    if (!outcome.complete) {
        return false;
    }
    if (!outcome.firstToken) {
        return outcome.total <= service.firstTokenTarget + service.betweenTokensTarget * static_cast<std::int64_t>(outcome.tokens.value);
    }
    if (*outcome.firstToken > service.firstTokenTarget) {
        return false;
    }
    const auto gaps = static_cast<std::int64_t>(outcome.tokens.value) - 1;
    return gaps <= 0 || (outcome.total - *outcome.firstToken) / gaps <= service.betweenTokensTarget;
}

void ModelStatistics::record(const ModelId &model, const Service &service, const RequestOutcome &outcome)
{
    ModelTotals &totals = m_totals[model];
    ++totals.requests;
    totals.attained += meetsTargets(service, outcome) ? 1 : 0;
    totals.refused += outcome.complete ? 0 : 1;
    totals.retries += outcome.retries;
    totals.tokens += outcome.tokens;
    if (outcome.firstToken) {
        totals.firstTokenTotal += *outcome.firstToken;
        ++totals.firstTokens;
    }
}

} // namespace Hemlockhill
