// Suspects of one node: losses, answers, refusals, and the notices about them.
#include "hemlockhill/crash_suspects.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Removes up to `count` elements from the end of the list and returns them.
template<typename Element>
std::vector<Element> takeLast(std::vector<Element> &list, std::size_t count)
{
    const auto first = list.end() - static_cast<std::ptrdiff_t>(std::min(count, list.size()));
    std::vector<Element> taken(first, list.end());
    list.erase(first, list.end());
    return taken;
}

} // namespace

void RecentFingerprints::insert(Fingerprint fingerprint)
{
    m_newer.insert(fingerprint.value);
    if (m_newer.size() >= m_limit / 2) {
        m_older = std::exchange(m_newer, {});
    }
}

std::string_view toText(CrashSuspectSubject subject)
{
    return subject == CrashSuspectSubject::Request ? "request" : "prompt part";
}

CrashSuspects::CrashSuspects(CrashSuspectSubject subject, CrashSuspectLimits limits)
    : m_subject(subject)
    , m_limits(limits)
    , m_everAnswered(limits.answered)
{
}

void CrashSuspects::onBrokenOff(Fingerprint fingerprint, LossId loss, TimePoint now, Duration uncertainty)
{
    if (addLoss(fingerprint, loss, now, uncertainty)) {
        m_changed.insert(fingerprint);
        reportIfAnswered(fingerprint);
    }
}

void CrashSuspects::onAnswered(Fingerprint fingerprint)
{
    m_everAnswered.insert(fingerprint);
    if (m_suspects.erase(fingerprint) > 0) {
        m_changed.erase(fingerprint);
        m_answered.push_back(fingerprint);
    }
}

void CrashSuspects::onArrival(const std::vector<Fingerprint> &fingerprints)
{
    ++m_arrivals;
    for (const Fingerprint fingerprint : fingerprints) {
        const auto found = m_suspects.find(fingerprint);
        if (found != m_suspects.end()) {
            ++found->second.arrivals;
        }
    }
}

void CrashSuspects::onEndpointAnswered(const EndpointAnswer &answer, TimePoint now)
{
    const auto lost = m_lossTimes.find(answer.loss);
    if (lost == m_lossTimes.end() || answer.sentAt <= lost->second.latest) {
        return;
    }
    if (answer.connectedAt && *answer.connectedAt < lost->second.earliest) {
        disprove(answer.loss);
        m_disproved.push_back(answer.loss);
    } else if (!lost->second.answeredAt) {
        lost->second.answeredAt = now;
    }
}

void CrashSuspects::onListed(const ListedIncarnations &listed, TimePoint now)
{
    std::vector<LossId> running;
    for (const auto &[loss, time] : m_lossTimes) {
        if (!listed.losses.contains(loss)) {
            continue;
        }
        // A later incarnation that answered before would be listed by now.
        const bool isSame = time.answeredAt && listed.listedAt >= *time.answeredAt + m_limits.listLag;
        if (isSame || now - time.latest >= m_limits.lossConfirmation) {
            running.push_back(loss);
        }
        if (isSame) {
            m_disproved.push_back(loss);
        }
    }
    for (const LossId loss : running) {
        disprove(loss);
    }
}

void CrashSuspects::onNotice(const CrashSuspectNotice &notice, TimePoint now)
{
    for (const CrashSuspect &suspect : notice.suspects) {
        for (const CrashLoss &known : suspect.losses) {
            if (addLoss(suspect.fingerprint, known.loss, now - known.age, known.uncertainty)) {
                reportIfAnswered(suspect.fingerprint);
            }
        }
    }
    for (const Fingerprint fingerprint : notice.answered) {
        m_suspects.erase(fingerprint);
        m_everAnswered.insert(fingerprint);
    }
    for (const Fingerprint fingerprint : notice.answeredBefore) {
        m_everAnswered.insert(fingerprint);
    }
    for (const LossId loss : notice.disproved) {
        disprove(loss);
    }
    for (const CrashTrial &trial : notice.tried) {
        recordTrial(trial, false, now);
    }
}

