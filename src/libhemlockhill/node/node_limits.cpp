// Shares of memory and descriptors.
#include "node/node_limits.h"

#include "hemlockhill/machine_memory.h"

#include <sys/resource.h>

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Taken for the memory if neither the settings nor the system name it.
constexpr Bytes DefaultMemory{512'000'000};
// Half of the memory is left for the program, for buffers that are being enlarged and exist twice, and for one request that is being
// parsed.
constexpr std::uint64_t RequestMemoryDivisor = 4;
constexpr std::uint64_t AnswerMemoryDivisor = 4;
// Part of each budget that operators have, so that callers cannot use it up.
constexpr std::uint64_t OperatorDivisor = 4;
// Room for the head and the buffers of the largest request or answer.
constexpr std::uint64_t Overhead = 1'000'000;
// The largest answer that is collected before it is sent.
constexpr std::uint64_t LargestAnswer = 16'000'000;
// The default limit on connections is not exceeded if descriptors are unlimited.
constexpr std::uint32_t DescriptorMaximum = 1'000'000;
// Files, listening sockets, links between nodes, and connections from operators.
constexpr std::uint32_t ReservedDescriptors = 128;
// Each caller with a request in progress needs a second descriptor, for the connection to the endpoint.
constexpr double CallerRatio = 0.45;
constexpr std::uint32_t OperatorConnectionLimit = 64;

std::uint32_t openDescriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return DescriptorMaximum;
    }
    return static_cast<std::uint32_t>(std::min<rlim_t>(limit.rlim_cur, DescriptorMaximum));
}

} // namespace

NodeLimits nodeLimits(const Settings &settings)
{
    static const Bytes available = availableMemory().value_or(DefaultMemory);
    const std::uint64_t memory = settings.machine.memory.value_or(available).value;
    const double descriptors = std::max(settings.machine.descriptors.value_or(openDescriptorLimit()), 2 * ReservedDescriptors);
    const std::uint64_t requests = memory / RequestMemoryDivisor;
    const std::uint64_t answers = memory / AnswerMemoryDivisor;
    const std::uint64_t body = settings.callers.bodyLimit.value;
    NodeLimits limits;
    limits.operatorRequests = Bytes{std::max(requests / OperatorDivisor, StatementCopies * StatementLimit.value + Overhead)};
    limits.callerRequests = Bytes{std::max(requests - requests / OperatorDivisor, CallerRequestCopies * body + Overhead)};
    limits.operatorAnswers = Bytes{std::max(answers / OperatorDivisor, Overhead)};
    limits.callerAnswers = Bytes{std::max(answers - answers / OperatorDivisor, std::max(LargestAnswer, 2 * body) + Overhead)};
    limits.endpointConnections = static_cast<std::uint32_t>(CallerRatio * (descriptors - ReservedDescriptors));
    limits.callerConnections = std::min(settings.callers.connectionLimit, limits.endpointConnections);
    limits.operatorConnections = OperatorConnectionLimit;
    return limits;
}

} // namespace Hemlockhill
