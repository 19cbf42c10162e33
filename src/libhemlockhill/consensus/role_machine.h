// State machine of the roles of a voter.
#pragma once

#include "hemlockhill/consensus.h"

#include <functional>
#include <memory>

namespace Hemlockhill
{

// Holds the current role. Each function raises an event; events without a transition from the current role are ignored. An event raised
// within the entered callback is processed after the callback has returned.
class RoleMachine
{
public:
    // entered is called each time a role is entered, including re-entry of the same role.
    RoleMachine(VoterRole initial, std::function<void(VoterRole)> entered);
    ~RoleMachine();
    RoleMachine(const RoleMachine &) = delete;
    RoleMachine &operator=(const RoleMachine &) = delete;

    VoterRole role() const;

    void electionTimedOut();
    void preVoteWon();
    void voteWon();
    // The leader requested this voter to take over leadership.
    void transferRequested();
    // Another leader or a higher term was seen, the quorum was lost, or a leadership transfer timed out.
    void stepDown();
    void votingGranted();
    void votingRevoked();

private:
    class Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace Hemlockhill
