// Token bucket and merging of dispatch notices.
#include "hemlockhill/dispatch_notice_pacer.h"

#include <algorithm>
#include <utility>

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

void DispatchNoticePacer::add(const DispatchNotice &notice, const std::vector<VmId> &nodes)
{
    const auto [found, isNew] = m_pending.try_emplace(notice.endpoint, AddressedNotice{notice, nodes});
    if (isNew) {
        m_order.push_back(notice.endpoint);
        return;
    }
    found->second.nodes = nodes;
    DispatchNotice &merged = found->second.notice;
    merged.prompt += notice.prompt;
    merged.inFlight = notice.inFlight;
    merged.tokens = notice.tokens;
    merged.rejected = merged.rejected || notice.rejected;
}

std::vector<AddressedNotice> DispatchNoticePacer::take(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
    m_allowance = std::min(m_limit.value * Burst.count(), m_allowance + m_limit.value * elapsed);
    m_filledAt = now;
    std::vector<AddressedNotice> due;
    // The allowance may be overdrawn by one notice, so that any limit lets some pass.
    while (!m_order.empty() && (m_limit.value == 0 || m_allowance > 0)) {
        const auto next = m_pending.find(m_order.front());
        m_order.pop_front();
        m_allowance -= NoticeBytes * static_cast<double>(next->second.nodes.size());
        due.push_back(std::move(next->second));
        m_pending.erase(next);
    }
    return due;
}

} // namespace Hemlockhill
