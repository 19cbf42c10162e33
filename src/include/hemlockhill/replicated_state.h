// Everything that the controllers replicate: several state machines behind one log.
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

// Names the machine that a log entry is for.
enum class ReplicatedMachine : char { Region = 'R', Once = 'O', Orders = 'P', Quarantine = 'Q', Deployment = 'D' };

// The payload of a log entry: a machine and the command as that machine encodes it.
std::string encodePayload(ReplicatedMachine machine, std::string_view command);

// The machine and the command of a payload. Throws DecodeError when it is for no known machine.
struct ReplicatedCommand {
    ReplicatedMachine machine = ReplicatedMachine::Region;
    std::string_view command;
};
ReplicatedCommand decodePayload(std::string_view payload);

// An outcome of the quarantine's machine as text, and back. Throws DecodeError.
std::string encode(QuarantineOutcome outcome);
QuarantineOutcome decodeQuarantineOutcome(std::string_view text);

// An outcome of the region's machine as text, and back. Throws DecodeError.
std::string encode(const CommandOutcome &outcome);
CommandOutcome decodeCommandOutcome(std::string_view text);

// The refusal that a declared state deserves because its models do not fit the runners, or none. Without any runner nothing is refused.
std::optional<Refusal> findOvercommitment(const RegionState &after);

// Applies log entries in order.
class ReplicatedState
{
public:
    ReplicatedState();

    // Returns the outcome as the machine encodes it. An entry that no version of this program writes throws DecodeError.
    std::string apply(std::string_view payload);

    const RegionStateMachine &region() const { return m_region; }
    const OnceRegister &once() const { return m_once; }
    const OrderBook &orders() const { return m_orders; }
    const QuarantineRegister &quarantine() const { return m_quarantine; }
    const DeploymentRegister &deployment() const { return m_deployment; }

    std::string snapshot() const;
    // Throws DecodeError.
    static ReplicatedState restore(std::string_view snapshot);

private:
    RegionStateMachine m_region;
    OnceRegister m_once;
    OrderBook m_orders;
    QuarantineRegister m_quarantine;
    DeploymentRegister m_deployment;
};

} // namespace Hemlockhill
