// Upper bound on the use of each endpoint's accelerator memory: reported contents plus what open orders may still load.
#pragma once

#include "hemlockhill/engine_api.h"
#include "hemlockhill/order.h"

#include <map>
#include <optional>
#include <vector>

namespace Hemlockhill
{

// Upper bounds on delays, guaranteed by the network, the engines and the leader's lease.
struct OrderBounds {
    // From sending an order to its latest possible arrival.
    Duration maxOrderDelay = std::chrono::seconds(5);
    // From the arrival of an order to the end of its load.
    Duration maxLoadTime = std::chrono::seconds(60);
    // Age of a report's figures when the report is received.
    Duration maxReportAge = std::chrono::seconds(1);
    // How long a leader that has lost its quorum may continue to send orders.
    Duration maxFormerLeaderTime = std::chrono::seconds(3);
};

// A model or adapter that a report has listed.
struct LedgerContent {
    Bytes bytes;
    // When a report last listed it.
    TimePoint lastSeen;
};

// An open order and its effect on memory.
struct LedgerCharge {
    Order order;
    // The order cannot have taken effect before this time.
    TimePoint since;
    // The order cannot arrive after this time; TimePoint::max() while it may still be sent.
    TimePoint latestArrival = TimePoint::max();
    // Whether a report of the incarnation it was sent to has shown its effect.
    bool observed = false;
};

// Whether an order can still take effect. It may be removed from the order book in every state but the first.
enum class OrderEffect { Possible, Observed, Expired, LostInRestart };

// The memory of one endpoint.
class EndpointLedger
{
public:
    // Effects of orders that were closed before `startedAt` are known only from reports whose figures are more recent.
    EndpointLedger(const OrderBounds &bounds, TimePoint startedAt)
        : m_bounds(bounds)
        , m_startedAt(startedAt)
    {
    }

    // Sets the declared memory limit and whether the engine checks fencing numbers and incarnations.
    void declare(Bytes limit, FencingMode fencing);
    // Charges the memory of an order that may take effect from now on.
    void charge(const Order &order, TimePoint now);
    // Sets the latest arrival time of the order. Once set, it can only move to a later time.
    void setLatestArrival(const OrderId &order, TimePoint latestArrival);
    // Removes the charge of the order.
    void release(const OrderId &order);
    // Processes a report. A report that may be older than the known state changes only what it proves.
    void report(const EndpointReport &report);
    OrderEffect effect(const OrderId &order) const;

    // Whether reports cover everything that happened before `startedAt`. No order may be placed on this endpoint until then.
    bool isUpToDate() const { return m_lastReport && *m_lastReport - m_bounds.maxReportAge > m_startedAt; }
    const Incarnation &incarnation() const { return m_incarnation; }
    std::optional<TimePoint> lastReport() const { return m_lastReport; }
    // The lower of the declared and the reported memory limit.
    Bytes limit() const;
    // Upper bound on the memory in use, including open orders.
    Bytes charged() const;
    Bytes free() const;
    const std::map<MemoryItem, LedgerContent> &contents() const { return m_contents; }
    const std::map<OrderId, LedgerCharge> &charges() const { return m_charges; }

private:
    void updateContents(const std::map<MemoryItem, Bytes> &listed, TimePoint requestedAt);
    void updateUsed(Bytes used, TimePoint requestedAt);
    void markObserved(const std::map<MemoryItem, Bytes> &listed, TimePoint requestedAt);
    bool lostInRestart(const Order &order) const;
    bool reportedAfter(TimePoint instant) const;
    // Whether the load is charged in addition to the reported contents.
    bool chargedInAddition(const LedgerCharge &charge) const;

    OrderBounds m_bounds;
    TimePoint m_startedAt;
    Bytes m_declaredLimit;
    Bytes m_reportedLimit;
    FencingMode m_fencing = FencingMode::Checked;
    Incarnation m_incarnation;
    std::optional<TimePoint> m_lastReport;
    // Memory in use according to the engine; it may be more than the sum of the listed items.
    Bytes m_used;
    TimePoint m_usedSeen;
    std::map<MemoryItem, LedgerContent> m_contents;
    std::map<OrderId, LedgerCharge> m_charges;
};

// The memory of all endpoints of a region.
class MemoryLedger
{
public:
    explicit MemoryLedger(const OrderBounds &bounds = {})
        : m_bounds(bounds)
    {
    }

    const OrderBounds &bounds() const { return m_bounds; }
    // The ledger of the endpoint; created with `now` as its start time if there is none.
    EndpointLedger &at(const EndpointId &endpoint, TimePoint now);
    EndpointLedger *find(const EndpointId &endpoint);
    const EndpointLedger *find(const EndpointId &endpoint) const;
    // Removes all endpoints and charges; a new leader starts from the order book and fresh reports.
    void clear() { m_endpoints.clear(); }
    void forget(const EndpointId &endpoint) { m_endpoints.erase(endpoint); }
    const std::map<EndpointId, EndpointLedger> &endpoints() const { return m_endpoints; }

private:
    OrderBounds m_bounds;
    std::map<EndpointId, EndpointLedger> m_endpoints;
};

} // namespace Hemlockhill
