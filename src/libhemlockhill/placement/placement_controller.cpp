// Event handling of the placement controller and the life cycle of its orders.
#include "hemlockhill/placement_controller.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t JournalLimit = 2000;
// Interval after which a command that was not seen committed is proposed again.
constexpr Duration ProposalTimeout = std::chrono::seconds(2);

std::string subjectOf(const Order &order)
{
    return std::string(toText(order.action)) + " " + toText(order.item) + " on " + order.endpoint.value;
}

} // namespace

ControllerOptions controllerOptions(const ControlSettings &settings)
{
    ControllerOptions options;
    options.loads = {settings.loadsPerSecond, settings.concurrentLoads, settings.concurrentAdapterLoads};
    options.placement.attainmentWeight = settings.attainmentWeight;
    options.placement.moveWeight = settings.moveWeight;
    options.bounds.maxFormerLeaderTime = std::max(settings.lease, settings.electionTimeout) * 2;
    return options;
}

PlacementController::PlacementController(const ControllerOptions &options)
    : m_options(options)
    , m_ledger(options.bounds)
    , m_budget(options.loads)
    , m_demand(options.demand)
{
}

void PlacementController::updateOptions(const LoadLimits &loads, const PlacementOptions &placement)
{
    m_options.loads = loads;
    m_options.placement = placement;
    m_budget.setLimits(loads);
}

PlacementActions PlacementController::onLeadership(std::optional<FencingNumber> term, TimePoint now)
{
    m_leading = false;
    m_elected = term.has_value();
    m_open.clear();
    PlacementActions actions;
    if (term) {
        m_fencing = std::max(*term, m_book.fencing() + FencingNumber{1});
        m_proposedFencingAt = now;
        actions.push_back(ProposeOrderCommand{TakeFencing{m_fencing}});
    }
    return actions;
}

void PlacementController::onState(const RegionState &state)
{
    m_state = state;
    m_reportedShortages.clear();
    m_nextPlan = TimePoint{};
    for (const auto &[id, endpoint] : state.endpoints) {
        if (EndpointLedger *ledger = m_ledger.find(id)) {
            ledger->declare(endpoint.memory, endpoint.fencing);
        }
    }
}

PlacementActions PlacementController::onReports(const EndpointReports &reports, TimePoint now)
{
    PlacementActions actions;
    if (!m_leading) {
        return actions;
    }
    for (const auto &[id, report] : reports) {
        const auto declared = m_state.endpoints.find(id);
        if (declared == m_state.endpoints.end() || declared->second.kind != EndpointKind::Runner) {
            continue;
        }
        EndpointLedger &ledger = m_ledger.at(id, now);
        ledger.declare(declared->second.memory, declared->second.fencing);
        const Incarnation before = ledger.incarnation();
        ledger.report(report);
        if (!before.empty() && ledger.incarnation() != before) {
            addJournalLine(JournalKind::EndpointReturned,
                           id.value,
                           "incarnation " + ledger.incarnation().value + " replaces " + before.value,
                           now,
                           actions);
            m_nextPlan = TimePoint{};
        }
        m_reports[id] = report;
    }
    closeEndedOrders(now, actions);
    return actions;
}

void PlacementController::onDemand(const DemandSample &sample, TimePoint now)
{
    m_demand.sample(sample, now);
}

PlacementActions PlacementController::onCommitted(const OrderCommand &command, TimePoint now)
{
    PlacementActions actions;
    const OrderCommandOutcome outcome = m_book.apply(command);
    if (const auto *take = std::get_if<TakeFencing>(&command)) {
        if (outcome == OrderCommandOutcome::Applied) {
            m_leading = m_elected && take->fencing == m_fencing;
            m_open.clear();
        }
        if (outcome == OrderCommandOutcome::Applied && m_leading) {
            takeOver(now, actions);
        }
        return actions;
    }
    if (!m_leading) {
        return actions;
    }
    if (const auto *commit = std::get_if<CommitOrder>(&command)) {
        onOrderCommitted(commit->order, outcome, now, actions);
    } else if (const auto *closed = std::get_if<CloseOrder>(&command); closed != nullptr && outcome == OrderCommandOutcome::Applied) {
        const auto found = m_open.find(closed->order);
        if (found != m_open.end()) {
            if (EndpointLedger *ledger = m_ledger.find(found->second.order.endpoint)) {
                ledger->release(closed->order);
            }
            m_open.erase(found);
        }
    }
    return actions;
}

