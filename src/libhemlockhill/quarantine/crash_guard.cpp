// Passes what happens to a request on to the suspects among requests and among parts of prompts.
#include "hemlockhill/crash_guard.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <string>

namespace Hemlockhill
{

CrashGuard::CrashGuard(CrashGuardLimits limits)
    : m_requests(CrashSuspectSubject::Request, limits.requests)
    , m_promptParts(CrashSuspectSubject::PromptPart, limits.promptParts)
{
}

void CrashGuard::onBrokenOff(const RoutedRequestHead &request, LossId loss, TimePoint sentAt, TimePoint now)
{
    const auto uncertainty = std::chrono::duration_cast<Duration>(now - sentAt);
    m_requests.onBrokenOff(request.fingerprint, loss, now, uncertainty);
    for (const Fingerprint part : request.promptParts) {
        m_promptParts.onBrokenOff(part, loss, now, uncertainty);
    }
    suspectAbandoned(m_abandonedRuns.takeLost(loss, now));
}

void CrashGuard::onCallerLeft(const RoutedRequestHead &request, LossId loss, TimePoint now)
{
    m_abandonedRuns.add(request, loss, now);
}

// The endpoint was lost at an unknown time after the callers had left. The time at which they left is the earliest, so that an answer to a
// later request disproves the loss.
void CrashGuard::suspectAbandoned(const std::vector<AbandonedRun> &runs)
{
    for (const AbandonedRun &run : runs) {
        m_requests.onBrokenOff(run.fingerprint, run.loss, run.abandonedAt);
        for (const Fingerprint part : run.promptParts) {
            m_promptParts.onBrokenOff(part, run.loss, run.abandonedAt);
        }
    }
}

void CrashGuard::onAnswered(const RoutedRequestHead &request)
{
    m_requests.onAnswered(request.fingerprint);
    for (const Fingerprint part : request.promptParts) {
        m_promptParts.onAnswered(part);
    }
}

void CrashGuard::onProgress(const RoutedRequestHead &request)
{
    for (const Fingerprint part : request.promptParts) {
        m_promptParts.onAnswered(part);
    }
}

void CrashGuard::onArrival(const RoutedRequestHead &request)
{
    if (!request.promptParts.empty()) {
        m_promptParts.onArrival(request.promptParts);
    }
}

void CrashGuard::setNodes(const VmId &self, const std::vector<VmId> &nodes)
{
    m_self = self;
    m_nodes = nodes;
}

void CrashGuard::onEndpointAnswered(const EndpointAnswer &answer, TimePoint now)
{
    m_requests.onEndpointAnswered(answer, now);
    m_promptParts.onEndpointAnswered(answer, now);
    m_abandonedRuns.onEndpointAnswered(answer, now);
}

void CrashGuard::onListed(const ListedIncarnations &listed, TimePoint now)
{
    m_requests.onListed(listed, now);
    m_promptParts.onListed(listed, now);
    suspectAbandoned(m_abandonedRuns.takeUnlisted(listed, now));
}

void CrashGuard::onNotice(const CrashSuspectNotice &notice, TimePoint now)
{
    CrashSuspects &suspects = notice.subject == CrashSuspectSubject::Request ? m_requests : m_promptParts;
    suspects.onNotice(notice, now);
    for (const CrashSuspect &suspect : notice.suspects) {
        for (const CrashLoss &known : suspect.losses) {
            suspectAbandoned(m_abandonedRuns.takeLost(known.loss, now));
        }
    }
}

std::optional<CrashRefusal> CrashGuard::refusal(const RoutedRequestHead &request, TimePoint now) const
{
    if (const auto refusedFor = m_requests.refusedFor(request.fingerprint, now)) {
        return CrashRefusal{CrashSuspectSubject::Request, *refusedFor};
    }
    std::optional<CrashRefusal> refusal;
    for (const Fingerprint part : request.promptParts) {
        const auto refusedFor = m_promptParts.refusedFor(part, now);
        if (refusedFor && (!refusal || refusal->retryAfter < *refusedFor)) {
            refusal = CrashRefusal{CrashSuspectSubject::PromptPart, *refusedFor};
        }
    }
    return refusal;
}

std::vector<Fingerprint> CrashGuard::refusedParts(const RoutedRequestHead &request, TimePoint now) const
{
    std::vector<Fingerprint> refused;
    std::copy_if(request.promptParts.begin(), request.promptParts.end(), std::back_inserter(refused), [&](Fingerprint part) {
        return m_promptParts.refusedFor(part, now).has_value();
    });
    return refused;
}

std::size_t CrashGuard::trialRank(Fingerprint part) const
{
    const auto order = [part](const VmId &vm) { return std::hash<std::string>()(vm.value + std::to_string(part.value)); };
    const std::size_t own = order(m_self);
    return static_cast<std::size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [&](const VmId &vm) { return vm != m_self && order(vm) < own; }));
}

bool CrashGuard::isTrialDue(const RoutedRequestHead &request, TimePoint now) const
{
    const std::vector<Fingerprint> refused = refusedParts(request, now);
    if (refused.empty() || m_requests.refusedFor(request.fingerprint, now)) {
        return false;
    }
    const TrialOrder order{trialRank(refused.front()), refused.size() - 1};
    return std::all_of(refused.begin(), refused.end(), [&](Fingerprint part) { return m_promptParts.isTrialDue(part, order, now); });
}

void CrashGuard::onTrial(const RoutedRequestHead &request, LossId loss, TimePoint now)
{
    for (const Fingerprint part : refusedParts(request, now)) {
        m_promptParts.onTrial({part, loss}, now);
    }
}

std::vector<CrashSuspectNotice> CrashGuard::takeNotices(TimePoint now)
{
    std::vector<CrashSuspectNotice> notices = m_requests.takeNotices(now);
    std::vector<CrashSuspectNotice> more = m_promptParts.takeNotices(now);
    std::move(more.begin(), more.end(), std::back_inserter(notices));
    return notices;
}

std::vector<CrashSuspectNotice> CrashGuard::refusals(TimePoint now) const
{
    std::vector<CrashSuspectNotice> notices{m_requests.refusals(now), m_promptParts.refusals(now)};
    std::erase_if(notices, [](const CrashSuspectNotice &notice) { return notice.empty(); });
    return notices;
}

void CrashGuard::dropExpired(TimePoint now)
{
    m_requests.dropExpired(now);
    m_promptParts.dropExpired(now);
}

} // namespace Hemlockhill
