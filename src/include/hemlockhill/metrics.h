// Metrics of one node in the Prometheus text format.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/world.h"

#include <memory>
#include <string>
#include <string_view>

namespace Hemlockhill
{

// Counters, gauges and histograms of a node. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void countRequest(std::string_view route);
    void countRefusal(Reason reason);
    void countRetry(Reason reason);
    // Counts any other event, such as a placement move; the name becomes the value of the label "event".
    void countEvent(std::string_view event);
    // Time from the arrival of a request to the first byte of its response.
    void observeFirstToken(Duration elapsed);
    // Time from the arrival of a request to the end of its response.
    void observeWholeAnswer(Duration elapsed);
    // Sets the gauge "hemlockhill_state" with the given value of the label "name".
    void setGauge(std::string_view name, double value);

    // The response body of /metrics.
    std::string exposition() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

} // namespace Hemlockhill
