// Token buckets of prompts.
#include "hemlockhill/prompt_pacer.h"

#include <algorithm>

namespace Hemlockhill
{

PromptPacer::PromptPacer(PromptPace pace)
    : m_pace(pace)
{
}

double PromptPacer::pacePart(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_buckets.find(endpoint);
    if (found == m_buckets.end()) {
        return 1;
    }
    const double calm = std::chrono::duration<double>(now - found->second.slowedAt).count();
    return std::min(m_pace.fastest, found->second.part + calm * m_pace.recovery);
}

double PromptPacer::levelOf(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_buckets.find(endpoint);
    if (found == m_buckets.end()) {
        return m_pace.burst;
    }
    const double elapsed = std::chrono::duration<double>(now - found->second.at).count();
    return std::min(m_pace.burst, found->second.level + elapsed * m_pace.tokensPerSecond * pacePart(endpoint, now));
}

Duration PromptPacer::delay(const EndpointId &endpoint, TokenCount prompt, TimePoint now) const
{
    const double needed = std::min(static_cast<double>(prompt.value), m_pace.burst);
    const double missing = needed - levelOf(endpoint, now);
    if (missing <= 0) {
        return Duration(0);
    }
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / (m_pace.tokensPerSecond * pacePart(endpoint, now))));
}

PromptPacer::Bucket &PromptPacer::bucketOf(const EndpointId &endpoint, TimePoint now)
{
    const auto [found, isNew] = m_buckets.try_emplace(endpoint);
    if (isNew) {
        found->second = {m_pace.burst, now, 1, now};
    }
    return found->second;
}

void PromptPacer::onDispatched(const EndpointId &endpoint, TokenCount prompt, TimePoint now)
{
    Bucket &bucket = bucketOf(endpoint, now);
    bucket.level = levelOf(endpoint, now) - static_cast<double>(prompt.value);
    bucket.at = now;
}

void PromptPacer::onEventGap(const EndpointId &endpoint, Duration gap, Duration target, TimePoint now)
{
    Bucket &bucket = bucketOf(endpoint, now);
    const bool isLong = gap > target * m_pace.longGapPart;
    if (!isLong || now - bucket.slowedAt < m_pace.slowdownPeriod) {
        return;
    }
    const double level = levelOf(endpoint, now);
    bucket.part = std::max(m_pace.slowest, pacePart(endpoint, now) * m_pace.slowdown);
    bucket.slowedAt = now;
    bucket.level = level;
    bucket.at = now;
}

} // namespace Hemlockhill
