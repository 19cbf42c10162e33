// What keeps a controller from answering reads, and its names in logs and metrics.
#include "hemlockhill/read_status.h"

namespace Hemlockhill
{

namespace
{

ReadObstacle obstacleOf(LeaseState lease, VoterRole role, bool isLeaderKnown)
{
    switch (lease) {
    case LeaseState::Held:
        return ReadObstacle::None;
    case LeaseState::TermNotCommitted:
        return ReadObstacle::TermNotCommitted;
    case LeaseState::Transferring:
        return ReadObstacle::TransferringLeadership;
    case LeaseState::Expired:
        return ReadObstacle::LeaseExpired;
    case LeaseState::NotLeading:
        break;
    }
    if (role == VoterRole::Learner) {
        return ReadObstacle::Learner;
    }
    return isLeaderKnown ? ReadObstacle::Follower : ReadObstacle::NoLeader;
}

} // namespace

std::string_view toText(ReadObstacle obstacle)
{
    switch (obstacle) {
    case ReadObstacle::None:
        return "none";
    case ReadObstacle::FolderNotOpen:
        return "folder_not_open";
    case ReadObstacle::NoGroup:
        return "no_group";
    case ReadObstacle::Learner:
        return "learner";
    case ReadObstacle::Follower:
        return "follower";
    case ReadObstacle::NoLeader:
        return "no_leader";
    case ReadObstacle::TermNotCommitted:
        return "term_not_committed";
    case ReadObstacle::TransferringLeadership:
        return "transferring_leadership";
    case ReadObstacle::LeaseExpired:
        return "lease_expired";
    case ReadObstacle::LeadershipNotConfirmed:
        break;
    }
    return "leadership_not_confirmed";
}

ReadStatus readStatusOf(const Consensus &consensus, TimePoint now)
{
    ReadStatus status;
    status.role = consensus.role();
    status.obstacle = obstacleOf(consensus.leaseState(now), status.role, consensus.leader().has_value());
    status.term = consensus.term();
    status.commitIndex = consensus.commitIndex();
    status.lastIndex = consensus.lastIndex();
    if (const auto end = consensus.leaseEnd(); end && *end != TimePoint::max()) {
        status.leaseLeft = *end - now;
    }
    return status;
}

} // namespace Hemlockhill