// Orders of former leaders may still be in transit, and a former leader that has not noticed its loss of leadership may still send some.
void PlacementController::takeOver(TimePoint now, PlacementActions &actions)
{
    m_ledger.clear();
    m_reports.clear();
    m_ordersBlockedUntil.clear();
    m_nextSequence = 1;
    m_nextPlan = now;
    const TimePoint latestArrival = now + m_options.bounds.maxFormerLeaderTime + m_options.bounds.maxOrderDelay;
    for (const auto &[id, endpoint] : m_state.endpoints) {
        if (endpoint.kind == EndpointKind::Runner) {
            m_ledger.at(id, now).declare(endpoint.memory, endpoint.fencing);
        }
    }
    for (const auto &[id, order] : m_book.openOrders()) {
        EndpointLedger &ledger = m_ledger.at(order.endpoint, now);
        ledger.charge(order, now);
        ledger.setLatestArrival(id, latestArrival);
        OpenOrder &open = m_open[id];
        open.order = order;
        open.sendCount = m_options.sendLimit;
        open.sentAt = now;
        open.loadDeadline = latestArrival;
        open.lifecycle.handle(OrderEvent::Commit);
        open.lifecycle.handle(OrderEvent::Send);
        open.lifecycle.handle(OrderEvent::Accept);
        const auto endpoint = m_state.endpoints.find(order.endpoint);
        if (endpoint != m_state.endpoints.end() && endpoint->second.fencing == FencingMode::Ignored) {
            m_ordersBlockedUntil[order.endpoint] = latestArrival;
        }
        addJournalLine(JournalKind::TakenOver,
                       subjectOf(order),
                       "sent by a former leader with fencing number " + std::to_string(order.fencing.value),
                       now,
                       actions);
    }
}

// Sends a committed order. The state may have changed since the order was proposed: an order that is no longer valid or safe is withdrawn
// without being sent.
void PlacementController::onOrderCommitted(const Order &order, OrderCommandOutcome outcome, TimePoint now, PlacementActions &actions)
{
    const auto found = m_open.find(order.id);
    if (found == m_open.end() || found->second.lifecycle.phase() != OrderPhase::Planned) {
        return;
    }
    OpenOrder &open = found->second;
    EndpointLedger &ledger = m_ledger.at(order.endpoint, now);
    if (outcome != OrderCommandOutcome::Applied) {
        open.lifecycle.handle(OrderEvent::Withdraw);
        ledger.release(order.id);
        addJournalLine(JournalKind::Abandoned, subjectOf(order), "not committed: rejected by the order book", now, actions);
        m_open.erase(found);
        return;
    }
    open.lifecycle.handle(OrderEvent::Commit);
    if (order.incarnation != ledger.incarnation() || !mayOrder(order.endpoint, now) || !staysServed(order, now)) {
        open.lifecycle.handle(OrderEvent::Withdraw);
        proposeClose(open, OrderPhase::Abandoned, now, actions);
        return;
    }
    send(open, now, actions);
}

PlacementActions PlacementController::onOrderAnswer(const OrderId &order, const OrderAnswer &answer, TimePoint now)
{
    PlacementActions actions;
    const auto found = m_open.find(order);
    if (!m_leading || found == m_open.end()) {
        return actions;
    }
    OpenOrder &open = found->second;
    if (std::holds_alternative<OrderAccepted>(answer)) {
        if (open.lifecycle.handle(OrderEvent::Accept)) {
            open.loadDeadline = now + m_options.bounds.maxLoadTime;
        }
    } else if (!std::holds_alternative<OrderUnanswered>(answer)) {
        if (open.lifecycle.handle(OrderEvent::Refuse)) {
            addJournalLine(JournalKind::Failed, subjectOf(open.order), "refused by the engine", now, actions);
            m_nextPlan = now;
        }
    }
    return actions;
}

PlacementActions PlacementController::tick(TimePoint now)
{
    PlacementActions actions;
    if (!m_elected) {
        return actions;
    }
    if (!m_leading) {
        if (now - m_proposedFencingAt >= ProposalTimeout) {
            m_fencing = std::max(m_fencing, m_book.fencing() + FencingNumber{1});
            m_proposedFencingAt = now;
            actions.push_back(ProposeOrderCommand{TakeFencing{m_fencing}});
        }
        return actions;
    }
    closeEndedOrders(now, actions);
    repropose(now, actions);
    resend(now, actions);
    if (now >= m_nextPlan) {
        m_nextPlan = now + m_options.planPeriod;
        plan(now, actions);
    }
    return actions;
}

