// Protects endpoints from requests that crash them. Connects the quarantine state machine with model requests, endpoint reports and
// the replicated quarantine register.
#pragma once

#include "hemlockhill/attempt.h"
#include "hemlockhill/engine_api.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/quarantine.h"
#include "hemlockhill/timer_service.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Hemlockhill
{

// The result of a request for a trial, which runs a suspected request on an endpoint where no other suspect runs.
struct TrialReply {
    // Present if the suspect may run on this endpoint now.
    std::optional<EndpointId> endpoint;
    // True if a later request may succeed, once another trial has ended.
    bool busy = false;
};

// Not thread-safe; must be used on the given event loop.
class QuarantineGuard
{
public:
    // Allows a failed request to be retried. `lostTogether` is the number of distinct requests lost together with the endpoint; 0 if
    // the endpoint was not lost.
    using Release = std::function<void(std::size_t lostTogether)>;
    using TrialListener = std::function<void(const TrialReply &)>;

    QuarantineGuard(VmId node, TimerService &timers, Metrics &metrics, boost::asio::io_context &loop);

    // Connects the replicated register. Without it, commands apply to a register local to this node.
    void connect(QuarantinePort port) { m_port = std::move(port); }
    void onRegister(const std::shared_ptr<const QuarantineRegister> &replica);
    void onReports(std::shared_ptr<const EndpointReports> reports);

    QuarantineDecision decide(Fingerprint fingerprint, std::size_t copies) const;
    // Requests a trial. Calls `listener` during the call or later, unless the attempt has ended by then.
    void startTrial(AttemptId attempt, Fingerprint fingerprint, const std::vector<TrialCandidate> &candidates, TrialListener listener);

    void onDispatched(AttemptId attempt, Fingerprint fingerprint, const EndpointId &endpoint);
    // The attempt's exchange failed before the endpoint can have received the request, or ended with an error response.
    void onHarmless(AttemptId attempt);
    // The attempt's exchange failed. Calls `release` during the call or later, once the request may be retried: after the endpoint has
    // reported again, after the command that records its loss was committed or refused, or after a timeout.
    void onFailed(AttemptId attempt, bool connectionFailed, Release release);
    // The attempt has ended. `completed` tells whether its caller received a complete answer.
    void onEnded(AttemptId attempt, Fingerprint fingerprint, bool completed);

private:
    // The loss of one endpoint, and the requests held until the command that records it has been answered.
    struct EndpointLoss {
        bool recorded = false;
        // Number of distinct requests that were running on the endpoint.
        std::size_t requests = 0;
        std::vector<Release> heldReleases;
    };

    // A request dispatched to an endpoint. Kept until it is answered, or the endpoint has reported after the request failed.
    struct Run {
        AttemptId attempt;
        Fingerprint fingerprint;
        EndpointId endpoint;
        Incarnation incarnation;
        bool trial = false;
        // Present once the exchange has failed or the caller has disconnected.
        std::optional<TimePoint> failedAt;
        Release release;
        // Set once the endpoint was lost.
        std::shared_ptr<EndpointLoss> loss;
    };

    struct Trial {
        Fingerprint fingerprint;
        EndpointId endpoint;
        bool granted = false;
    };

    using Reply = std::function<void(std::optional<QuarantineOutcome>)>;

    Run *findRun(AttemptId attempt);
    bool isLost(const Run &run) const;
    bool isAlive(const Run &run) const;
    void resolveFailedRuns();
    void recordLoss(const EndpointId &endpoint, const Incarnation &incarnation);
    void releaseHeld(const std::shared_ptr<EndpointLoss> &loss);
    void onVerdictTimeout(AttemptId attempt, TimePoint failedAt);
    void removeRun(AttemptId attempt);
    void endTrial(AttemptId attempt);
    void
    onTrialOutcome(AttemptId attempt, Fingerprint fingerprint, std::optional<QuarantineOutcome> outcome, const TrialListener &listener);
    // Submits a command. Calls `reply` exactly once, with nullopt if the command was refused or not answered in time.
    void propose(QuarantineCommand command, Reply reply);
    void proposeAll(std::vector<QuarantineCommand> commands);

    TimerService &m_timers;
    Metrics &m_metrics;
    boost::asio::io_context &m_loop;
    QuarantinePort m_port;
    Quarantine m_quarantine;
    // Used if no replicated register is connected.
    QuarantineRegister m_localRegister;
    std::shared_ptr<const EndpointReports> m_reports;
    std::vector<Run> m_runs;
    // Number of runs detached from their attempts. Their attempt ids count down from the highest value, to avoid collisions.
    std::uint64_t m_detachedRuns = 0;
    std::map<AttemptId, Trial> m_trials;
};

} // namespace Hemlockhill
