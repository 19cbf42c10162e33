// JSON encoding of commands and snapshots. Commands are encoded as statements of the operator language, so that operators can read the
// log of a region.
#include "hemlockhill/language.h"
#include "hemlockhill/region_state.h"
#include "runtime/json_text.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <utility>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

Command decodeCommand(std::string_view statement)
{
    try {
        auto parsed = parseStatement(statement);
        if (auto *request = std::get_if<CommandRequest>(&parsed)) {
            return std::move(request->command);
        }
    } catch (const LanguageError &error) {
        throw DecodeError(error.what());
    }
    throw DecodeError("the statement is not a command");
}

json::value encodeOutcome(const CommandOutcome &outcome)
{
    if (const auto *accepted = std::get_if<CommandAccepted>(&outcome)) {
        return {{"revision", accepted->revision.value}};
    }
    const auto &refusal = std::get<Refusal>(outcome);
    json::object object{{"reason", toText(refusal.reason)}, {"detail", refusal.detail}};
    if (refusal.currentRevision) {
        object["current"] = *refusal.currentRevision;
    }
    return object;
}

CommandOutcome decodeOutcome(const json::object &object)
{
    if (const auto *revision = object.if_contains("revision")) {
        return CommandAccepted{Revision{revision->to_number<std::uint64_t>()}};
    }
    const auto reason = parseReason(json::value_to<std::string>(object.at("reason")));
    if (!reason) {
        throw DecodeError("unknown refusal reason in a snapshot");
    }
    Refusal refusal;
    refusal.reason = *reason;
    refusal.detail = json::value_to<std::string>(object.at("detail"));
    if (const auto *current = object.if_contains("current")) {
        refusal.currentRevision = current->to_number<std::uint64_t>();
    }
    return refusal;
}

json::array stateStatements(const RegionState &state)
{
    json::array statements;
    for (const Command &command : commandsToRebuild(state)) {
        statements.emplace_back(format(command));
    }
    return statements;
}

} // namespace

std::vector<Command> commandsToRebuild(const RegionState &state)
{
    std::vector<Command> commands;
    for (const auto &[id, vm] : state.vms) {
        commands.emplace_back(DeclareVm{vm});
    }
    for (const auto &[id, endpoint] : state.endpoints) {
        commands.emplace_back(DeclareEndpoint{endpoint});
        if (endpoint.phase == EndpointPhase::Draining) {
            commands.emplace_back(SetEndpointPhase{id, EndpointPhase::Draining});
        }
    }
    for (const auto &[id, service] : state.services) {
        commands.emplace_back(DeclareService{service});
    }
    for (const auto &[id, model] : state.models) {
        commands.emplace_back(DeclareModel{model});
    }
    for (const auto &[id, adapter] : state.adapters) {
        commands.emplace_back(DeclareAdapter{adapter});
    }
    for (const Pin &pin : state.pins) {
        commands.emplace_back(SetPin{pin.model, pin.endpoint, true});
    }
    for (const auto &[setting, value] : state.settings) {
        commands.emplace_back(SetRegionValue{setting, value});
    }
    return commands;
}

std::string canonicalText(const RegionState &state)
{
    std::string text = std::to_string(state.revision.value);
    for (const Command &command : commandsToRebuild(state)) {
        text += '\n';
        text += format(command);
    }
    return text;
}

std::string encode(const CommandRequest &request)
{
    json::object object{{"statement", format(request.command)}};
    if (request.expected) {
        object["expected"] = request.expected->value;
    }
    if (!request.operation.empty()) {
        object["operation"] = request.operation.value;
    }
    return json::serialize(object);
}

CommandRequest decodeCommandRequest(std::string_view text)
{
    try {
        const json::value value = parseJsonObject(text);
        const json::object &object = value.get_object();
        CommandRequest request;
        request.command = decodeCommand(json::value_to<std::string>(object.at("statement")));
        if (const auto *expected = object.if_contains("expected")) {
            request.expected = Revision{expected->to_number<std::uint64_t>()};
        }
        if (const auto *operation = object.if_contains("operation")) {
            request.operation = OperationId{json::value_to<std::string>(*operation)};
        }
        return request;
    } catch (const boost::system::system_error &error) {
        throw DecodeError(error.what());
    } catch (const std::out_of_range &error) {
        throw DecodeError(error.what());
    }
}

std::string RegionStateMachine::snapshot() const
{
    json::array operations;
    for (const OperationId &operation : m_operationOrder) {
        const StoredOutcome &stored = m_outcomes.at(operation);
        operations.push_back({{"operation", operation.value}, {"digest", stored.digest}, {"outcome", encodeOutcome(stored.outcome)}});
    }
    return json::serialize(json::object{
        {"revision", m_state.revision.value}, {"statements", stateStatements(m_state)}, {"operations", std::move(operations)}});
}

RegionStateMachine RegionStateMachine::restore(std::string_view snapshot)
{
    try {
        const json::value value = parseJsonObject(snapshot);
        const json::object &object = value.get_object();
        RegionStateMachine machine;
        for (const json::value &statement : object.at("statements").as_array()) {
            // Commands are not validated here: a valid state may have been built in another order, in which case a command of this
            // sequence can be invalid at its position.
            perform(machine.m_state, decodeCommand(json::value_to<std::string>(statement)));
        }
        machine.m_state.revision = Revision{object.at("revision").to_number<std::uint64_t>()};
        for (const json::value &entry : object.at("operations").as_array()) {
            const json::object &operation = entry.as_object();
            machine.storeOutcome(OperationId{json::value_to<std::string>(operation.at("operation"))},
                                 {operation.at("digest").to_number<std::uint64_t>(), decodeOutcome(operation.at("outcome").as_object())});
        }
        return machine;
    } catch (const boost::system::system_error &error) {
        throw DecodeError(error.what());
    } catch (const std::out_of_range &error) {
        throw DecodeError(error.what());
    }
}

} // namespace Hemlockhill
