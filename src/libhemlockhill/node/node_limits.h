// Limits of a node's own interface that follow from the memory and the descriptors of its machine.
#pragma once

#include "hemlockhill/settings.h"
#include "hemlockhill/world.h"

#include <cstdint>

namespace Hemlockhill
{

// Each event loop thread has its own budgets, since budgets are not thread-safe.
struct NodeLimits {
    // Maximum sum of what connections hold of requests, while they arrive and are in progress.
    Bytes callerRequests;
    Bytes operatorRequests;
    // Maximum sum of answers that are collected or have not been read.
    Bytes callerAnswers;
    Bytes operatorAnswers;
    std::uint32_t callerConnections = 0;
    std::uint32_t operatorConnections = 0;
    // Connections to endpoints, from which on idle ones are closed for new ones.
    std::uint32_t endpointConnections = 0;
};

// Number of copies of a model request while it is in progress: its body, its prompt, and what is sent to the endpoint.
inline constexpr std::uint32_t CallerRequestCopies = 3;
// Number of copies of a statement: what was received, and what is sent to the leader.
inline constexpr std::uint32_t StatementCopies = 2;
inline constexpr Bytes StatementLimit{1'000'000};

NodeLimits nodeLimits(const Settings &settings);

} // namespace Hemlockhill
