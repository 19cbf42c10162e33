// Distinguishes failed connections to an endpoint from a failed endpoint. A deterministic state machine without I/O.
#pragma once

#include "hemlockhill/http_exchange.h"
#include "hemlockhill/world.h"

#include <cstdint>

namespace Hemlockhill
{

// The action to take after a failed exchange or after the result of a probe.
enum class HealthVerdict {
    // No further action; a probe that is already running continues.
    Wait,
    // Close the idle connections and request a report over a new connection.
    ProbeFresh,
    // The probe over a new connection failed too: dispatch nothing to the endpoint until it answers again.
    EndpointDown
};

// Exponentially weighted mean and mean deviation of a delay, as TCP uses for its retransmission timeout (RFC 6298).
class DelayEstimate
{
public:
    void add(Duration delay);
    std::uint32_t samples() const { return m_samples; }
    // Mean plus four mean deviations: a delay that a healthy endpoint rarely exceeds.
    Duration bound() const;

private:
    std::uint32_t m_samples = 0;
    Duration m_mean{0};
    Duration m_deviation{0};
};

// Adapts the timeouts of exchanges with one endpoint to its observed delays, and decides when to probe it.
class ConnectionHealth
{
public:
    // No timeout exceeds its value in limits.
    explicit ConnectionHealth(ExchangeLimits limits);

    // The limits of the next exchange, derived from the delays observed so far.
    ExchangeLimits adaptedLimits() const;
    // Records the delay from sending a request to the first byte of its response.
    void onFirstByte(Duration delay);
    // Records the delay between two reads of a response body.
    void onNextByte(Duration delay);

    HealthVerdict onExchangeFailed(const ExchangeFailure &failure);
    HealthVerdict onProbeAnswered();
    HealthVerdict onProbeFailed();

    // True while a probe over a new connection is in progress.
    bool probing() const { return m_probing; }

private:
    ExchangeLimits m_limits;
    DelayEstimate m_firstByte;
    DelayEstimate m_betweenBytes;
    bool m_probing = false;
};

} // namespace Hemlockhill
