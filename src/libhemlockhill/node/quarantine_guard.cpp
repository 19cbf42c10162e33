// Distinguishes lost endpoints from lost connections, and holds requests until the loss of their endpoint is recorded.
#include "quarantine_guard.h"

#include "hemlockhill/log.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Timeout for a quarantine command to commit. After it the node continues with its local knowledge.
constexpr Duration CommitTimeout = std::chrono::seconds(2);
// How long a failed request waits until its endpoint is known to be alive or lost. Longer than a new connection takes to fail.
constexpr Duration VerdictTimeout = std::chrono::seconds(4);

WallTime wallTime()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace

QuarantineGuard::QuarantineGuard(VmId node, TimerService &timers, Metrics &metrics, boost::asio::io_context &loop)
    : m_timers(timers)
    , m_metrics(metrics)
    , m_loop(loop)
    , m_quarantine(std::move(node))
    , m_reports(std::make_shared<const EndpointReports>())
{
}

void QuarantineGuard::onRegister(const std::shared_ptr<const QuarantineRegister> &replica)
{
    m_quarantine.updateReplica(replica, wallTime());
}

void QuarantineGuard::onReports(std::shared_ptr<const EndpointReports> reports)
{
    m_reports = std::move(reports);
    resolveFailedRuns();
}

QuarantineDecision QuarantineGuard::decide(Fingerprint fingerprint, std::size_t copies) const
{
    return m_quarantine.decide(fingerprint, copies, wallTime());
}

void QuarantineGuard::startTrial(AttemptId attempt,
                                 Fingerprint fingerprint,
                                 const std::vector<TrialCandidate> &candidates,
                                 TrialListener listener)
{
    std::vector<TrialCandidate> free;
    for (const TrialCandidate &candidate : candidates) {
        const bool taken =
            std::any_of(m_trials.begin(), m_trials.end(), [&](const auto &entry) { return entry.second.endpoint == candidate.endpoint; });
        if (!taken) {
            free.push_back(candidate);
        }
    }
    const bool isTrialRunning =
        std::any_of(m_trials.begin(), m_trials.end(), [&](const auto &entry) { return entry.second.fingerprint == fingerprint; });
    const bool isRequestRunning =
        std::any_of(m_runs.begin(), m_runs.end(), [&](const Run &run) { return run.fingerprint == fingerprint && !run.loss; });
    const auto endpoint = isTrialRunning || isRequestRunning ? std::nullopt : m_quarantine.chooseTrialEndpoint(free);
    if (!endpoint) {
        listener(TrialReply{{}, true});
        return;
    }
    m_trials[attempt] = Trial{fingerprint, *endpoint, false};
    propose(m_quarantine.startTrial(fingerprint, *endpoint, wallTime()),
            [this, attempt, fingerprint, listener = std::move(listener)](std::optional<QuarantineOutcome> outcome) {
                onTrialOutcome(attempt, fingerprint, outcome, listener);
            });
}

void QuarantineGuard::onTrialOutcome(AttemptId attempt,
                                     Fingerprint fingerprint,
                                     std::optional<QuarantineOutcome> outcome,
                                     const TrialListener &listener)
{
    const auto found = m_trials.find(attempt);
    if (found == m_trials.end()) {
        return;
    }
    if (outcome == QuarantineOutcome::TrialGranted) {
        found->second.granted = true;
        m_metrics.countEvent("quarantine_trial");
        listener(TrialReply{found->second.endpoint, false});
        return;
    }
    m_trials.erase(found);
    // A refused trial needs no EndTrial. A command that timed out may still commit, so its trial must be ended.
    std::vector<QuarantineCommand> end = m_quarantine.onCancelled(fingerprint, wallTime());
    if (!outcome) {
        proposeAll(std::move(end));
    }
    listener(TrialReply{{}, outcome.has_value()});
}

