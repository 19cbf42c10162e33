// Names of exchanges. An endpoint that echoes the name of an exchange in its response lets the response be told from strays.
#pragma once

#include "hemlockhill/http.h"
#include "hemlockhill/http_exchange.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Hemlockhill
{

using ExchangeName = Id<struct ExchangeNameTag>;

// Carries the name in a request and its response.
inline constexpr std::string_view ExchangeNameHeader = "Hemlockhill-Exchange";

// Generates names that no other exchange bears, of this process or another.
class ExchangeNames
{
public:
    ExchangeNames();

    ExchangeName next();

private:
    std::string m_prefix;
    std::uint64_t m_last = 0;
};

void setExchangeName(HttpRequest &request, const ExchangeName &name);

// What a response says about the name of the exchange that reads it.
enum class NameEcho { Absent, Own, Other };

NameEcho nameEchoOf(const ResponseHead &head, const ExchangeName &name);

// Tells the response to an exchange from strays. A response without a name is the awaited one only if no other request can have been sent
// over the connection: it is the first response there, and began after the request.
ResponseMatch matchResponse(const ResponseHead &head, const ExchangeName &name);

} // namespace Hemlockhill
