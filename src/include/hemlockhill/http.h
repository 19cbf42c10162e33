// HTTP messages, independent of the HTTP library in use.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

struct HttpHeader {
    std::string name;
    std::string value;

    bool operator==(const HttpHeader &) const = default;
};

struct HttpRequest {
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    // The value of the first header with this name (case-insensitive), or an empty view.
    std::string_view header(std::string_view name) const;
    // The target without the query string.
    std::string_view path() const;
};

// A complete response, or the status and headers of a streamed one.
struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;
};

// The value of the first header with this name (case-insensitive), or an empty view.
std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name);

// Returns the headers without those that apply to a single connection (RFC 9110, section 7.6.1) or describe the framing of the body.
std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader> &headers);

// How the end of a response body is marked (RFC 9112, section 6.3).
enum class BodyFraming {
    Length,
    Chunked,
    // By the close of the connection. A truncated body looks the same as a complete one.
    UntilClose
};

// The framing that the headers of a response declare.
BodyFraming bodyFraming(const std::vector<HttpHeader> &headers);
std::string_view toText(BodyFraming framing);

} // namespace Hemlockhill
