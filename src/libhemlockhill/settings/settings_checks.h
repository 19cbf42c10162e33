// Consistency checks across several settings.
#pragma once

#include "hemlockhill/settings.h"

#include <vector>

namespace Hemlockhill
{

// Appends a fault for each inconsistency. Settings that failed to parse hold their default values and may add further faults.
void findContradictions(const Settings &settings, std::vector<SettingsFault> &faults);

} // namespace Hemlockhill
