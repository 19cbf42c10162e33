// Header lookup, request path and body framing.
#include "hemlockhill/http.h"

#include <boost/beast/core/string.hpp>

namespace Hemlockhill
{

std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (boost::beast::iequals(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

BodyFraming bodyFraming(const std::vector<HttpHeader> &headers)
{
    if (!findHeader(headers, "Transfer-Encoding").empty()) {
        return BodyFraming::Chunked;
    }
    return findHeader(headers, "Content-Length").empty() ? BodyFraming::UntilClose : BodyFraming::Length;
}

std::string_view toText(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::UntilClose:
        break;
    }
    return "until_close";
}

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

} // namespace Hemlockhill
