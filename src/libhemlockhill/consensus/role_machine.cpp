// Transition table of the roles of a voter.
#include "consensus/role_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Hemlockhill
{

namespace
{

namespace front = boost::msm::front;

struct Started {
    bool voting;
};
struct ElectionTimedOut {
};
struct PreVoteWon {
};
struct VoteWon {
};
struct TransferRequested {
};
struct StepDown {
};
struct VotingGranted {
};
struct VotingRevoked {
};

template<VoterRole Role>
struct RoleState : front::state<> {
    template<typename Event, typename Machine>
    void on_entry(const Event &, Machine &machine)
    {
        machine.role = Role;
        machine.entered(Role);
    }
};

struct RoleDefinition : front::state_machine_def<RoleDefinition> {
    struct Initial : front::state<> {
    };
    struct Follower : RoleState<VoterRole::Follower> {
    };
    struct PreCandidate : RoleState<VoterRole::PreCandidate> {
    };
    struct Candidate : RoleState<VoterRole::Candidate> {
    };
    struct Leader : RoleState<VoterRole::Leader> {
    };
    struct Learner : RoleState<VoterRole::Learner> {
    };

    struct IsVoting {
        template<typename Machine, typename Source, typename Target>
        bool operator()(const Started &event, Machine &, Source &, Target &) const
        {
            return event.voting;
        }
    };

    struct IsNotVoting {
        template<typename Machine, typename Source, typename Target>
        bool operator()(const Started &event, Machine &, Source &, Target &) const
        {
            return !event.voting;
        }
    };

    template<typename Source, typename Event, typename Target, typename Guard = front::none>
    using Row = front::Row<Source, Event, Target, front::none, Guard>;

    // clang-format off
    using transition_table = boost::mpl::vector<
        Row<Initial, Started, Follower, IsVoting>,
        Row<Initial, Started, Learner, IsNotVoting>,
        Row<Follower, ElectionTimedOut, PreCandidate>,
        Row<Follower, TransferRequested, Candidate>,
        Row<Follower, VotingRevoked, Learner>,
        Row<PreCandidate, ElectionTimedOut, PreCandidate>,
        Row<PreCandidate, PreVoteWon, Candidate>,
        Row<PreCandidate, VoteWon, Leader>,
        Row<PreCandidate, StepDown, Follower>,
        Row<PreCandidate, VotingRevoked, Learner>,
        Row<Candidate, ElectionTimedOut, PreCandidate>,
        Row<Candidate, VoteWon, Leader>,
        Row<Candidate, StepDown, Follower>,
        Row<Candidate, VotingRevoked, Learner>,
        Row<Leader, StepDown, Follower>,
        Row<Learner, VotingGranted, Follower>
    >;
    // clang-format on

    using initial_state = Initial;

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    VoterRole role = VoterRole::Learner;
    std::function<void(VoterRole)> entered;
};

} // namespace

class RoleMachine::Machine : public boost::msm::back::state_machine<RoleDefinition>
{
};

RoleMachine::RoleMachine(VoterRole initial, std::function<void(VoterRole)> entered)
    : m_machine(std::make_unique<Machine>())
{
    m_machine->entered = std::move(entered);
    m_machine->start();
    m_machine->process_event(Started{initial != VoterRole::Learner});
}

RoleMachine::~RoleMachine() = default;

VoterRole RoleMachine::role() const
{
    return m_machine->role;
}

void RoleMachine::electionTimedOut()
{
    m_machine->process_event(ElectionTimedOut{});
}

void RoleMachine::preVoteWon()
{
    m_machine->process_event(PreVoteWon{});
}

void RoleMachine::voteWon()
{
    m_machine->process_event(VoteWon{});
}

void RoleMachine::transferRequested()
{
    m_machine->process_event(TransferRequested{});
}

void RoleMachine::stepDown()
{
    m_machine->process_event(StepDown{});
}

void RoleMachine::votingGranted()
{
    m_machine->process_event(VotingGranted{});
}

void RoleMachine::votingRevoked()
{
    m_machine->process_event(VotingRevoked{});
}

} // namespace Hemlockhill
