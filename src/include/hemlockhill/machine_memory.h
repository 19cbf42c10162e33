// The memory that the system grants this process, for settings that do not name it.
#pragma once

#include "hemlockhill/world.h"

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

namespace Hemlockhill
{

// Parses /proc/meminfo. Returns the total memory of the machine, or nullopt if it is not in the text.
std::optional<Bytes> parseTotalMemory(std::string_view meminfo);

// Parses /proc/self/cgroup. Returns the path of the process in the unified hierarchy (cgroup v2), or nullopt if it is in none.
std::optional<std::string> parseCgroupPath(std::string_view cgroups);

// Parses memory.max of a cgroup. Returns nullopt if there is no limit.
std::optional<Bytes> parseMemoryMax(std::string_view text);

// Returns the smallest of the machine's memory and the limits of the process's cgroup and of those that contain it; nullopt if nothing
// can be read. `root` is the directory that contains /proc and /sys.
std::optional<Bytes> availableMemory(const std::filesystem::path &root = "/");

} // namespace Hemlockhill
