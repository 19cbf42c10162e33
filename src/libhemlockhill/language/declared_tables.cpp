// Tables of declared objects, settings and cluster status.
#include "answer_tables.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

std::string joinEndpoints(const std::vector<EndpointId> &endpoints)
{
    std::string text;
    for (const EndpointId &endpoint : endpoints) {
        text += (text.empty() ? "" : ",") + endpoint.value;
    }
    return text;
}

template<typename Value>
std::optional<Value> find(const std::map<RegionSetting, Value> &values, RegionSetting setting)
{
    const auto found = values.find(setting);
    return found == values.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t nodesAt(const OperatorView &view, const Revision &revision)
{
    const auto inForce = [&revision](const NodeStatus &node) { return node.revision >= revision; };
    return static_cast<std::uint64_t>(std::count_if(view.nodes.begin(), view.nodes.end(), inForce));
}

std::uint64_t modelsWithoutCopy(const OperatorView &view)
{
    const auto without = [&view](const auto &entry) { return loadedCopies(view, entry.first) == 0; };
    return static_cast<std::uint64_t>(std::count_if(view.state.models.begin(), view.state.models.end(), without));
}

Cell leaderOf(const OperatorView &view)
{
    const auto isLeader = [](const ControllerStatus &controller) { return controller.role == ControllerStatus::Role::Leader; };
    const auto leader = std::find_if(view.controllers.begin(), view.controllers.end(), isLeader);
    return leader == view.controllers.end() ? Cell(std::nullopt) : Cell(leader->vm);
}

} // namespace

TextTable endpointTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"endpoint", "kind", "data_centre", "address", "memory", "fencing", "phase"}, {}};
    for (const auto &[id, endpoint] : view.state.endpoints) {
        if (matchesFilter(filter.endpoint, id) && matchesFilter(filter.dataCentre, endpoint.dataCentre)) {
            table.rows.push_back({id,
                                  toText(endpoint.kind),
                                  endpoint.dataCentre,
                                  endpoint.address.text(),
                                  endpoint.memory,
                                  toText(endpoint.fencing),
                                  toText(endpoint.phase)});
        }
    }
    return table;
}

TextTable modelTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"model", "version", "weights", "kv", "copies", "service"}, {}};
    for (const auto &[id, model] : view.state.models) {
        if (matchesFilter(filter.model, id) && matchesFilter(filter.service, model.service)) {
            table.rows.push_back({id, model.version, model.weights, model.kvReserve, model.minimumCopies, optionalId(model.service)});
        }
    }
    return table;
}

TextTable adapterTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"adapter", "model", "version", "weights", "pinned"}, {}};
    for (const auto &[id, adapter] : view.state.adapters) {
        if (matchesFilter(filter.adapter, id) && matchesFilter(filter.model, adapter.model)) {
            table.rows.push_back({id, adapter.model, adapter.version, adapter.weights, adapter.pinned});
        }
    }
    return table;
}

TextTable serviceTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"service", "priority", "first_token", "between_tokens", "deadline", "once_only", "endpoints"}, {}};
    for (const auto &[id, service] : view.state.services) {
        if (matchesFilter(filter.service, id)) {
            const std::string endpoints = joinEndpoints(service.endpoints);
            table.rows.push_back({id,
                                  toText(service.priority),
                                  service.firstTokenTarget,
                                  service.betweenTokensTarget,
                                  service.deadline,
                                  service.onceOnly,
                                  endpoints.empty() ? Cell(std::nullopt) : Cell(endpoints)});
        }
    }
    return table;
}

TextTable vmTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"vm", "data_centre", "address", "controller"}, {}};
    for (const auto &[id, vm] : view.state.vms) {
        if (matchesFilter(filter.vm, id) && matchesFilter(filter.dataCentre, vm.dataCentre)) {
            table.rows.push_back({id, vm.dataCentre, vm.address.text(), vm.controller});
        }
    }
    return table;
}

TextTable settingTable(const OperatorView &view)
{
    TextTable table{{"setting", "in_force", "set_by_operators", "settings_file"}, {}};
    for (const RegionSetting setting : allRegionSettings()) {
        const auto set = find(view.state.settings, setting);
        const auto fallback = find(view.defaults, setting);
        table.rows.push_back({toText(setting), set ? set : fallback, set, fallback});
    }
    return table;
}

TextTable statusTable(const OperatorView &view)
{
    const RegionState &state = view.state;
    const MoveCounts &moves = view.moves;
    const std::uint64_t modelMoves = moves.modelLoads + moves.modelEvicts + moves.relocations;
    TextTable table{{"item", "value"}, {}};
    table.rows = {
        {"revision", state.revision.value},
        {"leader", leaderOf(view)},
        {"nodes", std::uint64_t{view.nodes.size()}},
        {"nodes_at_revision", nodesAt(view, state.revision)},
        {"endpoints", std::uint64_t{state.endpoints.size()}},
        {"endpoints_reporting", std::uint64_t{view.reports.size()}},
        {"models", std::uint64_t{state.models.size()}},
        {"models_without_copy", modelsWithoutCopy(view)},
        {"adapters", std::uint64_t{state.adapters.size()}},
        {"services", std::uint64_t{state.services.size()}},
        {"orders_open", std::uint64_t{view.orders.size()}},
        {"model_moves", modelMoves},
        {"adapter_moves", moves.adapterLoads + moves.adapterEvicts},
        {"decisions_recorded", std::uint64_t{view.journal == nullptr ? 0 : view.journal->size()}},
        {"decisions_dropped", view.journal == nullptr ? 0 : view.journal->dropped()},
    };
    return table;
}

} // namespace Hemlockhill
