// Random commands: revisions only increase, refusals change nothing, and both a snapshot and the log restore the same state.
#include "hemlockhill/language.h"
#include "hemlockhill/region_state.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

constexpr int CommandCount = 20'000;
constexpr int SnapshotPeriod = 250;

class CommandGenerator
{
public:
    explicit CommandGenerator(std::uint32_t seed)
        : m_random(seed)
    {
    }

    CommandRequest next(Revision revision)
    {
        std::string text = statement();
        if (below(4) == 0) {
            text += " at " + std::to_string(revision.value - (revision.value > 0 ? below(2) : 0));
        }
        if (below(3) == 0) {
            text += " operation op-" + std::to_string(below(5'000));
        }
        return std::get<CommandRequest>(parseStatement(text));
    }

private:
    std::size_t below(std::size_t limit) { return boost::random::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random); }
    std::string randomName(const char *prefix) { return prefix + std::to_string(below(8)); }
    std::string address() { return "127.0.0.1:" + std::to_string(9'000 + below(12)); }
    std::string size() { return std::to_string(1 + below(60)) + "GB"; }

    std::string statement()
    {
        switch (below(16)) {
        case 0:
            return "declare endpoint " + randomName("r") + " address " + address() + " in dc-" + randomName("") + " memory " + size();
        case 1:
            return "declare endpoint " + randomName("p") + " address " + address() + " in dc-1 kind plain-service";
        case 2:
            return "declare model " + randomName("m") + " version v1 weights " + size() + " kv 2GB service " + randomName("s");
        case 3:
            return "declare model " + randomName("m") + " version v2 weights " + size() + " kv 1GB copies 2";
        case 4:
            return "declare adapter " + randomName("a") + " for " + randomName("m") + " version v1 weights 100MB";
        case 5:
            return "declare service " + randomName("s") + " endpoints " + randomName("p");
        case 6:
            return "withdraw " + std::string(below(2) == 0 ? "endpoint " + randomName("r") : "model " + randomName("m"));
        case 7:
            return "withdraw " + std::string(below(2) == 0 ? "adapter " + randomName("a") : "service " + randomName("s"));
        case 8:
            return (below(2) == 0 ? "drain endpoint " : "admit endpoint ") + randomName("r");
        case 9:
            return (below(3) > 0 ? "pin model " : "unpin model ") + randomName("m") + " on " + randomName("r");
        case 10:
            return "change endpoint " + randomName("r") + " memory " + size();
        case 11:
            return "change model " + randomName("m") + " weights " + size() + (below(2) == 0 ? " service -" : "");
        case 12:
            return "change adapter " + randomName("a") + (below(2) == 0 ? " pinned" : " unpinned");
        case 13:
            return "declare vm " + randomName("vm") + " address " + address() + " in dc-1" + (below(2) == 0 ? " controller" : "");
        case 14:
            return "replace vm " + randomName("vm") + " by " + randomName("vm") + " address " + address() + " in dc-2";
        default:
            return below(2) == 0 ? "set move-weight " + std::to_string(1 + below(3)) : "unset move-weight";
        }
    }

    boost::random::mt19937 m_random;
};

void checkStep(RegionStateMachine &machine, const CommandRequest &request)
{
    const RegionState before = machine.state();
    const CommandOutcome outcome = machine.apply(request);
    const RegionState &after = machine.state();
    const bool unchanged = after == before;
    const std::uint64_t expected = before.revision.value + (unchanged ? 0 : 1);
    BOOST_REQUIRE_MESSAGE(after.revision.value == expected, format(request));
    BOOST_REQUIRE_MESSAGE(unchanged || std::holds_alternative<CommandAccepted>(outcome), format(request));
}

// Applies random commands of one seed. A replica applies the same log entries and is replaced by a restored snapshot periodically.
void runSeed(std::uint32_t seed)
{
    CommandGenerator generator(seed);
    RegionStateMachine machine;
    RegionStateMachine replica;
    for (int number = 0; number < CommandCount; ++number) {
        const CommandRequest request = generator.next(machine.state().revision);
        BOOST_TEST_CONTEXT("seed " << seed << ", command " << number << ": " << format(request))
        {
            checkStep(machine, request);
            replica.apply(decodeCommandRequest(encode(request)));
            if (number % SnapshotPeriod == 0) {
                replica = RegionStateMachine::restore(machine.snapshot());
            }
            BOOST_REQUIRE(replica.state() == machine.state());
        }
    }
    BOOST_TEST(replica.snapshot() == machine.snapshot());
    BOOST_TEST(machine.state().revision.value > CommandCount / 20);
}

} // namespace

BOOST_AUTO_TEST_CASE(random_commands_keep_replicas_identical)
{
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        runSeed(seed);
    }
}
