// Targets as placement names them.
#pragma once

#include "hemlockhill/engine_api.h"

namespace Hemlockhill
{

// The model itself, without any adapter.
inline RoutingTarget baseOf(const ModelId &model)
{
    return {model, {}};
}

} // namespace Hemlockhill
