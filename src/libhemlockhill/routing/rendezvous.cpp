// Ranking of nodes by a hash of key and node.
#include "hemlockhill/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Hemlockhill
{

std::vector<VmId> rankNodes(std::string_view key, const std::vector<VmId> &nodes)
{
    std::vector<std::pair<std::uint64_t, VmId>> ranked;
    ranked.reserve(nodes.size());
    for (const VmId &node : nodes) {
        const std::string text = std::string(key) + '\n' + node.value;
        ranked.emplace_back(XXH3_64bits(text.data(), text.size()), node);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<VmId> result;
    result.reserve(nodes.size());
    for (auto &[hash, node] : ranked) {
        result.push_back(std::move(node));
    }
    return result;
}

} // namespace Hemlockhill
