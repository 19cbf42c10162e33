// Tables of run-time state: placement, memory, nodes, controllers, orders, performance and journal decisions.
#include "answer_tables.h"

#include <algorithm>
#include <array>

namespace Hemlockhill
{

namespace
{

DataCentreId dataCentreOf(const OperatorView &view, const EndpointId &id)
{
    const auto endpoint = view.state.endpoints.find(id);
    return endpoint == view.state.endpoints.end() ? DataCentreId{} : endpoint->second.dataCentre;
}

std::optional<Bytes> chargeOf(const OperatorView &view, const EndpointId &id)
{
    const auto found =
        std::find_if(view.charges.begin(), view.charges.end(), [&id](const MemoryCharge &charge) { return charge.endpoint == id; });
    return found == view.charges.end() ? std::nullopt : std::optional(found->charged);
}

Duration inMilliseconds(Duration duration)
{
    return std::chrono::floor<std::chrono::milliseconds>(std::max(duration, Duration::zero()));
}

} // namespace

std::string_view toText(ControllerStatus::Role role)
{
    constexpr std::array<std::string_view, 6> Names{"unknown", "learner", "follower", "pre_candidate", "candidate", "leader"};
    return Names.at(static_cast<std::size_t>(role));
}

std::string_view toText(OrderRow::Action action)
{
    constexpr std::array<std::string_view, 3> Names{"load", "evict", "role"};
    return Names.at(static_cast<std::size_t>(action));
}

std::string_view toText(OrderRow::Stage stage)
{
    constexpr std::array<std::string_view, 7> Names{"planned", "committed", "sent", "acknowledged", "observed", "failed", "abandoned"};
    return Names.at(static_cast<std::size_t>(stage));
}

std::string_view toText(ResidencyRow::Phase phase)
{
    constexpr std::array<std::string_view, 3> Names{"loading", "loaded", "evicting"};
    return Names.at(static_cast<std::size_t>(phase));
}

std::vector<ResidencyRow> residencyOf(const EndpointReports &reports)
{
    std::vector<ResidencyRow> rows;
    for (const auto &[id, report] : reports) {
        for (const LoadedModel &model : report.models) {
            rows.push_back({id, model.model, {}, model.version, model.bytes, ResidencyRow::Phase::Loaded});
        }
        for (const LoadedAdapter &adapter : report.adapters) {
            rows.push_back({id, adapter.model, adapter.adapter, adapter.version, adapter.bytes, ResidencyRow::Phase::Loaded});
        }
    }
    return rows;
}

std::uint64_t loadedCopies(const OperatorView &view, const ModelId &model)
{
    const auto isCopy = [&model](const ResidencyRow &row) {
        return row.model == model && row.adapter.empty() && row.phase == ResidencyRow::Phase::Loaded;
    };
    return static_cast<std::uint64_t>(std::count_if(view.residency.begin(), view.residency.end(), isCopy));
}

TextTable placementTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"model", "adapter", "version", "endpoint", "data_centre", "bytes", "phase", "pinned"}, {}};
    for (const ResidencyRow &row : view.residency) {
        const DataCentreId dataCentre = dataCentreOf(view, row.endpoint);
        if (!matchesFilter(filter.model, row.model) || !matchesFilter(filter.adapter, row.adapter)
            || !matchesFilter(filter.endpoint, row.endpoint) || !matchesFilter(filter.dataCentre, dataCentre)) {
            continue;
        }
        const bool pinned = row.adapter.empty() && view.state.pins.contains({row.model, row.endpoint});
        table.rows.push_back(
            {row.model, optionalId(row.adapter), row.version, row.endpoint, optionalId(dataCentre), row.bytes, toText(row.phase), pinned});
    }
    return table;
}

TextTable memoryTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"endpoint", "data_centre", "memory", "charged", "reported_total", "reported_used", "models", "adapters", "report_age"},
                    {}};
    for (const auto &[id, endpoint] : view.state.endpoints) {
        if (endpoint.kind != EndpointKind::Runner || !matchesFilter(filter.endpoint, id)
            || !matchesFilter(filter.dataCentre, endpoint.dataCentre)) {
            continue;
        }
        std::vector<Cell> row{id, endpoint.dataCentre, endpoint.memory, chargeOf(view, id)};
        if (const auto found = view.reports.find(id); found != view.reports.end()) {
            const EndpointReport &report = found->second;
            row.insert(row.end(),
                       {report.memoryTotal,
                        report.memoryUsed,
                        std::uint64_t{report.models.size()},
                        std::uint64_t{report.adapters.size()},
                        inMilliseconds(view.now - report.requestedAt)});
        }
        row.resize(table.columnNames.size(), Cell(std::nullopt));
        table.rows.push_back(std::move(row));
    }
    return table;
}

