// Metrics of one node in the Prometheus text format.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/workspace_keys.h"
#include "hemlockhill/world.h"

#include <cstdint>
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
    // Counts units of a workspace's quota by their outcome, such as "granted". The first 64 workspaces are counted by name, the others
    // together.
    void countQuotaUnits(const WorkspaceId &workspace, std::string_view outcome, std::uint64_t units);
    // Level of a share of a workspace's quota at this node, as a part of its capacity; not set for workspaces that are counted together.
    void setQuotaFill(const WorkspaceId &workspace, std::string_view share, double fill);
    // Sets the gauge "hemlockhill_state" with the given value of the label "name".
    void setGauge(std::string_view name, double value);

    // The response body of /metrics.
    std::string exposition() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

} // namespace Hemlockhill
