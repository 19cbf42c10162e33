// The state machine of the declared region state.
#include "hemlockhill/region_state.h"

#include <xxhash.h>

#include <utility>

namespace Hemlockhill
{

namespace
{

template<typename Value>
void assign(Value &target, const std::optional<Value> &value)
{
    if (value) {
        target = *value;
    }
}

// Stores the value under the key. Returns true when the map has changed.
template<typename Map, typename Key, typename Value>
bool insertOrUpdate(Map &map, const Key &key, const Value &value)
{
    const auto existing = map.find(key);
    if (existing != map.end() && existing->second == value) {
        return false;
    }
    map.insert_or_assign(key, value);
    return true;
}

bool execute(RegionState &state, const DeclareEndpoint &command)
{
    Endpoint endpoint = command.endpoint;
    // Declaring an endpoint again replaces its description but keeps its phase, so a draining endpoint stays draining.
    if (const auto existing = state.endpoints.find(endpoint.id); existing != state.endpoints.end()) {
        endpoint.phase = existing->second.phase;
    }
    return insertOrUpdate(state.endpoints, endpoint.id, endpoint);
}

bool execute(RegionState &state, const DeclareModel &command)
{
    return insertOrUpdate(state.models, command.model.id, command.model);
}

bool execute(RegionState &state, const DeclareAdapter &command)
{
    return insertOrUpdate(state.adapters, command.adapter.id, command.adapter);
}

bool execute(RegionState &state, const DeclareService &command)
{
    return insertOrUpdate(state.services, command.service.id, command.service);
}

bool execute(RegionState &state, const DeclareVm &command)
{
    return insertOrUpdate(state.vms, command.vm.id, command.vm);
}

bool execute(RegionState &state, const ReplaceVm &command)
{
    state.vms.erase(command.old);
    return insertOrUpdate(state.vms, command.successor.id, command.successor);
}

bool execute(RegionState &state, const ChangeEndpoint &command)
{
    return insertOrUpdate(state.endpoints, command.endpoint, patched(state.endpoints.at(command.endpoint), command.patch));
}

bool execute(RegionState &state, const ChangeModel &command)
{
    return insertOrUpdate(state.models, command.model, patched(state.models.at(command.model), command.patch));
}

bool execute(RegionState &state, const ChangeAdapter &command)
{
    return insertOrUpdate(state.adapters, command.adapter, patched(state.adapters.at(command.adapter), command.patch));
}

bool execute(RegionState &state, const ChangeService &command)
{
    return insertOrUpdate(state.services, command.service, patched(state.services.at(command.service), command.patch));
}

bool execute(RegionState &state, const Withdraw &command)
{
    switch (command.kind) {
    case ObjectKind::Endpoint:
        return state.endpoints.erase(EndpointId{command.name}) > 0;
    case ObjectKind::Model: {
        const ModelId model{command.name};
        std::erase_if(state.pins, [&model](const Pin &pin) { return pin.model == model; });
        return state.models.erase(model) > 0;
    }
    case ObjectKind::Adapter:
        return state.adapters.erase(AdapterId{command.name}) > 0;
    case ObjectKind::Service:
        return state.services.erase(ServiceId{command.name}) > 0;
    case ObjectKind::Vm:
        break;
    }
    return state.vms.erase(VmId{command.name}) > 0;
}

bool execute(RegionState &state, const SetEndpointPhase &command)
{
    return std::exchange(state.endpoints.at(command.endpoint).phase, command.phase) != command.phase;
}

bool execute(RegionState &state, const SetPin &command)
{
    const Pin pin{command.model, command.endpoint};
    return command.pinned ? state.pins.insert(pin).second : state.pins.erase(pin) > 0;
}

bool execute(RegionState &state, const SetRegionValue &command)
{
    return command.value ? insertOrUpdate(state.settings, command.setting, *command.value) : state.settings.erase(command.setting) > 0;
}

// Digest of a command without its operation id. Distinguishes a resent command from another one with the same operation id.
std::uint64_t digestOf(CommandRequest request)
{
    request.operation = {};
    const std::string text = encode(request);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

Endpoint patched(Endpoint endpoint, const EndpointPatch &patch)
{
    assign(endpoint.address, patch.address);
    assign(endpoint.dataCentre, patch.dataCentre);
    assign(endpoint.memory, patch.memory);
    assign(endpoint.kind, patch.kind);
    assign(endpoint.fencing, patch.fencing);
    return endpoint;
}

Model patched(Model model, const ModelPatch &patch)
{
    assign(model.version, patch.version);
    assign(model.weights, patch.weights);
    assign(model.kvReserve, patch.kvReserve);
    assign(model.minimumCopies, patch.minimumCopies);
    assign(model.service, patch.service);
    return model;
}

Adapter patched(Adapter adapter, const AdapterPatch &patch)
{
    assign(adapter.model, patch.model);
    assign(adapter.version, patch.version);
    assign(adapter.weights, patch.weights);
    assign(adapter.pinned, patch.pinned);
    return adapter;
}

Service patched(Service service, const ServicePatch &patch)
{
    assign(service.priority, patch.priority);
    assign(service.firstTokenTarget, patch.firstTokenTarget);
    assign(service.betweenTokensTarget, patch.betweenTokensTarget);
    assign(service.deadline, patch.deadline);
    assign(service.onceOnly, patch.onceOnly);
    assign(service.endpoints, patch.endpoints);
    return service;
}

Vm patched(Vm vm, const VmPatch &patch)
{
    assign(vm.address, patch.address);
    assign(vm.dataCentre, patch.dataCentre);
    assign(vm.controller, patch.controller);
    return vm;
}

bool perform(RegionState &state, const Command &command)
{
    return std::visit([&state](const auto &typed) { return execute(state, typed); }, command);
}

RegionStateMachine RegionStateMachine::at(RegionState state)
{
    RegionStateMachine machine;
    machine.m_state = std::move(state);
    return machine;
}

CommandOutcome RegionStateMachine::apply(const CommandRequest &request)
{
    if (request.operation.empty()) {
        return applyNew(request);
    }
    const std::uint64_t digest = digestOf(request);
    const auto known = m_outcomes.find(request.operation);
    if (known == m_outcomes.end()) {
        CommandOutcome outcome = applyNew(request);
        storeOutcome(request.operation, {digest, outcome});
        return outcome;
    }
    if (known->second.digest == digest) {
        return known->second.outcome;
    }
    Refusal refusal;
    refusal.reason = Reason::KeyReused;
    refusal.detail = "operation " + request.operation.value + " was already used for another command";
    return refusal;
}

namespace
{

bool mayRaiseMemoryDemand(const Command &command)
{
    const auto *pin = std::get_if<SetPin>(&command);
    return std::holds_alternative<DeclareModel>(command) || std::holds_alternative<ChangeModel>(command)
           || std::holds_alternative<DeclareAdapter>(command) || std::holds_alternative<ChangeAdapter>(command)
           || (pin != nullptr && pin->pinned);
}

} // namespace

CommandOutcome RegionStateMachine::applyNew(const CommandRequest &request)
{
    if (request.expected && *request.expected != m_state.revision) {
        Refusal refusal;
        refusal.reason = Reason::RevisionConflict;
        refusal.detail = "the state has moved on to revision " + std::to_string(m_state.revision.value);
        refusal.currentRevision = m_state.revision.value;
        return refusal;
    }
    if (auto refusal = validateCommand(m_state, request.command)) {
        return *refusal;
    }
    if (m_feasibilityCheck && mayRaiseMemoryDemand(request.command)) {
        RegionState after = m_state;
        perform(after, request.command);
        if (auto refusal = m_feasibilityCheck(after)) {
            return *refusal;
        }
    }
    if (perform(m_state, request.command)) {
        ++m_state.revision.value;
    }
    return CommandAccepted{m_state.revision};
}

void RegionStateMachine::storeOutcome(const OperationId &operation, StoredOutcome stored)
{
    m_outcomes.emplace(operation, std::move(stored));
    m_operationOrder.push_back(operation);
    if (m_operationOrder.size() > OperationLimit) {
        m_outcomes.erase(m_operationOrder.front());
        m_operationOrder.pop_front();
    }
}

} // namespace Hemlockhill
