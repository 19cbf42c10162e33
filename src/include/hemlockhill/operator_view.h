// Input for answers to operators: a consistent snapshot of the cluster, taken by the thread that answers the statement.
#pragma once

#include "hemlockhill/engine_api.h"
#include "hemlockhill/journal.h"
#include "hemlockhill/region_state.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Hemlockhill
{

// A serving node as known to the leader.
struct NodeStatus {
    VmId vm;
    DataCentreId dataCentre;
    // The last reported revision that the node has applied.
    Revision revision;
    // Remaining time of the node's lease. Zero or negative once the lease has expired and the node accepts no new requests.
    Duration leaseLeft{};
    bool leaving = false;
    std::uint32_t requestsInProgress = 0;
};

// A controller: a voter or learner of the region's consensus group.
struct ControllerStatus {
    enum class Role { Unknown, Learner, Follower, PreCandidate, Candidate, Leader };

    VmId vm;
    Role role = Role::Unknown;
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t commitIndex = 0;
    // Time since the last message from this controller. Absent for the answering node itself and for one that never sent a message.
    std::optional<Duration> silentFor;
};

// An order to an engine that is in progress or ended recently.
struct OrderRow {
    enum class Action { Load, Evict, Role };
    enum class Stage { Planned, Committed, Sent, Acknowledged, Observed, Failed, Abandoned };

    std::string order;
    EndpointId endpoint;
    Action action = Action::Load;
    Stage stage = Stage::Planned;
    ModelId model;
    // Empty when the order concerns the model itself.
    AdapterId adapter;
    VersionId version;
    Bytes bytes;
    FencingNumber fencing;
    // Time since the order was created. Absent when the answering node does not know it.
    std::optional<Duration> age;
};

// A model or adapter in the memory of an endpoint.
struct ResidencyRow {
    enum class Phase { Loading, Loaded, Evicting };

    EndpointId endpoint;
    ModelId model;
    // Empty when the row describes the model itself.
    AdapterId adapter;
    VersionId version;
    Bytes bytes;
    Phase phase = Phase::Loaded;
};

// Memory that the ledger charges to an endpoint: confirmed residency plus pending orders.
struct MemoryCharge {
    EndpointId endpoint;
    Bytes charged;
};

// Serving statistics of a model over all nodes, since the answering controller became leader.
struct ModelPerformance {
    ModelId model;
    std::uint64_t requests = 0;
    // Number of requests that met their latency target.
    std::uint64_t attained = 0;
    Duration firstTokenMean{};
    std::uint64_t tokens = 0;
    std::uint64_t retries = 0;
    std::uint64_t refused = 0;
};

// Number of placement moves since the region's consensus group was created.
struct MoveCounts {
    std::uint64_t modelLoads = 0;
    std::uint64_t modelEvicts = 0;
    std::uint64_t relocations = 0;
    std::uint64_t adapterLoads = 0;
    std::uint64_t adapterEvicts = 0;
};

// The data from which answers are built.
struct OperatorView {
    TimePoint now;
    RegionState state;
    // Values from the settings files, in force where operators have set no value.
    std::map<RegionSetting, double> defaults;
    EndpointReports reports;
    std::vector<NodeStatus> nodes;
    std::vector<ControllerStatus> controllers;
    std::vector<OrderRow> orders;
    std::vector<ResidencyRow> residency;
    std::vector<MemoryCharge> charges;
    std::vector<ModelPerformance> performance;
    MoveCounts moves;
    // Feasibility check that a planned command must pass in addition to validation. May be empty.
    RegionStateMachine::FeasibilityCheck feasibility;
    // Not owned. Null when no decisions are recorded.
    const Journal *journal = nullptr;
};

// A placement step predicted for a planned change.
struct PlanStep {
    OrderRow::Action action = OrderRow::Action::Load;
    EndpointId endpoint;
    ModelId model;
    AdapterId adapter;
    VersionId version;
    Bytes bytes;
};

// Predicts the placement steps caused by a change from the state before to the state after.
using PlanHook = std::function<std::vector<PlanStep>(const RegionState &before, const RegionState &after)>;

std::string_view toText(ControllerStatus::Role role);
std::string_view toText(OrderRow::Action action);
std::string_view toText(OrderRow::Stage stage);
std::string_view toText(ResidencyRow::Phase phase);

// The models and adapters that the endpoint reports list as loaded, for hosts without a memory ledger.
std::vector<ResidencyRow> residencyOf(const EndpointReports &reports);

} // namespace Hemlockhill
