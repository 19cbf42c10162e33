// Adaptive timeouts, and the handling of failed connections.
#include "hemlockhill/connection_health.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// As for TCP's retransmission timeout (RFC 6298): gains of 1/8 and 1/4, and a bound of four mean deviations.
constexpr int MeanGainDivisor = 8;
constexpr int DeviationGainDivisor = 4;
constexpr int BoundDeviationCount = 4;
// With fewer samples the estimate is unreliable, and the limit itself is used.
constexpr std::uint32_t MinimumSamples = 16;
// No timeout is shorter than the limit divided by this, so that one slow batch is not mistaken for an unresponsive endpoint.
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

ConnectionHealth::ConnectionHealth(ExchangeLimits limits)
    : m_limits(limits)
{
}

// The handshake has just shown that a new connection works, so the adaptive first-byte timeout applies only to reused connections.
ExchangeLimits ConnectionHealth::adaptedLimits() const
{
    ExchangeLimits limits = m_limits;
    limits.reusedFirstByte = adaptiveTimeout(m_firstByte, std::min(m_limits.reusedFirstByte, m_limits.firstByte));
    limits.betweenBytes = adaptiveTimeout(m_betweenBytes, m_limits.betweenBytes);
    return limits;
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
