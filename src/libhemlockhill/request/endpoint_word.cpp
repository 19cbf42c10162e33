// Parsing of endpoints' error responses.
#include "endpoint_word.h"

#include "hemlockhill/failure.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace Hemlockhill
{

EndpointWord parseEndpointWord(const std::string &body)
{
    EndpointWord word;
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(body, error);
    if (error || !value.is_object()) {
        return word;
    }
    const boost::json::value *ran = value.get_object().if_contains("ran");
    word.notRun = ran != nullptr && ran->is_string() && ran->get_string() == toText(Ran::No);
    const boost::json::value *text = value.get_object().if_contains("error");
    if (text != nullptr && text->is_string()) {
        word.error = std::string(text->get_string());
    }
    return word;
}

bool isJson(const std::string &body)
{
    boost::json::error_code error;
    boost::json::parse(body, error);
    return !error;
}

} // namespace Hemlockhill
