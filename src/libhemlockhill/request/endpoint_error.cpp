// Parsing of endpoints' error responses.
#include "endpoint_error.h"

#include "hemlockhill/failure.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace Hemlockhill
{

EndpointError parseEndpointError(const std::string &body)
{
    EndpointError result;
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(body, error);
    if (error || !value.is_object()) {
        return result;
    }
    const boost::json::value *ran = value.get_object().if_contains("ran");
    result.notRun = ran != nullptr && ran->is_string() && ran->get_string() == toText(Ran::No);
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