TextTable nodeTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"vm", "data_centre", "revision", "behind", "lease_left", "phase", "requests"}, {}};
    for (const NodeStatus &node : view.nodes) {
        if (!matchesFilter(filter.vm, node.vm) || !matchesFilter(filter.dataCentre, node.dataCentre)) {
            continue;
        }
        const std::uint64_t behind = view.state.revision > node.revision ? (view.state.revision - node.revision).value : 0;
        const bool expired = node.leaseLeft <= Duration::zero();
        table.rows.push_back({node.vm,
                              node.dataCentre,
                              node.revision.value,
                              behind,
                              inMilliseconds(node.leaseLeft),
                              expired        ? "expired"
                              : node.leaving ? "leaving"
                                             : "serving",
                              node.requestsInProgress});
    }
    return table;
}

TextTable controllerTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"vm", "role", "term", "last_index", "commit_index", "silent_for"}, {}};
    for (const ControllerStatus &controller : view.controllers) {
        if (matchesFilter(filter.vm, controller.vm)) {
            const auto silent = controller.silentFor ? std::optional(inMilliseconds(*controller.silentFor)) : std::nullopt;
            table.rows.push_back(
                {controller.vm, toText(controller.role), controller.term, controller.lastIndex, controller.commitIndex, silent});
        }
    }
    return table;
}

TextTable orderTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"order", "endpoint", "action", "model", "adapter", "version", "bytes", "stage", "fencing", "age"}, {}};
    for (const OrderRow &order : view.orders) {
        if (matchesFilter(filter.endpoint, order.endpoint) && matchesFilter(filter.model, order.model)
            && matchesFilter(filter.adapter, order.adapter)) {
            table.rows.push_back({order.order,
                                  order.endpoint,
                                  toText(order.action),
                                  optionalId(order.model),
                                  optionalId(order.adapter),
                                  optionalId(order.version),
                                  order.bytes,
                                  toText(order.stage),
                                  order.fencing.value,
                                  order.age ? std::optional(inMilliseconds(*order.age)) : std::nullopt});
        }
    }
    return table;
}

TextTable performanceTable(const OperatorView &view, const QueryFilter &filter)
{
    TextTable table{{"model", "copies", "requests", "attained", "first_token_mean", "tokens", "retries", "refused"}, {}};
    for (const ModelPerformance &model : view.performance) {
        if (!matchesFilter(filter.model, model.model)) {
            continue;
        }
        const auto attained =
            model.requests == 0 ? std::nullopt : std::optional(static_cast<double>(model.attained) / static_cast<double>(model.requests));
        table.rows.push_back({model.model,
                              loadedCopies(view, model.model),
                              model.requests,
                              attained,
                              inMilliseconds(model.firstTokenMean),
                              model.tokens,
                              model.retries,
                              model.refused});
    }
    return table;
}

JournalFilter journalFilter(const OperatorView &view, const QueryFilter &filter)
{
    JournalFilter wanted;
    wanted.model = filter.model;
    wanted.adapter = filter.adapter;
    wanted.endpoint = filter.endpoint;
    wanted.vm = filter.vm;
    wanted.request = filter.request;
    if (filter.last && *filter.last < view.now.time_since_epoch()) {
        wanted.since = view.now - *filter.last;
    }
    return wanted;
}

TextTable journalTable(const OperatorView &view, const JournalFilter &filter)
{
    // Limits the answer to the most recent decisions, which operators usually look for.
    constexpr std::size_t MaxRows = 500;
    TextTable table{{"age", "decision", "cause", "reason", "model", "adapter", "endpoint", "from", "vm", "request", "detail"}, {}};
    if (view.journal == nullptr) {
        return table;
    }
    const std::vector<Decision> decisions = view.journal->select(filter);
    const std::size_t first = decisions.size() > MaxRows ? decisions.size() - MaxRows : 0;
    for (std::size_t index = first; index < decisions.size(); ++index) {
        const Decision &decision = decisions[index];
        const DecisionSubjects &subjects = decision.subjects;
        table.rows.push_back({inMilliseconds(view.now - decision.time),
                              toText(decision.kind),
                              toText(decision.cause),
                              decision.reason ? Cell(toText(*decision.reason)) : Cell(std::nullopt),
                              optionalId(subjects.model),
                              optionalId(subjects.adapter),
                              optionalId(subjects.endpoint),
                              optionalId(subjects.from),
                              optionalId(subjects.vm),
                              optionalId(subjects.request),
                              decision.detail.empty() ? Cell(std::nullopt) : Cell(decision.detail)});
    }
    return table;
}

} // namespace Hemlockhill
