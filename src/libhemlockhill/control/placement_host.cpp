// Sends placement orders to engines and records the decisions behind them.
#include "hemlockhill/placement_host.h"

#include "hemlockhill/timer_service.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace Hemlockhill
{

namespace
{

struct ReasonCause {
    MoveReason reason;
    Cause cause;
};

constexpr std::array<ReasonCause, 10> ReasonCauses{{{MoveReason::NoCopy, Cause::Reachability},
                                                    {MoveReason::NewVersion, Cause::VersionChange},
                                                    {MoveReason::Drain, Cause::EndpointLeaving},
                                                    {MoveReason::Pin, Cause::Pinned},
                                                    {MoveReason::SecondDataCentre, Cause::SecondDataCentre},
                                                    {MoveReason::MinimumCopies, Cause::Operator},
                                                    {MoveReason::Demand, Cause::RisingDemand},
                                                    {MoveReason::Surplus, Cause::FallingDemand},
                                                    {MoveReason::Room, Cause::MemoryNeeded},
                                                    {MoveReason::Obsolete, Cause::VersionChange}}};

// Maps placement's reason text of a move to a cause. Other reasons are those of adapter loads, which follow demand.
Cause causeOf(const std::string &reason)
{
    const auto found = std::find_if(
        ReasonCauses.begin(), ReasonCauses.end(), [&reason](const ReasonCause &entry) { return toText(entry.reason) == reason; });
    return found == ReasonCauses.end() ? Cause::RisingDemand : found->cause;
}

DecisionKind kindOf(const Order &order)
{
    const bool isModel = order.item.adapter.empty();
    if (order.action == OrderAction::Load) {
        return isModel ? DecisionKind::ModelLoad : DecisionKind::AdapterLoad;
    }
    return isModel ? DecisionKind::ModelEvict : DecisionKind::AdapterEvict;
}

OrderRow rowOf(const Order &order)
{
    OrderRow row;
    row.order = order.id.value;
    row.endpoint = order.endpoint;
    row.action = order.action == OrderAction::Load ? OrderRow::Action::Load : OrderRow::Action::Evict;
    row.stage = OrderRow::Stage::Committed;
    row.model = order.item.model;
    row.adapter = order.item.adapter;
    row.version = order.item.version;
    row.bytes = order.bytes;
    row.fencing = order.fencing;
    return row;
}

ResidencyRow::Phase phaseOf(const std::string &phase)
{
    if (phase == "loading") {
        return ResidencyRow::Phase::Loading;
    }
    return phase == "evicting" ? ResidencyRow::Phase::Evicting : ResidencyRow::Phase::Loaded;
}

// Returns the declared size of a model or adapter, or zero if it is no longer declared.
Bytes declaredBytes(const RegionState &state, const MemoryItem &item)
{
    const auto adapter = state.adapters.find(item.adapter);
    if (adapter != state.adapters.end()) {
        return adapter->second.weights;
    }
    const auto model = state.models.find(item.model);
    return model == state.models.end() ? Bytes{} : model->second.weights + model->second.kvReserve;
}

} // namespace

PlacementHost::PlacementHost(const Settings &settings, Metrics &metrics, boost::asio::io_context &loop, PlacementHostHooks hooks)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_pool(loop, settings.endpoints.idleConnections)
    , m_controller(controllerOptions(settings.control))
{
}

void PlacementHost::onLeadership(std::optional<FencingNumber> term, TimePoint now)
{
    executeActions(m_controller.onLeadership(term, now));
}

void PlacementHost::onState(const RegionState &state)
{
    m_regionSettings = state.settings;
    updateRateLimits();
    m_controller.onState(state);
}

void PlacementHost::onSettings(const ControlSettings &control)
{
    m_settings.control = control;
    updateRateLimits();
}

void PlacementHost::updateRateLimits()
{
    const ControllerOptions options = controllerOptions(withRegionSettings(m_settings.control, m_regionSettings));
    m_controller.updateOptions(options.loads, options.placement);
}

void PlacementHost::onReports(const EndpointReports &reports, TimePoint now)
{
    executeActions(m_controller.onReports(reports, now));
}

void PlacementHost::onCommitted(const OrderCommand &command, TimePoint now)
{
    executeActions(m_controller.onCommitted(command, now));
}

void PlacementHost::tick(TimePoint now)
{
    executeActions(m_controller.tick(now));
}

void PlacementHost::executeActions(PlacementActions actions)
{
    for (PlacementAction &action : actions) {
        if (auto *proposal = std::get_if<ProposeOrderCommand>(&action)) {
            if (const auto *commit = std::get_if<CommitOrder>(&proposal->command)) {
                recordOrder(commit->order, std::exchange(m_plannedReason, {}), currentTime());
            }
            m_hooks.propose(std::move(proposal->command));
        } else if (const auto *order = std::get_if<SendOrder>(&action)) {
            send(*order);
        } else {
            recordJournalLine(std::get<JournalLine>(action));
        }
    }
}

void PlacementHost::send(const SendOrder &action)
{
    if (!m_hooks.maySendOrders()) {
        m_metrics.countEvent("order_held_back");
        return;
    }
    struct Answer {
        unsigned status = 0;
        std::string body;
    };
    const auto answer = std::make_shared<Answer>();
    const OrderId id = action.order.id;
    ExchangeLimits limits;
    limits.connect = m_settings.endpoints.connectTimeout;
    limits.firstByte = m_settings.endpoints.betweenBytesTimeout;
    limits.reusedFirstByte = m_settings.endpoints.betweenBytesTimeout;
    limits.betweenBytes = m_settings.endpoints.betweenBytesTimeout;
    ExchangeHooks hooks;
    hooks.onHead = [answer](const ResponseHead &head) { answer->status = head.status; };
    hooks.onBody = [answer](const std::string &bytes) { answer->body += bytes; };
    hooks.onEnd = [this, id, answer] { handleAnswer(id, parseOrderAnswer(answer->status, answer->body)); };
    hooks.onFailed = [this, id](const ExchangeFailure &) { handleAnswer(id, OrderUnanswered{}); };
    m_metrics.countEvent("order_sent");
    m_pool.start(action.address, orderRequest(action.order), limits, ConnectionChoice::FreshOnly, std::move(hooks));
}

void PlacementHost::handleAnswer(const OrderId &order, const OrderAnswer &answer)
{
    if (!std::holds_alternative<OrderAccepted>(answer)) {
        m_metrics.countEvent("order_not_accepted");
    }
    executeActions(m_controller.onOrderAnswer(order, answer, currentTime()));
}

void PlacementHost::recordOrder(const Order &order, const std::string &reason, TimePoint at)
{
    Decision decision;
    decision.time = at;
    decision.kind = kindOf(order);
    decision.subjects.model = order.item.model;
    decision.subjects.adapter = order.item.adapter;
    decision.subjects.endpoint = order.endpoint;
    decision.cause = causeOf(reason);
    decision.detail = order.item.version.value + ", " + reason;
    switch (decision.kind) {
    case DecisionKind::ModelLoad:
        ++m_moves.modelLoads;
        break;
    case DecisionKind::ModelEvict:
        ++m_moves.modelEvicts;
        break;
    case DecisionKind::AdapterLoad:
        ++m_moves.adapterLoads;
        break;
    default:
        ++m_moves.adapterEvicts;
        break;
    }
    m_metrics.countEvent("placement_" + std::string(Hemlockhill::toText(decision.kind)));
    m_hooks.record(std::move(decision));
}

void PlacementHost::recordJournalLine(const JournalLine &line)
{
    Decision decision;
    decision.time = line.at;
    decision.detail = line.subject + ": " + line.reason;
    switch (line.kind) {
    case JournalKind::Planned:
        m_plannedReason = line.reason;
        return;
    case JournalKind::Sent:
    case JournalKind::Observed:
    case JournalKind::TakenOver:
        return;
    case JournalKind::NoRoom:
        decision.kind = DecisionKind::OrderFailed;
        decision.cause = Cause::MemoryNeeded;
        decision.reason = Reason::InsufficientMemory;
        break;
    case JournalKind::EndpointReturned:
        decision.kind = DecisionKind::EndpointReturned;
        decision.subjects.endpoint = EndpointId{line.subject};
        decision.cause = Cause::Reported;
        break;
    case JournalKind::Failed:
    case JournalKind::Abandoned:
        decision.kind = DecisionKind::OrderFailed;
        decision.cause = line.kind == JournalKind::Failed ? Cause::Refusal : Cause::Timeout;
        break;
    }
    m_hooks.record(std::move(decision));
}

void PlacementHost::describe(OperatorView &view) const
{
    for (const auto &[id, order] : m_controller.orderBook().openOrders()) {
        view.orders.push_back(rowOf(order));
    }
    for (const PlacementRow &row : m_controller.placement()) {
        view.residency.push_back(
            {row.endpoint, row.item.model, row.item.adapter, row.item.version, declaredBytes(view.state, row.item), phaseOf(row.phase)});
    }
    for (const MemoryRow &row : m_controller.memory()) {
        view.charges.push_back({row.endpoint, row.resident + row.pending});
    }
    view.moves = m_moves;
}

std::vector<PlanStep> PlacementHost::plan(const RegionState &after, TimePoint now) const
{
    std::vector<PlanStep> steps;
    for (const PlacementMove &move : m_controller.plannedMoves(after, now)) {
        const auto model = after.models.find(move.model);
        PlanStep step;
        step.action = move.load ? OrderRow::Action::Load : OrderRow::Action::Evict;
        step.endpoint = move.runner;
        step.model = move.model;
        if (model != after.models.end()) {
            step.version = model->second.version;
            step.bytes = model->second.weights + model->second.kvReserve;
        }
        steps.push_back(step);
    }
    return steps;
}

} // namespace Hemlockhill
