// Admission queues and the forecast of waiting times.
#include "hemlockhill/admission.h"

#include <algorithm>
#include <limits>

namespace Hemlockhill
{

namespace
{

// Multiple of the first-token target that normal requests may take.
constexpr int NormalTargetFactor = 4;
constexpr std::chrono::seconds MinimumRetryAfter(1);
constexpr std::chrono::seconds MaximumRetryAfter(60);

Refusal refusalOf(Reason reason, Duration excess, std::string detail)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.detail = std::move(detail);
    refusal.retryAfter = std::clamp(std::chrono::ceil<std::chrono::seconds>(excess), MinimumRetryAfter, MaximumRetryAfter);
    return refusal;
}

} // namespace

TimePoint firstTokenDue(const Service &service, TimePoint arrivedAt, TimePoint deadline)
{
    switch (service.priority) {
    case Priority::Interactive:
        return std::min(deadline, arrivedAt + service.firstTokenTarget);
    case Priority::Normal:
        return std::min(deadline, arrivedAt + service.firstTokenTarget * NormalTargetFactor);
    case Priority::Batch:
        break;
    }
    return deadline;
}

Admission::Admission(std::size_t queueLimit, double serviceShare)
    : m_queueLimit(queueLimit)
    , m_serviceLimit(std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(queueLimit) * serviceShare)))
{
}

// A request that finds a free slot is always admitted, whatever the measured times: otherwise one period of slow responses would cause
// all later requests to be refused. Work that ended since the report is still counted in it, so the lag is subtracted from the
// predicted wait.
Duration Admission::earliestFirstToken(const ModelForecast &forecast, std::size_t ahead)
{
    const std::size_t before = forecast.load + ahead;
    if (forecast.slots == 0 || before < forecast.slots) {
        return Duration(0);
    }
    const auto excess = static_cast<std::int64_t>(before - forecast.slots + 1);
    const Duration wait = forecast.serviceTime * excess / forecast.slots;
    return std::max(Duration(0), wait - forecast.lag) + forecast.firstToken;
}

std::optional<Refusal>
Admission::checkDeadlines(const AdmissionRequest &request, const ModelForecast &forecast, std::size_t ahead, TimePoint now) const
{
    const Duration needed = earliestFirstToken(forecast, ahead);
    if (now >= request.deadline) {
        return refusalOf(Reason::DeadlineExceeded, Duration(0), "the deadline has passed");
    }
    if (now + needed > request.deadline) {
        return refusalOf(Reason::DeadlineUnreachable, now + needed - request.deadline, "the response cannot start before the deadline");
    }
    if (now + needed > request.firstTokenBy) {
        return refusalOf(Reason::DeadlineUnreachable, now + needed - request.firstTokenBy, "the first token cannot arrive in time");
    }
    return std::nullopt;
}

std::optional<Refusal> Admission::offer(const AdmissionRequest &request, const ModelForecast &forecast, TimePoint now)
{
    const bool full = m_waiting.size() >= m_queueLimit;
    const auto ofService = m_waitingOfService.find(request.service);
    const bool serviceFull = ofService != m_waitingOfService.end() && ofService->second >= m_serviceLimit;
    const std::size_t ahead = aheadOf(request);
    if (full || serviceFull) {
        const std::string_view detail = full ? "this node's queue is full" : "the service's queue is full";
        return refusalOf(Reason::QueueFull, earliestFirstToken(forecast, ahead), std::string(detail));
    }
    if (auto refusal = checkDeadlines(request, forecast, ahead, now)) {
        return refusal;
    }
    ModelQueue &queue = m_queues[request.priority][request.target];
    if (queue.requests.empty()) {
        // An idle model does not accumulate priority over the others.
        queue.served = std::max(queue.served, leastServed(m_queues[request.priority]));
    }
    queue.requests.emplace(Order{request.deadline, request.id}, request);
    m_waiting.emplace(request.id, request);
    ++m_waitingOfService[request.service];
    return std::nullopt;
}

std::uint64_t Admission::leastServed(const PriorityQueues &queues) const
{
    auto least = std::numeric_limits<std::uint64_t>::max();
    for (const auto &[target, queue] : queues) {
        if (!queue.requests.empty()) {
            least = std::min(least, queue.served);
        }
    }
    return least == std::numeric_limits<std::uint64_t>::max() ? 0 : least;
}

std::optional<AdmissionRequest> Admission::next(const CapacityCheck &hasCapacity)
{
    for (auto &[priority, queues] : m_queues) {
        ModelQueue *best = nullptr;
        for (auto &[target, queue] : queues) {
            const bool candidate = !queue.requests.empty() && (best == nullptr || queue.served < best->served);
            if (candidate && hasCapacity(target)) {
                best = &queue;
            }
        }
        if (best != nullptr) {
            ++best->served;
            const AdmissionRequest request = best->requests.begin()->second;
            erase(request);
            return request;
        }
    }
    return std::nullopt;
}

void Admission::remove(AttemptId id)
{
    const auto found = m_waiting.find(id);
    if (found != m_waiting.end()) {
        erase(AdmissionRequest(found->second));
    }
}

void Admission::erase(const AdmissionRequest &request)
{
    PriorityQueues &queues = m_queues[request.priority];
    const auto queue = queues.find(request.target);
    queue->second.requests.erase(Order{request.deadline, request.id});
    const bool idle = queue->second.requests.empty() && queue->second.served <= leastServed(queues);
    if (idle) {
        queues.erase(queue);
    }
    const auto ofService = m_waitingOfService.find(request.service);
    if (--ofService->second == 0) {
        m_waitingOfService.erase(ofService);
    }
    m_waiting.erase(request.id);
}

std::vector<AdmissionExpiry> Admission::expire(const ForecastSource &forecastOf, TimePoint now)
{
    std::vector<AdmissionExpiry> expired;
    for (const auto &[priority, queues] : m_queues) {
        for (const auto &[target, queue] : queues) {
            const ModelForecast forecast = forecastOf(target);
            std::size_t ahead = 0;
            for (const auto &[order, request] : queue.requests) {
                auto refusal = checkDeadlines(request, forecast, ahead, now);
                if (refusal) {
                    expired.push_back({request.id, std::move(*refusal)});
                } else {
                    ++ahead;
                }
            }
        }
    }
    for (const AdmissionExpiry &expiry : expired) {
        remove(expiry.id);
    }
    return expired;
}

// Number of queued requests for the same model that are dispatched before this one.
std::size_t Admission::aheadOf(const AdmissionRequest &request) const
{
    std::size_t ahead = 0;
    for (const auto &[priority, queues] : m_queues) {
        const auto queue = queues.find(request.target);
        if (queue == queues.end() || priority > request.priority) {
            continue;
        }
        if (priority < request.priority) {
            ahead += queue->second.requests.size();
            continue;
        }
        const auto last = queue->second.requests.lower_bound(Order{request.deadline, request.id});
        ahead += static_cast<std::size_t>(std::distance(queue->second.requests.begin(), last));
    }
    return ahead;
}

std::size_t Admission::waiting(const RoutingTarget &target) const
{
    std::size_t count = 0;
    for (const auto &[priority, queues] : m_queues) {
        const auto queue = queues.find(target);
        count += queue == queues.end() ? 0 : queue->second.requests.size();
    }
    return count;
}

} // namespace Hemlockhill
