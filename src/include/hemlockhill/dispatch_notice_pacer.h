// Limits the bandwidth of dispatch notices. Deterministic, without I/O.
//
// Each request causes notices when it is dispatched and when it ends, in some cases to all other nodes, so that a node with many callers
// would fill its link with notices, and requests would wait behind them. Above the limit the notices about one endpoint are merged into
// one.
#pragma once

#include "hemlockhill/dispatch_notices.h"

#include <deque>
#include <map>
#include <vector>

namespace Hemlockhill
{

// Bytes per second.
using Bandwidth = Quantity<struct BandwidthTag, double>;

// A notice and the nodes that it is for.
struct AddressedNotice {
    DispatchNotice notice;
    std::vector<VmId> nodes;
};

class DispatchNoticePacer
{
public:
    // With a limit of zero, notices are not limited.
    explicit DispatchNoticePacer(Bandwidth limit);

    // Adds a notice. It goes to the nodes that were named last for its endpoint.
    void add(const DispatchNotice &notice, const std::vector<VmId> &nodes);
    // Returns the notices to send now. Others stay pending.
    std::vector<AddressedNotice> take(TimePoint now);
    bool hasPending() const { return !m_order.empty(); }

private:
    Bandwidth m_limit;
    // Bytes that may be sent at m_filledAt.
    double m_allowance;
    TimePoint m_filledAt;
    std::map<EndpointId, AddressedNotice> m_pending;
    // Endpoints with pending notices, the longest pending first.
    std::deque<EndpointId> m_order;
};

} // namespace Hemlockhill
