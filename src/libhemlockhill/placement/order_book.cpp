// Order book and serialization of its commands.
#include "hemlockhill/order_book.h"

#include "runtime/json_text.h"

#include "hemlockhill/failure.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <array>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

template<typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

constexpr std::array ClosedPhases{OrderPhase::Observed, OrderPhase::Failed, OrderPhase::Abandoned};

json::object encodeOrder(const Order &order)
{
    return {{"id", order.id.value},
            {"fencing", order.fencing.value},
            {"sequence", order.sequence},
            {"endpoint", order.endpoint.value},
            {"incarnation", order.incarnation.value},
            {"action", toText(order.action)},
            {"model", order.item.model.value},
            {"adapter", order.item.adapter.value},
            {"version", order.item.version.value},
            {"bytes", order.bytes.value}};
}

std::string textOf(const json::object &object, std::string_view key)
{
    return json::value_to<std::string>(object.at(key));
}

std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    return object.at(key).to_number<std::uint64_t>();
}

OrderAction decodeAction(const std::string &text)
{
    if (text == toText(OrderAction::Load)) {
        return OrderAction::Load;
    }
    if (text == toText(OrderAction::Evict)) {
        return OrderAction::Evict;
    }
    throw DecodeError("unknown order action");
}

OrderPhase decodeOutcome(const std::string &text)
{
    const auto *const found =
        std::find_if(ClosedPhases.begin(), ClosedPhases.end(), [&](OrderPhase phase) { return toText(phase) == text; });
    if (found == ClosedPhases.end()) {
        throw DecodeError("unknown order outcome");
    }
    return *found;
}

Order decodeOrder(const json::object &object)
{
    Order order;
    order.id = OrderId{textOf(object, "id")};
    order.fencing = FencingNumber{numberOf(object, "fencing")};
    order.sequence = numberOf(object, "sequence");
    order.endpoint = EndpointId{textOf(object, "endpoint")};
    order.incarnation = Incarnation{textOf(object, "incarnation")};
    order.action = decodeAction(textOf(object, "action"));
    order.item = {ModelId{textOf(object, "model")}, AdapterId{textOf(object, "adapter")}, VersionId{textOf(object, "version")}};
    order.bytes = Bytes{numberOf(object, "bytes")};
    return order;
}

// Parses a JSON object; errors of the JSON library become DecodeError.
template<typename Result, typename Decode>
Result decodeObject(std::string_view text, Decode decode)
{
    return decodingJson([&] { return decode(parseJsonObject(text)); });
}

OrderCommand decodeCommand(const json::object &object)
{
    const std::string kind = textOf(object, "command");
    if (kind == "take_fencing") {
        return TakeFencing{FencingNumber{numberOf(object, "fencing")}};
    }
    if (kind == "commit") {
        return CommitOrder{decodeOrder(object.at("order").as_object())};
    }
    if (kind == "settle") {
        return CloseOrder{
            FencingNumber{numberOf(object, "fencing")}, OrderId{textOf(object, "order")}, decodeOutcome(textOf(object, "outcome"))};
    }
    throw DecodeError("unknown order command");
}

} // namespace

// An adapter needs its model to stay loaded, so orders for a model conflict with orders for its adapters.
bool touchSameMemory(OrderAction leftAction, const MemoryItem &left, OrderAction rightAction, const MemoryItem &right)
{
    if (left.model != right.model) {
        return false;
    }
    if (left.adapter == right.adapter) {
        return true;
    }
    const bool bothGo = leftAction == OrderAction::Evict && rightAction == OrderAction::Evict;
    return !bothGo && (left.adapter.empty() || right.adapter.empty());
}

OrderCommandOutcome OrderBook::apply(const OrderCommand &command)
{
    return std::visit(Overloaded{[this](const TakeFencing &take) {
                                     if (take.fencing <= m_fencing) {
                                         return OrderCommandOutcome::OldFencing;
                                     }
                                     m_fencing = take.fencing;
                                     m_lastSequence = 0;
                                     return OrderCommandOutcome::Applied;
                                 },
                                 [this](const CommitOrder &entry) { return commit(entry.order); },
                                 [this](const CloseOrder &close) {
                                     if (close.fencing != m_fencing) {
                                         return OrderCommandOutcome::OldFencing;
                                     }
                                     return m_open.erase(close.order) > 0 ? OrderCommandOutcome::Applied
                                                                          : OrderCommandOutcome::UnknownOrder;
                                 }},
                      command);
}

OrderCommandOutcome OrderBook::commit(const Order &order)
{
    if (order.fencing != m_fencing) {
        return OrderCommandOutcome::OldFencing;
    }
    if (order.sequence <= m_lastSequence) {
        return OrderCommandOutcome::OldSequence;
    }
    m_lastSequence = order.sequence;
    if (m_open.contains(order.id) || conflicting(order.endpoint, order.action, order.item) != nullptr) {
        return OrderCommandOutcome::Conflict;
    }
    m_open.emplace(order.id, order);
    return OrderCommandOutcome::Applied;
}

const Order *OrderBook::conflicting(const EndpointId &endpoint, OrderAction action, const MemoryItem &item) const
{
    for (const auto &[id, order] : m_open) {
        if (order.endpoint == endpoint && touchSameMemory(order.action, order.item, action, item)) {
            return &order;
        }
    }
    return nullptr;
}

std::string OrderBook::snapshot() const
{
    json::array orders;
    for (const auto &[id, order] : m_open) {
        orders.push_back(encodeOrder(order));
    }
    return json::serialize(json::object{{"fencing", m_fencing.value}, {"sequence", m_lastSequence}, {"orders", std::move(orders)}});
}

OrderBook OrderBook::restore(std::string_view snapshot)
{
    return decodeObject<OrderBook>(snapshot, [](const json::object &object) {
        OrderBook book;
        book.m_fencing = FencingNumber{numberOf(object, "fencing")};
        book.m_lastSequence = numberOf(object, "sequence");
        for (const json::value &entry : object.at("orders").as_array()) {
            Order order = decodeOrder(entry.as_object());
            book.m_open.emplace(order.id, std::move(order));
        }
        return book;
    });
}

std::string encode(const OrderCommand &command)
{
    const json::object object = std::visit(Overloaded{[](const TakeFencing &take) {
                                                          return json::object{{"command", "take_fencing"}, {"fencing", take.fencing.value}};
                                                      },
                                                      [](const CommitOrder &entry) {
                                                          return json::object{{"command", "commit"}, {"order", encodeOrder(entry.order)}};
                                                      },
                                                      [](const CloseOrder &close) {
                                                          return json::object{{"command", "settle"},
                                                                              {"fencing", close.fencing.value},
                                                                              {"order", close.order.value},
                                                                              {"outcome", toText(close.outcome)}};
                                                      }},
                                           command);
    return json::serialize(object);
}

OrderCommand decodeOrderCommand(std::string_view text)
{
    return decodeObject<OrderCommand>(text, decodeCommand);
}

} // namespace Hemlockhill
