// Control-plane components of a VM with a data folder: the controller, its storage, and, while it leads, placement, per-model request
// statistics of the nodes and the decision journal.
#pragma once

#include "hemlockhill/controller.h"
#include "hemlockhill/journal.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/operator_view.h"
#include "hemlockhill/placement_host.h"
#include "hemlockhill/region_figures.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/storage_thread.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace Hemlockhill
{

// Callbacks for messages to other controllers; see ControllerHooks.
struct ControllerHostHooks {
    std::function<void(const VmId &to, ConsensusBatch batch)> sendConsensus;
    std::function<void(const VmId &to)> requestIdentity;
};

// Runs on one event loop, except for storage, which has its own thread.
class ControllerHost
{
public:
    // The settings must specify a data folder.
    ControllerHost(const Settings &settings, Metrics &metrics, boost::asio::io_context &loop, ControllerHostHooks hooks);

    void start() { m_storage.start(); }
    void stop() { m_storage.stop(); }
    void tick(TimePoint now);

    Controller &controller() { return m_controller; }
    void follow(const VmId &node, const FollowRequest &request, FollowAnswer answer, TimePoint now);
    void onSettings(const ControlSettings &control) { m_placement.onSettings(control); }
    void onReports(const EndpointReports &reports, TimePoint now);

    // Adds the state of the controllers, nodes and placement to the view for operators.
    void describe(OperatorView &view) const;
    // Returns the loads and evictions that a change to this state would cause.
    std::vector<PlanStep> plan(const RegionState &after, TimePoint now) const { return m_placement.plan(after, now); }

private:
    ControllerHooks controllerHooks(ControllerHostHooks hooks);
    PlacementHostHooks placementHooks();
    void onLeadership(std::optional<Term> term);
    void onApplied(const ReplicatedCommand &command);
    void propose(const OrderCommand &command);
    void reportDemand(TimePoint now);
    void recordNodeChanges(TimePoint now);
    void record(DecisionKind kind, Cause cause, const VmId &vm, std::string detail);

    Settings m_settings;
    Metrics &m_metrics;
    boost::asio::io_context &m_loop;
    Journal m_journal;
    RegionFigures m_figures;
    Controller m_controller;
    StorageThread m_storage;
    PlacementHost m_placement;
    TimePoint m_demandReportedAt;
    TimePoint m_expiryProposedAt;
    std::set<VmId> m_lostNodes;
};

} // namespace Hemlockhill
