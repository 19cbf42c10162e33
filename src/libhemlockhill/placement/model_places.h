// Places for models on a runner, counted in copies of the largest model.
#pragma once

#include "hemlockhill/deployment.h"

#include <algorithm>
#include <cmath>

namespace Hemlockhill
{

inline double largestWeights(const EngineProfile &profile)
{
    double largest = 1;
    for (const auto &[id, model] : profile.models) {
        largest = std::max(largest, model.weights.value);
    }
    return largest;
}

// Number of copies of the largest model that fit on a runner next to other models of the given total weight.
inline double largeCopiesThatFit(const EngineProfile &profile, double weights)
{
    return std::floor((profile.weightCapacity.value - weights) / largestWeights(profile));
}

} // namespace Hemlockhill
