// Parsing of JSON written by this program.
#include "json_text.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace Hemlockhill
{

boost::json::object parseJsonObject(std::string_view text)
{
    boost::json::parse_options options;
    options.allow_invalid_utf8 = true;
    boost::json::error_code error;
    boost::json::value value = boost::json::parse(text, error, {}, options);
    if (error || !value.is_object()) {
        throw DecodeError("not a JSON object");
    }
    return std::move(value.get_object());
}

} // namespace Hemlockhill
