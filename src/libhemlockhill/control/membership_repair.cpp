// Selection of the next changes of the membership.
#include "hemlockhill/membership_repair.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Separates the VM from the folder identity in a voter's id.
constexpr char VoterSeparator = '/';
// Age at which an identity reply is no longer relied upon. Shorter than SilentMemberTimeout, or a removed member would be added again.
constexpr Duration IdentityTimeout = std::chrono::milliseconds(1200);
// Minimum interval between identity requests that answer a request of the same controller.
constexpr Duration IdentityInterval = std::chrono::milliseconds(300);
// A member that has not answered the leader for this time is removed from an open group that has enough voters without it. It is added
// again when it returns.
constexpr Duration SilentMemberTimeout = std::chrono::milliseconds(1500);

// A leaving member repeats its announcement more often than this. A controller that was restarted counts as returned after this time.
constexpr Duration LeavingTimeout = std::chrono::milliseconds(1200);

bool isMember(const VoterMembership &membership, const VoterId &id)
{
    return membership.voters.contains(id) || membership.learners.contains(id);
}

} // namespace

VoterId voterIdOf(const VmId &vm, const VoterId &folder)
{
    return VoterId{vm.value + VoterSeparator + folder.value};
}

VmId vmOf(const VoterId &voter)
{
    return VmId{voter.value.substr(0, voter.value.find(VoterSeparator))};
}

MembershipRepair::MembershipRepair(const Settings &settings)
    : m_openMembership(settings.peers.openMembership)
    , m_requiredVoters(2 * settings.control.toleratedFailures + 1)
    , m_electionTimeout(settings.control.electionTimeout)
{
}

void MembershipRepair::onIdentity(const VmId &from, const IdentityReply &reply, TimePoint requestedAt, TimePoint now)
{
    m_identities[from] = reply;
    m_heardAt[from] = now;
    m_requestedAt[from] = requestedAt;
}

const IdentityReply *MembershipRepair::identityRequestedSince(const VmId &vm, TimePoint since) const
{
    const auto known = m_identities.find(vm);
    return known == m_identities.end() || m_requestedAt.at(vm) < since ? nullptr : &known->second;
}

void MembershipRepair::onLeadershipTaken(TimePoint now)
{
    m_leaderSince = now;
}

void MembershipRepair::onLeaving(const VoterId &voter, TimePoint now)
{
    m_leavingSince[voter] = now;
    std::erase_if(m_leavingSince, [now](const auto &known) { return now - known.second >= LeavingTimeout; });
}

bool MembershipRepair::isLeaving(const VoterId &voter, TimePoint now) const
{
    const auto known = m_leavingSince.find(voter);
    return known != m_leavingSince.end() && now - known->second < LeavingTimeout;
}

std::set<VoterId> MembershipRepair::leaving(TimePoint now) const
{
    std::set<VoterId> all;
    for (const auto &[voter, since] : m_leavingSince) {
        if (isLeaving(voter, now)) {
            all.insert(voter);
        }
    }
    return all;
}

LeaveOutcome MembershipRepair::leaveOutcome(const Consensus &consensus, const VoterId &voter, TimePoint now) const
{
    if (!isMember(consensus.membership(), voter)) {
        return consensus.isMembershipCommitted() ? LeaveOutcome::Removed : LeaveOutcome::Pending;
    }
    if (!m_openMembership) {
        return LeaveOutcome::Kept;
    }
    // Not all voters that respond have answered a new leader yet.
    const bool isNewLeader = now - m_leaderSince < m_electionTimeout;
    const bool mayBeRemoved = isNewLeader || respondingBeside(consensus, voter, now) >= m_requiredVoters || expectsVoter(consensus, now);
    return mayBeRemoved || !leavesQuorum(consensus, voter, now) ? LeaveOutcome::Pending : LeaveOutcome::Kept;
}

bool MembershipRepair::leavesQuorum(const Consensus &consensus, const VoterId &voter, TimePoint now) const
{
    return respondingBeside(consensus, voter, now) > consensus.membership().voters.size() / 2;
}

std::size_t MembershipRepair::respondingBeside(const Consensus &consensus, const VoterId &voter, TimePoint now) const
{
    std::size_t responding = 0;
    for (const VoterId &other : consensus.membership().voters) {
        const auto answeredAt = other == consensus.self() ? now : consensus.answeredAt(other).value_or(TimePoint{});
        if (other != voter && now - answeredAt < m_electionTimeout) {
            ++responding;
        }
    }
    return responding;
}

bool MembershipRepair::expectsVoter(const Consensus &consensus, TimePoint now) const
{
    const auto isExpected = [&](const VoterId &learner) {
        const auto answeredAt = consensus.answeredAt(learner);
        return !isLeaving(learner, now) && answeredAt && now - *answeredAt < m_electionTimeout;
    };
    const std::set<VoterId> &learners = consensus.membership().learners;
    return std::any_of(learners.begin(), learners.end(), isExpected) || !additions(consensus, now).empty();
}

bool MembershipRepair::isOutdated(const VmId &vm, TimePoint now) const
{
    const auto known = m_identities.find(vm);
    return known == m_identities.end() || known->second.blank || now - m_heardAt.at(vm) >= IdentityInterval;
}

