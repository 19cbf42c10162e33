// Memory limits of the machine and of control groups.
#include "hemlockhill/machine_memory.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <limits>

namespace Hemlockhill
{

namespace
{

constexpr std::string_view TotalKey = "MemTotal:";
// The line of the unified hierarchy has the number 0 and no controllers.
constexpr std::string_view UnifiedHierarchy = "0::";
constexpr std::uint64_t KibibyteBytes = 1024;

std::string readText(const std::filesystem::path &file)
{
    std::ifstream stream(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

// Returns what follows the prefix in the first line that has it.
std::optional<std::string_view> lineAfter(std::string_view text, std::string_view prefix)
{
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        if (line.starts_with(prefix)) {
            return line.substr(prefix.size());
        }
        text.remove_prefix(std::min(text.size(), line.size() + 1));
    }
    return std::nullopt;
}

// Parses a positive number after leading spaces and returns it with the rest of the text.
std::optional<std::pair<std::uint64_t, std::string_view>> parseNumber(std::string_view text)
{
    text.remove_prefix(std::min(text.size(), text.find_first_not_of(' ')));
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || value == 0) {
        return std::nullopt;
    }
    return std::pair(value, text.substr(static_cast<std::size_t>(end - text.data())));
}

std::optional<Bytes> smaller(std::optional<Bytes> left, std::optional<Bytes> right)
{
    if (!left || !right) {
        return left ? left : right;
    }
    return std::min(*left, *right);
}

} // namespace

std::optional<Bytes> parseTotalMemory(std::string_view meminfo)
{
    const auto line = lineAfter(meminfo, TotalKey);
    const auto number = line ? parseNumber(*line) : std::nullopt;
    if (!number || number->second != " kB" || number->first > std::numeric_limits<std::uint64_t>::max() / KibibyteBytes) {
        return std::nullopt;
    }
    return Bytes{number->first * KibibyteBytes};
}

std::optional<std::string> parseCgroupPath(std::string_view cgroups)
{
    const auto path = lineAfter(cgroups, UnifiedHierarchy);
    // A path with ".." lies outside the hierarchy that the process sees.
    if (!path || !path->starts_with('/') || path->find("/..") != std::string_view::npos) {
        return std::nullopt;
    }
    return std::string(*path);
}

std::optional<Bytes> parseMemoryMax(std::string_view text)
{
    const auto number = parseNumber(text);
    if (!number || (!number->second.empty() && number->second != "\n")) {
        return std::nullopt;
    }
    return Bytes{number->first};
}

std::optional<Bytes> availableMemory(const std::filesystem::path &root)
{
    auto memory = parseTotalMemory(readText(root / "proc/meminfo"));
    const auto path = parseCgroupPath(readText(root / "proc/self/cgroup"));
    if (!path) {
        return memory;
    }
    const std::filesystem::path hierarchy = root / "sys/fs/cgroup";
    for (std::filesystem::path group(*path); group.has_relative_path(); group = group.parent_path()) {
        memory = smaller(memory, parseMemoryMax(readText(hierarchy / group.relative_path() / "memory.max")));
    }
    // In a container the process sees its own cgroup as the root, which then has a limit.
    return smaller(memory, parseMemoryMax(readText(hierarchy / "memory.max")));
}

} // namespace Hemlockhill
