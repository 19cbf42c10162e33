// Parsing of the bodies of endpoints' responses.
#pragma once

#include <string>

namespace Hemlockhill
{

// Content of an error response.
struct EndpointError {
    // True when the endpoint states that it did not run the request and will not, with a status that the engine API allows for this.
    bool notRun = false;
    std::string message;
};

// Parses an error response. Members that are missing or malformed keep their defaults.
EndpointError parseEndpointError(unsigned status, const std::string &body);

// Returns true when the body is exactly one JSON value.
bool isJson(const std::string &body);

} // namespace Hemlockhill
