// Decides how the leader repairs the membership of a group of controllers: a controller that lost its folder, or was replaced at another
// address, gets a vote again, and a voter that was lost or stops for good ceases to count towards the quorum. Deterministic, without I/O.
#pragma once

#include "hemlockhill/consensus.h"
#include "hemlockhill/peer_messages.h"
#include "hemlockhill/settings.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Hemlockhill
{

// Identity of a controller: its VM and the identity of its data folder. Through the VM the leader recognizes the former identity of a
// controller that lost its folder.
VoterId voterIdOf(const VmId &vm, const VoterId &folder);

// Returns the VM whose controller has this identity.
VmId vmOf(const VoterId &voter);

// What the leader knows of the other controllers, and the changes that follow from it.
class MembershipRepair
{
public:
    explicit MembershipRepair(const Settings &settings);

    // The controller on a VM has replied with its identity to a request that was sent at requestedAt.
    void onIdentity(const VmId &from, const IdentityReply &reply, TimePoint requestedAt, TimePoint now);
    // This controller has become the leader. Identities received before may be outdated.
    void onLeadershipTaken(TimePoint now);

    // A member is about to stop, and may never return.
    void onLeaving(const VoterId &voter, TimePoint now);
    // Members that are about to stop, as far as this leader has been told lately.
    std::set<VoterId> leaving(TimePoint now) const;
    // What becomes of a leaving member's vote. Requires that the consensus leads.
    LeaveOutcome leaveOutcome(const Consensus &consensus, const VoterId &voter, TimePoint now) const;
    // Whether the voters that respond are a quorum without this one. The group can only replace a lost voter while it has a quorum.
    // Requires that the consensus leads.
    bool leavesQuorum(const Consensus &consensus, const VoterId &voter, TimePoint now) const;

    // Latest identity reply of each other controller.
    const std::map<VmId, IdentityReply> &identities() const { return m_identities; }
    // Latest reply of a VM's controller if it was requested at this time or later, otherwise null.
    const IdentityReply *identityRequestedSince(const VmId &vm, TimePoint since) const;
    // Whether the VM should be asked for its identity again.
    bool isOutdated(const VmId &vm, TimePoint now) const;

    // Returns the changes that bring the group closer to its intended membership, the most urgent one first. A change that cannot be made
    // at present does not hold up those after it. Empty unless the consensus leads.
    std::vector<MembershipChange> changes(const Consensus &consensus, TimePoint now) const;

private:
    // Identity replies that are recent and were received by this leader, also of controllers that have not joined the group yet.
    std::vector<const IdentityReply *> currentIdentities(TimePoint now) const;
    // Members whose controller has replied with another identity since.
    std::vector<MembershipChange> removalsOfFormer(const Consensus &consensus, TimePoint now) const;
    // Members that are about to stop and can be spared.
    std::vector<MembershipChange> removalsOfLeaving(const Consensus &consensus, TimePoint now) const;
    // Number of voters that respond, without this one.
    std::size_t respondingBeside(const Consensus &consensus, const VoterId &voter, TimePoint now) const;
    // Whether a controller that stays is about to become a voter.
    bool expectsVoter(const Consensus &consensus, TimePoint now) const;
    bool isLeaving(const VoterId &voter, TimePoint now) const;
    // Members that no longer answer.
    std::vector<MembershipChange> removalsOfSilent(const Consensus &consensus, TimePoint now) const;
    // Learners that have caught up.
    std::vector<MembershipChange> promotions(const Consensus &consensus, TimePoint now) const;
    // Controllers that are not members yet.
    std::vector<MembershipChange> additions(const Consensus &consensus, TimePoint now) const;

    bool m_openMembership;
    // Number of responding voters that the group must keep.
    std::size_t m_requiredVoters;
    Duration m_electionTimeout;
    TimePoint m_leaderSince;
    std::map<VmId, IdentityReply> m_identities;
    std::map<VmId, TimePoint> m_heardAt;
    std::map<VmId, TimePoint> m_requestedAt;
    // When each member last announced that it is about to stop.
    std::map<VoterId, TimePoint> m_leavingSince;
};

} // namespace Hemlockhill