void QuarantineGuard::onDispatched(AttemptId attempt, Fingerprint fingerprint, const EndpointId &endpoint)
{
    Run run;
    run.attempt = attempt;
    run.fingerprint = fingerprint;
    run.endpoint = endpoint;
    const auto report = m_reports->find(endpoint);
    if (report != m_reports->end()) {
        run.incarnation = report->second.incarnation;
    }
    run.trial = m_trials.contains(attempt);
    m_runs.push_back(std::move(run));
}

void QuarantineGuard::onHarmless(AttemptId attempt)
{
    // A run already recorded as lost with its endpoint remains a suspect and is released like the others.
    const Run *run = findRun(attempt);
    if (run == nullptr || !run->loss) {
        removeRun(attempt);
    }
}

void QuarantineGuard::onFailed(AttemptId attempt, bool connectionFailed, Release release)
{
    Run *run = findRun(attempt);
    if (run == nullptr) {
        release(0);
        return;
    }
    if (!connectionFailed && !run->loss) {
        removeRun(attempt);
        release(0);
        return;
    }
    if (run->loss) {
        const std::shared_ptr<EndpointLoss> loss = run->loss;
        removeRun(attempt);
        if (loss->recorded) {
            release(loss->requests);
        } else {
            loss->heldReleases.push_back(std::move(release));
        }
        return;
    }
    const TimePoint now = currentTime();
    run->failedAt = now;
    run->release = std::move(release);
    m_timers.after(VerdictTimeout, m_loop, [this, attempt, now] { onVerdictTimeout(attempt, now); });
    resolveFailedRuns();
}

void QuarantineGuard::onEnded(AttemptId attempt, Fingerprint fingerprint, bool completed)
{
    if (completed) {
        m_trials.erase(attempt);
        std::erase_if(m_runs, [attempt](const Run &run) { return run.attempt == attempt; });
        std::vector<QuarantineCommand> commands = m_quarantine.onCompleted(fingerprint, wallTime());
        if (!commands.empty()) {
            m_metrics.countEvent("quarantine_cleared");
            proposeAll(std::move(commands));
        }
        return;
    }
    Run *run = findRun(attempt);
    if (run == nullptr || run->loss) {
        removeRun(attempt);
        return;
    }
    // The request may still crash the endpoint. The run is kept until a later report shows that the endpoint is alive.
    run->release = nullptr;
    if (!run->failedAt) {
        run->failedAt = currentTime();
    }
}

QuarantineGuard::Run *QuarantineGuard::findRun(AttemptId attempt)
{
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [attempt](const Run &run) { return run.attempt == attempt; });
    return found == m_runs.end() ? nullptr : &*found;
}

bool QuarantineGuard::isLost(const Run &run) const
{
    const auto report = m_reports->find(run.endpoint);
    return report == m_reports->end() || report->second.incarnation != run.incarnation;
}

bool QuarantineGuard::isAlive(const Run &run) const
{
    const auto report = m_reports->find(run.endpoint);
    return report != m_reports->end() && report->second.incarnation == run.incarnation && report->second.requestedAt > *run.failedAt;
}

// Resolves failed runs by the latest reports: either the endpoint was lost, or it has reported since the failure. Others stay pending.
void QuarantineGuard::resolveFailedRuns()
{
    std::vector<AttemptId> alive;
    std::set<std::pair<EndpointId, Incarnation>> lost;
    for (const Run &run : m_runs) {
        if (!run.failedAt || run.loss) {
            continue;
        }
        if (isLost(run)) {
            lost.emplace(run.endpoint, run.incarnation);
        } else if (isAlive(run)) {
            alive.push_back(run.attempt);
        }
    }
    for (const auto &[endpoint, incarnation] : lost) {
        recordLoss(endpoint, incarnation);
    }
    for (const AttemptId attempt : alive) {
        Run *run = findRun(attempt);
        if (run == nullptr) {
            continue;
        }
        const Release release = std::move(run->release);
        removeRun(attempt);
        if (release) {
            release(0);
        }
    }
}

