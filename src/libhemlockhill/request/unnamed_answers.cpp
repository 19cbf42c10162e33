// Endpoints that answer without naming the request.
#include "hemlockhill/unnamed_answers.h"

namespace Hemlockhill
{

void UnnamedAnswers::onDirectory(const EndpointsById &endpoints)
{
    std::erase_if(m_expectedUntil, [&](const auto &entry) { return !endpoints.contains(entry.first); });
}

bool UnnamedAnswers::isExpected(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_expectedUntil.find(endpoint);
    return found != m_expectedUntil.end() && now < found->second;
}

} // namespace Hemlockhill
