// Parsing of endpoints' error responses.
#include "endpoint_error.h"

#include "hemlockhill/failure.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace Hemlockhill
{

namespace
{

constexpr unsigned FirstRequestErrorStatus = 400;
constexpr unsigned FirstServerErrorStatus = 500;
constexpr unsigned StatusServiceUnavailable = 503;

// An engine may state that it did not run a request only with these statuses. Any other, such as 500, reports the failure of a run.
bool isRefusalStatus(unsigned status)
{
    return status == StatusServiceUnavailable || (status >= FirstRequestErrorStatus && status < FirstServerErrorStatus);
}

} // namespace

EndpointError parseEndpointError(unsigned status, const std::string &body)
{
    EndpointError result;
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(body, error);
    if (error || !value.is_object()) {
        return result;
    }
    const boost::json::value *ran = value.get_object().if_contains("ran");
    const bool statesNotRun = ran != nullptr && ran->is_string() && ran->get_string() == toText(Ran::No);
    result.notRun = statesNotRun && isRefusalStatus(status);
    const boost::json::value *text = value.get_object().if_contains("error");
    if (text != nullptr && text->is_string()) {
        result.message = std::string(text->get_string());
    }
    return result;
}

bool isJson(const std::string &body)
{
    boost::json::error_code error;
    boost::json::parse(body, error);
    return !error;
}

} // namespace Hemlockhill
