// Turns the moves of placement into orders, as far as memory, safety and the limits of the weight store allow.
#include "hemlockhill/placement_controller.h"

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr int StepsPerPlan = 64;
// Batch slots of a runner that has not reported its batch limit.
constexpr double DefaultSlots = 16;

double weightOf(Priority priority)
{
    switch (priority) {
    case Priority::Interactive:
        return 2;
    case Priority::Normal:
        return 1;
    case Priority::Batch:
        return 0.5;
    }
    return 1;
}

double priorityWeight(const RegionState &state, const ServiceId &service)
{
    const auto found = state.services.find(service);
    return found == state.services.end() ? 1 : weightOf(found->second.priority);
}

} // namespace

// Pinned adapters and recently requested adapters belong to every copy of their model.
bool PlacementController::loadedWithCopies(const Adapter &adapter, TimePoint now) const
{
    const TimePoint lastRequest = m_demand.adapter(adapter.id).lastRequestAt;
    return adapter.pinned || (lastRequest != TimePoint{} && now - lastRequest < m_options.adapterIdleTimeout);
}

std::map<ModelId, PlacementController::CopyAdapters> PlacementController::adaptersOfCopies(const RegionState &state, TimePoint now) const
{
    std::map<ModelId, CopyAdapters> adapters;
    for (const auto &[id, adapter] : state.adapters) {
        if (loadedWithCopies(adapter, now)) {
            CopyAdapters &own = adapters[adapter.model];
            own.adapters.push_back(&adapter);
            own.bytes += adapter.weights;
        }
    }
    return adapters;
}

PlacementRunner PlacementController::runnerFor(const Endpoint &endpoint, TimePoint now) const
{
    PlacementRunner runner;
    runner.id = endpoint.id;
    runner.dataCentre = endpoint.dataCentre;
    runner.limit = endpoint.memory;
    runner.slots = DefaultSlots;
    const auto report = m_reports.find(endpoint.id);
    const bool leaving = report != m_reports.end() && report->second.leaving;
    if (report != m_reports.end()) {
        runner.slots = report->second.batchLimit;
    }
    runner.draining = endpoint.phase == EndpointPhase::Draining || leaving;
    runner.live = reporting(endpoint.id, now);
    // A runner that is declared only in the changed state of a dry run is treated as empty.
    const bool declaredNow = m_state.endpoints.contains(endpoint.id);
    runner.usable = !runner.draining && (!declaredNow || mayOrder(endpoint.id, now));
    runner.live = runner.live || !declaredNow;
    if (const EndpointLedger *ledger = m_ledger.find(endpoint.id)) {
        runner.limit = std::min(runner.limit, ledger->limit());
        runner.otherBytes = ledger->charged();
    }
    return runner;
}

