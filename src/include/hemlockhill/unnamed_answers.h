// Remembers endpoints that have lately answered a request with a response that names none. On a kept connection such a response cannot be
// told from one that belongs to an earlier request, so the request would wait for its answer until its deadline. Deterministic, without
// I/O.
#pragma once

#include "hemlockhill/endpoint_directory.h"

#include <map>

namespace Hemlockhill
{

class UnnamedAnswers
{
public:
    // How long after the last such answer each request to the endpoint gets a connection of its own.
    static constexpr Duration Period = std::chrono::seconds(10);

    // An endpoint has answered a request without naming it, or has sent nothing but responses that name none.
    void onUnnamed(const EndpointId &endpoint, TimePoint now) { m_expectedUntil[endpoint] = now + Period; }
    void onDirectory(const EndpointsById &endpoints);
    // Whether the endpoint may answer the next request without naming it.
    bool isExpected(const EndpointId &endpoint, TimePoint now) const;

private:
    std::map<EndpointId, TimePoint> m_expectedUntil;
};

} // namespace Hemlockhill