void QuarantineGuard::recordLoss(const EndpointId &endpoint, const Incarnation &incarnation)
{
    const auto loss = std::make_shared<EndpointLoss>();
    std::vector<Fingerprint> running;
    for (Run &run : m_runs) {
        if (run.endpoint != endpoint || run.incarnation != incarnation || run.loss) {
            continue;
        }
        running.push_back(run.fingerprint);
        run.loss = loss;
        // Recording the loss ends the trial.
        m_trials.erase(run.attempt);
        if (run.release) {
            loss->heldReleases.push_back(std::move(run.release));
        }
    }
    std::erase_if(m_runs, [&loss](const Run &run) { return run.loss == loss && run.failedAt; });
    loss->requests = std::set<Fingerprint>(running.begin(), running.end()).size();
    m_metrics.countEvent("quarantine_suspicion");
    logEvent(Severity::Warning, "requests suspected of crashing an endpoint", {{"endpoint", endpoint.value}, {"requests", running.size()}});
    for (QuarantineCommand &command : m_quarantine.onEndpointLost(endpoint, incarnation, running, wallTime())) {
        propose(std::move(command), [this, loss](const std::optional<QuarantineOutcome> &) { releaseHeld(loss); });
    }
}

void QuarantineGuard::releaseHeld(const std::shared_ptr<EndpointLoss> &loss)
{
    loss->recorded = true;
    for (const Release &release : std::exchange(loss->heldReleases, {})) {
        release(loss->requests);
    }
}

// Releases the request after a timeout. The run is kept: it is still recorded as a suspect if its endpoint turns out to be lost.
void QuarantineGuard::onVerdictTimeout(AttemptId attempt, TimePoint failedAt)
{
    const auto found = std::find_if(
        m_runs.begin(), m_runs.end(), [&](const Run &run) { return run.attempt == attempt && run.failedAt == failedAt && run.release; });
    if (found == m_runs.end()) {
        return;
    }
    const Release release = std::exchange(found->release, nullptr);
    // Detaches the run, so that later exchanges of the attempt do not find it.
    found->attempt = AttemptId{~++m_detachedRuns};
    endTrial(attempt);
    release(0);
}

void QuarantineGuard::removeRun(AttemptId attempt)
{
    std::erase_if(m_runs, [attempt](const Run &run) { return run.attempt == attempt; });
    endTrial(attempt);
}

void QuarantineGuard::endTrial(AttemptId attempt)
{
    const auto found = m_trials.find(attempt);
    if (found == m_trials.end()) {
        return;
    }
    const Fingerprint fingerprint = found->second.fingerprint;
    m_trials.erase(found);
    proposeAll(m_quarantine.onCancelled(fingerprint, wallTime()));
}

void QuarantineGuard::propose(QuarantineCommand command, Reply reply)
{
    if (!m_port) {
        const QuarantineOutcome outcome = m_localRegister.apply(command);
        m_quarantine.updateReplica(std::make_shared<const QuarantineRegister>(m_localRegister), wallTime());
        reply(outcome);
        return;
    }
    const auto once = std::make_shared<Reply>(std::move(reply));
    const auto answer = [once](std::optional<QuarantineOutcome> outcome) {
        if (const Reply call = std::exchange(*once, nullptr)) {
            call(outcome);
        }
    };
    m_timers.after(CommitTimeout, m_loop, [answer] { answer(std::nullopt); });
    m_port(std::move(command), [answer](const std::variant<QuarantineOutcome, Refusal> &result) {
        const auto *outcome = std::get_if<QuarantineOutcome>(&result);
        answer(outcome == nullptr ? std::nullopt : std::optional(*outcome));
    });
}

void QuarantineGuard::proposeAll(std::vector<QuarantineCommand> commands)
{
    for (QuarantineCommand &command : commands) {
        propose(std::move(command), [](const std::optional<QuarantineOutcome> &) {});
    }
}

} // namespace Hemlockhill
