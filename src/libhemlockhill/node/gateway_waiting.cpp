// Waiting of a gateway request for an endpoint, and when it is given up.
#include "gateway_request.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// How long a request waits for an endpoint to recover or to be replaced.
constexpr Duration EndpointWaitTimeout = std::chrono::milliseconds(400);
// Delay before endpoints that refused the request without running it are tried again.
constexpr Duration RefusedEndpointRetryDelay = std::chrono::milliseconds(40);

Reason refusalReason(NoEndpointReason reason)
{
    if (reason == NoEndpointReason::VersionAbsent) {
        return Reason::VersionAbsent;
    }
    const bool lacksCapacity = reason == NoEndpointReason::Full || reason == NoEndpointReason::LoadAwaited
                               || reason == NoEndpointReason::RateLimited || reason == NoEndpointReason::RequestLimited;
    return lacksCapacity ? Reason::QueueFull : Reason::NoEndpoint;
}

} // namespace

void QueueForecast::advance()
{
    if (rate.value > 0) {
        delay += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate.value));
    }
}

void Gateway::Request::wait(const EndpointChoice &choice)
{
    const NoEndpointReason reason = choice.reason;
    const bool isLimited = reason == NoEndpointReason::RequestLimited;
    const TimePoint now = currentTime();
    m_forecast = isLimited ? QueueForecast{choice.delay, choice.acceptedRate} : QueueForecast{};
    if (reason == NoEndpointReason::Full && m_gateway.ordersAcrossNodes()) {
        m_forecast = forecastOfRoom(now);
    }
    const bool isNew = !m_waitingSince;
    if (isNew) {
        m_waitingSince = now;
    }
    m_waitingFor = reason;
    // An endpoint that refused the request without running it, for instance while loading its model, may accept it later.
    if (reason == NoEndpointReason::NoneLeft && m_history.possibleRuns() == 0 && now - *m_waitingSince >= RefusedEndpointRetryDelay) {
        m_requirements.avoided.clear();
    }
    if (isWaitExpired(now)) {
        endWait();
        return;
    }
    m_gateway.scheduleDispatch();
    const bool lacksTarget = reason == NoEndpointReason::NotLoadedYet || reason == NoEndpointReason::ModelAbsent;
    if (isNew && lacksTarget && m_gateway.onTargetMissing) {
        m_gateway.onTargetMissing();
    }
}

void Gateway::Request::waitForLoad()
{
    if (m_exchange) {
        // The answer has come at once, and the request has been sent.
        return;
    }
    const TimePoint now = currentTime();
    m_waitingSince = m_waitingSince.value_or(now);
    // A request that waits for capacity keeps its place among those that do. One that waited for an endpoint has found it.
    if (!waitsForCapacity()) {
        m_waitingFor = NoEndpointReason::LoadAwaited;
    }
    if (isWaitExpired(now)) {
        endWait();
        return;
    }
    m_gateway.scheduleDispatch();
}

void Gateway::Request::waitBehind(QueueForecast &forecast)
{
    if (!m_waitingSince || m_done) {
        return;
    }
    QueueForecast own = forecast;
    own.advance();
    m_forecast = own;
    if (isWaitExpired(currentTime())) {
        endWait();
        return;
    }
    forecast = own;
}

// No request waits on a node that is shutting down, because its connection would be closed before it is answered.
bool Gateway::Request::isWaitExpired(TimePoint now) const
{
    return m_gateway.m_isStopping || now + m_forecast.delay >= waitEnd();
}

TimePoint Gateway::Request::waitEnd() const
{
    return std::min(*m_waitingSince + waitLimit(m_waitingFor), m_arrivedAt + maximumQueueWait(m_route, m_deadline - m_arrivedAt));
}

void Gateway::Request::endWaiting(TimePoint now)
{
    if (m_waitingSince) {
        m_waited += now - *m_waitingSince;
        m_waitingSince.reset();
    }
}

void Gateway::Request::endWait()
{
    refuseOrFail(refusalReason(m_waitingFor), std::string(toText(m_waitingFor)), m_lastFailure.value_or(Reason::NoEndpoint));
}

TimePoint Gateway::Request::latestDispatch() const
{
    const TimePoint silentSince = m_lastEventAt == TimePoint{} ? m_arrivedAt : m_lastEventAt;
    return Hemlockhill::latestDispatch(m_route, m_arrivedAt, silentSince, m_deadline);
}

WaitingRank Gateway::Request::rank(TimePoint now) const
{
    const std::uint32_t workspacePriority = m_workspace == nullptr ? 0 : m_workspace->priority.value_or(0);
    const bool isRestOfStream = m_requirements.softwareVersion.has_value();
    return rankAt(
        now, m_route, {workspacePriority, isRestOfStream, m_arrivedAt, latestDispatch(), m_gateway.dispatchOrder(service(), m_route)});
}

QueueForecast Gateway::Request::forecastOfRoom(TimePoint now) const
{
    const RequestRate rate{CertainRateFactor * m_gateway.releaseRate(m_requirements).value};
    if (rate.value <= 0) {
        return {};
    }
    const WaitingElsewhere elsewhere = m_gateway.m_chooser.waitingElsewhere({service(), target()}, rank(now), now);
    const std::chrono::duration<double> delay(elsewhere.moreUrgent / rate.value);
    return {std::chrono::duration_cast<Duration>(delay), rate};
}

// In a deployment that bounds memory, an owner has let more urgent requests go first when it granted the room.
bool Gateway::Request::mustYield(const EndpointChoice &choice, TimePoint now)
{
    if (choice.isGranted || !m_gateway.ordersAcrossNodes()) {
        return false;
    }
    const WaitingElsewhere elsewhere = m_gateway.m_chooser.waitingElsewhere({service(), target()}, rank(now), now);
    const bool yields = choice.endpoint ? yieldsToOthers(elsewhere, choice.freeSlots) : elsewhere.isWithheld;
    if (!yields) {
        m_yieldsSince.reset();
        return false;
    }
    if (!m_yieldsSince) {
        m_yieldsSince = now;
        m_gateway.m_metrics.countEvent("request_yielded");
    }
    return choice.endpoint && !hasYielded(now);
}

// Returns the limit on waiting that follows from the reason. The deadline and the usefulness to the caller limit it further.
Duration Gateway::Request::waitLimit(NoEndpointReason reason) const
{
    const bool mayRecover =
        reason == NoEndpointReason::NoEndpoint || reason == NoEndpointReason::VersionAbsent || reason == NoEndpointReason::NoneLeft;
    return mayRecover ? EndpointWaitTimeout : m_deadline - m_arrivedAt;
}

bool Gateway::Request::isTooLate(TimePoint now) const
{
    return now >= latestDispatch();
}

void Gateway::Request::giveUp()
{
    if (hasResponseStarted()) {
        performStep(RetryDecision::Abort, Reason::DeadlineExceeded);
        return;
    }
    const Reason refusal = isWaiting() ? refusalReason(m_waitingFor) : Reason::DeadlineExceeded;
    refuseOrFail(refusal, "no endpoint could answer before the caller gives up", Reason::DeadlineExceeded);
}

} // namespace Hemlockhill
