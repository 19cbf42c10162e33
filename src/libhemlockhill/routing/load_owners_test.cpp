// Tests of the choice of owners.
#include "hemlockhill/load_owners.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace Hemlockhill;

namespace
{

const ServiceId Register{"register"};

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
        LoadOwners owners(node, {});
        owners.setNodes(group);
        if (owners.isOwner(Register)) {
            ++own;
            BOOST_CHECK_EQUAL(owners.others(Register).size(), 1);
            continue;
        }
        BOOST_REQUIRE_EQUAL(owners.others(Register).size(), 2);
        named = named.empty() ? owners.others(Register) : named;
        BOOST_CHECK(owners.others(Register) == named);
    }
    BOOST_CHECK_EQUAL(own, 2);
}

BOOST_AUTO_TEST_CASE(services_have_different_owners)
{
    LoadOwners owners(VmId{"10.0.0.0"}, {});
    owners.setNodes(nodes(291));
    std::set<VmId> all;
    for (int service = 0; service < 20; ++service) {
        for (const VmId &owner : owners.others(ServiceId{"s" + std::to_string(service)})) {
            all.insert(owner);
        }
    }
    BOOST_CHECK_GE(all.size(), 30);
}

BOOST_AUTO_TEST_CASE(in_a_small_fleet_all_nodes_are_owners)
{
    LoadOwners owners(VmId{"10.0.0.0"}, {});
    BOOST_CHECK(owners.isOwner(Register));
    BOOST_CHECK(owners.others(Register).empty());
    owners.setNodes(nodes(12));
    BOOST_CHECK(owners.isOwner(Register));
    BOOST_CHECK_EQUAL(owners.others(Register).size(), 11);
}

BOOST_AUTO_TEST_CASE(another_owner_follows_one_that_has_left)
{
    auto group = nodes(100);
    LoadOwners owners(group.back(), {});
    owners.setNodes(group);
    BOOST_REQUIRE(!owners.isOwner(Register));
    const auto before = owners.others(Register);
    std::erase(group, before.front());
    owners.setNodes(group);
    BOOST_CHECK_EQUAL(owners.others(Register).front(), before.back());
    BOOST_CHECK_EQUAL(owners.others(Register).size(), 2);
}
