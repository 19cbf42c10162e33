// Per-model request statistics of the region: sent incrementally by each node, summed by the leading controller.
#pragma once

#include "hemlockhill/demand.h"
#include "hemlockhill/model_statistics.h"
#include "hemlockhill/operator_view.h"
#include "hemlockhill/world.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// Encodes one node's totals since its start as JSON.
std::string encode(const ModelTotalsByModel &figures);
// Decodes text written by encode(). Throws DecodeError if the text is invalid.
ModelTotalsByModel decodeFigures(std::string_view text);

// Sender on each node. Reports only the models whose totals have changed since the last acknowledged report.
class FiguresReporter
{
public:
    void update(const ModelTotalsByModel &figures) { m_latest = figures; }
    // Returns the encoded totals for the next report; empty if nothing has changed.
    std::string pending();
    // The leader acknowledged what pending() returned last.
    void acknowledged();

private:
    ModelTotalsByModel m_latest;
    ModelTotalsByModel m_sending;
    ModelTotalsByModel m_acknowledged;
};

// Receiver on the leading controller.
class RegionFigures
{
public:
    // Adds the growth of a node's totals, which may cover only some models. A lower request count than before means that the node was
    // restarted and counts from zero.
    void report(const VmId &node, const ModelTotalsByModel &figures);
    // Returns the number of requests per model since the last call.
    std::vector<ModelDemandCount> takeDemand();
    std::vector<ModelPerformance> performance() const;

private:
    std::map<VmId, ModelTotalsByModel> m_nodes;
    // Sums over all nodes, including totals from before their restarts.
    ModelTotalsByModel m_sums;
    std::map<ModelId, std::uint64_t> m_newRequests;
};

} // namespace Hemlockhill
