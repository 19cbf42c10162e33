// Token bucket for the retries of a service.
#include "hemlockhill/retry_budget.h"

#include <algorithm>

namespace Hemlockhill
{

RetryBudget::RetryBudget(RetryBudgetLimits limits)
    : m_limits(limits)
    , m_available(limits.maximum)
{
}

void RetryBudget::onRequest()
{
    m_available = std::min(m_limits.maximum, m_available + m_limits.retryRatio);
}

bool RetryBudget::spend()
{
    if (m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

} // namespace Hemlockhill
