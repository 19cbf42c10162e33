// Runs whose callers left before the answer was complete. The node closes its connection to the endpoint then, and would not see that the
// endpoint crashes a moment later under the run.
//
// Deterministic, without I/O: the caller passes in the current time.
#pragma once

#include "hemlockhill/crash_suspects.h"
#include "hemlockhill/request_dialect.h"
#include "hemlockhill/world.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace Hemlockhill
{

struct AbandonedRunLimits {
    // How long a run is watched. Longer than a list shows a crashed endpoint.
    Duration watchPeriod = std::chrono::seconds(15);
    // Maximum age of what a list shows at the time when it is requested.
    Duration listLag = std::chrono::milliseconds(1500);
    // Maximum number of runs that are watched; the oldest are dropped first.
    std::size_t runs = 1024;
};

// What a run had in common with other requests, and the loss that its endpoint would suffer.
struct AbandonedRun {
    LossId loss;
    Fingerprint fingerprint;
    std::vector<Fingerprint> promptParts;
    TimePoint abandonedAt;
    // When the endpoint first answered a later request, over a connection that does not show its incarnation.
    std::optional<TimePoint> answeredAt;
};

// Watches abandoned runs until their endpoint is heard from again or turns out to be lost.
class AbandonedRuns
{
public:
    explicit AbandonedRuns(AbandonedRunLimits limits = {});

    // The caller of a run at the endpoint has left.
    void add(const RoutedRequestHead &request, LossId loss, TimePoint now);
    // An endpoint has answered: runs that were abandoned before did not crash the incarnation that wrote the answer. See CrashSuspects.
    void onEndpointAnswered(const EndpointAnswer &answer, TimePoint now);
    // The endpoint is lost. Returns the runs that were abandoned there, which are no longer watched.
    std::vector<AbandonedRun> takeLost(LossId loss, TimePoint now);
    // Endpoints that are not among the listed ones are lost. Returns their runs.
    std::vector<AbandonedRun> takeUnlisted(const ListedIncarnations &listed, TimePoint now);
    bool empty() const { return m_runs.empty(); }

private:
    void dropExpired(TimePoint now);

    AbandonedRunLimits m_limits;
    // The oldest first.
    std::deque<AbandonedRun> m_runs;
};

} // namespace Hemlockhill
