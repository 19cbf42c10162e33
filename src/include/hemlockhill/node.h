// Runs one node of the region.
#pragma once

#include "hemlockhill/settings.h"

#include <filesystem>

namespace Hemlockhill
{

// Runs a node until SIGTERM or SIGINT is received and every request in progress has been answered.
// SIGHUP reloads the settings file and applies the settings that can change at run time.
// Throws EnvironmentError if an address cannot be bound.
void runNode(const Settings &settings, const std::filesystem::path &settingsFile);

} // namespace Hemlockhill