void PlacementController::openOrder(OrderAction action,
                                    const EndpointId &endpoint,
                                    const MemoryItem &item,
                                    Bytes bytes,
                                    const std::string &reason,
                                    TimePoint now,
                                    PlacementActions &actions)
{
    EndpointLedger &ledger = m_ledger.at(endpoint, now);
    const OrderId id{"o-" + std::to_string(m_fencing.value) + "-" + std::to_string(m_nextSequence)};
    Order order{id, m_fencing, m_nextSequence++, endpoint, ledger.incarnation(), action, item, bytes};
    ledger.charge(order, now);
    OpenOrder &open = m_open[id];
    open.order = order;
    open.proposedAt = now;
    addJournalLine(JournalKind::Planned, subjectOf(order), reason, now, actions);
    actions.push_back(ProposeOrderCommand{CommitOrder{std::move(order)}});
}

void PlacementController::send(OpenOrder &open, TimePoint now, PlacementActions &actions)
{
    const auto endpoint = m_state.endpoints.find(open.order.endpoint);
    if (endpoint == m_state.endpoints.end()) {
        return;
    }
    open.lifecycle.handle(OrderEvent::Send);
    open.sendCount += 1;
    open.sentAt = now;
    m_ledger.at(open.order.endpoint, now).setLatestArrival(open.order.id, now + m_options.bounds.maxOrderDelay);
    actions.push_back(SendOrder{open.order.endpoint, endpoint->second.address, open.order});
}

void PlacementController::proposeClose(OpenOrder &open, OrderPhase outcome, TimePoint now, PlacementActions &actions)
{
    if (!open.closingOutcome) {
        const JournalKind kind = outcome == OrderPhase::Observed ? JournalKind::Observed : JournalKind::Abandoned;
        addJournalLine(kind, subjectOf(open.order), std::string(toText(outcome)), now, actions);
    }
    open.closingOutcome = outcome;
    open.proposedAt = now;
    actions.push_back(ProposeOrderCommand{CloseOrder{m_fencing, open.order.id, outcome}});
}

void PlacementController::closeEndedOrders(TimePoint now, PlacementActions &actions)
{
    for (auto &[id, open] : m_open) {
        if (open.closingOutcome || open.lifecycle.phase() == OrderPhase::Planned) {
            continue;
        }
        const EndpointLedger &ledger = m_ledger.at(open.order.endpoint, now);
        const OrderEffect effect = ledger.effect(id);
        const bool withdrawnEndpoint = !m_state.endpoints.contains(open.order.endpoint);
        const LedgerCharge &charge = ledger.charges().at(id);
        const bool isExpired =
            withdrawnEndpoint && charge.latestArrival != TimePoint::max() && now > charge.latestArrival + m_options.bounds.maxLoadTime;
        if (effect == OrderEffect::Observed) {
            open.lifecycle.handle(OrderEvent::Observe);
            proposeClose(open, OrderPhase::Observed, now, actions);
            m_nextPlan = now;
        } else if (effect != OrderEffect::Possible || isExpired) {
            const bool failed = open.lifecycle.phase() == OrderPhase::Failed;
            open.lifecycle.handle(OrderEvent::Expire);
            proposeClose(open, failed ? OrderPhase::Failed : OrderPhase::Abandoned, now, actions);
            m_nextPlan = now;
        }
    }
}

void PlacementController::repropose(TimePoint now, PlacementActions &actions)
{
    for (auto &[id, open] : m_open) {
        if (now - open.proposedAt < ProposalTimeout) {
            continue;
        }
        if (open.closingOutcome) {
            proposeClose(open, *open.closingOutcome, now, actions);
        } else if (open.lifecycle.phase() == OrderPhase::Planned) {
            open.proposedAt = now;
            actions.push_back(ProposeOrderCommand{CommitOrder{open.order}});
        }
    }
}

void PlacementController::resend(TimePoint now, PlacementActions &actions)
{
    for (auto &[id, open] : m_open) {
        const OrderPhase phase = open.lifecycle.phase();
        if (open.closingOutcome) {
            continue;
        }
        if (phase == OrderPhase::Sent && now - open.sentAt >= m_options.resendPeriod) {
            resendOrExpire(open, now, actions);
        } else if (phase == OrderPhase::Acknowledged && now >= open.loadDeadline) {
            open.lifecycle.handle(OrderEvent::Expire);
        }
    }
}

