// Rendezvous hashing: selects the nodes that are responsible for a key.
#pragma once

#include "hemlockhill/world.h"

#include <string_view>
#include <vector>

namespace Hemlockhill
{

// Orders nodes for a key. Every node computes the same order, and a node that joins or leaves does not change the order of the others.
std::vector<VmId> rankNodes(std::string_view key, const std::vector<VmId> &nodes);

} // namespace Hemlockhill
