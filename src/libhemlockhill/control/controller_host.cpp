// Control plane of the region on one VM.
#include "hemlockhill/controller_host.h"

#include "hemlockhill/language.h"
#include "hemlockhill/log.h"
#include "hemlockhill/once_register.h"
#include "hemlockhill/timer_service.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

// Interval at which the leader passes demand to placement and checks for lost nodes.
constexpr Duration DemandPeriod = std::chrono::seconds(1);
// Interval at which the leader proposes to remove idempotency keys that are older than the retention.
constexpr Duration ExpiryPeriod = std::chrono::seconds(10);

ControllerStatus::Role roleOf(VoterRole role)
{
    switch (role) {
    case VoterRole::Follower:
        return ControllerStatus::Role::Follower;
    case VoterRole::PreCandidate:
        return ControllerStatus::Role::PreCandidate;
    case VoterRole::Candidate:
        return ControllerStatus::Role::Candidate;
    case VoterRole::Leader:
        return ControllerStatus::Role::Leader;
    case VoterRole::Learner:
        break;
    }
    return ControllerStatus::Role::Learner;
}

DataCentreId dataCentreOf(const Settings &settings, const VmId &vm)
{
    for (const PeerSettings &peer : settings.peers.others) {
        if (peer.vm == vm) {
            return peer.dataCentre;
        }
    }
    return vm == settings.vm ? settings.dataCentre : DataCentreId{};
}

WallTime wallTime()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace

ControllerHost::ControllerHost(const Settings &settings, Metrics &metrics, boost::asio::io_context &loop, ControllerHostHooks hooks)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_loop(loop)
    , m_controller(settings, metrics, controllerHooks(std::move(hooks)))
    , m_storage(StorageThreadSettings{*settings.dataFolder, foundersOf(settings)},
                metrics,
                [this](StorageEvent event) {
                    boost::asio::post(
                        m_loop, [this, event = std::move(event)]() mutable { m_controller.onStorage(std::move(event), currentTime()); });
                })
    , m_placement(m_settings, metrics, loop, placementHooks())
{
}

ControllerHooks ControllerHost::controllerHooks(ControllerHostHooks hooks)
{
    ControllerHooks result;
    result.sendConsensus = std::move(hooks.sendConsensus);
    result.requestIdentity = std::move(hooks.requestIdentity);
    // The voters of this control plane are fixed by the settings.
    result.requestLeave = [](const VmId &, const LeaveRequest &) {};
    result.persist = [this](StorageOpening opening, ConsensusActions actions) { m_storage.write(opening, std::move(actions)); };
    result.saveInitialMembership = [this](StorageOpening opening, VoterMembership membership) {
        m_storage.saveInitialMembership(opening, std::move(membership));
    };
    result.leadershipChanged = [this](std::optional<Term> term) { onLeadership(term); };
    result.applied = [this](const ReplicatedCommand &command) { onApplied(command); };
    result.restored = [this] {
        m_placement.restore(m_controller.state().orders());
        m_placement.onState(m_controller.state().region().state());
    };
    // The declared state of this control plane has no deployments.
    result.deploymentChanged = [](const DeploymentDocument &) {};
    return result;
}

PlacementHostHooks ControllerHost::placementHooks()
{
    PlacementHostHooks result;
    // Posted, because this may be called while the controller applies the command that caused the proposal.
    result.propose = [this](OrderCommand command) {
        boost::asio::post(m_loop, [this, command = std::move(command)] { propose(command); });
    };
    result.maySendOrders = [this] { return m_controller.leads(currentTime()); };
    result.record = [this](Decision decision) { m_journal.record(std::move(decision)); };
    return result;
}

void ControllerHost::propose(const OrderCommand &command)
{
    // The outcome is ignored: placement proposes an uncommitted order again, or drops it when leadership is lost.
    m_controller.submit(
        encodePayload(ReplicatedMachine::Orders, encode(command)), [](const SubmitReply &) {}, currentTime());
}

void ControllerHost::onLeadership(std::optional<Term> term)
{
    m_placement.onLeadership(term ? std::optional(FencingNumber{term->value}) : std::nullopt, currentTime());
    if (term) {
        m_figures = RegionFigures();
        m_lostNodes.clear();
        record(DecisionKind::LeaderElected, Cause::Timeout, m_settings.vm, "term " + std::to_string(term->value));
    }
}

