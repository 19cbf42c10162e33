// A follower that has lost the leader finds the next one soon, also after many controllers have been replaced.
#include "hemlockhill/leader_search.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

using namespace Hemlockhill;

namespace
{

constexpr Duration Round = std::chrono::milliseconds(150);
// A machine that is gone answers nothing until the call fails.
constexpr Duration CallTimeout = std::chrono::seconds(1);

VmId controller(std::size_t number)
{
    return VmId{"10.0.0." + std::to_string(number)};
}

// Controllers of which some are gone and one leads; the others do not know the leader.
struct Group {
    std::set<VmId> running;
    VmId leader;

    // Returns how long a follower searches.
    std::optional<Duration> search(LeaderSearch &search, const VmId &lost, Duration limit) const
    {
        std::multimap<TimePoint, VmId> failures;
        const TimePoint start = TimePoint{} + std::chrono::hours(1);
        search.begin(lost);
        std::size_t count = 3;
        for (TimePoint now = start; now - start < limit; now += Round) {
            for (auto failed = failures.begin(); failed != failures.end() && failed->first <= now; failed = failures.erase(failed)) {
                search.onDone(failed->second);
            }
            bool isFound = false;
            for (const VmId &vm : search.next(count, now)) {
                isFound = isFound || vm == leader;
                if (running.contains(vm)) {
                    search.onDone(vm);
                } else {
                    failures.emplace(now + CallTimeout, vm);
                }
            }
            if (isFound) {
                for (const auto &[failsAt, vm] : failures) {
                    search.onDone(vm);
                }
                return now - start;
            }
            count = 1;
        }
        return std::nullopt;
    }
};

} // namespace

// Guards against a search that grows with the number of controllers that have ever been replaced.
BOOST_AUTO_TEST_CASE(search_asks_controllers_that_were_replaced_long_ago)
{
    LeaderSearch search(VmId{"10.1.0.1"}, {controller(1), controller(2), controller(3)});
    std::vector<VmId> members{controller(1), controller(2), controller(3)};
    for (std::size_t added = 4; added < 40; ++added) {
        search.setMembers(members);
        const VmId lost = members.front();
        members.erase(members.begin());
        const Group group{{members.begin(), members.end()}, members.back()};
        const auto found = group.search(search, lost, std::chrono::seconds(10));
        BOOST_REQUIRE(found);
        BOOST_CHECK(*found <= Round);
        members.push_back(controller(added));
    }
}

// Guards against a search in which a controller that does not answer holds up the others.
BOOST_AUTO_TEST_CASE(silent_controllers_hold_up_the_search)
{
    LeaderSearch search(VmId{"10.1.0.1"}, {});
    std::vector<VmId> members;
    for (std::size_t number = 1; number <= 5; ++number) {
        members.push_back(controller(number));
    }
    for (const VmId &leader : members) {
        search.setMembers(members);
        const Group group{{leader}, leader};
        const auto found = group.search(search, VmId{}, std::chrono::seconds(10));
        BOOST_REQUIRE(found);
        BOOST_CHECK(*found < CallTimeout);
    }
}

// Guards against a node that was cut off while all controllers were replaced and never finds the leader again.
BOOST_AUTO_TEST_CASE(node_that_knows_only_former_controllers_finds_no_leader)
{
    LeaderSearch search(VmId{"10.1.0.1"}, {controller(1), controller(2), controller(3)});
    search.setMembers({controller(1), controller(2), controller(3)});
    const std::vector<VmId> followers{VmId{"10.1.0.1"}, VmId{"10.1.0.2"}, VmId{"10.1.0.3"}};
    search.setFollowers(followers);
    search.begin(controller(1));
    const TimePoint now = TimePoint{} + std::chrono::hours(1);
    std::vector<VmId> asked;
    for (int round = 0; round < 20; ++round) {
        const std::vector<VmId> next = search.next(1, now + round * Round);
        asked.insert(asked.end(), next.begin(), next.end());
    }
    BOOST_CHECK(std::find(asked.begin(), asked.end(), followers[1]) != asked.end());
    BOOST_CHECK(std::find(asked.begin(), asked.end(), followers[0]) == asked.end());
    BOOST_CHECK(search.onHint(controller(9), now));
    BOOST_CHECK(!search.onHint(controller(9), now));
    search.onDone(controller(9));
    BOOST_CHECK(!search.onHint(controller(9), now));
    BOOST_CHECK(search.onHint(controller(9), now + Round));
}

// Guards against seeds of changed settings that are never asked.
BOOST_AUTO_TEST_CASE(seeds_of_changed_settings_are_not_asked)
{
    LeaderSearch search(VmId{"10.1.0.1"}, {controller(1)});
    search.setSeeds({controller(7)});
    search.begin(VmId{});
    BOOST_CHECK(search.next(3, TimePoint{}) == std::vector<VmId>{controller(7)});
}
