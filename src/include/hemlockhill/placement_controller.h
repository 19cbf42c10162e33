// Hosts placement on the controllers. Takes declared state, reports and demand; emits orders and journal lines. Every replica applies the
// committed order commands and so holds the order book; only the leader emits actions.
#pragma once

#include "hemlockhill/demand.h"
#include "hemlockhill/engine_api.h"
#include "hemlockhill/load_budget.h"
#include "hemlockhill/memory_ledger.h"
#include "hemlockhill/order_book.h"
#include "hemlockhill/placement.h"
#include "hemlockhill/region_state.h"
#include "hemlockhill/settings.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// To be submitted to the replicated log. Once committed, it must be passed to onCommitted() on every replica.
struct ProposeOrderCommand {
    OrderCommand command;
};

// To be sent with orderRequest(). The answer, or OrderUnanswered, must be passed to onOrderAnswer().
struct SendOrder {
    EndpointId endpoint;
    Address address;
    Order order;
};

enum class JournalKind { Planned, Sent, Observed, Failed, Abandoned, NoRoom, EndpointReturned, TakenOver };

// A decision or event and its reason, for `explain`.
struct JournalLine {
    JournalKind kind = JournalKind::Planned;
    std::string subject;
    std::string reason;
    TimePoint at;
};

using PlacementAction = std::variant<ProposeOrderCommand, SendOrder, JournalLine>;
using PlacementActions = std::vector<PlacementAction>;

struct ControllerOptions {
    OrderBounds bounds;
    LoadLimits loads;
    DemandOptions demand;
    PlacementOptions placement;
    // Interval after which an unanswered order is sent again.
    Duration resendPeriod = std::chrono::seconds(1);
    std::uint32_t sendLimit = 4;
    // An endpoint whose last report is older than this is treated as unavailable.
    Duration reportTimeout = std::chrono::seconds(5);
    Duration planPeriod = std::chrono::seconds(1);
    // An adapter without requests for this long may be evicted to free memory.
    Duration adapterIdleTimeout = std::chrono::minutes(10);
};

// Derives the load limits and the weights of the objective from the settings of a node.
ControllerOptions controllerOptions(const ControlSettings &settings);

// One row of `show placement`.
struct PlacementRow {
    MemoryItem item;
    EndpointId endpoint;
    DataCentreId dataCentre;
    // "serving", "loading", "evicting" or "unconfirmed".
    std::string phase;
};

// One row of `show memory`.
struct MemoryRow {
    EndpointId endpoint;
    Bytes limit;
    // Memory of the reported contents.
    Bytes resident;
    // Memory that open orders may still allocate.
    Bytes pending;
    std::size_t openOrders = 0;
    bool reporting = false;
    // No order is sent before this time, because an order of a former leader may still arrive.
    std::optional<TimePoint> ordersBlockedUntil;
};

// Turns placement decisions into orders to engines and follows each order until its outcome is known.
class PlacementController
{
public:
    explicit PlacementController(const ControllerOptions &options);

    // Sets the limits of the weight store and the options of the objective.
    void updateOptions(const LoadLimits &loads, const PlacementOptions &placement);
    // Sets the term that the host leads with, or nullopt when it no longer leads. The controller leads only once its fencing number has
    // been committed.
    PlacementActions onLeadership(std::optional<FencingNumber> term, TimePoint now);
    void onState(const RegionState &state);
    // Processes reports, with `requestedAt` set by the host. Endpoints that did not answer are left out.
    PlacementActions onReports(const EndpointReports &reports, TimePoint now);
    void onDemand(const DemandSample &sample, TimePoint now);
    // Applies a committed command. To be called on every replica, in log order.
    PlacementActions onCommitted(const OrderCommand &command, TimePoint now);
    PlacementActions onOrderAnswer(const OrderId &order, const OrderAnswer &answer, TimePoint now);
    // Handles timeouts and plans at the planning period. To be called periodically.
    PlacementActions tick(TimePoint now);

    const OrderBook &orderBook() const { return m_book; }
    void restoreOrderBook(const OrderBook &book) { m_book = book; }
    bool leading() const { return m_leading; }

