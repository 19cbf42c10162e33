// Tests of settings files: all faults of a file are reported together with their JSON paths, and changes are classified.
#include "hemlockhill/settings.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

std::vector<SettingsFault> faultsOf(std::string_view text)
{
    try {
        parseSettings(text);
    } catch (const SettingsError &error) {
        return error.faults();
    }
    return {};
}

constexpr std::string_view Minimal = R"({
    "cluster": "c", "vm": "a", "data_centre": "d",
    "callers": {"listen": "127.0.0.1:1001"},
    "operators": {"listen": "127.0.0.1:1002"},
    "peers": {"listen": "127.0.0.1:1003"}})";

} // namespace

BOOST_AUTO_TEST_CASE(minimal_settings_use_defaults)
{
    const Settings settings = parseSettings(Minimal);
    BOOST_TEST(settings.vm.value == "a");
    BOOST_TEST(settings.callers.listen.port == 1001);
    BOOST_TEST(settings.callers.bodyLimit.value == 4'000'000U);
    BOOST_TEST(!settings.dataFolder.has_value());
    BOOST_TEST(!settings.machine.memory.has_value());
    BOOST_TEST(!settings.machine.descriptors.has_value());
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_together)
{
    const auto faults = faultsOf(R"({
        "cluster": "c", "vm": "a", "data_centre": 7, "colour": 1,
        "callers": {"listen": "127.0.0.1", "body_limit": "4 apples"},
        "operators": {"listen": "127.0.0.1:1002"},
        "peers": {"listen": "127.0.0.1:1002", "others": [
            {"vm": "b", "data_centre": "d", "address": "127.0.0.1:1005"},
            {"vm": "b", "data_centre": "d", "address": "127.0.0.1:1006"}]},
        "control": {"heartbeat": "1s", "election_timeout": "2s", "lease": "0s"}})");
    std::vector<std::string> paths;
    paths.reserve(faults.size());
    for (const SettingsFault &fault : faults) {
        paths.push_back(fault.path);
    }
    const std::vector<std::string> expected{"$.data_centre",
                                            "$.callers.listen",
                                            "$.callers.body_limit",
                                            "$.control.lease",
                                            "$.control.election_timeout",
                                            "$.control.lease",
                                            "$.colour",
                                            "$.peers.listen",
                                            "$.peers.others[1].vm",
                                            "$.peers.others"};
    BOOST_TEST(paths == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(inconsistent_settings_are_faults)
{
    const auto faults = faultsOf(R"({
        "cluster": "c", "vm": "two words", "data_centre": "d", "data_folder": "/data",
        "callers": {"listen": "0.0.0.0:1001"},
        "operators": {"listen": "127.0.0.1:1001"},
        "peers": {"listen": "127.0.0.1:1003", "others": [
            {"vm": "b", "data_centre": "d", "address": "0.0.0.0:1003"},
            {"vm": "e", "data_centre": "d", "address": "127.0.0.1:1003"}]},
        "control": {"key_retention": "500ms"}})");
    std::vector<std::string> paths;
    paths.reserve(faults.size());
    for (const SettingsFault &fault : faults) {
        paths.push_back(fault.path);
    }
    const std::vector<std::string> expected{
        "$.vm", "$.control.key_retention", "$.operators.listen", "$.peers.others[0].address", "$.peers.others[1].address"};
    BOOST_TEST(paths == expected, boost::test_tools::per_element());
}

namespace
{

std::string withMachine(std::string_view machine, std::string_view bodyLimit)
{
    return R"({"cluster": "c", "vm": "a", "data_centre": "d", "operators": {"listen": "127.0.0.1:1002"},
        "peers": {"listen": "127.0.0.1:1003"}, "callers": {"listen": "127.0.0.1:1001", "body_limit": ")"
           + std::string(bodyLimit) + R"("}, "machine": )" + std::string(machine) + "}";
}

} // namespace

