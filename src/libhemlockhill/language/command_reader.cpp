// Parser of commands.
#include "command_reader.h"

#include "clauses.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::string_view AddressExpected = "an IP address and a port, such as 127.0.0.1:9001";
// Clears an optional property when given as its value.
constexpr std::string_view NoValue = "-";
constexpr std::uint64_t MaxCopies = 10'000;

std::optional<std::uint32_t> parseCopies(std::string_view text)
{
    const auto number = parseNumber(text);
    if (!number || *number < 1 || *number > MaxCopies) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(*number);
}

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (error != std::errc{} || end != text.data() + text.size() || !(number > 0)) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::vector<EndpointId>> parseEndpoints(std::string_view text)
{
    std::vector<EndpointId> endpoints;
    if (text == NoValue) {
        return endpoints;
    }
    std::vector<std::string> names;
    boost::algorithm::split(names, text, boost::algorithm::is_any_of(","));
    for (std::string &name : names) {
        const EndpointId endpoint{std::move(name)};
        if (!isName(endpoint.value) || std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end()) {
            return std::nullopt;
        }
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

std::vector<Clause> concatenated(std::vector<Clause> clauses, std::vector<Clause> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(clauses));
    return clauses;
}

// Clauses of each object kind. The required ones are mandatory in a declaration and optional in a change.
std::vector<Clause> clausesFor(EndpointPatch &patch, bool declaring)
{
    return {
        valueClause<Address>("address", declaring, patch.address, parseAddress, AddressExpected),
        nameClause("in", declaring, patch.dataCentre),
        valueClause<Bytes>("memory", false, patch.memory, parseSize, SizeExpected),
        valueClause<EndpointKind>("kind", false, patch.kind, parseEndpointKind, "runner or plain-service"),
        valueClause<FencingMode>("fencing", false, patch.fencing, parseFencingMode, "checked or ignored"),
    };
}

std::vector<Clause> clausesFor(ModelPatch &patch, bool declaring)
{
    return {
        nameClause("version", declaring, patch.version),
        valueClause<Bytes>("weights", declaring, patch.weights, parseSize, SizeExpected),
        valueClause<Bytes>("kv", declaring, patch.kvReserve, parseSize, SizeExpected),
        valueClause<std::uint32_t>("copies", false, patch.minimumCopies, parseCopies, "a number of copies from 1 to 10000"),
        {"service",
         false,
         [&patch](TokenReader &reader) { patch.service = reader.consumeIf(NoValue) ? ServiceId{} : ServiceId{reader.name()}; }},
    };
}

std::vector<Clause> clausesFor(AdapterPatch &patch, bool declaring)
{
    return concatenated({nameClause("for", declaring, patch.model),
                         nameClause("version", declaring, patch.version),
                         valueClause<Bytes>("weights", declaring, patch.weights, parseSize, SizeExpected)},
                        flagClauses("pinned", "unpinned", patch.pinned));
}

std::vector<Clause> clausesFor(ServicePatch &patch, bool)
{
    return concatenated({valueClause<Priority>("priority", false, patch.priority, parsePriority, "interactive, normal or batch"),
                         valueClause<Duration>("first-token", false, patch.firstTokenTarget, parsePositiveDuration, DurationExpected),
                         valueClause<Duration>("between-tokens", false, patch.betweenTokensTarget, parsePositiveDuration, DurationExpected),
                         valueClause<Duration>("deadline", false, patch.deadline, parsePositiveDuration, DurationExpected),
                         valueClause<std::vector<EndpointId>>(
                             "endpoints", false, patch.endpoints, parseEndpoints, "distinct endpoint names separated by commas, or -")},
                        flagClauses("once-only", "repeatable", patch.onceOnly));
}

std::vector<Clause> clausesFor(VmPatch &patch, bool declaring)
{
    return concatenated({valueClause<Address>("address", declaring, patch.address, parseAddress, AddressExpected),
                         nameClause("in", declaring, patch.dataCentre)},
                        flagClauses("controller", "no-controller", patch.controller));
}

// Parses the clauses of a declaration and applies them to a default object.
template<typename Patch, typename Object>
Object readDeclared(TokenReader &reader, CommandRequest &request, Object object)
{
    Patch patch;
    readCommandClauses(reader, clausesFor(patch, true), request);
    return patched(std::move(object), patch);
}

template<typename Patch>
Patch readPatch(TokenReader &reader, CommandRequest &request)
{
    Patch patch;
    const std::vector<Clause> clauses = clausesFor(patch, false);
    if (readCommandClauses(reader, clauses, request) == 0) {
        Words keywords;
        for (const Clause &clause : clauses) {
            keywords.push_back(clause.keyword);
        }
        reader.failAtNext("at least one clause of " + joinWords(keywords));
    }
    return patch;
}

Command readEndpoint(TokenReader &reader, CommandRequest &request)
{
    Endpoint endpoint;
    endpoint.id = EndpointId{reader.name()};
    endpoint = readDeclared<EndpointPatch>(reader, request, endpoint);
    if (endpoint.kind == EndpointKind::Runner && endpoint.memory.value == 0) {
        reader.failAtNext("the clause memory, which is required for a runner");
    }
    return DeclareEndpoint{endpoint};
}

Command readModel(TokenReader &reader, CommandRequest &request)
{
    Model model;
    model.id = ModelId{reader.name()};
    return DeclareModel{readDeclared<ModelPatch>(reader, request, model)};
}

Command readAdapter(TokenReader &reader, CommandRequest &request)
{
    Adapter adapter;
    adapter.id = AdapterId{reader.name()};
    return DeclareAdapter{readDeclared<AdapterPatch>(reader, request, adapter)};
}

Command readService(TokenReader &reader, CommandRequest &request)
{
    Service service;
    service.id = ServiceId{reader.name()};
    return DeclareService{readDeclared<ServicePatch>(reader, request, service)};
}

Command readVm(TokenReader &reader, CommandRequest &request)
{
    Vm vm;
    vm.id = VmId{reader.name()};
    return DeclareVm{readDeclared<VmPatch>(reader, request, vm)};
}

ObjectKind readKind(TokenReader &reader, const std::vector<ObjectKind> &kinds)
{
    Words words;
    for (const ObjectKind kind : kinds) {
        words.push_back(toText(kind));
    }
    return kinds[reader.choice(words)];
}

Command readDeclare(TokenReader &reader, CommandRequest &request)
{
    switch (readKind(reader, allObjectKinds())) {
    case ObjectKind::Endpoint:
        return readEndpoint(reader, request);
    case ObjectKind::Model:
        return readModel(reader, request);
    case ObjectKind::Adapter:
        return readAdapter(reader, request);
    case ObjectKind::Service:
        return readService(reader, request);
    case ObjectKind::Vm:
        break;
    }
    return readVm(reader, request);
}

Command readChange(TokenReader &reader, CommandRequest &request)
{
    const ObjectKind kind = readKind(reader, {ObjectKind::Endpoint, ObjectKind::Model, ObjectKind::Adapter, ObjectKind::Service});
    const std::string name = reader.name();
    switch (kind) {
    case ObjectKind::Endpoint:
        return ChangeEndpoint{EndpointId{name}, readPatch<EndpointPatch>(reader, request)};
    case ObjectKind::Model:
        return ChangeModel{ModelId{name}, readPatch<ModelPatch>(reader, request)};
    case ObjectKind::Adapter:
        return ChangeAdapter{AdapterId{name}, readPatch<AdapterPatch>(reader, request)};
    default:
        return ChangeService{ServiceId{name}, readPatch<ServicePatch>(reader, request)};
    }
}

Command readWithdraw(TokenReader &reader, CommandRequest &request)
{
    Withdraw withdraw;
    withdraw.kind = readKind(reader, allObjectKinds());
    withdraw.name = reader.name();
    readCommandClauses(reader, {}, request);
    return withdraw;
}

Command readReplace(TokenReader &reader, CommandRequest &request)
{
    reader.expect("vm");
    ReplaceVm command;
    command.old = VmId{reader.name()};
    reader.expect("by");
    command.successor.id = VmId{reader.name()};
    command.successor = readDeclared<VmPatch>(reader, request, command.successor);
    return command;
}

Command readPhase(TokenReader &reader, CommandRequest &request, EndpointPhase phase)
{
    reader.expect("endpoint");
    const SetEndpointPhase command{EndpointId{reader.name()}, phase};
    readCommandClauses(reader, {}, request);
    return command;
}

Command readPin(TokenReader &reader, CommandRequest &request, bool pinned)
{
    reader.expect("model");
    SetPin command;
    command.model = ModelId{reader.name()};
    reader.expect("on");
    command.endpoint = EndpointId{reader.name()};
    command.pinned = pinned;
    readCommandClauses(reader, {}, request);
    return command;
}

Command readSet(TokenReader &reader, CommandRequest &request, bool withValue)
{
    Words words;
    for (const RegionSetting setting : allRegionSettings()) {
        words.push_back(toText(setting));
    }
    SetRegionValue command;
    command.setting = allRegionSettings()[reader.choice(words)];
    if (withValue) {
        command.value = reader.value<double>(parseDecimal, "a number greater than zero");
    }
    readCommandClauses(reader, {}, request);
    return command;
}

} // namespace

