// An order to an engine to load or evict one model or adapter version, its life cycle and its wire format.
#pragma once

#include "hemlockhill/http.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace Hemlockhill
{

using OrderId = Id<struct OrderTag>;

enum class OrderAction { Load, Evict };

// The subject of an order: a model version, or an adapter version of that model when the adapter is not empty.
struct MemoryItem {
    ModelId model;
    AdapterId adapter;
    VersionId version;

    auto operator<=>(const MemoryItem &) const = default;
};

// Orders are committed to the replicated log before they are sent, and sent again with the same id until they are answered.
struct Order {
    OrderId id;
    FencingNumber fencing;
    // Sequence number within one fencing number; each committed order has a higher one than those committed before it.
    std::uint64_t sequence = 0;
    EndpointId endpoint;
    // The incarnation of the endpoint that the sender expects.
    Incarnation incarnation;
    OrderAction action = OrderAction::Load;
    MemoryItem item;
    Bytes bytes;

    bool operator==(const Order &) const = default;
};

// Whether two orders for one endpoint conflict: they concern the same model or adapter in any version, or an adapter and its model unless
// both are evictions.
bool touchSameMemory(OrderAction leftAction, const MemoryItem &left, OrderAction rightAction, const MemoryItem &right);

enum class OrderPhase { Planned, Committed, Sent, Acknowledged, Observed, Failed, Abandoned };

enum class OrderEvent { Commit, Send, Accept, Refuse, Observe, Expire, Withdraw };

// The life cycle of one order, from planned to observed, failed or abandoned, as a state machine.
class OrderLifecycle
{
public:
    OrderLifecycle();
    ~OrderLifecycle();
    OrderLifecycle(OrderLifecycle &&) noexcept;
    OrderLifecycle &operator=(OrderLifecycle &&) noexcept;

    OrderPhase phase() const;
    // Returns false, and changes nothing, when the event is not valid in the current phase.
    bool handle(OrderEvent event);

private:
    class Machine;
    std::unique_ptr<Machine> m_machine;
};

struct OrderAccepted {
    bool operator==(const OrderAccepted &) const = default;
};

// The engine has seen a higher fencing number.
struct OrderFenced {
    FencingNumber seen;
    bool operator==(const OrderFenced &) const = default;
};

struct OrderOtherIncarnation {
    Incarnation current;
    bool operator==(const OrderOtherIncarnation &) const = default;
};

struct OrderNoMemory {
    bool operator==(const OrderNoMemory &) const = default;
};

// The engine could not parse the order, or its answer could not be parsed.
struct OrderMalformed {
    bool operator==(const OrderMalformed &) const = default;
};

// No answer was received: the order may have been carried out, may still arrive, or may be lost.
struct OrderUnanswered {
    bool operator==(const OrderUnanswered &) const = default;
};

using OrderAnswer = std::variant<OrderAccepted, OrderFenced, OrderOtherIncarnation, OrderNoMemory, OrderMalformed, OrderUnanswered>;

// The HTTP request that carries an order to an engine, as specified in docs/ENGINE_API.md.
HttpRequest orderRequest(const Order &order);

// Parses an engine's answer to an order. Returns OrderMalformed for an answer that cannot be parsed and OrderUnanswered for a status of
// 5xx.
OrderAnswer parseOrderAnswer(unsigned status, std::string_view body);

std::string_view toText(OrderAction action);
std::string_view toText(OrderPhase phase);
std::string toText(const MemoryItem &item);

} // namespace Hemlockhill
