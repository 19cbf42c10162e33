// Retry budget of a service: a fraction of its requests, so that retries do not amplify an overload.
#pragma once

#include <cstdint>

namespace Hemlockhill
{

// Size and fill rate of a retry budget.
struct RetryBudgetLimits {
    // Retries added to the budget for each request.
    double retryRatio = 0.1;
    // Maximum size of the budget, which is also its initial size.
    double maximum = 20;
};

// Token bucket that is filled by requests and drained by retries.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetLimits limits);

    void onRequest();
    // Takes one retry from the budget. Returns false when less than one retry is available.
    bool spend();
    double available() const { return m_available; }

private:
    RetryBudgetLimits m_limits;
    double m_available;
};

} // namespace Hemlockhill
