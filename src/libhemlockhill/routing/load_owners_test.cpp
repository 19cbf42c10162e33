// Tests of the choice of owners.
#include "hemlockhill/load_owners.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace Hemlockhill;

namespace
{

const ServiceId Register{"register"};
const TimePoint Start = TimePoint{} + std::chrono::seconds(100);

std::vector<VmId> nodes(std::size_t count)
{
    std::vector<VmId> list;
    for (std::size_t index = 0; index < count; ++index) {
        list.push_back(VmId{"10.0.0." + std::to_string(index)});
    }
    return list;
}

} // namespace

BOOST_AUTO_TEST_CASE(all_nodes_name_the_same_owners)
{
    const auto group = nodes(291);
    std::size_t own = 0;
    std::vector<VmId> named;
    for (const VmId &node : group) {
        LoadOwners owners(node, {}, true);
        owners.setNodes(group, Start);
        if (owners.isOwner(Register, Start)) {
            ++own;
            BOOST_CHECK_EQUAL(owners.others(Register, Start).size(), 1);
            continue;
        }
        BOOST_REQUIRE_EQUAL(owners.others(Register, Start).size(), 2);
        named = named.empty() ? owners.others(Register, Start) : named;
        BOOST_CHECK(owners.others(Register, Start) == named);
    }
    BOOST_CHECK_EQUAL(own, 2);
}

BOOST_AUTO_TEST_CASE(services_have_different_owners)
{
    LoadOwners owners(VmId{"10.0.0.0"}, {}, true);
    owners.setNodes(nodes(291), Start);
    std::set<VmId> all;
    for (int service = 0; service < 20; ++service) {
        for (const VmId &owner : owners.others(ServiceId{"s" + std::to_string(service)}, Start)) {
            all.insert(owner);
        }
    }
    BOOST_CHECK_GE(all.size(), 30);
}

BOOST_AUTO_TEST_CASE(in_a_small_fleet_all_nodes_are_owners)
{
    LoadOwners owners(VmId{"10.0.0.0"}, {}, true);
    BOOST_CHECK(owners.isOwner(Register, Start));
    BOOST_CHECK(owners.others(Register, Start).empty());
    owners.setNodes(nodes(12), Start);
    BOOST_CHECK(owners.isOwner(Register, Start));
    BOOST_CHECK_EQUAL(owners.others(Register, Start).size(), 11);
}

// After each change of leader nodes had other owners, who knew nothing, and full endpoints got more requests.
BOOST_AUTO_TEST_CASE(owners_change_with_every_change_of_leader)
{
    const auto group = nodes(67);
    LoadOwners owners(group.back(), {}, true);
    owners.setNodes(group, Start);
    const auto before = owners.others(Register, Start);
    // The new leader knows only the nodes that have found it.
    const TimePoint changed = Start + std::chrono::seconds(5);
    for (std::size_t found = 1; found <= group.size(); found += 11) {
        std::vector<VmId> partial(group.end() - static_cast<std::ptrdiff_t>(found), group.end());
        const TimePoint now = changed + found * std::chrono::milliseconds(30);
        owners.setNodes(partial, now);
        BOOST_CHECK(owners.others(Register, now) == before);
        BOOST_CHECK(owners.listeners(Register, now) == before);
    }
}

BOOST_AUTO_TEST_CASE(another_owner_follows_one_that_is_gone)
{
    auto group = nodes(100);
    LoadOwners owners(group.back(), {}, true);
    owners.setNodes(group, Start);
    BOOST_REQUIRE(!owners.isOwner(Register, Start));
    const auto before = owners.others(Register, Start);
    std::erase(group, before.front());
    owners.setNodes(group, Start);
    const TimePoint later = Start + std::chrono::seconds(11);
    BOOST_CHECK(owners.others(Register, Start) == before);
    BOOST_CHECK_EQUAL(owners.others(Register, later).front(), before.back());
    BOOST_CHECK_EQUAL(owners.others(Register, later).size(), 2);
}

BOOST_AUTO_TEST_CASE(a_new_node_listens_before_it_is_asked)
{
    auto group = nodes(40);
    LoadOwners owners(group.back(), {}, true);
    owners.setNodes(group, Start);
    const auto before = owners.others(Register, Start);
    TimePoint now = Start;
    // One of many new nodes ranks before the owners.
    for (int joined = 0; owners.listeners(Register, now) == before; ++joined) {
        BOOST_REQUIRE(joined < 1'000);
        group.push_back(VmId{"10.0.1." + std::to_string(joined)});
        owners.setNodes(group, now);
    }
    BOOST_CHECK_EQUAL(owners.listeners(Register, now).size(), 3);
    BOOST_CHECK(owners.others(Register, now) == before);
    now += std::chrono::seconds(2);
    BOOST_CHECK(owners.others(Register, now) != before);
    BOOST_CHECK_EQUAL(owners.listeners(Register, now).size(), 2);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_is_no_owner_at_first)
{
    const auto group = nodes(40);
    LoadOwners other(VmId{"10.0.9.9"}, {}, true);
    other.setNodes(group, Start);
    const VmId owner = other.others(Register, Start).front();
    LoadOwners restarted(owner, {}, false);
    restarted.setNodes(group, Start);
    BOOST_CHECK(!restarted.isOwner(Register, Start));
    BOOST_CHECK(!restarted.others(Register, Start).empty());
    BOOST_CHECK(restarted.isOwner(Register, Start + std::chrono::seconds(2)));
}

// A node that has just restarted may have to decide before it has heard who belongs to the group.
BOOST_AUTO_TEST_CASE(node_without_a_list_of_nodes_has_no_owners)
{
    const TimePoint now{std::chrono::seconds(100)};
    LoadOwners owners(VmId{"10.0.0.1"}, {}, false);
    BOOST_CHECK(owners.deciders(ServiceId{"s"}, now).empty());
    BOOST_CHECK(owners.others(ServiceId{"s"}, now).empty());
}
