// The declared state of a region and the commands that change it. A deterministic state machine without I/O: the same commands in the
// same order give the same state on every replica.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/world.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// The fields to change in a declared object. Absent fields keep their value.
struct EndpointPatch {
    std::optional<Address> address;
    std::optional<DataCentreId> dataCentre;
    std::optional<Bytes> memory;
    std::optional<EndpointKind> kind;
    std::optional<FencingMode> fencing;
    bool operator==(const EndpointPatch &) const = default;
};

struct ModelPatch {
    std::optional<VersionId> version;
    std::optional<Bytes> weights;
    std::optional<Bytes> kvReserve;
    std::optional<std::uint32_t> minimumCopies;
    // An empty id removes the model from its service.
    std::optional<ServiceId> service;
    bool operator==(const ModelPatch &) const = default;
};

struct AdapterPatch {
    std::optional<ModelId> model;
    std::optional<VersionId> version;
    std::optional<Bytes> weights;
    std::optional<bool> pinned;
    bool operator==(const AdapterPatch &) const = default;
};

struct ServicePatch {
    std::optional<Priority> priority;
    std::optional<Duration> firstTokenTarget;
    std::optional<Duration> betweenTokensTarget;
    std::optional<Duration> deadline;
    std::optional<bool> onceOnly;
    std::optional<std::vector<EndpointId>> endpoints;
    bool operator==(const ServicePatch &) const = default;
};

struct VmPatch {
    std::optional<Address> address;
    std::optional<DataCentreId> dataCentre;
    std::optional<bool> controller;
    bool operator==(const VmPatch &) const = default;
};

// Declares an object, or replaces the complete description of one that is already declared.
struct DeclareEndpoint {
    Endpoint endpoint;
    bool operator==(const DeclareEndpoint &) const = default;
};

struct DeclareModel {
    Model model;
    bool operator==(const DeclareModel &) const = default;
};

struct DeclareAdapter {
    Adapter adapter;
    bool operator==(const DeclareAdapter &) const = default;
};

struct DeclareService {
    Service service;
    bool operator==(const DeclareService &) const = default;
};

struct DeclareVm {
    Vm vm;
    bool operator==(const DeclareVm &) const = default;
};

// Changes the fields of a declared object that are present in the patch.
struct ChangeEndpoint {
    EndpointId endpoint;
    EndpointPatch patch;
    bool operator==(const ChangeEndpoint &) const = default;
};

struct ChangeModel {
    ModelId model;
    ModelPatch patch;
    bool operator==(const ChangeModel &) const = default;
};

struct ChangeAdapter {
    AdapterId adapter;
    AdapterPatch patch;
    bool operator==(const ChangeAdapter &) const = default;
};

struct ChangeService {
    ServiceId service;
    ServicePatch patch;
    bool operator==(const ChangeService &) const = default;
};

// Withdraws a VM and declares its successor in a single revision.
struct ReplaceVm {
    VmId old;
    Vm successor;
    bool operator==(const ReplaceVm &) const = default;
};

enum class ObjectKind { Endpoint, Model, Adapter, Service, Vm };

// Removes a declared object. Refused while another declared object refers to it.
struct Withdraw {
    ObjectKind kind = ObjectKind::Model;
    std::string name;
    bool operator==(const Withdraw &) const = default;
};

// Drains an endpoint, or admits a draining endpoint again.
struct SetEndpointPhase {
    EndpointId endpoint;
    EndpointPhase phase = EndpointPhase::Draining;
    bool operator==(const SetEndpointPhase &) const = default;
};

// Pins a copy of the model on the endpoint, or removes the pin.
struct SetPin {
    ModelId model;
    EndpointId endpoint;
    bool pinned = true;
    bool operator==(const SetPin &) const = default;
};

// Settings that an operator can set for the whole region. They override the settings files of the nodes.
enum class RegionSetting { AttainmentWeight, MoveWeight, LoadsPerSecond, ConcurrentLoads, ConcurrentAdapterLoads };

// Sets a value. Without a value, removes the override of the settings files.
struct SetRegionValue {
    RegionSetting setting = RegionSetting::AttainmentWeight;
    std::optional<double> value;
    bool operator==(const SetRegionValue &) const = default;
};

using Command = std::variant<DeclareEndpoint,
                             DeclareModel,
                             DeclareAdapter,
                             DeclareService,
                             Withdraw,
                             SetEndpointPhase,
                             SetPin,
                             DeclareVm,
                             ReplaceVm,
                             ChangeEndpoint,
                             ChangeModel,
                             ChangeAdapter,
                             ChangeService,
                             SetRegionValue>;

