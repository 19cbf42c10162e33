// Elections: pre-votes, votes, and refusing votes while a leader may hold a lease.
#include "consensus/core.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Number of syncs that a voter may have to finish before its reply to a vote request is sent: one that is under way, and that of its vote.
constexpr int SyncsBeforeVote = 2;
// Longest time that a voter allows for these syncs, in election timeouts. A process that was stopped during a sync must not wait for as
// long.
constexpr int LongestVoteWait = 8;

} // namespace

void Consensus::Core::enteredRole(VoterRole role)
{
    m_preVotes.clear();
    if (role != VoterRole::PreCandidate) {
        m_standing = false;
        m_votes.clear();
    }
    if (role != VoterRole::Leader) {
        m_members.clear();
        m_transfer.reset();
        resetElectionTimer();
    }
    if (role == VoterRole::PreCandidate) {
        startPreVote();
    } else if (role == VoterRole::Candidate) {
        startElection();
    } else if (role == VoterRole::Leader) {
        startLeading();
    }
}

void Consensus::Core::resetElectionTimer()
{
    const Duration timeout = m_settings.electionTimeout;
    boost::random::uniform_int_distribution<Duration::rep> extra(0, timeout.count());
    m_electionDeadline = m_now + timeout + Duration(extra(m_random));
}

bool Consensus::Core::hasRecentLeader() const
{
    return role() == VoterRole::Leader || m_now < m_leaderHeardAt + m_settings.electionTimeout;
}

bool Consensus::Core::isUpToDate(LogIndex lastIndex, Term lastTerm) const
{
    if (lastTerm != m_log.lastTerm()) {
        return lastTerm > m_log.lastTerm();
    }
    return lastIndex >= m_log.lastIndex();
}

void Consensus::Core::startPreVote()
{
    m_leader.reset();
    const PreVoteRequest request{term() + Term{1}, m_log.lastIndex(), m_log.lastTerm()};
    for (const VoterId &voter : m_log.membership().voters) {
        if (voter != m_settings.self) {
            sendAfterSync(voter, request);
        }
    }
    recordPreVote(m_settings.self);
}

void Consensus::Core::startElection()
{
    m_leader.reset();
    m_standing = true;
    setHardState(HardState{term() + Term{1}, m_settings.self});
    const VoteRequest request{term(), m_log.lastIndex(), m_log.lastTerm(), m_transferElection};
    m_transferElection = false;
    for (const VoterId &voter : m_log.membership().voters) {
        if (voter != m_settings.self) {
            sendAfterSync(voter, request);
        }
    }
}

void Consensus::Core::startLeading()
{
    m_leader = m_settings.self;
    m_leadingSince = m_now;
    m_heartbeatDeadline = m_now;
    m_members.clear();
    applyLatestMembership();
    appendAsLeader(EntryKind::Noop, {});
    m_termStartIndex = m_log.lastIndex();
}

void Consensus::Core::adoptTerm(Term term)
{
    m_leader.reset();
    setHardState(HardState{term, {}});
    m_role.stepDown();
}

void Consensus::Core::termBecameDurable()
{
    if (role() == VoterRole::Leader) {
        return;
    }
    resetElectionTimer();
    // The syncs of the other voters may take as long. Asking for pre-votes before they can have voted would start another term in vain.
    m_electionDeadline += std::min(SyncsBeforeVote * (m_now - m_hardStateChangedAt), LongestVoteWait * m_settings.electionTimeout);
    if (role() == VoterRole::Candidate) {
        recordVote(m_settings.self);
    }
}

void Consensus::Core::recordPreVote(const VoterId &voter)
{
    if (!isVoter(voter)) {
        return;
    }
    m_preVotes.insert(voter);
    if (m_preVotes.size() >= quorum()) {
        m_role.preVoteWon();
    }
}

void Consensus::Core::recordVote(const VoterId &voter)
{
    if (!isVoter(voter)) {
        return;
    }
    m_votes.insert(voter);
    if (m_votes.size() >= quorum()) {
        m_role.voteWon();
    }
}

void Consensus::Core::handle(const VoterId &from, const PreVoteRequest &request)
{
    const bool granted = request.term > term() && !hasRecentLeader() && isUpToDate(request.lastIndex, request.lastTerm);
    sendAfterSync(from, PreVoteReply{granted ? request.term : term(), granted});
}

void Consensus::Core::handle(const VoterId &from, const PreVoteReply &reply)
{
    if (!reply.granted) {
        if (reply.term > term()) {
            adoptTerm(reply.term);
        }
        return;
    }
    if (role() == VoterRole::PreCandidate && reply.term == term() + Term{1}) {
        recordPreVote(from);
    }
}

void Consensus::Core::handle(const VoterId &from, const VoteRequest &request)
{
    // A leader's lease relies on voters not electing another leader within an election timeout after its last message.
    if (request.term > term() && !request.leadershipTransfer && hasRecentLeader()) {
        return;
    }
    if (request.term > term()) {
        adoptTerm(request.term);
    }
    const bool mayVote = m_hardState.votedFor.empty() || m_hardState.votedFor == from;
    const bool granted = request.term == term() && mayVote && isUpToDate(request.lastIndex, request.lastTerm);
    if (granted) {
        setHardState(HardState{term(), from});
        resetElectionTimer();
    }
    sendAfterSync(from, VoteReply{term(), granted});
}

void Consensus::Core::handle(const VoterId &from, const VoteReply &reply)
{
    if (reply.term > term()) {
        adoptTerm(reply.term);
        return;
    }
    if (reply.granted && reply.term == term() && m_standing) {
        recordVote(from);
    }
}

void Consensus::Core::handle(const VoterId &from, const TimeoutNow &request)
{
    if (request.term != term() || role() != VoterRole::Follower || m_leader != from) {
        return;
    }
    m_transferElection = true;
    m_role.transferRequested();
}

} // namespace Hemlockhill
