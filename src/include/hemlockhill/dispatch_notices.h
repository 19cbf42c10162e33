// Notices with which a node tells the others how many of its requests an endpoint runs, so that all nodes know the current load of the
// endpoints and limit the rate of prompts jointly.
#pragma once

#include "hemlockhill/world.h"

#include <cstdint>

namespace Hemlockhill
{

// The load that the sending node places on one endpoint, sent when a request is dispatched there and when one ends. Carries the total of
// the sender's requests, so a lost notice makes the load estimate inaccurate only until the next one.
struct DispatchNotice {
    EndpointId endpoint;
    // Prompt length of the request that was just sent; 0 when a request has ended.
    TokenCount prompt;
    // Requests of the sender that are in progress at the endpoint.
    std::uint32_t inFlight = 0;
    // Whether the request that has ended was rejected for want of room.
    bool rejected = false;
    // Tokens that these requests hold and will come to hold; 0 where the memory of endpoints is not bounded.
    TokenCount tokens = {};

    bool operator==(const DispatchNotice &) const = default;
};

} // namespace Hemlockhill
