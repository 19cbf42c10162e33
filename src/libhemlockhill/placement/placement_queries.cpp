// Operator queries on placement, and dry runs.
#include "hemlockhill/placement_controller.h"

#include <array>
#include <sstream>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t JournalLinesShown = 20;

std::string_view toText(JournalKind kind)
{
    constexpr std::array<std::string_view, 8> Names{
        "planned", "sent", "observed", "failed", "abandoned", "no room", "endpoint returned", "taken over"};
    return Names.at(static_cast<std::size_t>(kind));
}

} // namespace

std::vector<PlacementRow> PlacementController::placement() const
{
    std::vector<PlacementRow> rows;
    for (const auto &[endpoint, ledger] : m_ledger.endpoints()) {
        const auto declared = m_state.endpoints.find(endpoint);
        const DataCentreId dataCentre = declared == m_state.endpoints.end() ? DataCentreId{} : declared->second.dataCentre;
        for (const auto &[item, content] : ledger.contents()) {
            const OpenOrder *open = openFor(endpoint, item);
            std::string phase = "serving";
            if (open != nullptr) {
                phase = open->order.action == OrderAction::Evict ? "evicting" : "unconfirmed";
            }
            rows.push_back({item, endpoint, dataCentre, phase});
        }
        for (const auto &[id, charge] : ledger.charges()) {
            if (charge.order.action == OrderAction::Load && !ledger.contents().contains(charge.order.item)) {
                rows.push_back({charge.order.item, endpoint, dataCentre, "loading"});
            }
        }
    }
    return rows;
}

std::vector<MemoryRow> PlacementController::memory() const
{
    std::vector<MemoryRow> rows;
    for (const auto &[endpoint, ledger] : m_ledger.endpoints()) {
        MemoryRow row;
        row.endpoint = endpoint;
        row.limit = ledger.limit();
        for (const auto &[item, content] : ledger.contents()) {
            row.resident += content.bytes;
        }
        row.pending = ledger.charged() - std::min(ledger.charged(), row.resident);
        row.openOrders = ledger.charges().size();
        row.reporting = ledger.isUpToDate();
        const auto blocked = m_ordersBlockedUntil.find(endpoint);
        if (blocked != m_ordersBlockedUntil.end()) {
            row.ordersBlockedUntil = blocked->second;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<std::string> PlacementController::explain(const ModelId &model) const
{
    std::vector<std::string> lines;
    for (const PlacementRow &row : placement()) {
        if (row.item.model == model && row.item.adapter.empty()) {
            lines.push_back(row.phase + " on " + row.endpoint.value + " in " + row.dataCentre.value + ", version "
                            + row.item.version.value);
        }
    }
    const DemandEstimate demand = m_demand.model(model);
    std::ostringstream text;
    text << "demand " << demand.rate << " requests/s, long-term " << demand.longTermRate << " requests/s, " << demand.slots()
         << " batch slots";
    lines.push_back(text.str());
    std::vector<std::string> history;
    for (auto line = m_journal.rbegin(); line != m_journal.rend() && history.size() < JournalLinesShown; ++line) {
        const std::string padded = " " + line->subject + " ";
        if (padded.find(" " + model.value + " ") != std::string::npos) {
            history.push_back(std::string(toText(line->kind)) + ": " + line->subject + ": " + line->reason);
        }
    }
    lines.insert(lines.end(), history.rbegin(), history.rend());
    return lines;
}

std::vector<PlacementMove> PlacementController::plannedMoves(const RegionState &changed, TimePoint now) const
{
    Placement placement(inputFor(changed, now), m_options.placement);
    return placement.compute();
}

} // namespace Hemlockhill
