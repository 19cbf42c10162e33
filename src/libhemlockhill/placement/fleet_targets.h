// Helpers for routing targets.
#pragma once

#include "hemlockhill/engine_api.h"

namespace Hemlockhill
{

// The target of the base model without any adapter.
inline RoutingTarget baseOf(const ModelId &model)
{
    return {model, {}};
}

} // namespace Hemlockhill
