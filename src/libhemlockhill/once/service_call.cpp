// Parsing of requests to plain services.
#include "hemlockhill/service_call.h"

#include "hemlockhill/exchange_name.h"
#include "hemlockhill/refusal_answer.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace Hemlockhill
{

namespace
{

constexpr std::string_view PathPrefix = "/services/";
constexpr std::size_t KeyLengthLimit = 255;

bool isOneOf(std::string_view name, const auto &names)
{
    return std::any_of(names.begin(), names.end(), [name](const auto &other) { return boost::beast::iequals(name, other); });
}

Refusal refusalFor(Reason reason, std::string detail)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.detail = std::move(detail);
    return refusal;
}

} // namespace

std::optional<ServiceTarget> parseServiceTarget(std::string_view target)
{
    if (!target.starts_with(PathPrefix)) {
        return std::nullopt;
    }
    const std::string_view named = target.substr(PathPrefix.size());
    const std::size_t end = std::min(named.find_first_of("/?"), named.size());
    if (end == 0) {
        return std::nullopt;
    }
    const std::string rest(named.substr(end));
    return ServiceTarget{ServiceId{std::string(named.substr(0, end))}, rest.starts_with('/') ? rest : "/" + rest};
}

std::vector<HttpHeader> forwardedServiceHeaders(const std::vector<HttpHeader> &headers)
{
    static constexpr std::array<std::string_view, 5> OwnHeaders{"Expect", "Host", "Hemlockhill-Request", ExchangeNameHeader, RanHeader};
    std::vector<HttpHeader> kept = endToEndHeaders(headers);
    std::erase_if(kept, [](const HttpHeader &header) { return isOneOf(header.name, OwnHeaders); });
    return kept;
}

bool isSafeMethod(std::string_view method)
{
    return method == "GET" || method == "OPTIONS";
}

bool isServiceMethod(std::string_view method)
{
    static constexpr std::array<std::string_view, 6> Methods{"GET", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"};
    return std::find(Methods.begin(), Methods.end(), method) != Methods.end();
}

Ran ranBefore(const HttpRequest &request)
{
    return request.header("Idempotency-Key").empty() ? Ran::No : Ran::Unknown;
}

std::variant<Repeatable, OnceOnly, Refusal> classifyCall(const HttpRequest &request, const Service &service)
{
    if (isSafeMethod(request.method)) {
        return Repeatable{};
    }
    std::string key(request.header("Idempotency-Key"));
    boost::algorithm::trim(key);
    boost::algorithm::trim_if(key, boost::algorithm::is_any_of("\""));
    if (key.size() > KeyLengthLimit) {
        return refusalFor(Reason::MalformedRequest, "the Idempotency-Key is longer than " + std::to_string(KeyLengthLimit) + " bytes");
    }
    if (!key.empty()) {
        return OnceOnly{IdempotencyKey{std::move(key)}, CallerScope{std::string(request.header("Hemlockhill-Caller"))}};
    }
    if (service.onceOnly) {
        return refusalFor(Reason::KeyRequired,
                          "calls of service " + service.id.value + " require an Idempotency-Key, preferably a UUID version 7");
    }
    return Repeatable{};
}

} // namespace Hemlockhill
