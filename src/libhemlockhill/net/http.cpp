// Header lookup and request path.
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

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

} // namespace Hemlockhill
