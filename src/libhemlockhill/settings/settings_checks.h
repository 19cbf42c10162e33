// Consistency checks across several settings.
#pragma once

#include "hemlockhill/settings.h"

#include <vector>

namespace Hemlockhill
{

// Appends a fault for each inconsistency. A setting that failed to parse has its default value.
void checkConsistency(const Settings &settings, std::vector<SettingsFault> &faults);

} // namespace Hemlockhill
