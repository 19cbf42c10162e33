// Maps the rank of a request to ten values.
#include "hemlockhill/endpoint_urgency.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

constexpr std::uint32_t LowestPriority = 2;
// From this time to its target on, a request loses nothing by waiting for some steps of the batch: interactive targets are 0.5 to 1 s,
// those of overnight work 10 s and more.
constexpr Duration PatientTime = std::chrono::seconds(2);

} // namespace

std::uint32_t endpointUrgency(const WaitingRank &rank, TimePoint now)
{
    const std::uint32_t workspace = std::min(rank.workspacePriority, LowestPriority);
    const std::uint32_t route = std::min(rank.priority, LowestPriority);
    const bool mayWait = rank.isNew && (rank.isLate || rank.dispatchBy - now >= PatientTime);
    return workspace * (LowestPriority + 1) + route + (mayWait ? 1 : 0);
}

} // namespace Hemlockhill
