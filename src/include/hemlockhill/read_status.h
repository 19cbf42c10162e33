// Whether a controller may answer a read of the newest replicated state, and if not, why.
#pragma once

#include "hemlockhill/consensus.h"

#include <optional>
#include <string_view>

namespace Hemlockhill
{

// What keeps a controller from answering a read itself.
enum class ReadObstacle {
    None,
    // The data folder is not open: it is being opened, or has failed.
    FolderNotOpen,
    // The folder belongs to no group.
    NoGroup,
    // The controller has no vote, or has not been told yet that it has one.
    Learner,
    // Another controller leads.
    Follower,
    // No leader is known; an election may be in progress.
    NoLeader,
    // This controller leads, but no entry of its term is committed, so that it does not know which entries are.
    TermNotCommitted,
    // This controller leads, but is transferring the leadership to another one.
    TransferringLeadership,
    // This controller leads, but no quorum has answered lately enough to rule out another leader.
    LeaseExpired,
    // This controller led when the read began, and no quorum has confirmed in time that it still did.
    LeadershipNotConfirmed,
};

std::string_view toText(ReadObstacle obstacle);

// State of a controller as far as it decides about reads. All members but the obstacle have their defaults without a group.
struct ReadStatus {
    ReadObstacle obstacle = ReadObstacle::NoGroup;
    VoterRole role = VoterRole::Learner;
    Term term;
    // Empty if unknown.
    VmId leader;
    LogIndex commitIndex;
    LogIndex lastIndex;
    // How long this controller holds its lease unless it is renewed. Empty without a lease, and for the only voter of a group.
    std::optional<Duration> leaseLeft;
};

// Returns the status of a member of a group, without the name of the leader.
ReadStatus readStatusOf(const Consensus &consensus, TimePoint now);

} // namespace Hemlockhill
