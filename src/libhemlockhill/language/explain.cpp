// Answers to explain and plan queries.
#include "answer_tables.h"

#include <map>
#include <set>
#include <utility>

namespace Hemlockhill
{

namespace
{

Refusal unknown(const OperatorView &view, const std::string &what)
{
    const std::uint64_t dropped = view.journal == nullptr ? 0 : view.journal->dropped();
    Refusal refusal;
    refusal.reason = Reason::UnknownObject;
    refusal.detail = what + " is neither declared nor in the journal, which has dropped " + std::to_string(dropped) + " older decisions";
    return refusal;
}

std::string pinsText(const RegionState &state, const ModelId &model)
{
    std::string text;
    for (const Pin &pin : state.pins) {
        if (pin.model == model) {
            text += (text.empty() ? "" : ",") + pin.endpoint.value;
        }
    }
    return text.empty() ? "-" : text;
}

std::uint64_t dataCentresOf(const OperatorView &view, const ModelId &model)
{
    std::set<DataCentreId> dataCentres;
    for (const ResidencyRow &row : view.residency) {
        const auto endpoint = view.state.endpoints.find(row.endpoint);
        if (row.model == model && row.adapter.empty() && row.phase == ResidencyRow::Phase::Loaded
            && endpoint != view.state.endpoints.end()) {
            dataCentres.insert(endpoint->second.dataCentre);
        }
    }
    return dataCentres.size();
}

TextTable modelFacts(const OperatorView &view, const Model &model)
{
    const std::uint64_t copies = loadedCopies(view, model.id);
    TextTable table{{"item", "value"}, {}};
    table.rows = {
        {"version", model.version},
        {"memory_per_copy", model.weights + model.kvReserve},
        {"copies_declared", model.minimumCopies},
        {"copies_loaded", copies},
        {"data_centres", dataCentresOf(view, model.id)},
        {"reachable", copies > 0},
        {"pinned_on", pinsText(view.state, model.id)},
        {"service", optionalId(model.service)},
    };
    return table;
}

TextTable adapterFacts(const OperatorView &view, const Adapter &adapter)
{
    std::uint64_t copies = 0;
    for (const ResidencyRow &row : view.residency) {
        copies += row.adapter == adapter.id && row.phase == ResidencyRow::Phase::Loaded ? 1 : 0;
    }
    TextTable table{{"item", "value"}, {}};
    table.rows = {{"model", adapter.model},
                  {"version", adapter.version},
                  {"memory_per_copy", adapter.weights},
                  {"copies_loaded", copies},
                  {"model_copies", loadedCopies(view, adapter.model)},
                  {"pinned", adapter.pinned}};
    return table;
}

TextTable endpointFacts(const OperatorView &view, const Endpoint &endpoint)
{
    TextTable table{{"item", "value"}, {}};
    table.rows = {{"kind", toText(endpoint.kind)},
                  {"data_centre", endpoint.dataCentre},
                  {"phase", toText(endpoint.phase)},
                  {"fencing", toText(endpoint.fencing)},
                  {"reports", view.reports.contains(endpoint.id)}};
    if (const auto found = view.reports.find(endpoint.id); found != view.reports.end()) {
        const EndpointReport &report = found->second;
        table.rows.push_back({"incarnation", report.incarnation});
        table.rows.push_back({"leaving", report.leaving});
        table.rows.push_back({"running", report.running});
        table.rows.push_back({"waiting", report.waiting});
    }
    return table;
}

// Combines the facts about an object with the sections that all objects have.
OperatorAnswer objectAnswer(const OperatorView &view, TextTable facts, const QueryFilter &filter)
{
    OperatorAnswer answer;
    answer.sections.push_back({"facts", std::move(facts)});
    answer.sections.push_back({"placement", placementTable(view, filter)});
    answer.sections.push_back({"orders", orderTable(view, filter)});
    answer.sections.push_back({"decisions", journalTable(view, journalFilter(view, filter))});
    return answer;
}

// Explains an object. The facts table is empty when the object is no longer declared but is in the journal.
template<typename Map, typename NameId, typename Facts>
QueryOutcome explainObject(const OperatorView &view, const Map &objects, const NameId &id, const QueryFilter &filter, Facts facts)
{
    const auto found = objects.find(id);
    TextTable table{{"item", "value"}, {}};
    if (found != objects.end()) {
        table = facts(view, found->second);
    } else if (journalTable(view, journalFilter(view, filter)).rows.empty()) {
        return unknown(view, id.value);
    }
    return objectAnswer(view, std::move(table), filter);
}

QueryOutcome explain(const OperatorView &view, const ModelId &model)
{
    QueryFilter filter;
    filter.model = model;
    QueryOutcome outcome = explainObject(view, view.state.models, model, filter, modelFacts);
    if (auto *answer = std::get_if<OperatorAnswer>(&outcome)) {
        answer->sections.insert(answer->sections.begin() + 1, {"performance", performanceTable(view, filter)});
    }
    return outcome;
}

QueryOutcome explain(const OperatorView &view, const AdapterId &adapter)
{
    QueryFilter filter;
    filter.adapter = adapter;
    return explainObject(view, view.state.adapters, adapter, filter, adapterFacts);
}

QueryOutcome explain(const OperatorView &view, const EndpointId &endpoint)
{
    QueryFilter filter;
    filter.endpoint = endpoint;
    return explainObject(view, view.state.endpoints, endpoint, filter, endpointFacts);
}

QueryOutcome explain(const OperatorView &view, const RequestId &request)
{
    JournalFilter filter;
    filter.request = request;
    TextTable decisions = journalTable(view, filter);
    if (decisions.rows.empty()) {
        return unknown(view, "request " + request.value);
    }
    return OperatorAnswer{{{"decisions", std::move(decisions)}}};
}

QueryOutcome explain(const OperatorView &view, const Duration &last)
{
    QueryFilter filter;
    filter.last = last;
    const JournalFilter wanted = journalFilter(view, filter);
    std::map<std::pair<DecisionKind, Cause>, std::uint64_t> counts;
    if (view.journal != nullptr) {
        for (const Decision &decision : view.journal->select(wanted)) {
            ++counts[{decision.kind, decision.cause}];
        }
    }
    TextTable summary{{"decision", "cause", "count", "dropped_of_this_kind"}, {}};
    for (const auto &[key, count] : counts) {
        summary.rows.push_back({toText(key.first), toText(key.second), count, view.journal->dropped(key.first)});
    }
    return OperatorAnswer{{{"summary", std::move(summary)}, {"decisions", journalTable(view, wanted)}}};
}

// Lists the statements to be removed and added to turn the state before into the state after.
TextTable changeTable(const RegionState &before, const RegionState &after)
{
    const auto statementsOf = [](const RegionState &state) {
        std::set<std::string> statements;
        for (const Command &command : commandsToRebuild(state)) {
            statements.insert(format(command));
        }
        return statements;
    };
    const auto oldStatements = statementsOf(before);
    const auto newStatements = statementsOf(after);
    TextTable table{{"change", "statement"}, {}};
    for (const std::string &statement : oldStatements) {
        if (!newStatements.contains(statement)) {
            table.rows.push_back({"remove", statement});
        }
    }
    for (const std::string &statement : newStatements) {
        if (!oldStatements.contains(statement)) {
            table.rows.push_back({"add", statement});
        }
    }
    return table;
}

TextTable stepTable(const std::vector<PlanStep> &steps)
{
    TextTable table{{"action", "endpoint", "model", "adapter", "version", "bytes"}, {}};
    for (const PlanStep &step : steps) {
        table.rows.push_back(
            {toText(step.action), step.endpoint, step.model, optionalId(step.adapter), optionalId(step.version), step.bytes});
    }
    return table;
}

} // namespace

QueryOutcome answer(const OperatorView &view, const ExplainQuery &query)
{
    return std::visit([&view](const auto &subject) { return explain(view, subject); }, query.subject);
}

QueryOutcome answer(const OperatorView &view, const PlanQuery &query, const PlanHook &hook)
{
    // Applies the command to a copy of the state machine, which gives the same outcome as the real one at this revision.
    RegionStateMachine machine = RegionStateMachine::at(view.state);
    machine.setFeasibilityCheck(view.feasibility);
    const CommandOutcome outcome = machine.apply(query.request);
    if (const auto *refusal = std::get_if<Refusal>(&outcome)) {
        return *refusal;
    }
    const RegionState &after = machine.state();
    TextTable result{{"item", "value"}, {}};
    result.rows = {{"accepted", true}, {"revision_now", view.state.revision.value}, {"revision_then", after.revision.value}};
    OperatorAnswer answer;
    answer.sections = {{"outcome", std::move(result)}, {"changes", changeTable(view.state, after)}};
    if (hook) {
        answer.sections.push_back({"moves", stepTable(hook(view.state, after))});
    }
    return answer;
}

QueryOutcome answerQuery(const OperatorView &view, const Statement &query, const PlanHook &hook)
{
    if (const auto *show = std::get_if<ShowQuery>(&query)) {
        return answer(view, *show);
    }
    if (const auto *plan = std::get_if<PlanQuery>(&query)) {
        return answer(view, *plan, hook);
    }
    return answer(view, std::get<ExplainQuery>(query));
}

} // namespace Hemlockhill
