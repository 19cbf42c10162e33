// Limits the bandwidth of dispatch notices. Deterministic, without I/O.
//
// Each request causes a notice to all other nodes when it is dispatched and when it ends, so that a node with many callers among many nodes
// would fill its link with notices, and requests would wait behind them. Above the limit the notices about one endpoint are merged into
// one.
#pragma once

#include "hemlockhill/dispatch_notices.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace Hemlockhill
{

// Bytes per second.
using Bandwidth = Quantity<struct BandwidthTag, double>;

class DispatchNoticePacer
{
public:
    // With a limit of zero, notices are not limited.
    explicit DispatchNoticePacer(Bandwidth limit);

    void add(const DispatchNotice &notice);
    // Returns the notices to send now, each to the given number of nodes. Others stay pending.
    std::vector<DispatchNotice> take(std::size_t nodes, TimePoint now);
    bool hasPending() const { return !m_order.empty(); }

private:
    Bandwidth m_limit;
    // Bytes that may be sent at m_filledAt.
    double m_allowance;
    TimePoint m_filledAt;
    std::map<EndpointId, DispatchNotice> m_pending;
    // Endpoints with pending notices, the longest pending first.
    std::deque<EndpointId> m_order;
};

} // namespace Hemlockhill
