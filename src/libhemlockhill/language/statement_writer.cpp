// Formatting of commands as statements.
#include "hemlockhill/language.h"

#include <array>
#include <charconv>
#include <sstream>

namespace Hemlockhill
{

namespace
{

std::string formatDecimal(double value)
{
    std::array<char, 400> text{};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    return {text.data(), end};
}

std::string joinEndpoints(const std::vector<EndpointId> &endpoints)
{
    std::string text;
    for (const EndpointId &endpoint : endpoints) {
        text += (text.empty() ? "" : ",") + endpoint.value;
    }
    return text.empty() ? "-" : text;
}

// Builds the text of a statement clause by clause.
class StatementWriter
{
public:
    StatementWriter(std::string_view verb, ObjectKind kind, std::string_view name) { m_text << verb << ' ' << toText(kind) << ' ' << name; }

    template<typename Value>
    StatementWriter &clause(std::string_view keyword, const Value &value)
    {
        m_text << ' ' << keyword << ' ' << value;
        return *this;
    }

    // Appends the clause when the value is present, formatted by write.
    template<typename Value, typename Write>
    StatementWriter &clause(std::string_view keyword, const std::optional<Value> &value, Write write)
    {
        return value ? clause(keyword, write(*value)) : *this;
    }

    StatementWriter &flag(std::string_view whenTrue, std::string_view whenFalse, const std::optional<bool> &value)
    {
        if (value) {
            m_text << ' ' << (*value ? whenTrue : whenFalse);
        }
        return *this;
    }

    std::string text() const { return m_text.str(); }

private:
    std::ostringstream m_text;
};

const auto TextOf = [](const auto &value) { return toText(value); };
const auto NameOf = [](const auto &id) { return id.value.empty() ? std::string("-") : id.value; };
const auto AddressOf = [](const Address &address) { return address.text(); };
const auto Unchanged = [](const auto &value) { return value; };

void write(StatementWriter &writer, const EndpointPatch &patch)
{
    writer.clause("address", patch.address, AddressOf).clause("in", patch.dataCentre, NameOf).clause("memory", patch.memory, formatBytes);
    writer.clause("kind", patch.kind, TextOf).clause("fencing", patch.fencing, TextOf);
}

void write(StatementWriter &writer, const ModelPatch &patch)
{
    writer.clause("version", patch.version, NameOf)
        .clause("weights", patch.weights, formatBytes)
        .clause("kv", patch.kvReserve, formatBytes);
    writer.clause("copies", patch.minimumCopies, Unchanged).clause("service", patch.service, NameOf);
}

void write(StatementWriter &writer, const AdapterPatch &patch)
{
    writer.clause("for", patch.model, NameOf).clause("version", patch.version, NameOf).clause("weights", patch.weights, formatBytes);
    writer.flag("pinned", "unpinned", patch.pinned);
}

void write(StatementWriter &writer, const ServicePatch &patch)
{
    writer.clause("priority", patch.priority, TextOf).clause("first-token", patch.firstTokenTarget, formatDuration);
    writer.clause("between-tokens", patch.betweenTokensTarget, formatDuration).clause("deadline", patch.deadline, formatDuration);
    writer.flag("once-only", "repeatable", patch.onceOnly).clause("endpoints", patch.endpoints, joinEndpoints);
}

void write(StatementWriter &writer, const VmPatch &patch)
{
    writer.clause("address", patch.address, AddressOf).clause("in", patch.dataCentre, NameOf);
    writer.flag("controller", "no-controller", patch.controller);
}

template<typename Patch>
std::string formatPatch(std::string_view verb, ObjectKind kind, const std::string &name, const Patch &patch)
{
    StatementWriter writer(verb, kind, name);
    write(writer, patch);
    return writer.text();
}

VmPatch patchOf(const Vm &vm)
{
    return {vm.address, vm.dataCentre, vm.controller ? std::optional(true) : std::nullopt};
}

std::string formatCommand(const DeclareEndpoint &command)
{
    const Endpoint &endpoint = command.endpoint;
    const EndpointPatch patch{endpoint.address, endpoint.dataCentre, endpoint.memory, endpoint.kind, endpoint.fencing};
    return formatPatch("declare", ObjectKind::Endpoint, endpoint.id.value, patch);
}

std::string formatCommand(const DeclareModel &command)
{
    const Model &model = command.model;
    ModelPatch patch{model.version, model.weights, model.kvReserve, model.minimumCopies, std::nullopt};
    if (!model.service.empty()) {
        patch.service = model.service;
    }
    return formatPatch("declare", ObjectKind::Model, model.id.value, patch);
}

std::string formatCommand(const DeclareAdapter &command)
{
    const Adapter &adapter = command.adapter;
    const AdapterPatch patch{adapter.model, adapter.version, adapter.weights, adapter.pinned ? std::optional(true) : std::nullopt};
    return formatPatch("declare", ObjectKind::Adapter, adapter.id.value, patch);
}

std::string formatCommand(const DeclareService &command)
{
    const Service &service = command.service;
    ServicePatch patch{
        service.priority, service.firstTokenTarget, service.betweenTokensTarget, service.deadline, std::nullopt, std::nullopt};
    if (service.onceOnly) {
        patch.onceOnly = true;
    }
    if (!service.endpoints.empty()) {
        patch.endpoints = service.endpoints;
    }
    return formatPatch("declare", ObjectKind::Service, service.id.value, patch);
}

std::string formatCommand(const DeclareVm &command)
{
    return formatPatch("declare", ObjectKind::Vm, command.vm.id.value, patchOf(command.vm));
}

std::string formatCommand(const ReplaceVm &command)
{
    return formatPatch("replace", ObjectKind::Vm, command.old.value + " by " + command.successor.id.value, patchOf(command.successor));
}

std::string formatCommand(const ChangeEndpoint &command)
{
    return formatPatch("change", ObjectKind::Endpoint, command.endpoint.value, command.patch);
}

std::string formatCommand(const ChangeModel &command)
{
    return formatPatch("change", ObjectKind::Model, command.model.value, command.patch);
}

std::string formatCommand(const ChangeAdapter &command)
{
    return formatPatch("change", ObjectKind::Adapter, command.adapter.value, command.patch);
}

std::string formatCommand(const ChangeService &command)
{
    return formatPatch("change", ObjectKind::Service, command.service.value, command.patch);
}

std::string formatCommand(const Withdraw &command)
{
    return "withdraw " + std::string(toText(command.kind)) + " " + command.name;
}

std::string formatCommand(const SetEndpointPhase &command)
{
    return (command.phase == EndpointPhase::Draining ? "drain endpoint " : "admit endpoint ") + command.endpoint.value;
}

std::string formatCommand(const SetPin &command)
{
    return (command.pinned ? "pin model " : "unpin model ") + command.model.value + " on " + command.endpoint.value;
}

std::string formatCommand(const SetRegionValue &command)
{
    const std::string setting(toText(command.setting));
    return command.value ? "set " + setting + " " + formatDecimal(*command.value) : "unset " + setting;
}

} // namespace

std::string format(const Command &command)
{
    return std::visit([](const auto &typed) { return formatCommand(typed); }, command);
}

std::string format(const CommandRequest &request)
{
    std::string text = format(request.command);
    if (request.expected) {
        text += " at " + std::to_string(request.expected->value);
    }
    if (!request.operation.empty()) {
        text += " operation " + request.operation.value;
    }
    return text;
}

} // namespace Hemlockhill
