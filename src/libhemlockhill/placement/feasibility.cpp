// Checks whether all declared models fit into memory, before a declaration is accepted.
#include "hemlockhill/placement.h"

#include <algorithm>
#include <map>

namespace Hemlockhill
{

namespace
{

Refusal insufficient(const std::string &detail)
{
    Refusal refusal;
    refusal.reason = Reason::InsufficientMemory;
    refusal.detail = detail;
    return refusal;
}

// Memory of one copy of each model, including its KV reserve and pinned adapters.
std::map<ModelId, Bytes> bytesPerCopy(const RegionState &state)
{
    std::map<ModelId, Bytes> bytes;
    for (const auto &[id, model] : state.models) {
        bytes[id] = model.weights + model.kvReserve;
    }
    for (const auto &[id, adapter] : state.adapters) {
        if (adapter.pinned && bytes.contains(adapter.model)) {
            bytes[adapter.model] += adapter.weights;
        }
    }
    return bytes;
}

std::map<EndpointId, Bytes> activeRunners(const RegionState &state)
{
    std::map<EndpointId, Bytes> free;
    for (const auto &[id, endpoint] : state.endpoints) {
        if (endpoint.kind == EndpointKind::Runner && endpoint.phase == EndpointPhase::Active) {
            free[id] = endpoint.memory;
        }
    }
    return free;
}

std::string missingText(const Model &model, std::uint32_t placed, Bytes needed, Bytes mostFree)
{
    const std::string which = placed == 0 ? "a copy" : "copy " + std::to_string(placed + 1);
    return "model " + model.id.value + ": " + which + " takes " + formatBytes(needed) + ", the runner with the most free memory has "
           + formatBytes(mostFree) + " left; missing " + formatBytes(needed - mostFree);
}

// The runner with the most free memory that does not hold the model yet.
std::map<EndpointId, Bytes>::iterator
mostFreeRunnerWithout(std::map<EndpointId, Bytes> &free, const std::map<EndpointId, std::vector<ModelId>> &held, const ModelId &model)
{
    auto best = free.end();
    for (auto runner = free.begin(); runner != free.end(); ++runner) {
        const auto holds = held.find(runner->first);
        const bool taken = holds != held.end() && std::find(holds->second.begin(), holds->second.end(), model) != holds->second.end();
        if (!taken && (best == free.end() || runner->second > best->second)) {
            best = runner;
        }
    }
    return best;
}

} // namespace

std::optional<Refusal> findInfeasibility(const RegionState &state)
{
    const auto bytes = bytesPerCopy(state);
    auto free = activeRunners(state);
    std::map<EndpointId, std::vector<ModelId>> held;
    std::map<ModelId, std::uint32_t> placed;
    for (const Pin &pin : state.pins) {
        const auto runner = free.find(pin.endpoint);
        const auto needed = bytes.find(pin.model);
        if (runner == free.end() || needed == bytes.end()) {
            continue;
        }
        if (runner->second < needed->second) {
            return insufficient("the models pinned on " + pin.endpoint.value + " do not fit; missing "
                                + formatBytes(needed->second - runner->second));
        }
        runner->second -= needed->second;
        held[pin.endpoint].push_back(pin.model);
        ++placed[pin.model];
    }
    std::vector<const Model *> models;
    for (const auto &[id, model] : state.models) {
        models.push_back(&model);
    }
    std::stable_sort(
        models.begin(), models.end(), [&](const Model *left, const Model *right) { return bytes.at(left->id) > bytes.at(right->id); });
    for (const Model *model : models) {
        const Bytes needed = bytes.at(model->id);
        for (std::uint32_t copy = placed[model->id]; copy < std::max(1U, model->minimumCopies); ++copy) {
            const auto runner = mostFreeRunnerWithout(free, held, model->id);
            if (runner == free.end()) {
                return insufficient("model " + model->id.value + ": no active runner is available for copy " + std::to_string(copy + 1));
            }
            if (runner->second < needed) {
                return insufficient(missingText(*model, copy, needed, runner->second));
            }
            runner->second -= needed;
            held[runner->first].push_back(model->id);
        }
    }
    return std::nullopt;
}

} // namespace Hemlockhill
