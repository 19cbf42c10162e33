// Everything that an answer to an operator may draw on, gathered at one moment by the duty that answers.
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

// A serving node as the leader knows it.
struct NodeStatus {
    VmId vm;
    DataCentreId dataCentre;
    // The revision in force on it, as last heard.
    Revision revision;
    // What is left of its lease; zero or less once it has run out and the node takes no new work.
    Duration leaseLeft{};
    bool leaving = false;
    std::uint32_t requestsInProgress = 0;
};

// A voter or learner of the region's control.
struct ControllerStatus {
    enum class Role { Unknown, Learner, Follower, PreCandidate, Candidate, Leader };

    VmId vm;
    Role role = Role::Unknown;
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t commitIndex = 0;
    // Since it was last heard; absent for the answering node itself, and for one never heard.
    std::optional<Duration> silentFor;
};

// An order to an engine that is not yet done, or that ended lately.
struct OrderRow {
    enum class Action { Load, Evict, Role };
    enum class Stage { Planned, Committed, Sent, Acknowledged, Observed, Failed, Abandoned };

    std::string order;
    EndpointId endpoint;
    Action action = Action::Load;
    Stage stage = Stage::Planned;
    ModelId model;
    // Empty when the order is for the model itself.
    AdapterId adapter;
    VersionId version;
    Bytes bytes;
    FencingNumber fencing;
    // Absent when the answering node does not know when it was made.
    std::optional<Duration> age;
};

// One model or adapter on one endpoint.
struct ResidencyRow {
    enum class Phase { Loading, Loaded, Evicting };

    EndpointId endpoint;
    ModelId model;
    // Empty for the model itself.
    AdapterId adapter;
    VersionId version;
    Bytes bytes;
    Phase phase = Phase::Loaded;
};

// The memory that the ledger charges to an endpoint, certain or possible.
struct MemoryCharge {
    EndpointId endpoint;
    Bytes charged;
};

// How well a model was served by all nodes, since the answering controller took office.
struct ModelPerformance {
    ModelId model;
    std::uint64_t requests = 0;
    // Requests answered within their target.
    std::uint64_t attained = 0;
    Duration firstTokenMean{};
    std::uint64_t tokens = 0;
    std::uint64_t retries = 0;
    std::uint64_t refused = 0;
};

// Counted since the region's control began.
struct MoveCounts {
    std::uint64_t modelLoads = 0;
    std::uint64_t modelEvicts = 0;
    std::uint64_t relocations = 0;
    std::uint64_t adapterLoads = 0;
    std::uint64_t adapterEvicts = 0;
};

struct OperatorView {
    TimePoint now;
    RegionState state;
    // What the nodes' settings files give where the operators have set nothing.
    std::map<RegionSetting, double> defaults;
    EndpointReports reports;
    std::vector<NodeStatus> nodes;
    std::vector<ControllerStatus> controllers;
    std::vector<OrderRow> orders;
    std::vector<ResidencyRow> residency;
    std::vector<MemoryCharge> charges;
    std::vector<ModelPerformance> performance;
    MoveCounts moves;
    // What declarations must satisfy beside the rules of the language; may be empty.
    RegionStateMachine::FeasibilityCheck feasibility;
    // Not owned; may be null when nothing is recorded.
    const Journal *journal = nullptr;
};

// One step that placement would take after a change.
struct PlanStep {
    OrderRow::Action action = OrderRow::Action::Load;
    EndpointId endpoint;
    ModelId model;
    AdapterId adapter;
    VersionId version;
    Bytes bytes;
};

// The steps that placement would take when the first state became the second.
using PlanHook = std::function<std::vector<PlanStep>(const RegionState &before, const RegionState &after)>;

std::string_view toText(ControllerStatus::Role role);
std::string_view toText(OrderRow::Action action);
std::string_view toText(OrderRow::Stage stage);
std::string_view toText(ResidencyRow::Phase phase);

// What the reports say is in memory, for a host that keeps no ledger.
std::vector<ResidencyRow> residencyOf(const EndpointReports &reports);

} // namespace Hemlockhill
