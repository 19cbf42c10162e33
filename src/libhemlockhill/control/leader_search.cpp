// Order of the candidates of a search for the leader.
#include "hemlockhill/leader_search.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Number of other followers that are asked in each pass.
constexpr std::size_t FollowersPerPass = 2;
// Minimum time between two questions to the same node because others name it as the leader.
constexpr Duration HintInterval = std::chrono::milliseconds(150);

} // namespace

LeaderSearch::LeaderSearch(VmId self, std::vector<VmId> seeds)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
{
    fillQueue();
}

void LeaderSearch::setSeeds(std::vector<VmId> seeds)
{
    m_seeds = std::move(seeds);
}

void LeaderSearch::setMembers(const std::vector<VmId> &members)
{
    if (!members.empty()) {
        m_members = members;
        std::sort(m_members.begin(), m_members.end());
        const std::size_t first = std::hash<std::string>()(m_self.value) % m_members.size();
        std::rotate(m_members.begin(), m_members.begin() + static_cast<std::ptrdiff_t>(first), m_members.end());
    }
}

void LeaderSearch::setFollowers(const std::vector<VmId> &followers)
{
    m_followers = followers;
}

void LeaderSearch::begin(const VmId &lost)
{
    m_lost = lost;
    m_askedAt.clear();
    fillQueue();
}

void LeaderSearch::fillQueue()
{
    m_queue.clear();
    const auto add = [this](const VmId &vm) {
        if (vm != m_lost && vm != m_self && std::find(m_queue.begin(), m_queue.end(), vm) == m_queue.end()) {
            m_queue.push_back(vm);
        }
    };
    std::for_each(m_members.begin(), m_members.end(), add);
    std::for_each(m_seeds.begin(), m_seeds.end(), add);
    for (std::size_t count = 0; count < std::min(FollowersPerPass, m_followers.size()); ++count) {
        add(m_followers[m_followersTried++ % m_followers.size()]);
    }
    if (!m_lost.empty()) {
        m_queue.push_back(std::exchange(m_lost, {}));
    }
}

std::vector<VmId> LeaderSearch::next(std::size_t count, TimePoint now)
{
    std::vector<VmId> chosen;
    if (m_queue.empty()) {
        fillQueue();
    }
    while (chosen.size() < count && !m_queue.empty()) {
        const VmId vm = m_queue.front();
        m_queue.pop_front();
        if (mayAsk(vm)) {
            m_asking.insert(vm);
            m_askedAt[vm] = now;
            chosen.push_back(vm);
        }
    }
    return chosen;
}

bool LeaderSearch::onHint(const VmId &leader, TimePoint now)
{
    const auto asked = m_askedAt.find(leader);
    const bool isTooEarly = asked != m_askedAt.end() && now - asked->second < HintInterval;
    if (leader.empty() || isTooEarly || !mayAsk(leader)) {
        return false;
    }
    m_asking.insert(leader);
    m_askedAt[leader] = now;
    return true;
}

void LeaderSearch::onDone(const VmId &vm)
{
    m_asking.erase(vm);
}

} // namespace Hemlockhill