// A command as received from an operator.
struct CommandRequest {
    Command command;
    // The revision on which the operator based the command. The command is refused when the state has another revision.
    std::optional<Revision> expected;
    // Makes the command idempotent: a resent command with the same id returns the first outcome. Empty for none.
    OperationId operation;

    bool operator==(const CommandRequest &) const = default;
};

// The revision of the state after the command was applied. A command that changes nothing keeps the revision.
struct CommandAccepted {
    Revision revision;
    bool operator==(const CommandAccepted &) const = default;
};

using CommandOutcome = std::variant<CommandAccepted, Refusal>;

// A model of which a copy is kept on an endpoint.
struct Pin {
    ModelId model;
    EndpointId endpoint;
    auto operator<=>(const Pin &) const = default;
};

// The declared objects of a region at one revision.
struct RegionState {
    Revision revision;
    std::map<EndpointId, Endpoint> endpoints;
    std::map<ModelId, Model> models;
    std::map<AdapterId, Adapter> adapters;
    std::map<ServiceId, Service> services;
    std::set<Pin> pins;
    std::map<VmId, Vm> vms;
    // Settings that an operator has set; the others are absent.
    std::map<RegionSetting, double> settings;

    bool operator==(const RegionState &) const = default;
};

// Applies commands in order and keeps the outcomes of the most recent operation ids. An id that is reused for another command is
// refused with key_reused.
class RegionStateMachine
{
public:
    // Number of most recent operation ids whose outcomes are kept.
    static constexpr std::size_t OperationLimit = 4096;

    // Creates a machine with the given state and no operation ids.
    static RegionStateMachine at(RegionState state);

    // Checks the state that would result from a command and returns a refusal if it is not feasible. Must be the same function on every
    // replica.
    using FeasibilityCheck = std::function<std::optional<Refusal>(const RegionState &after)>;
    // Commands that can raise the memory demand are refused when the resulting state is not feasible.
    void setFeasibilityCheck(FeasibilityCheck check) { m_feasibilityCheck = std::move(check); }

    CommandOutcome apply(const CommandRequest &request);

    const RegionState &state() const { return m_state; }

    // Converts the complete state to text and back. restore() throws DecodeError when the text is not a valid snapshot.
    std::string snapshot() const;
    static RegionStateMachine restore(std::string_view snapshot);

private:
    // The outcome of an operation id and the digest of its command.
    struct StoredOutcome {
        std::uint64_t digest = 0;
        CommandOutcome outcome;
    };

    CommandOutcome applyNew(const CommandRequest &request);
    void storeOutcome(const OperationId &operation, StoredOutcome stored);

    FeasibilityCheck m_feasibilityCheck;
    RegionState m_state;
    std::map<OperationId, StoredOutcome> m_outcomes;
    std::deque<OperationId> m_operationOrder;
};

// Checks a command against the state, except for its feasibility. Returns the refusal if the command is invalid, otherwise empty.
std::optional<Refusal> validateCommand(const RegionState &state, const Command &command);

// Executes a valid command without changing the revision. Returns true when the state has changed.
bool perform(RegionState &state, const Command &command);

// Returns the object with the patch applied.
Endpoint patched(Endpoint endpoint, const EndpointPatch &patch);
Model patched(Model model, const ModelPatch &patch);
Adapter patched(Adapter adapter, const AdapterPatch &patch);
Service patched(Service service, const ServicePatch &patch);
Vm patched(Vm vm, const VmPatch &patch);

// Returns commands that rebuild the state from an empty one, ordered so that every object is declared before it is referred to.
std::vector<Command> commandsToRebuild(const RegionState &state);

// Revision and declared objects as canonical text: equal states give equal texts.
std::string canonicalText(const RegionState &state);

// Converts a command request to the text of a log entry and back. Decoding throws DecodeError when the text is malformed.
std::string encode(const CommandRequest &request);
CommandRequest decodeCommandRequest(std::string_view text);

// Names in the operator language, and their parsers. The parsers return empty for unknown names.
std::string_view toText(ObjectKind kind);
std::string_view toText(RegionSetting setting);
std::optional<ObjectKind> parseObjectKind(std::string_view text);
std::optional<RegionSetting> parseRegionSetting(std::string_view text);

// All kinds and settings, in declaration order.
const std::vector<ObjectKind> &allObjectKinds();
const std::vector<RegionSetting> &allRegionSettings();

// Whether the value of a setting is a count, which must be an integer.
bool isCount(RegionSetting setting);

} // namespace Hemlockhill
