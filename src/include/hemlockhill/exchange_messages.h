// Messages between the caller thread, which owns requests, and the endpoint thread, which owns connections to endpoints.
#pragma once

#include "hemlockhill/engine_api.h"
#include "hemlockhill/http_exchange.h"
#include "hemlockhill/overloaded.h"
#include "hemlockhill/quarantine.h"
#include "hemlockhill/region_state.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/world.h"

#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// Sends a request to an endpoint.
struct StartExchange {
    ExchangeId exchange;
    Address address;
    HttpRequest request;
    ExchangeLimits limits;
    ConnectionChoice connection = ConnectionChoice::PreferIdle;
};

// Aborts an exchange. No further messages are sent for it, except those already queued.
struct CancelExchange {
    ExchangeId exchange;
};

// Drops the rest of the answer, as HttpExchange::discard() does. No further messages are sent for it, except those already queued.
struct DiscardExchange {
    ExchangeId exchange;
};

// Flow control: `bytes` body bytes have been written to the caller, so the same number may be read from the endpoint.
struct ReleaseBytes {
    ExchangeId exchange;
    std::size_t bytes = 0;
};

// The declared state has changed. The endpoint thread polls the reports of all runners declared in it.
struct StateChanged {
    std::shared_ptr<const RegionState> state;
};

// Settings that can change at run time have changed.
struct SettingsChanged {
    std::shared_ptr<const Settings> settings;
};

using EndpointThreadMessage = std::variant<StartExchange, CancelExchange, DiscardExchange, ReleaseBytes, StateChanged, SettingsChanged>;

// The request is about to be written to the endpoint; from now on it may run there.
struct ExchangeSending {
    ExchangeId exchange;
};

// The endpoint has sent the status line and headers of its answer.
struct ExchangeHead {
    ExchangeId exchange;
    ResponseHead head;
};

// The next bytes of the answer's body. The receiver must release them with ReleaseBytes.
struct ExchangeBody {
    ExchangeId exchange;
    std::string bytes;
};

// The answer is complete.
struct ExchangeEnded {
    ExchangeId exchange;
};

// The exchange ended without a complete answer.
struct ExchangeFailed {
    ExchangeId exchange;
    ExchangeFailure failure;
};

// The latest report of each runner that has reported and is not considered lost.
struct ReportsChanged {
    std::shared_ptr<const EndpointReports> reports;
};

// Blocks stored in and evicted from an engine's prefix cache.
struct CacheEventsArrived {
    EndpointId endpoint;
    std::vector<CacheEvent> events;
};

// All endpoints that the platform reports as leaving.
struct LeavingEndpoints {
    std::set<EndpointId> endpoints;
};

// The quarantine register, as replicated to this node.
struct QuarantineChanged {
    std::shared_ptr<const QuarantineRegister> replica;
};

// The node is shutting down and accepts no new requests.
struct LeaveRequested {
};

using CallerThreadMessage = std::variant<ExchangeSending,
                                         ExchangeHead,
                                         ExchangeBody,
                                         ExchangeEnded,
                                         ExchangeFailed,
                                         StateChanged,
                                         ReportsChanged,
                                         CacheEventsArrived,
                                         LeavingEndpoints,
                                         QuarantineChanged,
                                         LeaveRequested,
                                         SettingsChanged>;

} // namespace Hemlockhill
