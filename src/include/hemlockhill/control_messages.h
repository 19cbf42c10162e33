// Notifications from the control thread to the rest of the node.
#pragma once

#include "hemlockhill/quarantine.h"
#include "hemlockhill/region_state.h"

#include <functional>
#include <memory>

namespace Hemlockhill
{

// All callbacks run on the control thread.
struct ControlListeners {
    // The declared state known to this node has changed.
    std::function<void(std::shared_ptr<const RegionState>)> state;
    // The replicated quarantine register has changed.
    std::function<void(std::shared_ptr<const QuarantineRegister>)> quarantine;
};

} // namespace Hemlockhill
