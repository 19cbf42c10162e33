// Runs placement on a controller: sends its orders to engines, its commands to the replicated log and its decisions to the journal.
#pragma once

#include "hemlockhill/http_exchange.h"
#include "hemlockhill/journal.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/operator_view.h"
#include "hemlockhill/placement_controller.h"
#include "hemlockhill/settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace Hemlockhill
{

struct PlacementHostHooks {
    // Submits a command to the replicated log. Once committed, it is passed to onCommitted() on every controller.
    std::function<void(OrderCommand command)> propose;
    // Adds a decision to the journal.
    std::function<void(Decision decision)> record;
    // Returns false while this controller holds no leader lease and so must not send orders.
    std::function<bool()> maySendOrders;
};

// All functions run on one event loop.
class PlacementHost
{
public:
    PlacementHost(const Settings &settings, Metrics &metrics, boost::asio::io_context &loop, PlacementHostHooks hooks);

    void onLeadership(std::optional<FencingNumber> term, TimePoint now);
    // Sets the declared state. Its settings take precedence over those of the settings file.
    void onState(const RegionState &state);
    // Sets the values of the settings file.
    void onSettings(const ControlSettings &control);
    void onReports(const EndpointReports &reports, TimePoint now);
    void onDemand(const DemandSample &sample, TimePoint now) { m_controller.onDemand(sample, now); }
    void onCommitted(const OrderCommand &command, TimePoint now);
    void restore(const OrderBook &book) { m_controller.restoreOrderBook(book); }
    void tick(TimePoint now);

    // Adds orders, residency, memory charges and move counts to the view for operators.
    void describe(OperatorView &view) const;
    // Returns the loads and evictions that a change to this state would cause.
    std::vector<PlanStep> plan(const RegionState &after, TimePoint now) const;

private:
    void executeActions(PlacementActions actions);
    void send(const SendOrder &action);
    void handleAnswer(const OrderId &order, const OrderAnswer &answer);
    void recordOrder(const Order &order, const std::string &reason, TimePoint at);
    void recordJournalLine(const JournalLine &line);

    void updateRateLimits();

    Settings m_settings;
    std::map<RegionSetting, double> m_regionSettings;
    Metrics &m_metrics;
    PlacementHostHooks m_hooks;
    ConnectionPool m_pool;
    PlacementController m_controller;
    MoveCounts m_moves;
    // Reason of the order that is proposed next.
    std::string m_plannedReason;
};

} // namespace Hemlockhill
