// Headers with which nodes mark requests that one forwards for another.
#include "hemlockhill/forwarded_request.h"

#include <boost/algorithm/string/predicate.hpp>

#include <charconv>
#include <string>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::string_view EndpointHeader = "Hemlockhill-Endpoint";
constexpr std::string_view TimeLeftHeader = "Hemlockhill-Time-Left-Ms";
constexpr std::string_view ResumeAfterHeader = "Hemlockhill-Resume-After";
constexpr std::string_view RepeatedHeader = "Hemlockhill-Repeated";
constexpr std::string_view FailureHeader = "Hemlockhill-Forwarding-Failure";
constexpr std::string_view AnsweredHeader = "Hemlockhill-Answered-Request";
constexpr std::string_view ReachedHeader = "Hemlockhill-May-Have-Reached";
constexpr unsigned StatusBadGateway = 502;

void removeHeader(std::vector<HttpHeader> &headers, std::string_view name)
{
    std::erase_if(headers, [name](const HttpHeader &header) { return boost::algorithm::iequals(header.name, name); });
}

// Returns the value of a header and removes all headers with this name.
std::string takeHeader(std::vector<HttpHeader> &headers, std::string_view name)
{
    std::string value(findHeader(headers, name));
    removeHeader(headers, name);
    return value;
}

} // namespace

void setForwardOptions(HttpRequest &request, const ForwardOptions &options)
{
    const auto timeLeftMs = std::chrono::duration_cast<std::chrono::milliseconds>(options.timeLeft).count();
    for (const std::string_view name : {EndpointHeader, TimeLeftHeader, ResumeAfterHeader, RepeatedHeader}) {
        removeHeader(request.headers, name);
    }
    request.headers.push_back({std::string(EndpointHeader), options.endpoint.value});
    request.headers.push_back({std::string(TimeLeftHeader), std::to_string(timeLeftMs)});
    if (!options.resumeAfter.empty()) {
        request.headers.push_back({std::string(ResumeAfterHeader), options.resumeAfter});
    }
    if (options.isRepeated) {
        request.headers.push_back({std::string(RepeatedHeader), "1"});
    }
}

ForwardOptions takeForwardOptions(HttpRequest &request)
{
    ForwardOptions options;
    options.endpoint = EndpointId{takeHeader(request.headers, EndpointHeader)};
    options.resumeAfter = takeHeader(request.headers, ResumeAfterHeader);
    options.isRepeated = !takeHeader(request.headers, RepeatedHeader).empty();
    const std::string timeLeft = takeHeader(request.headers, TimeLeftHeader);
    std::uint32_t milliseconds = 0;
    const auto [end, error] = std::from_chars(timeLeft.data(), timeLeft.data() + timeLeft.size(), milliseconds);
    if (error != std::errc() || end != timeLeft.data() + timeLeft.size() || options.endpoint.empty()) {
        throw DecodeError("forwarded request does not name its endpoint and the time left");
    }
    options.timeLeft = std::chrono::milliseconds(milliseconds);
    return options;
}

HttpResponse forwardingFailureAnswer(const ForwardingFailure &failure, const RequestId &request)
{
    HttpResponse response;
    response.status = StatusBadGateway;
    response.headers = {{std::string(FailureHeader), std::string(toText(failure.reason))},
                        {std::string(ReachedHeader), failure.mayHaveReached ? "yes" : "no"}};
    nameAnsweredRequest(response.headers, request);
    return response;
}

std::optional<ForwardingFailure> readForwardingFailure(const std::vector<HttpHeader> &headers)
{
    const std::string_view reason = findHeader(headers, FailureHeader);
    if (reason.empty()) {
        return std::nullopt;
    }
    // A reason that a later version has added is a failure too. Whatever does not say that nothing was sent may have been.
    return ForwardingFailure{parseReason(reason).value_or(Reason::EndpointLost), findHeader(headers, ReachedHeader) != "no"};
}

void nameAnsweredRequest(std::vector<HttpHeader> &headers, const RequestId &request)
{
    if (!request.empty()) {
        headers.push_back({std::string(AnsweredHeader), request.value});
    }
}

RequestId readAnsweredRequest(const std::vector<HttpHeader> &headers)
{
    return RequestId{std::string(findHeader(headers, AnsweredHeader))};
}

void removeForwardingHeaders(std::vector<HttpHeader> &headers)
{
    removeHeader(headers, AnsweredHeader);
    removeHeader(headers, FailureHeader);
    removeHeader(headers, ReachedHeader);
}

} // namespace Hemlockhill
