// Hashes of the ids of requests.
#include "net/carried_requests.h"

#include <algorithm>
#include <functional>
#include <string>

namespace Hemlockhill
{

namespace
{

std::size_t hashOf(const RequestId &request)
{
    return std::hash<std::string>()(request.value);
}

} // namespace

void CarriedRequests::add(const RequestId &request)
{
    if (!request.empty()) {
        m_hashes.push_back(hashOf(request));
    }
}

bool CarriedRequests::contains(const RequestId &request) const
{
    return !request.empty() && std::find(m_hashes.begin(), m_hashes.end(), hashOf(request)) != m_hashes.end();
}

} // namespace Hemlockhill
