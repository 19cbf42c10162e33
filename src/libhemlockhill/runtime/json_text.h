// Parsing of JSON written by this program, such as log entries and snapshots.
#pragma once

#include "hemlockhill/failure.h"

#include <boost/json/object.hpp>
#include <boost/system/system_error.hpp>

#include <stdexcept>
#include <string_view>

namespace Hemlockhill
{

// Accepts strings that are not valid UTF-8, since stored responses of services may not be. Throws DecodeError if the text is not a JSON
// object.
boost::json::object parseJsonObject(std::string_view text);

// Calls the reader and converts the exceptions of the JSON library to DecodeError.
template<typename Reader>
auto decodingJson(const Reader &reader)
{
    try {
        return reader();
    } catch (const boost::system::system_error &error) {
        throw DecodeError(error.what());
    } catch (const std::out_of_range &error) {
        throw DecodeError(error.what());
    }
}

} // namespace Hemlockhill
