// Figures of the requests that all nodes serve: sent by each node in small parts, summed by the leading controller.
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

// One node's totals since it started, as text, and back. Throws DecodeError.
std::string encode(const ModelTotalsByModel &figures);
ModelTotalsByModel decodeFigures(std::string_view text);

// The node's side: only what has changed since the leader last took it is sent.
class FiguresReporter
{
public:
    void update(const ModelTotalsByModel &figures) { m_latest = figures; }
    // What to send with the next report; empty when nothing has changed.
    std::string pending();
    // The leader has taken what pending() returned last.
    void taken();

private:
    ModelTotalsByModel m_latest;
    ModelTotalsByModel m_sending;
    ModelTotalsByModel m_taken;
};

// The leading controller's side.
class RegionFigures
{
public:
    // A node's totals, or a part of them. Totals that have shrunk are those of a node that was restarted.
    void report(const VmId &node, const ModelTotalsByModel &figures);
    // Requests since the last call, by model.
    std::vector<ModelDemandCount> takeDemand();
    std::vector<ModelPerformance> performance() const;

private:
    std::map<VmId, ModelTotalsByModel> m_nodes;
    // Sums over all nodes and their restarts.
    ModelTotalsByModel m_sums;
    std::map<ModelId, std::uint64_t> m_newRequests;
};

} // namespace Hemlockhill