// A lost identity is removed before its successor gets a vote: with both, a quorum would need one more voter than can answer. Without
// either, it needs as many as with the lost one alone.
std::vector<MembershipChange> MembershipRepair::changes(const Consensus &consensus, TimePoint now) const
{
    if (consensus.role() != VoterRole::Leader) {
        return {};
    }
    std::vector<MembershipChange> all = removalsOfFormer(consensus, now);
    for (const auto &more :
         {removalsOfLeaving(consensus, now), removalsOfSilent(consensus, now), promotions(consensus, now), additions(consensus, now)}) {
        all.insert(all.end(), more.begin(), more.end());
    }
    return all;
}

std::vector<const IdentityReply *> MembershipRepair::currentIdentities(TimePoint now) const
{
    std::vector<const IdentityReply *> current;
    for (const auto &[vm, identity] : m_identities) {
        const TimePoint heardAt = m_heardAt.at(vm);
        if (!identity.voter.empty() && heardAt >= m_leaderSince && now - heardAt < IdentityTimeout) {
            current.push_back(&identity);
        }
    }
    return current;
}

std::vector<MembershipChange> MembershipRepair::removalsOfFormer(const Consensus &consensus, TimePoint now) const
{
    std::map<VmId, VoterId> voterOfVm{{vmOf(consensus.self()), consensus.self()}};
    for (const IdentityReply *identity : currentIdentities(now)) {
        voterOfVm[vmOf(identity->voter)] = identity->voter;
    }
    const VoterMembership &membership = consensus.membership();
    std::vector<MembershipChange> removals;
    for (const std::set<VoterId> *members : {&membership.voters, &membership.learners}) {
        for (const VoterId &member : *members) {
            const auto known = voterOfVm.find(vmOf(member));
            const auto answeredAt = consensus.answeredAt(member);
            // An identity reply may have been delayed beyond the loss of the folder that it names.
            const bool answers = answeredAt && now - *answeredAt < m_electionTimeout;
            if (known != voterOfVm.end() && known->second != member && !answers) {
                removals.push_back({MembershipChangeKind::Remove, member});
            }
        }
    }
    return removals;
}

// A voter that stops would count towards the quorum until it is known to be silent. Several that stop at short intervals would leave no
// quorum that could remove them.
std::vector<MembershipChange> MembershipRepair::removalsOfLeaving(const Consensus &consensus, TimePoint now) const
{
    if (!m_openMembership) {
        return {};
    }
    std::vector<MembershipChange> removals;
    for (const VoterId &voter : leaving(now)) {
        const bool isLearner = consensus.membership().learners.contains(voter);
        if (isLearner || (consensus.membership().voters.contains(voter) && respondingBeside(consensus, voter, now) >= m_requiredVoters)) {
            removals.push_back({MembershipChangeKind::Remove, voter});
        }
    }
    return removals;
}

// A member that does not answer has presumably been lost for good. A voter would count towards the quorum size forever; it is kept if the
// remaining voters could not tolerate the configured number of losses.
std::vector<MembershipChange> MembershipRepair::removalsOfSilent(const Consensus &consensus, TimePoint now) const
{
    if (!m_openMembership) {
        return {};
    }
    const auto isSilent = [&](TimePoint answeredAt) { return now - std::max(m_leaderSince, answeredAt) >= SilentMemberTimeout; };
    std::vector<MembershipChange> removals;
    std::size_t responding = 0;
    for (const VoterId &voter : consensus.membership().voters) {
        if (voter != consensus.self() && isSilent(consensus.answeredAt(voter).value_or(TimePoint{}))) {
            removals.push_back({MembershipChangeKind::Remove, voter});
        } else {
            ++responding;
        }
    }
    if (responding < m_requiredVoters) {
        removals.clear();
    }
    // A learner that has not answered yet may have been added a moment ago.
    for (const VoterId &learner : consensus.membership().learners) {
        const auto answeredAt = consensus.answeredAt(learner);
        if (answeredAt && isSilent(*answeredAt)) {
            removals.push_back({MembershipChangeKind::Remove, learner});
        }
    }
    return removals;
}

std::vector<MembershipChange> MembershipRepair::promotions(const Consensus &consensus, TimePoint now) const
{
    std::vector<MembershipChange> promotions;
    for (const VoterId &learner : consensus.membership().learners) {
        if (consensus.caughtUp(learner, now) && !isLeaving(learner, now)) {
            promotions.push_back({MembershipChangeKind::PromoteLearner, learner});
        }
    }
    return promotions;
}

std::vector<MembershipChange> MembershipRepair::additions(const Consensus &consensus, TimePoint now) const
{
    std::vector<MembershipChange> additions;
    for (const IdentityReply *identity : currentIdentities(now)) {
        if (!identity->blank && !isMember(consensus.membership(), identity->voter) && !isLeaving(identity->voter, now)) {
            additions.push_back({MembershipChangeKind::AddLearner, identity->voter});
        }
    }
    return additions;
}

} // namespace Hemlockhill