// Copies that are being evicted take no memory in the modelled state, so that their replacement is planned only once.
void PlacementController::addCopies(PlacementInput &input,
                                    std::uint32_t runner,
                                    const RegionState &state,
                                    const std::map<ModelId, std::uint32_t> &models,
                                    const std::map<ModelId, CopyAdapters> &adapters) const
{
    PlacementRunner &entry = input.runners[runner];
    const EndpointLedger *ledger = m_ledger.find(entry.id);
    if (ledger == nullptr) {
        return;
    }
    std::map<MemoryItem, std::pair<CopyPhase, Bytes>> items;
    for (const auto &[item, content] : ledger->contents()) {
        items[item] = {CopyPhase::Serving, content.bytes};
    }
    for (const auto &[id, open] : m_open) {
        if (open.order.endpoint != entry.id) {
            continue;
        }
        const OrderPhase phase = open.lifecycle.phase();
        const bool givenUp = phase == OrderPhase::Failed || phase == OrderPhase::Abandoned;
        const bool isLoad = open.order.action == OrderAction::Load;
        const bool resident = items.contains(open.order.item);
        if (isLoad && !resident) {
            const bool charged = ledger->effect(id) == OrderEffect::Possible;
            items[open.order.item] = {givenUp ? CopyPhase::Evicting : CopyPhase::Loading, charged ? open.order.bytes : Bytes{}};
        } else if (!isLoad && resident) {
            items[open.order.item].first = CopyPhase::Evicting;
            if (!givenUp) {
                entry.otherBytes -= std::min(entry.otherBytes, items[open.order.item].second);
                items[open.order.item].second = Bytes{};
            }
        }
    }
    for (const auto &[item, held] : items) {
        const auto model = models.find(item.model);
        if (!item.adapter.empty()) {
            const auto adapter = state.adapters.find(item.adapter);
            const auto own = adapters.find(item.model);
            const bool belongs =
                adapter != state.adapters.end() && own != adapters.end()
                && std::find(own->second.adapters.begin(), own->second.adapters.end(), &adapter->second) != own->second.adapters.end();
            if (held.first == CopyPhase::Serving && !belongs) {
                entry.reclaimable += held.second;
            }
            continue;
        }
        if (model == models.end()) {
            continue;
        }
        Bytes bytes = held.second;
        entry.otherBytes -= std::min(entry.otherBytes, bytes);
        if (const auto own = adapters.find(item.model); own != adapters.end() && bytes.value > 0) {
            for (const Adapter *adapter : own->second.adapters) {
                const bool counted = items.contains({item.model, adapter->id, adapter->version});
                bytes += adapter->weights;
                entry.otherBytes -= counted ? std::min(entry.otherBytes, adapter->weights) : Bytes{};
            }
        }
        const bool obsolete = item.version != state.models.at(item.model).version;
        input.copies.push_back({model->second, runner, held.first, obsolete, bytes});
    }
}

PlacementInput PlacementController::inputFor(const RegionState &state, TimePoint now) const
{
    PlacementInput input;
    std::map<ModelId, std::uint32_t> models;
    std::map<EndpointId, std::uint32_t> runners;
    const auto adapters = adaptersOfCopies(state, now);
    for (const auto &[id, model] : state.models) {
        const DemandEstimate demand = m_demand.model(id);
        const auto own = adapters.find(id);
        models[id] = static_cast<std::uint32_t>(input.models.size());
        input.models.push_back({id,
                                model.version,
                                model.weights + model.kvReserve + (own == adapters.end() ? Bytes{} : own->second.bytes),
                                model.minimumCopies,
                                demand.slots(),
                                demand.longTermSlots(),
                                priorityWeight(state, model.service),
                                {}});
    }
    for (const auto &[id, endpoint] : state.endpoints) {
        if (endpoint.kind == EndpointKind::Runner) {
            runners[id] = static_cast<std::uint32_t>(input.runners.size());
            input.runners.push_back(runnerFor(endpoint, now));
            addCopies(input, runners[id], state, models, adapters);
        }
    }
    for (const Pin &pin : state.pins) {
        if (models.contains(pin.model) && runners.contains(pin.endpoint)) {
            input.models[models[pin.model]].pinnedOn.push_back(runners[pin.endpoint]);
        }
    }
    return input;
}

void PlacementController::plan(TimePoint now, PlacementActions &actions)
{
    planUndeclared(now, actions);
    Placement placement(inputFor(m_state, now), m_options.placement);
    for (int step = 0; step < StepsPerPlan; ++step) {
        const std::vector<PlacementMove> moves = placement.step();
        if (moves.empty() || !issueMoves(moves, now, actions)) {
            break;
        }
    }
    for (const PlacementShortage &shortage : placement.shortages()) {
        const std::string reason(toText(shortage.reason));
        const bool optional = shortage.reason == MoveReason::SecondDataCentre;
        if (!optional && m_reportedShortages.insert(shortage.model.value + reason).second) {
            std::string text = reason;
            text += "; no runner has enough free memory, missing ";
            text += formatBytes(shortage.missing);
            addJournalLine(JournalKind::NoRoom, "model " + shortage.model.value, text, now, actions);
        }
    }
    planAdapters(now, actions);
}

