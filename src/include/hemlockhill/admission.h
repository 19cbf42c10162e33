// Admission control: queues requests for endpoints, orders them, and refuses requests that cannot meet their deadlines. Deterministic,
// without I/O: the caller passes in the current time and the forecasts.
#pragma once

#include "hemlockhill/attempt.h"
#include "hemlockhill/engine_api.h"
#include "hemlockhill/failure.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Hemlockhill
{

// Capacity, load and timing of the endpoints that serve a model, summed or averaged over them.
struct ModelForecast {
    // Requests that the endpoints can run concurrently, and requests that are running or queued there.
    std::uint32_t slots = 0;
    std::uint32_t load = 0;
    // Endpoints that accept new requests.
    std::uint32_t endpoints = 0;
    // Mean time from the start of a request on an engine to its end, and to its first token.
    Duration serviceTime{0};
    Duration firstToken{0};
    // Age of the oldest load report, scaled by the fraction of the load that other nodes caused.
    Duration lag{0};
};

// A request as admission control sees it.
struct AdmissionRequest {
    AttemptId id;
    ServiceId service;
    RoutingTarget target;
    Priority priority = Priority::Normal;
    TimePoint arrivedAt;
    // Latest useful time of the first token, and the caller's deadline for the complete response.
    TimePoint firstTokenBy;
    TimePoint deadline;
};

// Returns whether an endpoint that serves the target can accept one more request.
using CapacityCheck = std::function<bool(const RoutingTarget &)>;
using ForecastSource = std::function<ModelForecast(const RoutingTarget &)>;

// A queued request that can no longer meet its deadline, with the refusal for its caller.
struct AdmissionExpiry {
    AttemptId id;
    Refusal refusal;
};

// Returns the latest useful time of a request's first token: the service's target for interactive requests, a multiple of it for
// normal requests, and the deadline for batch requests. Never later than the deadline.
TimePoint firstTokenDue(const Service &service, TimePoint arrivedAt, TimePoint deadline);

// Queue of the requests that wait for an endpoint at this node.
class Admission
{
public:
    // queueLimit is the maximum number of queued requests; one service may occupy at most the fraction serviceShare of it.
    Admission(std::size_t queueLimit, double serviceShare);

    // Queues the request, or returns a refusal that says after how many seconds to retry.
    std::optional<Refusal> offer(const AdmissionRequest &request, const ModelForecast &forecast, TimePoint now);

    // Removes and returns the next request whose target has capacity: by priority, then the model that has been served least, then the
    // earliest deadline.
    std::optional<AdmissionRequest> next(const CapacityCheck &hasCapacity);

    // Removes a queued request. Does nothing when the request is not queued.
    void remove(AttemptId id);

    // Removes and returns every request that can no longer meet its deadlines.
    std::vector<AdmissionExpiry> expire(const ForecastSource &forecastOf, TimePoint now);

    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t waiting(const RoutingTarget &target) const;

    // Lower bound of the time until the first token of a request that has `ahead` queued requests before it.
    static Duration earliestFirstToken(const ModelForecast &forecast, std::size_t ahead);

private:
    // Orders requests by deadline, then by arrival.
    using Order = std::pair<TimePoint, AttemptId>;
    struct ModelQueue {
        std::map<Order, AdmissionRequest> requests;
        // Number of requests dequeued so far; the queue with the lowest count is served next.
        std::uint64_t served = 0;
    };
    using PriorityQueues = std::map<RoutingTarget, ModelQueue>;

    std::size_t aheadOf(const AdmissionRequest &request) const;
    std::optional<Refusal>
    checkDeadlines(const AdmissionRequest &request, const ModelForecast &forecast, std::size_t ahead, TimePoint now) const;
    void erase(const AdmissionRequest &request);
    std::uint64_t leastServed(const PriorityQueues &queues) const;

    std::size_t m_queueLimit;
    std::size_t m_serviceLimit;
    std::map<Priority, PriorityQueues> m_queues;
    std::map<AttemptId, AdmissionRequest> m_waiting;
    std::map<ServiceId, std::size_t> m_waitingOfService;
};

} // namespace Hemlockhill
