// The replicated record of orders and fencing numbers. An order that is not in the book can no longer take effect.
#pragma once

#include "hemlockhill/order.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Hemlockhill
{

// First command of a new leader: all later orders carry this fencing number.
struct TakeFencing {
    FencingNumber fencing;
    bool operator==(const TakeFencing &) const = default;
};

// Records an order, which may be sent only after this command has been committed and applied.
struct CommitOrder {
    Order order;
    bool operator==(const CommitOrder &) const = default;
};

// Removes an order that can no longer take effect.
struct CloseOrder {
    FencingNumber fencing;
    OrderId order;
    OrderPhase outcome = OrderPhase::Observed;
    bool operator==(const CloseOrder &) const = default;
};

using OrderCommand = std::variant<TakeFencing, CommitOrder, CloseOrder>;

// Result of applying a command. Any result but Applied leaves the open orders unchanged.
enum class OrderCommandOutcome { Applied, OldFencing, OldSequence, Conflict, UnknownOrder };

// Applies committed commands in log order. The same commands produce the same book on every replica.
class OrderBook
{
public:
    OrderCommandOutcome apply(const OrderCommand &command);

    FencingNumber fencing() const { return m_fencing; }
    const std::map<OrderId, Order> &openOrders() const { return m_open; }
    // An open order on the endpoint that conflicts with the given action, or nullptr.
    const Order *conflicting(const EndpointId &endpoint, OrderAction action, const MemoryItem &item) const;

    // Serializes the book to JSON, and restores it. restore() throws DecodeError when the text is not a valid snapshot.
    std::string snapshot() const;
    static OrderBook restore(std::string_view snapshot);

    bool operator==(const OrderBook &) const = default;

private:
    OrderCommandOutcome commit(const Order &order);

    FencingNumber m_fencing;
    std::uint64_t m_lastSequence = 0;
    std::map<OrderId, Order> m_open;
};

// Serializes a command to the JSON text of a log entry, and parses it. Throws DecodeError when the text is malformed.
std::string encode(const OrderCommand &command);
OrderCommand decodeOrderCommand(std::string_view text);

} // namespace Hemlockhill
