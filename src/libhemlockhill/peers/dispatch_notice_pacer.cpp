// Token bucket and merging of dispatch notices.
#include "hemlockhill/dispatch_notice_pacer.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Size of one notice on the link, including the headers of UDP and IP.
constexpr double NoticeBytes = 130;
// Time within which the allowance fills up from empty.
constexpr std::chrono::duration<double> Burst(0.25);

} // namespace

DispatchNoticePacer::DispatchNoticePacer(Bandwidth limit)
    : m_limit(limit)
    , m_allowance(limit.value * Burst.count())
{
}

void DispatchNoticePacer::add(const DispatchNotice &notice)
{
    const auto [found, isNew] = m_pending.try_emplace(notice.endpoint, notice);
    if (isNew) {
        m_order.push_back(notice.endpoint);
        return;
    }
    DispatchNotice &merged = found->second;
    merged.prompt += notice.prompt;
    merged.inFlight = notice.inFlight;
    merged.rejected = merged.rejected || notice.rejected;
}

std::vector<DispatchNotice> DispatchNoticePacer::take(std::size_t nodes, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
    m_allowance = std::min(m_limit.value * Burst.count(), m_allowance + m_limit.value * elapsed);
    m_filledAt = now;
    const double cost = NoticeBytes * static_cast<double>(nodes);
    std::vector<DispatchNotice> due;
    // The allowance may be overdrawn by one notice, so that any limit lets some pass.
    while (!m_order.empty() && (m_limit.value == 0 || m_allowance > 0)) {
        const auto next = m_pending.find(m_order.front());
        m_order.pop_front();
        due.push_back(next->second);
        m_pending.erase(next);
        m_allowance -= cost;
    }
    return due;
}

} // namespace Hemlockhill
