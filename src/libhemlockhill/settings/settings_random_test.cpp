// Fuzz test of the settings parser with mutated files: each parses, or fails with faults that have a path and a description.
#include "hemlockhill/settings.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

constexpr std::uint32_t Seed = 20'262;
constexpr int FileCount = 100'000;

const std::string ValidSettings = R"({"cluster": "c", "vm": "a", "data_centre": "d", "data_folder": "/data",
 "callers": {"listen": "127.0.0.1:1001", "header_limit": "16KB", "body_limit": "4MB", "request_timeout": "10s", "request_limit": 400},
 "operators": {"listen": "[::1]:1002"},
 "peers": {"listen": "127.0.0.1:1003", "others": [{"vm": "b", "data_centre": "d", "address": "127.0.0.1:1004", "controller": true}]},
 "endpoints": {"connect_timeout": "1s", "idle_connections": 32},
 "control": {"heartbeat": "100ms", "election_timeout": "1s", "lease": "1500ms", "key_retention": "24h", "move_weight": 2.5}})";

const std::vector<std::string> Fragments{"\"",
                                         "{",
                                         "}",
                                         "[",
                                         "]",
                                         ",",
                                         ":",
                                         "null",
                                         "true",
                                         "-1",
                                         "1e999",
                                         "99999999999999999999",
                                         "\"9223372036854s\"",
                                         "\"listen\"",
                                         "\"0.0.0.0:1\"",
                                         "\\u0000",
                                         "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
                                         " "};

class SettingsFileGenerator
{
public:
    std::string next()
    {
        std::string text = ValidSettings;
        for (std::size_t count = randomBelow(5); count > 0; --count) {
            const std::size_t position = randomBelow(text.size() + 1);
            switch (randomBelow(4)) {
            case 0:
                text.insert(position, 1, static_cast<char>(randomBelow(256)));
                break;
            case 1:
                text.erase(position, randomBelow(8));
                break;
            case 2:
                text.insert(position, Fragments[randomBelow(Fragments.size())]);
                break;
            default:
                replaceValue(text);
            }
        }
        return text;
    }

private:
    std::size_t randomBelow(std::size_t limit) { return boost::random::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random); }

    // Replaces the text between a random colon and the next comma or closing brace by a fragment.
    void replaceValue(std::string &text)
    {
        const std::size_t colon = text.find(": ", randomBelow(text.size() + 1));
        const std::size_t end = colon == std::string::npos ? colon : text.find_first_of(",}", colon);
        if (end != std::string::npos) {
            text.replace(colon + 2, end - colon - 2, Fragments[randomBelow(Fragments.size())]);
        }
    }

    boost::random::mt19937 m_random{Seed};
};

} // namespace

BOOST_AUTO_TEST_CASE(mutated_files_parse_or_fail_with_complete_faults)
{
    SettingsFileGenerator generator;
    int acceptedCount = 0;
    int semanticFaultCount = 0;
    for (int number = 0; number < FileCount; ++number) {
        const std::string text = generator.next();
        BOOST_TEST_CONTEXT("seed " << Seed << ", file " << number << ": " << text)
        {
            try {
                const Settings settings = parseSettings(text);
                BOOST_REQUIRE(compareSettings(settings, settings).empty());
                ++acceptedCount;
            } catch (const SettingsError &error) {
                BOOST_REQUIRE(!error.faults().empty());
                for (const SettingsFault &fault : error.faults()) {
                    BOOST_REQUIRE(fault.path.starts_with("$"));
                    BOOST_REQUIRE(!fault.problem.empty());
                }
                semanticFaultCount += error.faults().front().path == "$" ? 0 : 1;
            }
        }
    }
    BOOST_TEST(acceptedCount > FileCount / 10);
    BOOST_TEST(semanticFaultCount > FileCount / 10);
}