bool CrashSuspects::addLoss(Fingerprint fingerprint, LossId loss, TimePoint lostAt, Duration uncertainty)
{
    evictIfFull();
    const auto [entry, isNew] = m_suspects.try_emplace(fingerprint);
    Suspect &suspect = entry->second;
    if (isNew) {
        suspect.earlierArrivals = m_arrivals;
    }
    if (suspect.losses.contains(loss)) {
        return false;
    }
    if (lostAt >= suspect.triedAt && suspect.trialLosses.erase(loss) > 0) {
        ++suspect.lostTrials;
    }
    if (coincides(suspect, lostAt)) {
        return false;
    }
    suspect.lastLossAt = std::max(suspect.lastLossAt, lostAt);
    if (suspect.losses.size() < m_limits.lossesOfSuspect) {
        suspect.losses.emplace(loss, lostAt);
        recordTime(loss, lostAt, uncertainty);
    }
    return true;
}

void CrashSuspects::recordTime(LossId loss, TimePoint lostAt, Duration uncertainty)
{
    const TimePoint earliest = lostAt - std::max(Duration(0), uncertainty);
    const auto [known, isNew] = m_lossTimes.try_emplace(loss, LossTime{earliest, lostAt, std::nullopt});
    if (isNew) {
        return;
    }
    known->second.earliest = std::min(known->second.earliest, earliest);
    if (lostAt > known->second.latest) {
        known->second.latest = lostAt;
        known->second.answeredAt.reset();
    }
}

bool CrashSuspects::coincides(const Suspect &suspect, TimePoint lostAt) const
{
    return std::any_of(suspect.losses.begin(), suspect.losses.end(), [&](const auto &known) {
        return std::max(known.second, lostAt) - std::min(known.second, lostAt) < m_limits.coincidence;
    });
}

void CrashSuspects::reportIfAnswered(Fingerprint fingerprint)
{
    const bool differs = m_limits.answeredRefusalThreshold > m_limits.refusalThreshold;
    const bool isNearRefusal = m_suspects.at(fingerprint).losses.size() + 1 >= m_limits.refusalThreshold;
    if (differs && isNearRefusal && m_everAnswered.contains(fingerprint)) {
        m_answeredBefore.push_back(fingerprint);
    }
}

std::size_t CrashSuspects::threshold(Fingerprint fingerprint) const
{
    return m_everAnswered.contains(fingerprint) ? m_limits.answeredRefusalThreshold : m_limits.refusalThreshold;
}

// Evicts the suspect with the fewest losses, among these the oldest.
void CrashSuspects::evictIfFull()
{
    if (m_suspects.size() < m_limits.suspects) {
        return;
    }
    const auto least = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second.losses.size(), left.second.lastLossAt)
               < std::pair(right.second.losses.size(), right.second.lastLossAt);
    });
    m_suspects.erase(least);
}

void CrashSuspects::disprove(LossId loss)
{
    m_lossTimes.erase(loss);
    for (auto &[fingerprint, suspect] : m_suspects) {
        suspect.losses.erase(loss);
    }
    std::erase_if(m_suspects, [](const auto &entry) { return entry.second.losses.empty(); });
}

Duration CrashSuspects::refusalPeriod(Fingerprint fingerprint, const Suspect &suspect) const
{
    Duration period = m_everAnswered.contains(fingerprint) ? m_limits.answeredRefusalPeriod : m_limits.suspicionPeriod;
    for (std::size_t losses = threshold(fingerprint); losses < suspect.losses.size() && period < m_limits.maxRefusalPeriod; ++losses) {
        period *= 2;
    }
    return std::min(period, m_limits.maxRefusalPeriod);
}

// A suspect that has been refused is remembered for longer than its refusal, so that its next loss doubles the time.
Duration CrashSuspects::retention(Fingerprint fingerprint, const Suspect &suspect) const
{
    return suspect.losses.size() < threshold(fingerprint) ? m_limits.suspicionPeriod
                                                          : std::max(m_limits.suspicionPeriod, 2 * refusalPeriod(fingerprint, suspect));
}

std::optional<Duration> CrashSuspects::refusedFor(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || found->second.losses.size() < threshold(fingerprint)) {
        return std::nullopt;
    }
    const TimePoint end = found->second.lastLossAt + refusalPeriod(fingerprint, found->second);
    return now < end ? std::optional<Duration>(end - now) : std::nullopt;
}

bool CrashSuspects::isCommon(const Suspect &suspect) const
{
    const auto all = static_cast<double>(m_arrivals - suspect.earlierArrivals);
    return suspect.arrivals >= m_limits.commonArrivals && static_cast<double>(suspect.arrivals) >= m_limits.commonRatio * all;
}

