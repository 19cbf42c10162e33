// Rate limiter for loads from the weight store.
#include "hemlockhill/load_budget.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Ratio of the concurrency limit that loads of a priority class may use.
double concurrencyRatio(LoadPurpose purpose)
{
    switch (purpose) {
    case LoadPurpose::Reachability:
        return 1.0;
    case LoadPurpose::Attainment:
        return 0.75;
    case LoadPurpose::Balance:
        return 0.5;
    }
    return 0;
}

} // namespace

LoadBudget::LoadBudget(const LoadLimits &limits)
    : m_limits(limits)
    , m_tokens(1)
{
}

bool LoadBudget::allowsModelLoad(LoadPurpose purpose, std::uint32_t inFlight, TimePoint now)
{
    refill(now);
    const double slots = std::max(1.0, concurrencyRatio(purpose) * m_limits.concurrentLoads);
    return m_tokens >= 1 && inFlight + 1 <= slots;
}

bool LoadBudget::takeModelLoad(LoadPurpose purpose, std::uint32_t inFlight, TimePoint now)
{
    if (!allowsModelLoad(purpose, inFlight, now)) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool LoadBudget::takeAdapterLoad(std::uint32_t inFlight) const
{
    return inFlight < m_limits.concurrentAdapterLoads;
}

// The bucket holds the loads of one second, and at least one.
void LoadBudget::refill(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = std::max(m_refilledAt, now);
    m_tokens = std::min(std::max(1.0, m_limits.loadsPerSecond), m_tokens + std::max(0.0, elapsed) * m_limits.loadsPerSecond);
}

} // namespace Hemlockhill
