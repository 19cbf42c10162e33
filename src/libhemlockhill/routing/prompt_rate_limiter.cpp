// Token buckets that limit the prompts sent to each runner.
#include "hemlockhill/prompt_rate_limiter.h"

#include <algorithm>

namespace Hemlockhill
{

PromptRateLimiter::PromptRateLimiter(PromptRateLimit limit)
    : m_limit(limit)
{
}

double PromptRateLimiter::level(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_buckets.find(endpoint);
    if (found == m_buckets.end()) {
        return m_limit.burst;
    }
    const double elapsed = std::chrono::duration<double>(now - found->second.at).count();
    return std::min(m_limit.burst, found->second.level + elapsed * m_limit.tokensPerSecond);
}

Duration PromptRateLimiter::delay(const EndpointId &endpoint, TokenCount prompt, TimePoint now) const
{
    const double needed = std::min(static_cast<double>(prompt.value), m_limit.burst);
    const double missing = needed - level(endpoint, now);
    if (missing <= 0) {
        return Duration(0);
    }
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / m_limit.tokensPerSecond));
}

void PromptRateLimiter::onDispatched(const EndpointId &endpoint, TokenCount prompt, TimePoint now)
{
    // Read before operator[] creates the bucket, because a missing bucket counts as full.
    const double before = level(endpoint, now);
    m_buckets[endpoint] = {before - static_cast<double>(prompt.value), now};
}

void PromptRateLimiter::setLevel(const EndpointId &endpoint, double level, TimePoint now)
{
    m_buckets[endpoint] = {std::min(m_limit.burst, level), now};
}

} // namespace Hemlockhill