bool CrashSuspects::isTrialDue(Fingerprint fingerprint, const TrialOrder &order, TimePoint now) const
{
    const auto found = m_suspects.find(fingerprint);
    if (m_limits.trialDelay == Duration(0) || found == m_suspects.end() || !isCommon(found->second)) {
        return false;
    }
    const Suspect &suspect = found->second;
    Duration delay = m_limits.trialDelay;
    for (unsigned trial = 0; trial < suspect.lostTrials && delay < m_limits.maxRefusalPeriod; ++trial) {
        delay *= m_limits.trialBackoff;
    }
    delay += m_limits.trialSlot * order.nodesBefore + m_limits.trialPrecedence * order.otherSuspects;
    if (suspect.isOwnTrial) {
        // This node may reach no endpoint, so it leaves the next trial to the others.
        delay += m_limits.trialDelay;
    }
    return now >= std::max(suspect.lastLossAt, suspect.triedAt) + delay;
}

void CrashSuspects::onTrial(const CrashTrial &trial, TimePoint now)
{
    recordTrial(trial, true, now);
    m_tried.push_back(trial);
}

void CrashSuspects::recordTrial(const CrashTrial &trial, bool isOwn, TimePoint now)
{
    const auto found = m_suspects.find(trial.fingerprint);
    if (found == m_suspects.end()) {
        return;
    }
    found->second.triedAt = now;
    found->second.isOwnTrial = isOwn;
    if (found->second.trialLosses.size() < m_limits.lossesOfSuspect) {
        found->second.trialLosses.insert(trial.loss);
    }
}

CrashSuspect CrashSuspects::describe(Fingerprint fingerprint, const Suspect &suspect, TimePoint now) const
{
    CrashSuspect described;
    described.fingerprint = fingerprint;
    for (const auto &[loss, lostAt] : suspect.losses) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - lostAt);
        const auto time = m_lossTimes.find(loss);
        const Duration uncertainty = time == m_lossTimes.end() ? Duration(0) : lostAt - std::min(lostAt, time->second.earliest);
        described.losses.push_back(
            {loss, std::max(age, std::chrono::milliseconds(0)), std::chrono::ceil<std::chrono::milliseconds>(uncertainty)});
    }
    return described;
}

std::vector<CrashSuspectNotice> CrashSuspects::takeNotices(TimePoint now)
{
    std::vector<CrashSuspect> suspects;
    for (const Fingerprint fingerprint : std::exchange(m_changed, {})) {
        const auto found = m_suspects.find(fingerprint);
        if (found != m_suspects.end()) {
            suspects.push_back(describe(fingerprint, found->second, now));
        }
    }
    std::vector<CrashSuspectNotice> notices;
    while (!suspects.empty() || !m_answered.empty() || !m_disproved.empty() || !m_answeredBefore.empty() || !m_tried.empty()) {
        CrashSuspectNotice notice;
        notice.subject = m_subject;
        notice.suspects = takeLast(suspects, m_limits.noticeEntries);
        notice.answered = takeLast(m_answered, m_limits.noticeEntries);
        notice.disproved = takeLast(m_disproved, m_limits.noticeEntries);
        notice.answeredBefore = takeLast(m_answeredBefore, m_limits.noticeEntries);
        notice.tried = takeLast(m_tried, m_limits.noticeEntries);
        notices.push_back(std::move(notice));
    }
    return notices;
}

CrashSuspectNotice CrashSuspects::refusals(TimePoint now) const
{
    std::vector<std::pair<TimePoint, Fingerprint>> refused;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (refusedFor(fingerprint, now)) {
            refused.emplace_back(suspect.lastLossAt, fingerprint);
        }
    }
    std::sort(refused.begin(), refused.end(), std::greater<>());
    refused.resize(std::min(refused.size(), m_limits.noticeEntries));
    CrashSuspectNotice notice;
    notice.subject = m_subject;
    for (const auto &[lastLossAt, fingerprint] : refused) {
        notice.suspects.push_back(describe(fingerprint, m_suspects.at(fingerprint), now));
    }
    return notice;
}

void CrashSuspects::dropExpired(TimePoint now)
{
    std::erase_if(m_suspects, [&](const auto &entry) { return now - entry.second.lastLossAt >= retention(entry.first, entry.second); });
    std::set<LossId> known;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        for (const auto &[loss, lostAt] : suspect.losses) {
            known.insert(loss);
        }
    }
    std::erase_if(m_lossTimes, [&known](const auto &entry) { return !known.contains(entry.first); });
}

} // namespace Hemlockhill
