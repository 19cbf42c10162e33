// Parsing of the bodies of endpoints' responses.
#pragma once

#include <string>

namespace Hemlockhill
{

// Content of an error response.
struct EndpointError {
    // True when the endpoint reports that the request did not run.
    bool notRun = false;
    std::string message;
};

// Parses the body of an error response. Members that are missing or malformed keep their defaults.
EndpointError parseEndpointError(const std::string &body);

// Returns true when the body is exactly one JSON value.
bool isJson(const std::string &body);

} // namespace Hemlockhill
