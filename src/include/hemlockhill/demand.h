// Estimates the request rate of each model and adapter from periodic, delayed counts.
#pragma once

#include "hemlockhill/world.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Hemlockhill
{

// Requests that arrived for one model since the last sample, whether served or refused.
struct ModelDemandCount {
    ModelId model;
    std::uint64_t requests = 0;
    // Total time, in seconds, that served requests spent in engine batches; zero when unknown.
    double busySeconds = 0;
};

struct AdapterDemandCount {
    AdapterId adapter;
    std::uint64_t requests = 0;
};

struct DemandSample {
    // The interval that the counts cover.
    Duration span = std::chrono::seconds(1);
    std::vector<ModelDemandCount> models;
    std::vector<AdapterDemandCount> adapters;
};

struct DemandOptions {
    // Time constants with which an estimate follows a rise and a fall in demand.
    Duration riseTimeConstant = std::chrono::seconds(20);
    Duration fallTimeConstant = std::chrono::minutes(15);
    // Time constant of the long-term estimate, which tells a short burst from a lasting shift.
    Duration longTermTimeConstant = std::chrono::minutes(3);
    // Time that one request spends in a batch, in seconds; used until it has been measured.
    double defaultServiceSeconds = 2.0;
};

// Estimated demand for one model or adapter.
struct DemandEstimate {
    // Requests per second, smoothed with the time constant of a rise.
    double recentRate = 0;
    // Requests per second; follows rises quickly and decays slowly.
    double rate = 0;
    // Requests per second, smoothed with the long-term time constant.
    double longTermRate = 0;
    // Time that one request spends in a batch: an average of the measured times, or the default until there are any.
    double serviceSeconds = 0;
    bool isServiceMeasured = false;
    TimePoint lastRequestAt;

    // Batch slots that the demand occupies on average: request rate times service time.
    double slots() const { return rate * serviceSeconds; }
    double longTermSlots() const { return longTermRate * serviceSeconds; }
};

// Keeps a demand estimate for every model and adapter that has received requests.
class Demand
{
public:
    explicit Demand(const DemandOptions &options = {})
        : m_options(options)
    {
    }

    // Updates all estimates; models and adapters that the sample does not list had no requests. A span that is not positive is ignored.
    void sample(const DemandSample &sample, TimePoint now);
    // The current estimate; all zero for a model or adapter that has had no requests.
    DemandEstimate model(const ModelId &model) const;
    DemandEstimate adapter(const AdapterId &adapter) const;

private:
    void update(DemandEstimate &estimate, double requests, double span) const;

    DemandOptions m_options;
    std::map<ModelId, DemandEstimate> m_models;
    std::map<AdapterId, DemandEstimate> m_adapters;
};

} // namespace Hemlockhill
