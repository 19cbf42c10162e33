// Tests of the limits that follow from the memory and the descriptors of the machine.
#include "node/node_limits.h"

#include "hemlockhill/machine_memory.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

Settings named(std::uint64_t memory, std::uint32_t descriptors)
{
    Settings settings;
    settings.machine.memory = Bytes{memory};
    settings.machine.descriptors = descriptors;
    return settings;
}

} // namespace

// Guards against budgets that together take up the memory that the program itself needs.
BOOST_AUTO_TEST_CASE(budgets_take_at_most_half_of_the_memory)
{
    const NodeLimits limits = nodeLimits(named(512'000'000, 10'000));
    const std::uint64_t sum =
        limits.callerRequests.value + limits.operatorRequests.value + limits.callerAnswers.value + limits.operatorAnswers.value;
    BOOST_TEST(sum <= 256'000'000U);
    BOOST_TEST(limits.callerRequests.value == 96'000'000U);
}

// Guards against bounds that refuse a single request within the limits, however little memory there is.
BOOST_AUTO_TEST_CASE(one_request_of_the_largest_size_fits)
{
    Settings settings = named(64'000'000, 256);
    settings.callers.bodyLimit = Bytes{8'000'000};
    const NodeLimits limits = nodeLimits(settings);
    BOOST_TEST(limits.callerRequests.value >= CallerRequestCopies * settings.callers.bodyLimit.value);
    BOOST_TEST(limits.operatorRequests.value >= StatementCopies * StatementLimit.value);
    BOOST_TEST(limits.callerAnswers.value >= 16'000'000U);
}

// Guards against connections, each with one to an endpoint, that take up all descriptors.
BOOST_AUTO_TEST_CASE(connections_leave_descriptors)
{
    for (const std::uint32_t descriptors : {256U, 300U, 1024U, 10'000U}) {
        const NodeLimits limits = nodeLimits(named(512'000'000, descriptors));
        BOOST_TEST(limits.callerConnections > 0U);
        BOOST_TEST(limits.callerConnections + limits.endpointConnections + limits.operatorConnections < descriptors);
    }
    Settings settings = named(512'000'000, 100'000);
    BOOST_TEST(nodeLimits(settings).callerConnections == settings.callers.connectionLimit);
    settings.callers.connectionLimit = 5;
    BOOST_TEST(nodeLimits(settings).callerConnections == 5U);
}

// Guards against bounds for a fixed size on machines that have less.
BOOST_AUTO_TEST_CASE(memory_that_is_not_named_is_what_the_system_grants)
{
    const auto available = availableMemory();
    BOOST_REQUIRE(available.has_value());
    const NodeLimits limits = nodeLimits(Settings{});
    const NodeLimits expected = nodeLimits(named(available->value, 10'000));
    BOOST_TEST(limits.callerRequests.value == expected.callerRequests.value);
    BOOST_TEST(limits.callerAnswers.value == expected.callerAnswers.value);
    BOOST_TEST(limits.operatorRequests.value == expected.operatorRequests.value);
    BOOST_TEST(limits.operatorAnswers.value == expected.operatorAnswers.value);
}
