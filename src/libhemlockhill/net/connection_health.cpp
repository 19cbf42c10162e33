// Adapted deadlines, and what a silent connection means.
#include "hemlockhill/connection_health.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Gains of the mean and of the mean deviation, and the deviations that the bound allows.
constexpr int MeanGainDivisor = 8;
constexpr int DeviationGainDivisor = 4;
constexpr int BoundDeviationCount = 4;
// Fewer samples than this say little about an endpoint.
constexpr std::uint32_t MinimumSamples = 16;
// No deadline is shorter than this share of its limit, so that one slow batch is not taken for silence.
constexpr int LimitDivisorForMinimum = 4;
constexpr int TimeoutPerBound = 2;

Duration adaptiveTimeout(const DelayEstimate &estimate, Duration limit)
{
    if (estimate.samples() < MinimumSamples) {
        return limit;
    }
    return std::clamp(estimate.bound() * TimeoutPerBound, limit / LimitDivisorForMinimum, limit);
}

} // namespace

void DelayEstimate::add(Duration delay)
{
    if (m_samples == 0) {
        m_mean = delay;
        m_deviation = delay / 2;
    } else {
        const Duration error = delay - m_mean;
        m_mean += error / MeanGainDivisor;
        m_deviation += (std::chrono::abs(error) - m_deviation) / DeviationGainDivisor;
    }
    ++m_samples;
}

Duration DelayEstimate::bound() const
{
    return m_mean + m_deviation * BoundDeviationCount;
}

ConnectionHealth::ConnectionHealth(ExchangeTimeouts limits)
    : m_limits(limits)
{
}

// A fresh connection was just proven by its handshake, so only a reused one gets the adaptiveTimeout deadline for its first byte.
ExchangeTimeouts ConnectionHealth::timeouts() const
{
    ExchangeTimeouts timeouts = m_limits;
    timeouts.reusedFirstByte = adaptiveTimeout(m_firstByte, std::min(m_limits.reusedFirstByte, m_limits.firstByte));
    timeouts.betweenBytes = adaptiveTimeout(m_betweenBytes, m_limits.betweenBytes);
    return timeouts;
}

void ConnectionHealth::onFirstByte(Duration delay)
{
    m_firstByte.add(delay);
}

void ConnectionHealth::onNextByte(Duration delay)
{
    m_betweenBytes.add(delay);
}

HealthVerdict ConnectionHealth::onExchangeFailed(const ExchangeFailure &failure)
{
    const bool connectionFailed = failure.reason == Reason::EndpointSilent || failure.reason == Reason::EndpointLost;
    if (!connectionFailed || m_probing) {
        return HealthVerdict::Wait;
    }
    m_probing = true;
    return HealthVerdict::ProbeFresh;
}

HealthVerdict ConnectionHealth::onProbeAnswered()
{
    m_probing = false;
    return HealthVerdict::Wait;
}

HealthVerdict ConnectionHealth::onProbeFailed()
{
    m_probing = false;
    return HealthVerdict::EndpointDown;
}

} // namespace Hemlockhill
