// Public interface of consensus; forwards to Consensus::Core.
#include "hemlockhill/consensus.h"

#include "consensus/core.h"

namespace Hemlockhill
{

Consensus::Consensus(ConsensusSettings settings, RestoredState restored, std::uint64_t seed, TimePoint now)
    : m_core(std::make_unique<Core>(std::move(settings), std::move(restored), seed, now))
{
}

Consensus::~Consensus() = default;
Consensus::Consensus(Consensus &&) noexcept = default;
Consensus &Consensus::operator=(Consensus &&) noexcept = default;

void Consensus::tick(TimePoint now)
{
    m_core->tick(now);
}

void Consensus::receive(const Envelope &envelope, TimePoint now)
{
    m_core->receive(envelope, now);
}

std::variant<Proposal, Refusal> Consensus::propose(std::string payload, TimePoint now)
{
    return m_core->propose(std::move(payload), now);
}

std::variant<Proposal, Refusal> Consensus::proposeMembership(const MembershipChange &change, TimePoint now)
{
    return m_core->proposeMembership(change, now);
}

bool Consensus::transferLeadership(TimePoint now, const std::set<VoterId> &avoided)
{
    return m_core->transferLeadership(now, avoided);
}

std::optional<ReadMark> Consensus::beginRead(TimePoint now)
{
    return m_core->beginRead(now);
}

bool Consensus::isReadConfirmed(const ReadMark &read) const
{
    return m_core->isReadConfirmed(read);
}

void Consensus::compact(LogIndex upTo, std::string snapshotData)
{
    m_core->compact(upTo, std::move(snapshotData));
}

void Consensus::persisted(const PersistedMark &mark)
{
    m_core->persisted(mark);
}

ConsensusActions Consensus::takeActions(TimePoint now)
{
    return m_core->takeActions(now);
}

const VoterId &Consensus::self() const
{
    return m_core->settings().self;
}

VoterRole Consensus::role() const
{
    return m_core->role();
}

Term Consensus::term() const
{
    return m_core->term();
}

std::optional<VoterId> Consensus::leader() const
{
    return m_core->leader();
}

LogIndex Consensus::commitIndex() const
{
    return m_core->commitIndex();
}

LogIndex Consensus::lastIndex() const
{
    return m_core->log().lastIndex();
}

const VoterMembership &Consensus::membership() const
{
    return m_core->log().membership();
}

bool Consensus::isMembershipCommitted() const
{
    return m_core->log().membershipIndex() <= m_core->commitIndex();
}

bool Consensus::leaseHeld(TimePoint now) const
{
    return leaseState(now) == LeaseState::Held;
}

LeaseState Consensus::leaseState(TimePoint now) const
{
    return m_core->leaseState(now);
}

std::optional<TimePoint> Consensus::leaseEnd() const
{
    return m_core->leaseEnd();
}

std::optional<LogIndex> Consensus::matchIndex(const VoterId &member) const
{
    return m_core->matchIndex(member);
}

std::optional<TimePoint> Consensus::answeredAt(const VoterId &member) const
{
    return m_core->answeredAt(member);
}

bool Consensus::caughtUp(const VoterId &learner, TimePoint now) const
{
    return m_core->caughtUp(learner, now);
}

TimePoint Consensus::nextDeadline() const
{
    return m_core->nextDeadline();
}

} // namespace Hemlockhill
