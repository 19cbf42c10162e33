// Request statistics by model, as observed by this node.
#pragma once

#include "hemlockhill/world.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Hemlockhill
{

// Outcome of one request.
struct RequestOutcome {
    // True when the complete response was delivered. False when the request was refused, ended early, or was abandoned by its caller.
    bool complete = false;
    // Time from arrival to the first token sent to the caller. Empty when no token was sent or the response was not streamed.
    std::optional<Duration> firstToken;
    // Time from arrival to the end of the response.
    Duration total{0};
    TokenCount tokens;
    std::uint32_t retries = 0;
};

// Totals since the node started.
struct ModelTotals {
    std::uint64_t requests = 0;
    // Requests with a complete response whose time to first token and mean time between tokens met the service's targets.
    std::uint64_t attained = 0;
    std::uint64_t refused = 0;
    std::uint64_t retries = 0;
    TokenCount tokens;
    Duration firstTokenTotal{0};
    std::uint64_t firstTokens = 0;

    // Mean time to first token. Zero when no request received a token.
    Duration firstTokenMean() const;
    bool operator==(const ModelTotals &) const = default;
};

using ModelTotalsByModel = std::map<ModelId, ModelTotals>;

// Collects the outcomes of requests by model.
class ModelStatistics
{
public:
    void record(const ModelId &model, const Service &service, const RequestOutcome &outcome);
    const ModelTotalsByModel &totals() const { return m_totals; }

private:
    ModelTotalsByModel m_totals;
};

// Returns whether the outcome meets the service's targets.
bool meetsTargets(const Service &service, const RequestOutcome &outcome);

} // namespace Hemlockhill
