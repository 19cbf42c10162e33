// The replicated state machines.
#include "hemlockhill/replicated_state.h"

#include "hemlockhill/placement.h"
#include "runtime/json_text.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <utility>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

std::string textMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    if (member == nullptr || !member->is_string()) {
        throw DecodeError("missing string member \"" + std::string(key) + "\"");
    }
    return std::string(member->get_string());
}

} // namespace

// Models may be declared before the first runner. Once there is a runner, they must fit.
std::optional<Refusal> findOvercommitment(const RegionState &after)
{
    const bool hasRunner = std::any_of(
        after.endpoints.begin(), after.endpoints.end(), [](const auto &entry) { return entry.second.kind == EndpointKind::Runner; });
    return hasRunner ? findInfeasibility(after) : std::nullopt;
}

std::string encodePayload(ReplicatedMachine machine, std::string_view command)
{
    std::string payload(1, static_cast<char>(machine));
    payload += command;
    return payload;
}

std::string encode(const CommandOutcome &outcome)
{
    if (const auto *accepted = std::get_if<CommandAccepted>(&outcome)) {
        return json::serialize(json::object{{"revision", accepted->revision.value}});
    }
    const auto &refusal = std::get<Refusal>(outcome);
    json::object object{{"reason", toText(refusal.reason)}, {"ran", toText(refusal.ran)}, {"detail", refusal.detail}};
    if (refusal.currentRevision) {
        object["current"] = *refusal.currentRevision;
    }
    return json::serialize(object);
}

CommandOutcome decodeCommandOutcome(std::string_view text)
{
    const json::object object = parseJsonObject(text);
    json::error_code error;
    if (const auto *revision = object.if_contains("revision")) {
        const auto number = revision->to_number<std::uint64_t>(error);
        if (error) {
            throw DecodeError("command outcome: revision is not an unsigned integer");
        }
        return CommandAccepted{Revision{number}};
    }
    const auto reason = parseReason(textMember(object, "reason"));
    const auto ran = parseRan(textMember(object, "ran"));
    if (!reason || !ran) {
        throw DecodeError("command outcome: unknown refusal reason");
    }
    Refusal refusal;
    refusal.reason = *reason;
    refusal.ran = *ran;
    refusal.detail = textMember(object, "detail");
    if (const auto *current = object.if_contains("current")) {
        const auto number = current->to_number<std::uint64_t>(error);
        refusal.currentRevision = error ? std::nullopt : std::optional(number);
    }
    return refusal;
}

ReplicatedCommand decodePayload(std::string_view payload)
{
    if (payload.empty()) {
        throw DecodeError("empty log entry");
    }
    const auto machine = static_cast<ReplicatedMachine>(payload.front());
    switch (machine) {
    case ReplicatedMachine::Region:
    case ReplicatedMachine::Once:
    case ReplicatedMachine::Orders:
    case ReplicatedMachine::Quarantine:
    case ReplicatedMachine::Deployment:
        return {machine, payload.substr(1)};
    }
    throw DecodeError("log entry for an unknown state machine");
}

std::string encode(QuarantineOutcome outcome)
{
    switch (outcome) {
    case QuarantineOutcome::Applied:
        return "applied";
    case QuarantineOutcome::TrialGranted:
        return "trial_granted";
    case QuarantineOutcome::TrialRefused:
        break;
    }
    return "trial_refused";
}

QuarantineOutcome decodeQuarantineOutcome(std::string_view text)
{
    for (const auto outcome : {QuarantineOutcome::Applied, QuarantineOutcome::TrialGranted, QuarantineOutcome::TrialRefused}) {
        if (encode(outcome) == text) {
            return outcome;
        }
    }
    throw DecodeError("unknown quarantine outcome");
}

ReplicatedState::ReplicatedState()
{
    m_region.setFeasibilityCheck(findOvercommitment);
}

std::string ReplicatedState::apply(std::string_view payload)
{
    const ReplicatedCommand decoded = decodePayload(payload);
    switch (decoded.machine) {
    case ReplicatedMachine::Region:
        return encode(m_region.apply(decodeCommandRequest(decoded.command)));
    case ReplicatedMachine::Once:
        return encode(m_once.apply(decodeOnceCommand(decoded.command)));
    case ReplicatedMachine::Orders:
        m_orders.apply(decodeOrderCommand(decoded.command));
        return "applied";
    case ReplicatedMachine::Deployment:
        m_deployment.apply(decodeDeploymentDocument(decoded.command));
        return std::to_string(m_deployment.current().version.value);
    case ReplicatedMachine::Quarantine:
        break;
    }
    return encode(m_quarantine.apply(decodeQuarantineCommand(decoded.command)));
}

std::string ReplicatedState::snapshot() const
{
    return json::serialize(json::object{{"region", m_region.snapshot()},
                                        {"once", m_once.snapshot()},
                                        {"orders", m_orders.snapshot()},
                                        {"quarantine", m_quarantine.snapshot()},
                                        {"deployment", encode(m_deployment.current())}});
}

ReplicatedState ReplicatedState::restore(std::string_view snapshot)
{
    const json::object object = parseJsonObject(snapshot);
    ReplicatedState state;
    state.m_region = RegionStateMachine::restore(textMember(object, "region"));
    state.m_region.setFeasibilityCheck(findOvercommitment);
    state.m_once = OnceRegister::restore(textMember(object, "once"));
    state.m_orders = OrderBook::restore(textMember(object, "orders"));
    state.m_quarantine = QuarantineRegister::restore(textMember(object, "quarantine"));
    // Snapshots written by earlier versions of the program contain no deployment.
    if (object.contains("deployment")) {
        state.m_deployment.apply(decodeDeploymentDocument(textMember(object, "deployment")));
    }
    return state;
}

} // namespace Hemlockhill