void PlacementController::resendOrExpire(OpenOrder &open, TimePoint now, PlacementActions &actions)
{
    const bool sameIncarnation = m_ledger.at(open.order.endpoint, now).incarnation() == open.order.incarnation;
    if (open.sendCount < m_options.sendLimit && sameIncarnation && mayOrder(open.order.endpoint, now) && staysServed(open.order, now)) {
        send(open, now, actions);
        return;
    }
    open.lifecycle.handle(OrderEvent::Expire);
    addJournalLine(
        JournalKind::Abandoned, subjectOf(open.order), "no answer; stays charged until it can no longer take effect", now, actions);
}

// A copy of a model may be evicted only while another copy serves that has no open order.
bool PlacementController::staysServed(const Order &order, TimePoint now) const
{
    if (order.action == OrderAction::Load || !order.item.adapter.empty() || !m_state.models.contains(order.item.model)) {
        return true;
    }
    return std::any_of(m_ledger.endpoints().begin(), m_ledger.endpoints().end(), [&](const auto &entry) {
        return entry.first != order.endpoint && serves(entry.first, order.item.model, now);
    });
}

const PlacementController::OpenOrder *PlacementController::openFor(const EndpointId &endpoint, const MemoryItem &item) const
{
    for (const auto &[id, open] : m_open) {
        if (open.order.endpoint == endpoint && open.order.item == item) {
            return &open;
        }
    }
    return nullptr;
}

bool PlacementController::conflicts(const EndpointId &endpoint, OrderAction action, const MemoryItem &item) const
{
    return std::any_of(m_open.begin(), m_open.end(), [&](const auto &entry) {
        const Order &order = entry.second.order;
        return order.endpoint == endpoint && touchSameMemory(order.action, order.item, action, item);
    });
}

bool PlacementController::reporting(const EndpointId &endpoint, TimePoint now) const
{
    const EndpointLedger *ledger = m_ledger.find(endpoint);
    return ledger != nullptr && ledger->isUpToDate() && now - *ledger->lastReport() <= m_options.reportTimeout;
}

bool PlacementController::mayOrder(const EndpointId &endpoint, TimePoint now) const
{
    const auto blocked = m_ordersBlockedUntil.find(endpoint);
    return reporting(endpoint, now) && m_state.endpoints.contains(endpoint)
           && (blocked == m_ordersBlockedUntil.end() || now > blocked->second);
}

// With an open order for a copy, even one to load it, it is not certain that the copy stays.
bool PlacementController::serves(const EndpointId &endpoint, const ModelId &model, TimePoint now) const
{
    if (!reporting(endpoint, now)) {
        return false;
    }
    const auto &contents = m_ledger.find(endpoint)->contents();
    return std::any_of(contents.begin(), contents.end(), [&](const auto &entry) {
        const MemoryItem &item = entry.first;
        return item.model == model && item.adapter.empty() && openFor(endpoint, item) == nullptr
               && entry.second.lastSeen == *m_ledger.find(endpoint)->lastReport();
    });
}

std::uint32_t PlacementController::loadsInFlight(bool adapters, TimePoint now) const
{
    return static_cast<std::uint32_t>(std::count_if(m_open.begin(), m_open.end(), [&](const auto &entry) {
        const OpenOrder &open = entry.second;
        const OrderPhase phase = open.lifecycle.phase();
        const bool ended = phase == OrderPhase::Observed || phase == OrderPhase::Failed || phase == OrderPhase::Abandoned;
        const EndpointLedger *ledger = m_ledger.find(open.order.endpoint);
        const bool resident = ledger != nullptr && ledger->contents().contains(open.order.item);
        return open.order.action == OrderAction::Load && open.order.item.adapter.empty() != adapters && !ended && !resident
               && reporting(open.order.endpoint, now);
    }));
}

void PlacementController::addJournalLine(
    JournalKind kind, const std::string &subject, const std::string &reason, TimePoint now, PlacementActions &actions)
{
    JournalLine line{kind, subject, reason, now};
    m_journal.push_back(line);
    if (m_journal.size() > JournalLimit) {
        m_journal.pop_front();
    }
    actions.push_back(std::move(line));
}

} // namespace Hemlockhill
