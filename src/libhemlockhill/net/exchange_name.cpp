// Generation and matching of the names of exchanges.
#include "hemlockhill/exchange_name.h"

#include <boost/beast/core/string.hpp>

#include <random>

namespace Hemlockhill
{

ExchangeNames::ExchangeNames()
{
    std::random_device device;
    const std::uint64_t run = (std::uint64_t{device()} << 32U) | device();
    m_prefix = std::to_string(run) + "-";
}

ExchangeName ExchangeNames::next()
{
    return ExchangeName{m_prefix + std::to_string(++m_last)};
}

void setExchangeName(HttpRequest &request, const ExchangeName &name)
{
    std::erase_if(request.headers, [](const HttpHeader &header) { return boost::beast::iequals(header.name, ExchangeNameHeader); });
    request.headers.push_back({std::string(ExchangeNameHeader), name.value});
}

NameEcho nameEchoOf(const ResponseHead &head, const ExchangeName &name)
{
    NameEcho echo = NameEcho::Absent;
    for (const HttpHeader &header : head.headers) {
        if (!boost::beast::iequals(header.name, ExchangeNameHeader)) {
            continue;
        }
        if (header.value != name.value) {
            return NameEcho::Other;
        }
        echo = NameEcho::Own;
    }
    return echo;
}

ResponseMatch matchResponse(const ResponseHead &head, const ExchangeName &name)
{
    switch (nameEchoOf(head, name)) {
    case NameEcho::Own:
        return ResponseMatch::Own;
    case NameEcho::Other:
        return ResponseMatch::Stray;
    case NameEcho::Absent:
        break;
    }
    return head.position.isOnly() ? ResponseMatch::OwnUnnamed : ResponseMatch::Stray;
}

} // namespace Hemlockhill