// Evicts nothing for a load that the limits of the weight store do not allow yet.
bool PlacementController::issueMoves(const std::vector<PlacementMove> &moves, TimePoint now, PlacementActions &actions)
{
    for (const PlacementMove &move : moves) {
        if (move.load && !m_budget.allowsModelLoad(move.purpose, loadsInFlight(false, now), now)) {
            return false;
        }
    }
    for (const PlacementMove &move : moves) {
        if (move.load) {
            issueLoad(move, now, actions);
        } else {
            issueEviction(move, now, actions);
        }
    }
    return true;
}

bool PlacementController::issueLoad(const PlacementMove &move, TimePoint now, PlacementActions &actions)
{
    const Model &model = m_state.models.at(move.model);
    const MemoryItem item{move.model, AdapterId{}, model.version};
    const EndpointLedger &ledger = m_ledger.at(move.runner, now);
    const Bytes bytes = model.weights + model.kvReserve;
    if (!mayOrder(move.runner, now) || conflicts(move.runner, OrderAction::Load, item) || ledger.contents().contains(item)) {
        return false;
    }
    if (ledger.free() < bytes) {
        evictIdleAdapter(move.runner, AdapterId{}, move.purpose != LoadPurpose::Reachability, now, actions);
        return false;
    }
    if (!m_budget.takeModelLoad(move.purpose, loadsInFlight(false, now), now)) {
        return false;
    }
    openOrder(OrderAction::Load, move.runner, item, bytes, std::string(toText(move.reason)), now, actions);
    return true;
}

void PlacementController::issueEviction(const PlacementMove &move, TimePoint now, PlacementActions &actions)
{
    const VersionId &declared = m_state.models.at(move.model).version;
    for (const auto &[item, content] : m_ledger.at(move.runner, now).contents()) {
        if (item.model == move.model && item.adapter.empty() && (item.version != declared) == move.obsolete) {
            evictModel(move.runner, item, std::string(toText(move.reason)), now, actions);
            return;
        }
    }
}

// Evicts the adapters along with their model, unless another version of the model stays.
void PlacementController::evictModel(
    const EndpointId &endpoint, const MemoryItem &item, const std::string &reason, TimePoint now, PlacementActions &actions)
{
    const EndpointLedger &ledger = m_ledger.at(endpoint, now);
    Order eviction;
    eviction.endpoint = endpoint;
    eviction.action = OrderAction::Evict;
    eviction.item = item;
    if (!mayOrder(endpoint, now) || !staysServed(eviction, now)) {
        return;
    }
    const auto &contents = ledger.contents();
    const bool otherVersion = std::any_of(contents.begin(), contents.end(), [&](const auto &entry) {
        return entry.first.model == item.model && entry.first.adapter.empty() && entry.first.version != item.version;
    });
    if (conflicts(endpoint, OrderAction::Evict, item)) {
        return;
    }
    for (const auto &[held, content] : contents) {
        const bool isDependent = held.model == item.model && !held.adapter.empty() && !otherVersion;
        if (isDependent && !conflicts(endpoint, OrderAction::Evict, held)) {
            openOrder(OrderAction::Evict, endpoint, held, content.bytes, reason, now, actions);
        }
    }
    openOrder(OrderAction::Evict, endpoint, item, contents.at(item).bytes, reason, now, actions);
}

