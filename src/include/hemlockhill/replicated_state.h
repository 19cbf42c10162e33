// The state that controllers replicate: several state machines that share one log.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/once_register.h"
#include "hemlockhill/order_book.h"
#include "hemlockhill/quarantine.h"
#include "hemlockhill/region_state.h"

#include <string>
#include <string_view>

namespace Hemlockhill
{

// State machine that a log entry is for; the first byte of the entry's payload.
enum class ReplicatedMachine : char { Region = 'R', Once = 'O', Orders = 'P', Quarantine = 'Q', Deployment = 'D' };

// Builds the payload of a log entry from a state machine and a command in that machine's encoding.
std::string encodePayload(ReplicatedMachine machine, std::string_view command);

// A state machine and a command in that machine's encoding. The command refers to the decoded payload.
struct ReplicatedCommand {
    ReplicatedMachine machine = ReplicatedMachine::Region;
    std::string_view command;
};
// Throws DecodeError if the payload is empty or is for an unknown state machine.
ReplicatedCommand decodePayload(std::string_view payload);

// Encodes an outcome of the quarantine state machine.
std::string encode(QuarantineOutcome outcome);
// Throws DecodeError if the text is not a known outcome.
QuarantineOutcome decodeQuarantineOutcome(std::string_view text);

// Encodes an outcome of the region state machine as JSON.
std::string encode(const CommandOutcome &outcome);
// Throws DecodeError if the text is invalid.
CommandOutcome decodeCommandOutcome(std::string_view text);

// Returns a refusal if the declared models do not fit into the memory of the runners. A state without runners is never refused.
std::optional<Refusal> findOvercommitment(const RegionState &after);

// The state machines, updated by applying log entries in order.
class ReplicatedState
{
public:
    ReplicatedState();

    // Applies the payload of a log entry and returns the encoded outcome. Throws DecodeError if the payload is invalid.
    std::string apply(std::string_view payload);

    const RegionStateMachine &region() const { return m_region; }
    const OnceRegister &once() const { return m_once; }
    const OrderBook &orders() const { return m_orders; }
    const QuarantineRegister &quarantine() const { return m_quarantine; }
    const DeploymentRegister &deployment() const { return m_deployment; }

    std::string snapshot() const;
    // Throws DecodeError if the snapshot is invalid.
    static ReplicatedState restore(std::string_view snapshot);

private:
    RegionStateMachine m_region;
    OnceRegister m_once;
    OrderBook m_orders;
    QuarantineRegister m_quarantine;
    DeploymentRegister m_deployment;
};

} // namespace Hemlockhill
