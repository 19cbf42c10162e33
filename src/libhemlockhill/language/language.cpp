// Parser of statements and queries.
#include "hemlockhill/language.h"

#include "clauses.h"
#include "command_reader.h"
#include "tokens.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

enum class FilterClause { Model, Adapter, Endpoint, Service, DataCentre, Vm, Request, Last };

// A subject of show, its keyword and the filters that it accepts.
struct SubjectTraits {
    std::string_view word;
    ShowSubject subject;
    std::vector<FilterClause> filters;
};

const std::vector<SubjectTraits> &subjects()
{
    using enum FilterClause;
    static const std::vector<SubjectTraits> table{
        {"endpoints", ShowSubject::Endpoints, {Endpoint, DataCentre}},
        {"models", ShowSubject::Models, {Model, Service}},
        {"adapters", ShowSubject::Adapters, {Adapter, Model}},
        {"services", ShowSubject::Services, {Service}},
        {"vms", ShowSubject::Vms, {Vm, DataCentre}},
        {"settings", ShowSubject::Settings, {}},
        {"status", ShowSubject::Status, {}},
        {"placement", ShowSubject::Placement, {Model, Adapter, Endpoint, DataCentre}},
        {"performance", ShowSubject::Performance, {Model}},
        {"memory", ShowSubject::Memory, {Endpoint, DataCentre}},
        {"nodes", ShowSubject::Nodes, {Vm, DataCentre}},
        {"controllers", ShowSubject::Controllers, {Vm}},
        {"orders", ShowSubject::Orders, {Model, Adapter, Endpoint}},
        {"journal", ShowSubject::Journal, {Model, Adapter, Endpoint, Vm, Request, Last}},
    };
    return table;
}

Clause clauseFor(FilterClause filter, QueryFilter &target)
{
    switch (filter) {
    case FilterClause::Model:
        return filterClause("model", target.model);
    case FilterClause::Adapter:
        return filterClause("adapter", target.adapter);
    case FilterClause::Endpoint:
        return filterClause("endpoint", target.endpoint);
    case FilterClause::Service:
        return filterClause("service", target.service);
    case FilterClause::DataCentre:
        return filterClause("in", target.dataCentre);
    case FilterClause::Vm:
        return filterClause("vm", target.vm);
    case FilterClause::Request:
        return {"request", false, [&target](TokenReader &reader) { target.request = RequestId{reader.word("a request id")}; }};
    case FilterClause::Last:
        break;
    }
    return valueClause<Duration>("last", false, target.last, parsePositiveDuration, DurationExpected);
}

ShowQuery readShow(TokenReader &reader)
{
    Words words;
    for (const SubjectTraits &traits : subjects()) {
        words.push_back(traits.word);
    }
    const SubjectTraits &traits = subjects()[reader.choice(words)];
    ShowQuery query;
    query.subject = traits.subject;
    std::vector<Clause> clauses;
    clauses.reserve(traits.filters.size());
    for (const FilterClause filter : traits.filters) {
        clauses.push_back(clauseFor(filter, query.filter));
    }
    readClauses(reader, clauses);
    return query;
}

ExplainQuery readExplain(TokenReader &reader)
{
    static const Words subjectWords{"model", "adapter", "endpoint", "request", "last"};
    ExplainQuery query;
    switch (reader.choice(subjectWords)) {
    case 0:
        query.subject = ModelId{reader.name()};
        break;
    case 1:
        query.subject = AdapterId{reader.name()};
        break;
    case 2:
        query.subject = EndpointId{reader.name()};
        break;
    case 3:
        query.subject = RequestId{reader.word("a request id")};
        break;
    default:
        query.subject = reader.value<Duration>(parsePositiveDuration, DurationExpected);
    }
    readClauses(reader, {});
    return query;
}

} // namespace

Statement parseStatement(std::string_view text)
{
    TokenReader reader(text);
    if (reader.consumeIf("show")) {
        return readShow(reader);
    }
    if (reader.consumeIf("explain")) {
        return readExplain(reader);
    }
    if (reader.consumeIf("plan")) {
        return PlanQuery{readCommand(reader)};
    }
    Words verbs = commandVerbs();
    verbs.insert(verbs.end(), {"show", "explain", "plan"});
    reader.requireNext(verbs);
    return readCommand(reader);
}

std::string_view toText(ShowSubject subject)
{
    for (const SubjectTraits &traits : subjects()) {
        if (traits.subject == subject) {
            return traits.word;
        }
    }
    return "unknown";
}

} // namespace Hemlockhill
