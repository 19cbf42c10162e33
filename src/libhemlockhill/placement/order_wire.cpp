// Wire format of orders and their answers, as specified in docs/ENGINE_API.md.
#include "hemlockhill/order.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned Conflict = 409;
constexpr unsigned FirstServerError = 500;

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    return member != nullptr && member->is_string() ? std::string(member->get_string()) : std::string();
}

std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    if (member == nullptr) {
        return 0;
    }
    json::error_code error;
    const auto number = member->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

OrderAnswer parseRefusal(const json::object &object)
{
    const std::string refused = textOf(object, "refused");
    if (refused == "old_fencing_number") {
        return OrderFenced{FencingNumber{numberOf(object, "fencing")}};
    }
    if (refused == "other_incarnation") {
        return OrderOtherIncarnation{Incarnation{textOf(object, "incarnation")}};
    }
    if (refused == "no_memory") {
        return OrderNoMemory{};
    }
    return OrderMalformed{};
}

} // namespace

HttpRequest orderRequest(const Order &order)
{
    json::object body{{"order", order.id.value},
                      {"fencing", order.fencing.value},
                      {"incarnation", order.incarnation.value},
                      {"action", toText(order.action)},
                      {"model", order.item.model.value},
                      {"version", order.item.version.value},
                      {"bytes", order.bytes.value}};
    if (!order.item.adapter.empty()) {
        body["adapter"] = order.item.adapter.value;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/engine/v1/orders";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = json::serialize(body);
    return request;
}

OrderAnswer parseOrderAnswer(unsigned status, std::string_view body)
{
    if (status >= FirstServerError) {
        return OrderUnanswered{};
    }
    json::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return OrderMalformed{};
    }
    if (status == Ok && value.get_object().contains("accepted")) {
        return OrderAccepted{};
    }
    return status == Conflict ? parseRefusal(value.get_object()) : OrderAnswer(OrderMalformed{});
}

} // namespace Hemlockhill
