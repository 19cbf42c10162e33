// Replication of the declared state from the leading controller to nodes, by deltas or full snapshots.
#pragma once

#include "hemlockhill/peer_messages.h"
#include "hemlockhill/region_state.h"

#include <deque>
#include <memory>
#include <string>

namespace Hemlockhill
{

// Digest of a state. Replicas at the same revision have the same digest.
StateDigest digestOf(const RegionState &state);

// Leader's side: keeps the most recent accepted commands to compute deltas.
class StateHistory
{
public:
    // Maximum number of retained commands. A node that lags further receives a snapshot.
    static constexpr std::size_t CommandLimit = 1024;

    // Records the command that produced the machine's current state.
    void recordAccepted(const Command &command, const RegionStateMachine &machine);
    // Discards all commands after the machine's state was replaced by a snapshot.
    void reset(const RegionStateMachine &machine);

    Revision revision() const { return m_revision; }

    // Returns what a node at this revision with this digest needs to reach the current state: nothing, a delta, or a snapshot.
    FollowReply answer(Revision known, StateDigest digest, const RegionStateMachine &machine) const;

private:
    struct Entry {
        Revision revision;
        std::string statement;
        StateDigest digestBefore;
    };

    Revision m_revision;
    StateDigest m_digest = digestOf(RegionState{});
    std::deque<Entry> m_entries;
};

// Follower's side: the replica of the declared state on a node.
class StateFollower
{
public:
    // Applies a leader's reply. If the result does not match the leader's revision and digest, resets to the empty state, so that the next
    // reply contains a snapshot, and throws DecodeError.
    void apply(const FollowReply &reply);
    // Replaces the state by a snapshot of another node. Throws DecodeError if it is invalid.
    void restoreSnapshot(const std::string &snapshot);

    const RegionState &state() const { return m_machine.state(); }
    StateDigest digest() const { return m_digest; }
    // Returns the full state in the form that restoreSnapshot() reads.
    std::string snapshot() const { return m_machine.snapshot(); }

private:
    RegionStateMachine m_machine;
    StateDigest m_digest = digestOf(RegionState{});
};

} // namespace Hemlockhill