    std::vector<PlacementRow> placement() const;
    std::vector<MemoryRow> memory() const;
    // Explains the placement of the model: its copies, its demand and the latest journal lines about it.
    std::vector<std::string> explain(const ModelId &model) const;
    // The moves that a changed state would cause at the current demand. Changes nothing.
    std::vector<PlacementMove> plannedMoves(const RegionState &changed, TimePoint now) const;

private:
    struct OpenOrder {
        Order order;
        OrderLifecycle lifecycle;
        std::uint32_t sendCount = 0;
        TimePoint proposedAt;
        TimePoint sentAt;
        // When an accepted load is given up.
        TimePoint loadDeadline = TimePoint::max();
        std::optional<OrderPhase> closingOutcome;
    };

    void takeOver(TimePoint now, PlacementActions &actions);
    void onOrderCommitted(const Order &order, OrderCommandOutcome outcome, TimePoint now, PlacementActions &actions);
    void openOrder(OrderAction action,
                   const EndpointId &endpoint,
                   const MemoryItem &item,
                   Bytes bytes,
                   const std::string &reason,
                   TimePoint now,
                   PlacementActions &actions);
    void send(OpenOrder &open, TimePoint now, PlacementActions &actions);
    void proposeClose(OpenOrder &open, OrderPhase outcome, TimePoint now, PlacementActions &actions);
    void closeEndedOrders(TimePoint now, PlacementActions &actions);
    void repropose(TimePoint now, PlacementActions &actions);
    void resend(TimePoint now, PlacementActions &actions);
    void resendOrExpire(OpenOrder &open, TimePoint now, PlacementActions &actions);
    bool staysServed(const Order &order, TimePoint now) const;
    const OpenOrder *openFor(const EndpointId &endpoint, const MemoryItem &item) const;
    bool conflicts(const EndpointId &endpoint, OrderAction action, const MemoryItem &item) const;

    void plan(TimePoint now, PlacementActions &actions);
    // Returns false when the limits of the weight store allow no more loads.
    bool issueMoves(const std::vector<PlacementMove> &moves, TimePoint now, PlacementActions &actions);
    bool issueLoad(const PlacementMove &move, TimePoint now, PlacementActions &actions);
    void issueEviction(const PlacementMove &move, TimePoint now, PlacementActions &actions);
    void
    evictModel(const EndpointId &endpoint, const MemoryItem &item, const std::string &reason, TimePoint now, PlacementActions &actions);
    bool evictIdleAdapter(const EndpointId &endpoint, const AdapterId &excepted, bool onlyIdle, TimePoint now, PlacementActions &actions);
    void planAdapters(TimePoint now, PlacementActions &actions);
    void planAdapter(const Adapter &adapter, const std::vector<EndpointId> &holders, TimePoint now, PlacementActions &actions);
    void planUndeclared(TimePoint now, PlacementActions &actions);
    bool isDeclared(const EndpointLedger &ledger, const MemoryItem &item) const;
    PlacementInput inputFor(const RegionState &state, TimePoint now) const;
    PlacementRunner runnerFor(const Endpoint &endpoint, TimePoint now) const;
    // The adapters that every copy of a model must hold.
    struct CopyAdapters {
        std::vector<const Adapter *> adapters;
        Bytes bytes;
    };
    bool loadedWithCopies(const Adapter &adapter, TimePoint now) const;
    std::map<ModelId, CopyAdapters> adaptersOfCopies(const RegionState &state, TimePoint now) const;
    void addCopies(PlacementInput &input,
                   std::uint32_t runner,
                   const RegionState &state,
                   const std::map<ModelId, std::uint32_t> &models,
                   const std::map<ModelId, CopyAdapters> &adapters) const;
    bool reporting(const EndpointId &endpoint, TimePoint now) const;
    bool mayOrder(const EndpointId &endpoint, TimePoint now) const;
    bool serves(const EndpointId &endpoint, const ModelId &model, TimePoint now) const;
    std::uint32_t loadsInFlight(bool adapters, TimePoint now) const;
    void addJournalLine(JournalKind kind, const std::string &subject, const std::string &reason, TimePoint now, PlacementActions &actions);

    ControllerOptions m_options;
    OrderBook m_book;
    MemoryLedger m_ledger;
    LoadBudget m_budget;
    Demand m_demand;
    RegionState m_state;
    EndpointReports m_reports;
    std::map<OrderId, OpenOrder> m_open;
    std::map<EndpointId, TimePoint> m_ordersBlockedUntil;
    std::deque<JournalLine> m_journal;
    std::set<std::string> m_reportedShortages;
    bool m_elected = false;
    bool m_leading = false;
    FencingNumber m_fencing;
    std::uint64_t m_nextSequence = 1;
    TimePoint m_proposedFencingAt;
    TimePoint m_nextPlan;
};

} // namespace Hemlockhill
