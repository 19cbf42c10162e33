// Token buckets for the rates that endpoints declare.
#include "hemlockhill/endpoint_rate_limiter.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace Hemlockhill
{

namespace
{

// Weight of one request in the moving average of this node's part of the requests.
constexpr double ShareWeight = 0.1;
// An average part below this fraction of an equal one counts as that fraction, since it may grow.
constexpr double MinimumShareRatio = 0.2;
// Shorter delays are rounding errors, in seconds.
constexpr double DelayTolerance = 1e-6;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

EndpointRateLimiter::EndpointRateLimiter(EndpointRateLimits limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
{
}

void EndpointRateLimiter::setNodeCount(std::size_t nodes)
{
    m_nodes = std::max<std::size_t>(1, nodes);
}

double EndpointRateLimiter::capacity(const Bucket &bucket) const
{
    return std::max(1.0, bucket.rate.value * seconds(m_limits.burst)) + m_limits.claimRange;
}

double EndpointRateLimiter::levelAt(const Bucket &bucket, TimePoint now) const
{
    const double elapsed = seconds(std::chrono::duration_cast<Duration>(now - bucket.at));
    return std::min(capacity(bucket), bucket.level + elapsed * bucket.rate.value);
}

double EndpointRateLimiter::shareLevelAt(const Bucket &bucket, TimePoint now) const
{
    const double elapsed = seconds(std::chrono::duration_cast<Duration>(now - bucket.shareAt));
    return std::min(1.0, bucket.shareLevel + elapsed * bucket.rate.value / static_cast<double>(m_nodes));
}

bool EndpointRateLimiter::hearsOthers(const Bucket &bucket, TimePoint now) const
{
    const bool isUnanswered = bucket.unansweredSince && now - *bucket.unansweredSince > m_limits.replyTimeout;
    return m_nodes == 1 || (bucket.hasHeard && !isUnanswered);
}

double EndpointRateLimiter::drawClaim()
{
    return boost::random::uniform_real_distribution<double>(0, m_limits.claimRange)(m_random);
}

void EndpointRateLimiter::take(Bucket &bucket, double tokens, bool isOwn, TimePoint now)
{
    const double lowest = -bucket.rate.value * seconds(m_limits.maximumDebt);
    bucket.level = std::max(lowest, levelAt(bucket, now) - tokens);
    bucket.at = now;
    bucket.claim = drawClaim();
    bucket.ownShare += ((isOwn ? 1.0 : 0.0) - bucket.ownShare) * ShareWeight;
}

void EndpointRateLimiter::setRate(Bucket &bucket, RequestRate rate, TimePoint now)
{
    bucket.level = levelAt(bucket, now);
    bucket.at = now;
    bucket.shareLevel = shareLevelAt(bucket, now);
    bucket.shareAt = now;
    bucket.rate = rate;
}

bool EndpointRateLimiter::declare(
    const EndpointId &endpoint, const Incarnation &incarnation, RequestRate rate, TimePoint declaredAt, TimePoint now)
{
    const auto ended = m_ended.find(endpoint);
    if (ended != m_ended.end() && declaredAt <= ended->second) {
        return false;
    }
    rate = std::max(rate, m_limits.minimumRate);
    const auto [found, isNew] = m_buckets.try_emplace(endpoint);
    Bucket &bucket = found->second;
    bucket.incarnation = incarnation;
    if (isNew) {
        bucket.rate = rate;
        bucket.declaredAt = declaredAt;
        bucket.at = now;
        // Nodes that learn of the limit at the same moment take their shares at different times.
        bucket.shareLevel = boost::random::uniform_real_distribution<double>(0, 1)(m_random);
        bucket.shareAt = now;
        bucket.claim = drawClaim();
        bucket.count = CountId{m_random()};
        bucket.ownShare = 1.0 / static_cast<double>(m_nodes);
        return true;
    }
    const bool isNewest = declaredAt >= bucket.declaredAt;
    const bool isChanged = isNewest && rate != bucket.rate;
    if (isChanged) {
        setRate(bucket, rate, now);
    }
    bucket.declaredAt = std::max(bucket.declaredAt, declaredAt);
    return isChanged;
}

// Only the answer to a request that was sent after the limit had been declared shows its end: answers may overtake each other.
bool EndpointRateLimiter::end(const EndpointId &endpoint, TimePoint sentAt, TimePoint now)
{
    std::erase_if(m_ended, [&](const auto &entry) { return now - entry.second > m_limits.endRetention; });
    const auto found = m_buckets.find(endpoint);
    if (found == m_buckets.end() || sentAt < found->second.declaredAt) {
        return false;
    }
    m_buckets.erase(found);
    m_ended[endpoint] = sentAt;
    return true;
}

bool EndpointRateLimiter::onAnswer(
    const EndpointId &endpoint, const Incarnation &incarnation, const DeclaredCapacity &declared, TimePoint sentAt, TimePoint now)
{
    switch (declared.rateLimit) {
    case RateLimitStatement::Nothing:
        return false;
    case RateLimitStatement::Unlimited:
        return end(endpoint, sentAt, now);
    case RateLimitStatement::Limited:
        return declare(endpoint, incarnation, declared.rate, now, now);
    }
    return false;
}

void EndpointRateLimiter::countPeer(Bucket &bucket, const VmId &node, const RateLimitNotice &notice, TimePoint now)
{
    const auto [found, isFirst] = bucket.peers.try_emplace(node);
    PeerCount &known = found->second;
    if (isFirst || known.count != notice.count) {
        // What was dispatched before this node knew of the limit, or of the sender, is past. A reply announces no request.
        const bool announcesRequest = notice.wantsReply && notice.dispatched > 0;
        known = {notice.count, notice.dispatched};
        if (announcesRequest) {
            take(bucket, 1, false, now);
        }
        return;
    }
    if (notice.dispatched > known.dispatched) {
        take(bucket, static_cast<double>(notice.dispatched - known.dispatched), false, now);
        known.dispatched = notice.dispatched;
    }
}

bool EndpointRateLimiter::onNotice(const VmId &node, const RateLimitNotice &notice, TimePoint now)
{
    const TimePoint basedOn = now - notice.age;
    if (!notice.rate) {
        end(notice.endpoint, basedOn, now);
        return false;
    }
    declare(notice.endpoint, notice.incarnation, *notice.rate, basedOn, now);
    const auto found = m_buckets.find(notice.endpoint);
    if (found == m_buckets.end()) {
        return false;
    }
    Bucket &bucket = found->second;
    bucket.hasHeard = true;
    bucket.unansweredSince.reset();
    countPeer(bucket, node, notice, now);
    return notice.wantsReply;
}

bool EndpointRateLimiter::onDispatched(const EndpointId &endpoint, TimePoint now)
{
    const auto found = m_buckets.find(endpoint);
    if (found == m_buckets.end()) {
        return false;
    }
    Bucket &bucket = found->second;
    ++bucket.dispatched;
    take(bucket, 1, true, now);
    bucket.shareLevel = 0;
    bucket.shareAt = now;
    if (!bucket.unansweredSince) {
        bucket.unansweredSince = now;
    }
    return true;
}

void EndpointRateLimiter::onDirectory(const EndpointsById &endpoints, TimePoint now)
{
    for (auto entry = m_buckets.begin(); entry != m_buckets.end();) {
        Bucket &bucket = entry->second;
        const auto listed = endpoints.find(entry->first);
        const bool isSame = listed != endpoints.end() && listed->second.incarnation == bucket.incarnation;
        const bool isRecent = listed != endpoints.end() && now - bucket.declaredAt <= m_limits.listingLag;
        if (!isSame && !isRecent) {
            entry = m_buckets.erase(entry);
            continue;
        }
        bucket.incarnation = listed->second.incarnation;
        ++entry;
    }
}

bool EndpointRateLimiter::isLimited(const EndpointId &endpoint) const
{
    return m_buckets.contains(endpoint);
}

Duration EndpointRateLimiter::delay(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_buckets.find(endpoint);
    if (found == m_buckets.end()) {
        return Duration(0);
    }
    const Bucket &bucket = found->second;
    double missingSeconds = (1 + bucket.claim - levelAt(bucket, now)) / bucket.rate.value;
    if (!hearsOthers(bucket, now)) {
        const double share = bucket.rate.value / static_cast<double>(m_nodes);
        missingSeconds = std::max(missingSeconds, (1 - shareLevelAt(bucket, now)) / share);
    }
    if (missingSeconds <= DelayTolerance) {
        return Duration(0);
    }
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missingSeconds));
}

RequestRate EndpointRateLimiter::expectedRate(const EndpointId &endpoint) const
{
    const auto found = m_buckets.find(endpoint);
    if (found == m_buckets.end()) {
        return {};
    }
    const double equalShare = 1.0 / static_cast<double>(m_nodes);
    const double share = std::max(found->second.ownShare, equalShare * MinimumShareRatio);
    return RequestRate{found->second.rate.value * share};
}

std::optional<RateLimitNotice> EndpointRateLimiter::notice(const EndpointId &endpoint, bool wantsReply, TimePoint now) const
{
    RateLimitNotice notice;
    notice.endpoint = endpoint;
    notice.wantsReply = wantsReply;
    const auto found = m_buckets.find(endpoint);
    if (found == m_buckets.end()) {
        const auto ended = m_ended.find(endpoint);
        if (ended == m_ended.end()) {
            return std::nullopt;
        }
        notice.age = std::chrono::duration_cast<Duration>(now - ended->second);
        return notice;
    }
    const Bucket &bucket = found->second;
    notice.incarnation = bucket.incarnation;
    notice.rate = bucket.rate;
    notice.age = std::chrono::duration_cast<Duration>(now - bucket.declaredAt);
    notice.count = bucket.count;
    notice.dispatched = bucket.dispatched;
    return notice;
}

std::vector<RateLimitNotice> EndpointRateLimiter::notices(TimePoint now) const
{
    std::vector<RateLimitNotice> all;
    for (const auto &[endpoint, bucket] : m_buckets) {
        all.push_back(*notice(endpoint, false, now));
    }
    return all;
}

} // namespace Hemlockhill