void ControllerHost::onApplied(const ReplicatedCommand &command)
{
    if (command.machine == ReplicatedMachine::Orders) {
        m_placement.onCommitted(decodeOrderCommand(command.command), currentTime());
    }
    if (command.machine == ReplicatedMachine::Region) {
        m_placement.onState(m_controller.state().region().state());
        record(DecisionKind::CommandAccepted, Cause::Operator, VmId{}, format(decodeCommandRequest(command.command).command));
    }
}

void ControllerHost::tick(TimePoint now)
{
    m_controller.tick(now);
    if (!m_controller.leads(now)) {
        return;
    }
    m_placement.tick(now);
    if (now - m_demandReportedAt >= DemandPeriod) {
        reportDemand(now);
        recordNodeChanges(now);
    }
    if (now - m_expiryProposedAt >= ExpiryPeriod) {
        m_expiryProposedAt = now;
        const auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.control.keyRetention);
        const OnceCommand expiry{wallTime(), {ExpireKeys{retention}}};
        m_controller.submit(
            encodePayload(ReplicatedMachine::Once, encode(expiry)), [](const SubmitReply &) {}, now);
    }
}

void ControllerHost::reportDemand(TimePoint now)
{
    DemandSample sample;
    sample.span = m_demandReportedAt == TimePoint{} ? DemandPeriod : now - m_demandReportedAt;
    m_demandReportedAt = now;
    for (ModelDemandCount &count : m_figures.takeDemand()) {
        // Requests may specify an adapter by its name instead of its model.
        const AdapterId adapter{count.model.value};
        if (m_controller.state().region().state().adapters.contains(adapter)) {
            sample.adapters.push_back({adapter, count.requests});
        } else {
            sample.models.push_back(std::move(count));
        }
    }
    m_placement.onDemand(sample, now);
}

void ControllerHost::recordNodeChanges(TimePoint now)
{
    for (const auto &[vm, lease] : m_controller.leases()->nodes()) {
        const bool isLost = now >= lease.leaseUntil;
        if (isLost && m_lostNodes.insert(vm).second) {
            record(DecisionKind::NodeLost, Cause::LeaseExpired, vm, {});
        } else if (!isLost && m_lostNodes.erase(vm) > 0) {
            record(DecisionKind::NodeReturned, Cause::Reported, vm, {});
        }
    }
    m_metrics.setGauge("nodes_lost", static_cast<double>(m_lostNodes.size()));
}

void ControllerHost::record(DecisionKind kind, Cause cause, const VmId &vm, std::string detail)
{
    Decision decision;
    decision.time = currentTime();
    decision.kind = kind;
    decision.cause = cause;
    decision.subjects.vm = vm;
    decision.detail = std::move(detail);
    m_journal.record(std::move(decision));
}

void ControllerHost::follow(const VmId &node, const FollowRequest &request, FollowAnswer answer, TimePoint now)
{
    if (!request.figures.empty() && m_controller.leads(now)) {
        try {
            m_figures.report(node, decodeFigures(request.figures));
        } catch (const DecodeError &error) {
            m_metrics.countEvent("figures_refused");
            logEvent(Severity::Warning, "cannot decode figures of a node", {{"vm", node.value}, {"problem", error.what()}});
        }
    }
    m_controller.follow(node, request, std::move(answer), now);
}

void ControllerHost::onReports(const EndpointReports &reports, TimePoint now)
{
    m_placement.onReports(reports, now);
}

void ControllerHost::describe(OperatorView &view) const
{
    view.journal = &m_journal;
    view.performance = m_figures.performance();
    m_placement.describe(view);
    if (const LeaseRegister *leases = m_controller.leases()) {
        for (const auto &[vm, lease] : leases->nodes()) {
            view.nodes.push_back({vm, dataCentreOf(m_settings, vm), lease.confirmed, lease.leaseUntil - view.now, false, 0});
        }
    }
    const Consensus *consensus = m_controller.consensus();
    if (consensus == nullptr) {
        return;
    }
    const auto addController = [&](const VoterId &voter, ControllerStatus::Role role) {
        ControllerStatus status;
        status.vm = vmOf(voter);
        status.role = voter == consensus->self() ? roleOf(consensus->role()) : role;
        status.term = consensus->term().value;
        status.lastIndex =
            voter == consensus->self() ? consensus->lastIndex().value : consensus->matchIndex(voter).value_or(LogIndex{}).value;
        status.commitIndex = consensus->commitIndex().value;
        view.controllers.push_back(status);
    };
    for (const VoterId &voter : consensus->membership().voters) {
        addController(voter, ControllerStatus::Role::Follower);
    }
    for (const VoterId &learner : consensus->membership().learners) {
        addController(learner, ControllerStatus::Role::Learner);
    }
}

} // namespace Hemlockhill
