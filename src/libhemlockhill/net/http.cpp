// Header lookup, request path and body framing.
#include "hemlockhill/http.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace Hemlockhill
{

namespace
{

constexpr std::array<std::string_view, 10> HopByHopHeaders{"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Connection",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade",
                                                           "Content-Length"};

// Headers listed in the Connection header apply to a single connection as well.
bool isListedInConnectionHeader(std::string_view name, std::string_view connection)
{
    while (!connection.empty()) {
        const std::size_t comma = std::min(connection.find(','), connection.size());
        std::string_view token = connection.substr(0, comma);
        connection.remove_prefix(std::min(comma + 1, connection.size()));
        while (token.starts_with(' ')) {
            token.remove_prefix(1);
        }
        while (token.ends_with(' ')) {
            token.remove_suffix(1);
        }
        if (!token.empty() && boost::beast::iequals(token, name)) {
            return true;
        }
    }
    return false;
}

bool isHopByHop(std::string_view name, std::string_view connection)
{
    const bool isKnown = std::any_of(
        HopByHopHeaders.begin(), HopByHopHeaders.end(), [name](std::string_view other) { return boost::beast::iequals(name, other); });
    return isKnown || isListedInConnectionHeader(name, connection);
}

} // namespace

std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader> &headers)
{
    const std::string_view connection = findHeader(headers, "Connection");
    std::vector<HttpHeader> kept;
    for (const HttpHeader &header : headers) {
        if (!isHopByHop(header.name, connection)) {
            kept.push_back(header);
        }
    }
    return kept;
}

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
