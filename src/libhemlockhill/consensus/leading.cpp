// Leader: proposals, replication, commit, lease, membership changes and leadership transfer.
#include "consensus/core.h"

#include <algorithm>
#include <functional>

namespace Hemlockhill
{

namespace
{

constexpr std::int64_t HundredPercent = 100;

Refusal refusal(Reason reason, std::string detail)
{
    return Refusal{reason, Ran::No, std::move(detail)};
}

VoterMembership withChange(VoterMembership membership, const MembershipChange &change)
{
    membership.learners.erase(change.voter);
    membership.voters.erase(change.voter);
    if (change.kind == MembershipChangeKind::AddLearner) {
        membership.learners.insert(change.voter);
    } else if (change.kind == MembershipChangeKind::PromoteLearner) {
        membership.voters.insert(change.voter);
    }
    return membership;
}

} // namespace

std::optional<Refusal> Consensus::Core::proposalRefusal() const
{
    if (role() != VoterRole::Leader) {
        return refusal(Reason::NotLeader, "this controller is not the leader");
    }
    if (m_transfer) {
        return refusal(Reason::NotLeader, "leadership is being transferred to another controller");
    }
    if (quorumAnsweredAt(m_now, m_leadingSince) + m_settings.electionTimeout <= m_now) {
        return refusal(Reason::NoQuorum, "no quorum of controllers has responded within the election timeout");
    }
    if (m_log.lastIndex().value - m_commitIndex.value >= m_settings.maxUncommittedEntries) {
        return refusal(Reason::QueueFull, "too many uncommitted commands");
    }
    return std::nullopt;
}

std::variant<Proposal, Refusal> Consensus::Core::propose(std::string payload, TimePoint now)
{
    advanceTime(now);
    if (auto refused = proposalRefusal()) {
        return *refused;
    }
    return appendAsLeader(EntryKind::Command, std::move(payload));
}

std::variant<Proposal, Refusal> Consensus::Core::appendAsLeader(EntryKind kind, std::string payload)
{
    const LogIndex index = m_log.lastIndex() + LogIndex{1};
    m_log.append(LogEntry{term(), index, kind, std::move(payload)});
    return Proposal{term(), index};
}

std::optional<Refusal> Consensus::Core::membershipChangeRefusal(const MembershipChange &change) const
{
    // Quorums of two memberships are sure to overlap only if they differ by one voter and the earlier one is committed in this leader's
    // term.
    if (m_commitIndex < m_termStartIndex || m_commitIndex < m_log.membershipIndex()) {
        return refusal(Reason::ChangeInProgress, "the previous membership change is not yet committed");
    }
    const VoterMembership &membership = m_log.membership();
    const bool isLearner = membership.learners.count(change.voter) > 0;
    switch (change.kind) {
    case MembershipChangeKind::AddLearner:
        if (isLearner || isVoter(change.voter)) {
            return refusal(Reason::AlreadyDeclared, "already a member: " + change.voter.value);
        }
        return std::nullopt;
    case MembershipChangeKind::PromoteLearner:
        if (!isLearner) {
            return refusal(Reason::UnknownObject, "not a learner: " + change.voter.value);
        }
        if (!caughtUp(change.voter, m_now)) {
            return refusal(Reason::LearnerBehind, "the learner has not caught up: " + change.voter.value);
        }
        return std::nullopt;
    case MembershipChangeKind::Remove:
        break;
    }
    if (!isLearner && !isVoter(change.voter)) {
        return refusal(Reason::UnknownObject, "not a member: " + change.voter.value);
    }
    if (change.voter == m_settings.self) {
        return refusal(Reason::ObjectInUse, "the leader cannot remove itself; transfer leadership first");
    }
    return std::nullopt;
}

std::variant<Proposal, Refusal> Consensus::Core::proposeMembership(const MembershipChange &change, TimePoint now)
{
    advanceTime(now);
    if (auto refused = proposalRefusal()) {
        return *refused;
    }
    if (auto refused = membershipChangeRefusal(change)) {
        return *refused;
    }
    const VoterMembership membership = withChange(m_log.membership(), change);
    if (!hasLiveQuorum(membership)) {
        return refusal(Reason::NoQuorum, "too few voters of the new membership are responding");
    }
    auto proposal = appendAsLeader(EntryKind::Membership, encodeMembership(membership));
    applyLatestMembership();
    return proposal;
}

bool Consensus::Core::isAlive(const VoterId &member, TimePoint now) const
{
    const auto found = m_members.find(member);
    if (member == m_settings.self || found == m_members.end()) {
        return member == m_settings.self;
    }
    const auto &answered = found->second.answeredSentAt;
    return answered && *answered + m_settings.electionTimeout > now;
}

// A membership change that leaves too few live voters could neither be committed nor reverted.
bool Consensus::Core::hasLiveQuorum(const VoterMembership &membership) const
{
    std::size_t alive = 0;
    for (const VoterId &voter : membership.voters) {
        alive += isAlive(voter, m_now) ? 1 : 0;
    }
    return alive > membership.voters.size() / 2;
}

void Consensus::Core::applyLatestMembership()
{
    if (isVoter(m_settings.self)) {
        m_role.votingGranted();
    } else {
        m_role.votingRevoked();
    }
    if (role() != VoterRole::Leader) {
        return;
    }
    const VoterMembership &membership = m_log.membership();
    std::set<VoterId> others = membership.voters;
    others.insert(membership.learners.begin(), membership.learners.end());
    others.erase(m_settings.self);
    for (const VoterId &member : others) {
        m_members.try_emplace(member, MemberProgress{LogIndex{}, m_log.lastIndex() + LogIndex{1}});
    }
    std::erase_if(m_members, [&others](const auto &known) { return others.count(known.first) == 0; });
}

void Consensus::Core::advanceCommit()
{
    std::vector<LogIndex> matches;
    for (const VoterId &voter : m_log.membership().voters) {
        matches.push_back(voter == m_settings.self ? m_persistedIndex : m_members.at(voter).match);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex quorumIndex = matches.at(quorum() - 1);
    // An entry of an earlier term is committed only through a later entry of this term. Until then another leader might overwrite it, even
    // if a quorum stores it.
    if (quorumIndex > m_commitIndex && m_log.termAt(quorumIndex) == term()) {
        m_commitIndex = quorumIndex;
        m_commitUnannounced = true;
    }
}

void Consensus::Core::handle(const VoterId &from, const AppendReply &reply)
{
    if (reply.term > term()) {
        adoptTerm(reply.term);
        return;
    }
    const auto found = m_members.find(from);
    if (role() != VoterRole::Leader || reply.term != term() || found == m_members.end()) {
        return;
    }
    MemberProgress &progress = found->second;
    // Voters of earlier builds return the send time of a request of an earlier term, too, with index 0. This process may have sent it
    // before its clock began anew.
    const bool answersThisTerm = reply.accepted || reply.index > LogIndex{};
    if (answersThisTerm && reply.sentAt <= m_lastSentAt) {
        progress.answeredSentAt = std::max(progress.answeredSentAt.value_or(reply.sentAt), reply.sentAt);
    }
    if (reply.accepted) {
        progress.awaitingReply = progress.awaitingReply && progress.snapshot != nullptr;
        progress.match = std::max(progress.match, reply.index);
        progress.next = std::max(progress.next, progress.match + LogIndex{1});
        progress.probing = progress.probing && reply.index + LogIndex{1} < progress.next;
        advanceCommit();
        continueTransfer();
        return;
    }
    if (reply.previousIndex <= progress.match || reply.previousIndex >= progress.next) {
        // An outdated reply, or one of a member whose disk lost acknowledged entries. Retried with the next heartbeat.
        return;
    }
    progress.awaitingReply = false;
    progress.probing = true;
    const LogIndex hinted = std::min(reply.index, reply.previousIndex - LogIndex{1});
    progress.next = std::max(progress.match, hinted) + LogIndex{1};
}

void Consensus::Core::handle(const VoterId &from, const SnapshotReply &reply)
{
    if (reply.term > term()) {
        adoptTerm(reply.term);
        return;
    }
    const auto found = m_members.find(from);
    if (role() != VoterRole::Leader || reply.term != term() || found == m_members.end()) {
        return;
    }
    MemberProgress &progress = found->second;
    if (!progress.snapshot || progress.snapshot->index != reply.index) {
        return;
    }
    progress.awaitingReply = false;
    progress.snapshotOffset = std::min<std::uint64_t>(reply.nextOffset, progress.snapshot->data.size());
    if (reply.installed) {
        progress.snapshot = nullptr;
        progress.match = std::max(progress.match, reply.index);
        progress.next = progress.match + LogIndex{1};
        advanceCommit();
    }
}

void Consensus::Core::replicate(TimePoint now)
{
    const bool heartbeat = m_now >= m_heartbeatDeadline;
    if (heartbeat) {
        m_heartbeatDeadline = m_now + m_settings.heartbeat;
    }
    // Tells requests that follow a read from earlier ones, besides being the time from which leases count.
    m_lastSentAt = std::max(now, m_readBegun ? m_lastSentAt + Duration(1) : m_lastSentAt);
    for (auto &[member, progress] : m_members) {
        sendTo(member, progress, now, heartbeat || m_commitUnannounced);
    }
    m_commitUnannounced = false;
    m_readBegun = false;
}

std::optional<ReadMark> Consensus::Core::beginRead(TimePoint now)
{
    advanceTime(now);
    if (role() != VoterRole::Leader || m_commitIndex < m_termStartIndex) {
        return std::nullopt;
    }
    m_readBegun = true;
    return ReadMark{term(), m_lastSentAt};
}

// A voter that answers has not voted in a later term before, and every later leader needs the vote of one of a quorum, also while a change
// of the membership is not committed.
bool Consensus::Core::isReadConfirmed(const ReadMark &read) const
{
    const bool leads = role() == VoterRole::Leader && term() == read.term;
    return leads && quorumAnsweredAt(TimePoint::max(), TimePoint::min()) > read.sentAt;
}

void Consensus::Core::sendTo(const VoterId &member, MemberProgress &progress, TimePoint now, bool heartbeat)
{
    if (!progress.snapshot && progress.next <= m_log.baseIndex()) {
        progress.snapshot = m_snapshot;
        progress.snapshotOffset = 0;
        progress.awaitingReply = false;
        progress.probing = true;
    }
    if (progress.snapshot) {
        if (!progress.awaitingReply || now >= progress.chunkSentAt + m_settings.electionTimeout) {
            sendChunk(member, progress, now);
        }
        if (heartbeat || m_readBegun) {
            sendHeartbeat(member, progress);
        }
        return;
    }
    if (progress.probing) {
        if (!progress.awaitingReply) {
            progress.awaitingReply = true;
            sendEntries(member, progress, m_log.slice(progress.next, m_settings.maxBatchEntries, m_settings.maxBatchBytes));
        } else if (heartbeat || m_readBegun) {
            // Answered without waiting for the entries to be synced. If they were lost, the reply causes them to be sent again.
            sendHeartbeat(member, progress);
        }
        return;
    }
    bool sent = false;
    while (progress.next <= m_log.lastIndex() && progress.next.value - progress.match.value <= m_settings.maxInFlightEntries) {
        std::vector<LogEntry> entries = m_log.slice(progress.next, m_settings.maxBatchEntries, m_settings.maxBatchBytes);
        const LogIndex count{entries.size()};
        sendEntries(member, progress, std::move(entries));
        progress.next += count;
        sent = true;
    }
    // A read does not wait for the sync of entries.
    if (m_readBegun || (heartbeat && !sent)) {
        sendHeartbeat(member, progress);
    }
}

void Consensus::Core::sendEntries(const VoterId &member, MemberProgress &progress, std::vector<LogEntry> entries)
{
    const LogIndex previous = progress.next - LogIndex{1};
    sendNow(member, AppendRequest{term(), previous, m_log.termAt(previous).value(), m_commitIndex, std::move(entries), m_lastSentAt});
}

void Consensus::Core::sendHeartbeat(const VoterId &member, const MemberProgress &progress)
{
    // Index 0 precedes every log, so that a member that is still receiving a snapshot accepts the heartbeat.
    LogIndex previous{};
    if (!progress.snapshot) {
        previous = progress.next - LogIndex{1};
    }
    sendNow(member, AppendRequest{term(), previous, m_log.termAt(previous).value_or(Term{}), m_commitIndex, {}, m_lastSentAt});
}

void Consensus::Core::sendChunk(const VoterId &member, MemberProgress &progress, TimePoint now)
{
    const ConsensusSnapshot &snapshot = *progress.snapshot;
    std::string bytes = snapshot.data.substr(progress.snapshotOffset, m_settings.snapshotChunkBytes);
    const bool last = progress.snapshotOffset + bytes.size() == snapshot.data.size();
    sendNow(member,
            SnapshotRequest{term(), snapshot.index, snapshot.term, snapshot.membership, progress.snapshotOffset, std::move(bytes), last});
    progress.awaitingReply = true;
    progress.chunkSentAt = now;
}

bool Consensus::Core::transferLeadership(TimePoint now, const std::set<VoterId> &avoided)
{
    advanceTime(now);
    if (role() != VoterRole::Leader || m_transfer) {
        return m_transfer.has_value();
    }
    std::optional<VoterId> successor;
    std::pair<bool, LogIndex> best;
    for (const auto &[member, progress] : m_members) {
        const std::pair<bool, LogIndex> suitability{!avoided.contains(member), progress.match};
        if (isVoter(member) && isAlive(member, m_now) && (!successor || suitability > best)) {
            successor = member;
            best = suitability;
        }
    }
    if (!successor) {
        return false;
    }
    m_transfer = LeadershipTransfer{*successor, m_now + m_settings.electionTimeout};
    continueTransfer();
    return true;
}

void Consensus::Core::continueTransfer()
{
    if (!m_transfer || m_transfer->requested || m_members.at(m_transfer->successor).match != m_log.lastIndex()) {
        return;
    }
    // Voters grant the successor's request without waiting for the election timeout. The lease therefore ends here and is not renewed in
    // this term.
    m_transfer->requested = true;
    sendNow(m_transfer->successor, TimeoutNow{term()});
}

void Consensus::Core::checkQuorum()
{
    const bool quorumLost = quorumAnsweredAt(m_now, m_leadingSince) + m_settings.electionTimeout <= m_now;
    const bool transferFailed = m_transfer && m_now >= m_transfer->deadline;
    if (quorumLost || transferFailed) {
        m_leader.reset();
        m_role.stepDown();
    }
}

TimePoint Consensus::Core::quorumAnsweredAt(TimePoint self, TimePoint fallback) const
{
    std::vector<TimePoint> answered;
    for (const VoterId &voter : m_log.membership().voters) {
        if (voter == m_settings.self) {
            answered.push_back(self);
        } else {
            answered.push_back(std::max(m_members.at(voter).answeredSentAt.value_or(fallback), fallback));
        }
    }
    std::sort(answered.begin(), answered.end(), std::greater<>());
    return answered.at(quorum() - 1);
}

std::optional<LeaseState> Consensus::Core::leaseObstacle() const
{
    if (role() != VoterRole::Leader) {
        return LeaseState::NotLeading;
    }
    if (m_commitIndex < m_termStartIndex) {
        return LeaseState::TermNotCommitted;
    }
    const bool forfeited = m_transfer && m_transfer->requested;
    return forfeited ? std::optional(LeaseState::Transferring) : std::nullopt;
}

LeaseState Consensus::Core::leaseState(TimePoint now) const
{
    if (const auto obstacle = leaseObstacle()) {
        return *obstacle;
    }
    const std::optional<TimePoint> end = leaseEnd();
    return end && now < *end ? LeaseState::Held : LeaseState::Expired;
}

std::optional<TimePoint> Consensus::Core::leaseEnd() const
{
    if (leaseObstacle()) {
        return std::nullopt;
    }
    const TimePoint answered = quorumAnsweredAt(TimePoint::max(), TimePoint::min());
    if (answered == TimePoint::max() || answered == TimePoint::min()) {
        return answered == TimePoint::max() ? std::optional(answered) : std::nullopt;
    }
    // Voters measure the election timeout by their own clocks, which may run fast while this one runs slow.
    const auto bound = static_cast<std::int64_t>(m_settings.clockRateBoundPercent);
    return answered + m_settings.electionTimeout * (HundredPercent - bound) / (HundredPercent + bound);
}

std::optional<LogIndex> Consensus::Core::matchIndex(const VoterId &member) const
{
    if (role() != VoterRole::Leader) {
        return std::nullopt;
    }
    if (member == m_settings.self) {
        return m_persistedIndex;
    }
    const auto found = m_members.find(member);
    return found == m_members.end() ? std::nullopt : std::optional(found->second.match);
}

std::optional<TimePoint> Consensus::Core::answeredAt(const VoterId &member) const
{
    const auto found = m_members.find(member);
    return role() != VoterRole::Leader || found == m_members.end() ? std::nullopt : found->second.answeredSentAt;
}

bool Consensus::Core::caughtUp(const VoterId &learner, TimePoint now) const
{
    const auto found = m_members.find(learner);
    if (role() != VoterRole::Leader || found == m_members.end()) {
        return false;
    }
    const MemberProgress &progress = found->second;
    return isAlive(learner, now) && progress.match.value + m_settings.promotionLag >= m_log.lastIndex().value
           && progress.match >= m_termStartIndex;
}

} // namespace Hemlockhill
