// Parsing of requests to plain services: the routed path, the headers to forward, and whether the call is at-most-once.
#pragma once

#include "hemlockhill/http.h"
#include "hemlockhill/once_register.h"
#include "hemlockhill/world.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// The result of parsing a path of the form "/services/NAME/rest?query": the service NAME and the target "/rest?query" at its endpoints.
struct ServiceTarget {
    ServiceId service;
    std::string target;

    bool operator==(const ServiceTarget &) const = default;
};

// Parses a request target. Empty when it does not start with "/services/" or names no service.
std::optional<ServiceTarget> parseServiceTarget(std::string_view target);

// Returns the headers to forward: the end-to-end headers without those that this node sets or consumes.
std::vector<HttpHeader> forwardedServiceHeaders(const std::vector<HttpHeader> &headers);

// Whether the method is safe in the sense of HTTP (GET, OPTIONS), so that a call may be sent again after it may have run.
bool isSafeMethod(std::string_view method);
// Whether calls with this method are forwarded to plain services.
bool isServiceMethod(std::string_view method);

// What is known of a call before anything has been done for it. A call with an idempotency key may have run when it was sent earlier, which
// only the register of keys knows.
Ran ranBefore(const HttpRequest &request);

// A call that runs at most once per service, caller scope and idempotency key.
struct OnceOnly {
    IdempotencyKey key;
    CallerScope scope;

    bool operator==(const OnceOnly &) const = default;
};

// A call without an at-most-once guarantee.
struct Repeatable {
    bool operator==(const Repeatable &) const = default;
};

// Decides from method, headers and service settings whether a call is at-most-once. Returns a Refusal when the service is declared
// once-only and the key is missing, or when the key is longer than 255 bytes.
std::variant<Repeatable, OnceOnly, Refusal> classifyCall(const HttpRequest &request, const Service &service);

} // namespace Hemlockhill