const Words &commandVerbs()
{
    static const Words verbs{"declare", "change", "withdraw", "replace", "drain", "admit", "pin", "unpin", "set", "unset"};
    return verbs;
}

CommandRequest readCommand(TokenReader &reader)
{
    using Read = std::function<Command(CommandRequest &)>;
    // Same order as commandVerbs().
    const std::vector<Read> reads{
        [&reader](CommandRequest &request) { return readDeclare(reader, request); },
        [&reader](CommandRequest &request) { return readChange(reader, request); },
        [&reader](CommandRequest &request) { return readWithdraw(reader, request); },
        [&reader](CommandRequest &request) { return readReplace(reader, request); },
        [&reader](CommandRequest &request) { return readPhase(reader, request, EndpointPhase::Draining); },
        [&reader](CommandRequest &request) { return readPhase(reader, request, EndpointPhase::Active); },
        [&reader](CommandRequest &request) { return readPin(reader, request, true); },
        [&reader](CommandRequest &request) { return readPin(reader, request, false); },
        [&reader](CommandRequest &request) { return readSet(reader, request, true); },
        [&reader](CommandRequest &request) { return readSet(reader, request, false); },
    };
    CommandRequest request;
    request.command = reads.at(reader.choice(commandVerbs()))(request);
    return request;
}

} // namespace Hemlockhill
