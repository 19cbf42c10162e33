// Runs that are watched after their callers have left.
#include "hemlockhill/abandoned_runs.h"

#include <algorithm>
#include <iterator>

namespace Hemlockhill
{

namespace
{

// Removes the runs that match and returns them.
template<typename Predicate>
std::vector<AbandonedRun> takeIf(std::deque<AbandonedRun> &runs, Predicate matches)
{
    const auto firstTaken = std::stable_partition(runs.begin(), runs.end(), [&](const AbandonedRun &run) { return !matches(run); });
    std::vector<AbandonedRun> taken(std::make_move_iterator(firstTaken), std::make_move_iterator(runs.end()));
    runs.erase(firstTaken, runs.end());
    return taken;
}

} // namespace

AbandonedRuns::AbandonedRuns(AbandonedRunLimits limits)
    : m_limits(limits)
{
}

void AbandonedRuns::add(const RoutedRequestHead &request, LossId loss, TimePoint now)
{
    dropExpired(now);
    if (m_runs.size() >= m_limits.runs) {
        m_runs.pop_front();
    }
    m_runs.push_back({loss, request.fingerprint, request.promptParts, now, std::nullopt});
}

void AbandonedRuns::onEndpointAnswered(const EndpointAnswer &answer, TimePoint now)
{
    const auto isLater = [&](const AbandonedRun &run) { return run.loss == answer.loss && run.abandonedAt < answer.sentAt; };
    std::erase_if(m_runs,
                  [&](const AbandonedRun &run) { return isLater(run) && answer.connectedAt && *answer.connectedAt < run.abandonedAt; });
    for (AbandonedRun &run : m_runs) {
        if (isLater(run) && !run.answeredAt) {
            run.answeredAt = now;
        }
    }
}

std::vector<AbandonedRun> AbandonedRuns::takeLost(LossId loss, TimePoint now)
{
    dropExpired(now);
    return takeIf(m_runs, [&](const AbandonedRun &run) { return run.loss == loss; });
}

std::vector<AbandonedRun> AbandonedRuns::takeUnlisted(const ListedIncarnations &listed, TimePoint now)
{
    dropExpired(now);
    // A later incarnation that answered before would be listed by now.
    std::erase_if(m_runs, [&](const AbandonedRun &run) {
        return listed.losses.contains(run.loss) && run.answeredAt && listed.listedAt >= *run.answeredAt + m_limits.listLag;
    });
    return takeIf(m_runs, [&](const AbandonedRun &run) { return !listed.losses.contains(run.loss); });
}

void AbandonedRuns::dropExpired(TimePoint now)
{
    while (!m_runs.empty() && now - m_runs.front().abandonedAt >= m_limits.watchPeriod) {
        m_runs.pop_front();
    }
}

} // namespace Hemlockhill
