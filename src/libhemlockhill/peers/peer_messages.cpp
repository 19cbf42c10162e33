// Names of the values in peer messages.
#include "hemlockhill/peer_messages.h"

namespace Hemlockhill
{

std::string_view toText(LeaveOutcome outcome)
{
    switch (outcome) {
    case LeaveOutcome::NotLeader:
        return "not_leader";
    case LeaveOutcome::Pending:
        return "pending";
    case LeaveOutcome::Removed:
        return "removed";
    case LeaveOutcome::Kept:
        break;
    }
    return "kept";
}

} // namespace Hemlockhill
