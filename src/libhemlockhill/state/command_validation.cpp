// Validation of commands against the declared state.
#include "hemlockhill/region_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Hemlockhill
{

namespace
{

using Violation = std::optional<Refusal>;

Refusal violation(Reason reason, std::string detail)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.detail = std::move(detail);
    return refusal;
}

std::string label(ObjectKind kind, std::string_view name)
{
    return std::string(toText(kind)) + " " + std::string(name);
}

Violation requireName(ObjectKind kind, const std::string &name)
{
    if (isName(name)) {
        return std::nullopt;
    }
    return violation(Reason::MalformedCommand, label(kind, name) + ": invalid name");
}

template<typename Map, typename Key>
Violation requireDeclared(const Map &objects, const Key &key, ObjectKind kind)
{
    if (objects.contains(key)) {
        return std::nullopt;
    }
    return violation(Reason::UnknownObject, label(kind, key.value) + " is not declared");
}

template<typename Map, typename Object>
Violation requireUniqueAddress(const Map &objects, const Object &object, ObjectKind kind)
{
    for (const auto &[id, other] : objects) {
        if (id != object.id && other.address == object.address) {
            return violation(Reason::AlreadyDeclared, object.address.text() + " is the address of " + label(kind, id.value));
        }
    }
    return std::nullopt;
}

Bytes footprint(const Model &model)
{
    return model.weights + model.kvReserve;
}

Bytes footprint(const RegionState &state, const Adapter &adapter)
{
    return footprint(state.models.at(adapter.model)) + adapter.weights;
}

// Returns the memory of the largest runner other than the excluded endpoint, or empty if there is none.
std::optional<Bytes> largestRunnerMemory(const RegionState &state, const EndpointId &excluded = {})
{
    std::optional<Bytes> largest;
    for (const auto &[id, endpoint] : state.endpoints) {
        if (endpoint.kind == EndpointKind::Runner && id != excluded) {
            largest = std::max(largest.value_or(Bytes{0}), endpoint.memory);
        }
    }
    return largest;
}

Violation requireMemory(const std::string &subject, Bytes needed, std::optional<Bytes> largest)
{
    if (!largest || needed <= *largest) {
        return std::nullopt;
    }
    return violation(Reason::InsufficientMemory,
                     subject + " needs " + formatBytes(needed) + " on one runner, and the largest has " + formatBytes(*largest));
}

// Refuses a change of the runners after which a declared model or adapter would not fit on any of them.
Violation requireModelsFit(const RegionState &state, Bytes largest)
{
    if (largest >= largestRunnerMemory(state).value_or(Bytes{0})) {
        return std::nullopt;
    }
    for (const auto &[id, model] : state.models) {
        if (auto refusal = requireMemory(label(ObjectKind::Model, id.value), footprint(model), largest)) {
            return refusal;
        }
    }
    for (const auto &[id, adapter] : state.adapters) {
        if (auto refusal = requireMemory(label(ObjectKind::Adapter, id.value), footprint(state, adapter), largest)) {
            return refusal;
        }
    }
    return std::nullopt;
}

// Returns a label of a declared object that refers to the given one, or an empty text.
std::string referrerOf(const RegionState &state, const EndpointId &endpoint)
{
    for (const auto &[id, service] : state.services) {
        if (std::find(service.endpoints.begin(), service.endpoints.end(), endpoint) != service.endpoints.end()) {
            return label(ObjectKind::Service, id.value);
        }
    }
    for (const Pin &pin : state.pins) {
        if (pin.endpoint == endpoint) {
            return "a pin of model " + pin.model.value;
        }
    }
    return {};
}

std::string referrerOf(const RegionState &state, const ModelId &model)
{
    for (const auto &[id, adapter] : state.adapters) {
        if (adapter.model == model) {
            return label(ObjectKind::Adapter, id.value);
        }
    }
    return {};
}

std::string referrerOf(const RegionState &state, const ServiceId &service)
{
    for (const auto &[id, model] : state.models) {
        if (model.service == service) {
            return label(ObjectKind::Model, id.value);
        }
    }
    return {};
}

std::string referrerOf(const RegionState &, const AdapterId &)
{
    return {};
}

template<typename Map, typename Key>
Violation requireUnused(const RegionState &state, const Map &objects, const Key &key, ObjectKind kind)
{
    if (auto refusal = requireDeclared(objects, key, kind)) {
        return refusal;
    }
    const std::string referrer = referrerOf(state, key);
    if (referrer.empty()) {
        return std::nullopt;
    }
    return violation(Reason::ObjectInUse, label(kind, key.value) + " is used by " + referrer);
}

Violation validate(const RegionState &state, const DeclareEndpoint &command)
{
    const Endpoint &endpoint = command.endpoint;
    if (auto refusal = requireName(ObjectKind::Endpoint, endpoint.id.value)) {
        return refusal;
    }
    const bool isRunner = endpoint.kind == EndpointKind::Runner;
    if (isRunner && endpoint.memory.value == 0) {
        return violation(Reason::MalformedCommand, label(ObjectKind::Endpoint, endpoint.id.value) + ": a runner needs memory");
    }
    if (auto refusal = requireUniqueAddress(state.endpoints, endpoint, ObjectKind::Endpoint)) {
        return refusal;
    }
    const auto existing = state.endpoints.find(endpoint.id);
    if (existing == state.endpoints.end()) {
        return std::nullopt;
    }
    if (existing->second.kind != endpoint.kind) {
        const std::string referrer = referrerOf(state, endpoint.id);
        if (!referrer.empty()) {
            return violation(Reason::ObjectInUse, label(ObjectKind::Endpoint, endpoint.id.value) + " is used by " + referrer);
        }
    }
    const Bytes others = largestRunnerMemory(state, endpoint.id).value_or(Bytes{0});
    return requireModelsFit(state, isRunner ? std::max(others, endpoint.memory) : others);
}

Violation validate(const RegionState &state, const DeclareModel &command)
{
    const Model &model = command.model;
    if (auto refusal = requireName(ObjectKind::Model, model.id.value)) {
        return refusal;
    }
    if (!model.service.empty()) {
        if (auto refusal = requireDeclared(state.services, model.service, ObjectKind::Service)) {
            return refusal;
        }
    }
    const auto largest = largestRunnerMemory(state);
    if (auto refusal = requireMemory(label(ObjectKind::Model, model.id.value), footprint(model), largest)) {
        return refusal;
    }
    for (const auto &[id, adapter] : state.adapters) {
        if (adapter.model != model.id) {
            continue;
        }
        if (auto refusal = requireMemory(label(ObjectKind::Adapter, id.value), footprint(model) + adapter.weights, largest)) {
            return refusal;
        }
    }
    return std::nullopt;
}

Violation validate(const RegionState &state, const DeclareAdapter &command)
{
    const Adapter &adapter = command.adapter;
    if (auto refusal = requireName(ObjectKind::Adapter, adapter.id.value)) {
        return refusal;
    }
    if (auto refusal = requireDeclared(state.models, adapter.model, ObjectKind::Model)) {
        return refusal;
    }
    return requireMemory(
        label(ObjectKind::Adapter, adapter.id.value) + " with its model", footprint(state, adapter), largestRunnerMemory(state));
}

Violation validate(const RegionState &state, const DeclareService &command)
{
    const Service &service = command.service;
    if (auto refusal = requireName(ObjectKind::Service, service.id.value)) {
        return refusal;
    }
    if (service.firstTokenTarget > service.deadline) {
        return violation(Reason::MalformedCommand,
                         label(ObjectKind::Service, service.id.value) + ": the deadline is shorter than the first-token target");
    }
    for (const EndpointId &endpoint : service.endpoints) {
        if (auto refusal = requireDeclared(state.endpoints, endpoint, ObjectKind::Endpoint)) {
            return refusal;
        }
        if (state.endpoints.at(endpoint).kind != EndpointKind::PlainService) {
            return violation(Reason::MalformedCommand, label(ObjectKind::Endpoint, endpoint.value) + " is a runner, not a plain service");
        }
    }
    return std::nullopt;
}

// Refuses to remove the last declared controller of the region.
Violation requireOtherController(const RegionState &state, const VmId &vm)
{
    const auto isController = [](const auto &entry) { return entry.second.controller; };
    const auto controllers = std::count_if(state.vms.begin(), state.vms.end(), isController);
    if (controllers != 1 || !state.vms.at(vm).controller) {
        return std::nullopt;
    }
    return violation(Reason::ObjectInUse, label(ObjectKind::Vm, vm.value) + " is the only declared controller");
}

Violation validate(const RegionState &state, const DeclareVm &command)
{
    if (auto refusal = requireName(ObjectKind::Vm, command.vm.id.value)) {
        return refusal;
    }
    if (auto refusal = requireUniqueAddress(state.vms, command.vm, ObjectKind::Vm)) {
        return refusal;
    }
    const bool known = state.vms.contains(command.vm.id);
    return known && !command.vm.controller ? requireOtherController(state, command.vm.id) : std::nullopt;
}

Violation validate(const RegionState &state, const ReplaceVm &command)
{
    if (auto refusal = requireDeclared(state.vms, command.old, ObjectKind::Vm)) {
        return refusal;
    }
    if (state.vms.contains(command.successor.id)) {
        return violation(Reason::AlreadyDeclared,
                         label(ObjectKind::Vm, command.successor.id.value) + " is already declared; the new VM needs a different name");
    }
    if (!command.successor.controller) {
        if (auto refusal = requireOtherController(state, command.old)) {
            return refusal;
        }
    }
    if (command.successor.address == state.vms.at(command.old).address) {
        return requireName(ObjectKind::Vm, command.successor.id.value);
    }
    return validate(state, DeclareVm{command.successor});
}

Violation validate(const RegionState &state, const Withdraw &command)
{
    switch (command.kind) {
    case ObjectKind::Endpoint: {
        const EndpointId endpoint{command.name};
        if (auto refusal = requireUnused(state, state.endpoints, endpoint, command.kind)) {
            return refusal;
        }
        if (state.endpoints.at(endpoint).kind != EndpointKind::Runner) {
            return std::nullopt;
        }
        return requireModelsFit(state, largestRunnerMemory(state, endpoint).value_or(Bytes{0}));
    }
    case ObjectKind::Model:
        return requireUnused(state, state.models, ModelId{command.name}, command.kind);
    case ObjectKind::Adapter:
        return requireUnused(state, state.adapters, AdapterId{command.name}, command.kind);
    case ObjectKind::Service:
        return requireUnused(state, state.services, ServiceId{command.name}, command.kind);
    case ObjectKind::Vm:
        break;
    }
    const VmId vm{command.name};
    auto refusal = requireDeclared(state.vms, vm, command.kind);
    return refusal ? refusal : requireOtherController(state, vm);
}

Violation validate(const RegionState &state, const SetEndpointPhase &command)
{
    return requireDeclared(state.endpoints, command.endpoint, ObjectKind::Endpoint);
}

Violation validate(const RegionState &state, const SetPin &command)
{
    if (auto refusal = requireDeclared(state.models, command.model, ObjectKind::Model)) {
        return refusal;
    }
    if (auto refusal = requireDeclared(state.endpoints, command.endpoint, ObjectKind::Endpoint)) {
        return refusal;
    }
    const Endpoint &endpoint = state.endpoints.at(command.endpoint);
    if (!command.pinned) {
        return std::nullopt;
    }
    if (endpoint.kind != EndpointKind::Runner) {
        return violation(Reason::MalformedCommand, label(ObjectKind::Endpoint, endpoint.id.value) + " is not a runner");
    }
    Bytes pinned = footprint(state.models.at(command.model));
    for (const Pin &pin : state.pins) {
        if (pin.endpoint == command.endpoint && pin.model != command.model) {
            pinned += footprint(state.models.at(pin.model));
        }
    }
    return requireMemory("the set of models pinned on " + endpoint.id.value, pinned, endpoint.memory);
}

Violation validate(const RegionState &state, const ChangeEndpoint &command)
{
    if (auto refusal = requireDeclared(state.endpoints, command.endpoint, ObjectKind::Endpoint)) {
        return refusal;
    }
    return validate(state, DeclareEndpoint{patched(state.endpoints.at(command.endpoint), command.patch)});
}

Violation validate(const RegionState &state, const ChangeModel &command)
{
    if (auto refusal = requireDeclared(state.models, command.model, ObjectKind::Model)) {
        return refusal;
    }
    return validate(state, DeclareModel{patched(state.models.at(command.model), command.patch)});
}

Violation validate(const RegionState &state, const ChangeAdapter &command)
{
    if (auto refusal = requireDeclared(state.adapters, command.adapter, ObjectKind::Adapter)) {
        return refusal;
    }
    return validate(state, DeclareAdapter{patched(state.adapters.at(command.adapter), command.patch)});
}

Violation validate(const RegionState &state, const ChangeService &command)
{
    if (auto refusal = requireDeclared(state.services, command.service, ObjectKind::Service)) {
        return refusal;
    }
    return validate(state, DeclareService{patched(state.services.at(command.service), command.patch)});
}

Violation validate(const RegionState &, const SetRegionValue &command)
{
    if (!command.value) {
        return std::nullopt;
    }
    const double value = *command.value;
    const bool whole = !isCount(command.setting) || std::floor(value) == value;
    if (value > 0 && value <= 1'000'000 && whole) {
        return std::nullopt;
    }
    return violation(Reason::MalformedCommand,
                     std::string(toText(command.setting)) + " must be a " + (isCount(command.setting) ? "whole number" : "number")
                         + " above 0 and up to 1000000");
}

} // namespace

std::optional<Refusal> validateCommand(const RegionState &state, const Command &command)
{
    return std::visit([&state](const auto &typed) { return validate(state, typed); }, command);
}

} // namespace Hemlockhill