// Guards against a machine whose memory cannot hold the program and one request within the limits.
BOOST_AUTO_TEST_CASE(memory_and_descriptors_of_the_machine_have_minimums)
{
    const Settings settings = parseSettings(withMachine(R"({"memory": "256MB", "descriptors": 256})", "4MB"));
    BOOST_TEST(settings.machine.memory->value == 256'000'000U);
    BOOST_TEST(*settings.machine.descriptors == 256U);
    const std::vector<std::pair<std::string, std::string>> faulty{{R"({"memory": "63MB"})", "$.machine.memory"},
                                                                  {R"({"memory": "255MB"})", "$.machine.memory"},
                                                                  {R"({"memory": 5})", "$.machine.memory"},
                                                                  {R"({"descriptors": 255})", "$.machine.descriptors"},
                                                                  {R"({"descriptors": 0})", "$.machine.descriptors"}};
    for (const auto &[machine, path] : faulty) {
        const auto faults = faultsOf(withMachine(machine, "4MB"));
        BOOST_REQUIRE_EQUAL(faults.size(), 1U);
        BOOST_TEST(faults.front().path == path);
    }
    BOOST_TEST(faultsOf(withMachine(R"({"memory": "64MB"})", "1MB")).empty());
}

BOOST_AUTO_TEST_CASE(changes_are_classified_by_whether_they_need_a_restart)
{
    const Settings before = parseSettings(Minimal);
    Settings after = before;
    BOOST_TEST(compareSettings(before, after).empty());
    after.callers.requestLimit = 7;
    after.peers.listen.port = 1004;
    after.control.moveWeight = 5;
    after.machine.memory = Bytes{64'000'000};
    after.dataFolder = "/data";
    const std::vector<SettingChange> expected{{"$.callers.request_limit", ChangeEffect::AtRunTime},
                                              {"$.peers.listen", ChangeEffect::NeedsRestart},
                                              {"$.control.move_weight", ChangeEffect::AtRunTime},
                                              {"$.machine.memory", ChangeEffect::NeedsRestart},
                                              {"$.data_folder", ChangeEffect::NeedsRestart}};
    BOOST_CHECK(compareSettings(before, after) == expected);
    const Settings merged = withRunTimeChanges(before, after);
    BOOST_TEST(merged.callers.requestLimit == 7U);
    BOOST_TEST(merged.peers.listen.port == 1003);
    BOOST_CHECK(!merged.dataFolder);
}

BOOST_AUTO_TEST_CASE(region_settings_override_the_file)
{
    const ControlSettings control = withRegionSettings({}, {{RegionSetting::MoveWeight, 2.5}, {RegionSetting::ConcurrentLoads, 7}});
    BOOST_TEST(control.moveWeight == 2.5);
    BOOST_TEST(control.concurrentLoads == 7U);
    BOOST_TEST(control.attainmentWeight == ControlSettings{}.attainmentWeight);
    BOOST_TEST(regionDefaults(control).at(RegionSetting::ConcurrentLoads) == 7.0);
}

BOOST_AUTO_TEST_CASE(invalid_json_is_one_fault_at_the_root)
{
    const auto faults = faultsOf("{\"cluster\": ");
    BOOST_REQUIRE_EQUAL(faults.size(), 1U);
    BOOST_TEST(faults.front().path == "$");
}

BOOST_AUTO_TEST_CASE(sizes_and_durations_round_trip)
{
    BOOST_TEST(parseBytes("80GB")->value == 80'000'000'000U);
    BOOST_TEST(!parseBytes("80").has_value());
    BOOST_TEST(!parseBytes("-1GB").has_value());
    BOOST_TEST(!parseBytes("99999999999999TB").has_value());
    BOOST_TEST(formatBytes(Bytes{1'500'000'000}) == "1500MB");
    BOOST_TEST(formatDuration(*parseDuration("470ms")) == "470ms");
    BOOST_TEST(!parseAddress("127.0.0.1:0").has_value());
    BOOST_TEST(!parseAddress("host:80").has_value());
    BOOST_TEST(parseAddress("[::1]:80")->text() == "[::1]:80");
}