// Evicts the least recently requested adapter that is not pinned.
bool PlacementController::evictIdleAdapter(
    const EndpointId &endpoint, const AdapterId &excepted, bool onlyIdle, TimePoint now, PlacementActions &actions)
{
    const EndpointLedger &ledger = m_ledger.at(endpoint, now);
    const MemoryItem *oldest = nullptr;
    TimePoint oldestRequestAt;
    for (const auto &[item, content] : ledger.contents()) {
        const auto declared = m_state.adapters.find(item.adapter);
        const bool pinned = declared != m_state.adapters.end() && declared->second.pinned;
        const TimePoint lastRequest = m_demand.adapter(item.adapter).lastRequestAt;
        const bool busy = onlyIdle && now - lastRequest < m_options.adapterIdleTimeout;
        if (item.adapter.empty() || item.adapter == excepted || pinned || busy || conflicts(endpoint, OrderAction::Evict, item)) {
            continue;
        }
        if (oldest == nullptr || lastRequest < oldestRequestAt) {
            oldest = &item;
            oldestRequestAt = lastRequest;
        }
    }
    if (oldest == nullptr || !mayOrder(endpoint, now)) {
        return false;
    }
    const MemoryItem item = *oldest;
    openOrder(OrderAction::Evict, endpoint, item, ledger.contents().at(item).bytes, std::string(toText(MoveReason::Room)), now, actions);
    return true;
}

void PlacementController::planAdapters(TimePoint now, PlacementActions &actions)
{
    std::map<ModelId, std::vector<EndpointId>> holders;
    for (const auto &[id, ledger] : m_ledger.endpoints()) {
        if (!mayOrder(id, now) || m_state.endpoints.at(id).phase == EndpointPhase::Draining) {
            continue;
        }
        for (const auto &[item, content] : ledger.contents()) {
            const auto model = m_state.models.find(item.model);
            if (item.adapter.empty() && model != m_state.models.end() && model->second.version == item.version) {
                holders[item.model].push_back(id);
            }
        }
    }
    for (const bool pinned : {true, false}) {
        for (const auto &[id, adapter] : m_state.adapters) {
            if (adapter.pinned == pinned && holders.contains(adapter.model)) {
                planAdapter(adapter, holders.at(adapter.model), now, actions);
            }
        }
    }
}

void PlacementController::planAdapter(const Adapter &adapter,
                                      const std::vector<EndpointId> &holders,
                                      TimePoint now,
                                      PlacementActions &actions)
{
    if (!loadedWithCopies(adapter, now)) {
        return;
    }
    const MemoryItem item{adapter.model, adapter.id, adapter.version};
    for (const EndpointId &endpoint : holders) {
        const EndpointLedger &ledger = m_ledger.at(endpoint, now);
        if (ledger.contents().contains(item) || conflicts(endpoint, OrderAction::Load, item)) {
            continue;
        }
        if (ledger.free() < adapter.weights) {
            evictIdleAdapter(endpoint, adapter.id, true, now, actions);
        } else if (m_budget.takeAdapterLoad(loadsInFlight(true, now))) {
            const char *reason = adapter.pinned ? "pinned adapter" : "recently requested";
            openOrder(OrderAction::Load, endpoint, item, adapter.weights, reason, now, actions);
        }
    }
}

bool PlacementController::isDeclared(const EndpointLedger &ledger, const MemoryItem &item) const
{
    if (item.adapter.empty()) {
        return m_state.models.contains(item.model);
    }
    const auto adapter = m_state.adapters.find(item.adapter);
    const bool declared =
        adapter != m_state.adapters.end() && adapter->second.model == item.model && adapter->second.version == item.version;
    return declared && std::any_of(ledger.contents().begin(), ledger.contents().end(), [&](const auto &entry) {
               return entry.first.model == item.model && entry.first.adapter.empty();
           });
}

// Evicts contents that are not declared: withdrawn, or found after a runner's return.
void PlacementController::planUndeclared(TimePoint now, PlacementActions &actions)
{
    for (const auto &[id, ledger] : m_ledger.endpoints()) {
        if (!mayOrder(id, now)) {
            continue;
        }
        for (const auto &[item, content] : ledger.contents()) {
            if (isDeclared(ledger, item) || conflicts(id, OrderAction::Evict, item)) {
                continue;
            }
            if (item.adapter.empty()) {
                evictModel(id, item, "not declared", now, actions);
            } else {
                openOrder(OrderAction::Evict, id, item, content.bytes, "not declared", now, actions);
            }
        }
    }
}

} // namespace Hemlockhill
