// Decides which nodes a follower asks for the leader of the control plane. Deterministic, without I/O.
//
// The members of the group that the last leader named are asked first, as controllers may have been replaced many times since the node
// was started. The seeds of the settings and some other followers come after them: they help a node that was cut off while all members
// were replaced. A node that does not answer holds up no other.
#pragma once

#include "hemlockhill/world.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace Hemlockhill
{

class LeaderSearch
{
public:
    // The order of the members depends on the node itself, so that not all followers ask the same one first.
    LeaderSearch(VmId self, std::vector<VmId> seeds);

    // The settings name these seeds now.
    void setSeeds(std::vector<VmId> seeds);
    // The leader has named the members of its group, which replace those named before.
    void setMembers(const std::vector<VmId> &members);
    // The leader has named the nodes that follow it.
    void setFollowers(const std::vector<VmId> &followers);

    // Starts a search, after this leader has been lost; empty if there was none.
    void begin(const VmId &lost);
    // Returns up to this many nodes to ask next, without those that have not answered yet.
    std::vector<VmId> next(std::size_t count, TimePoint now);
    // A node has named this one as the leader. Returns whether it should be asked at once.
    bool onHint(const VmId &leader, TimePoint now);
    // A node has answered, or cannot be reached.
    void onDone(const VmId &vm);

private:
    // Starts another pass over all candidates.
    void fillQueue();
    bool mayAsk(const VmId &vm) const { return vm != m_self && !m_asking.contains(vm); }

    VmId m_self;
    std::vector<VmId> m_seeds;
    std::vector<VmId> m_members;
    std::vector<VmId> m_followers;
    // Number of followers that have been candidates so far.
    std::size_t m_followersTried = 0;
    VmId m_lost;
    // Candidates of this pass, the next one first.
    std::deque<VmId> m_queue;
    std::set<VmId> m_asking;
    // When each candidate of this search was last asked.
    std::map<VmId, TimePoint> m_askedAt;
};

} // namespace Hemlockhill
