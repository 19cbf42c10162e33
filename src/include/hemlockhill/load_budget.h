// Rate limiter for loads from the weight store: a rate and a concurrency limit for models, a concurrency limit for adapters.
#pragma once

#include "hemlockhill/world.h"

#include <cstdint>

namespace Hemlockhill
{

// Limits of the weight store.
struct LoadLimits {
    double loadsPerSecond = 1.4;
    std::uint32_t concurrentLoads = 11;
    std::uint32_t concurrentAdapterLoads = 90;
};

// Priority class of a load, most urgent first. Less urgent classes leave part of the concurrency limit free for more urgent ones.
enum class LoadPurpose { Reachability, Attainment, Balance };

// A token bucket for model loads, with concurrency limits.
class LoadBudget
{
public:
    explicit LoadBudget(const LoadLimits &limits);

    void setLimits(const LoadLimits &limits) { m_limits = limits; }

    // Whether the limits allow one more model load now. `inFlight` is the number of loads that have not ended.
    bool allowsModelLoad(LoadPurpose purpose, std::uint32_t inFlight, TimePoint now);
    // Like allowsModelLoad(), and consumes one load of the rate limit if allowed.
    bool takeModelLoad(LoadPurpose purpose, std::uint32_t inFlight, TimePoint now);
    // Whether the concurrency limit allows one more adapter load.
    bool takeAdapterLoad(std::uint32_t inFlight) const;

private:
    void refill(TimePoint now);

    LoadLimits m_limits;
    double m_tokens;
    TimePoint m_refilledAt;
};

} // namespace Hemlockhill
