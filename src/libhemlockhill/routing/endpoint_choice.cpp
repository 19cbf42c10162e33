// Selection of an endpoint by load, cached prefix and data centre.
#include "hemlockhill/endpoint_choice.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace Hemlockhill
{

namespace
{

// Upper bound of the random number added to the load, in requests, so that nodes do not all select the same one of several equally
// loaded endpoints.
constexpr double TieBreakRange = 0.5;
// Cost of another data centre, in requests per slot: an endpoint there is preferred when its load per slot is lower by this much.
constexpr double OtherDataCentreCost = 0.1;
// Upper bound of the random number added to the cost of an endpoint when some of many are selected to ask for their load, in requests per
// slot: without it all nodes would ask for the same ones.
constexpr double CandidateRange = 0.5;
// Number of uncached prompt tokens with the same cost as one request in flight.
constexpr double TokensPerRequest = 1500;
// Upper bound of that number where the load of the others is not known, in requests per slot. Above the cost of another data centre, so
// that such nodes do not all select the endpoint next to them.
constexpr double UnknownLoadRange = 0.3;
// Cost of an endpoint for each one that the asking node prefers to it, in requests per slot, when an owner grants memory.
constexpr double PreferenceCost = 0.02;
// Cost of an endpoint that has prompts left to read.
constexpr double UnreadPromptsCost = 1;
// How long after the report of an owner of an earlier build a node goes by its own requests alone.
constexpr Duration GrantlessTime = std::chrono::milliseconds(500);
// How long a node has to dispatch to a slot that a report shows as free, so that several nodes are not told of the same slot.
constexpr Duration SlotPromiseTime = std::chrono::milliseconds(30);
// Maximum number of pairs of endpoint and prefix in the prefix index.
constexpr std::size_t PrefixLimit = 20'000;

std::vector<PrefixHash> prefixesOf(const std::vector<PromptPart> &parts)
{
    std::vector<PrefixHash> prefixes;
    prefixes.reserve(parts.size());
    for (const PromptPart &part : parts) {
        prefixes.push_back(part.prefix);
    }
    return prefixes;
}

} // namespace

std::string_view toText(NoEndpointReason reason)
{
    switch (reason) {
    case NoEndpointReason::DirectoryOutdated:
        return "directory_outdated";
    case NoEndpointReason::NoEndpoint:
        return "no_endpoint";
    case NoEndpointReason::VersionAbsent:
        return "version_absent";
    case NoEndpointReason::ModelAbsent:
        return "model_absent";
    case NoEndpointReason::NotLoadedYet:
        return "not_loaded_yet";
    case NoEndpointReason::NoneLeft:
        return "none_left";
    case NoEndpointReason::Full:
        return "full";
    case NoEndpointReason::LoadAwaited:
        return "load_awaited";
    case NoEndpointReason::RateLimited:
        return "paced";
    case NoEndpointReason::RequestLimited:
        break;
    }
    return "request_limited";
}

EndpointChooser::EndpointChooser(DataCentreId dataCentre, EndpointChooserLimits limits, std::uint64_t seed, VmId self)
    : m_dataCentre(std::move(dataCentre))
    , m_self(self)
    , m_limits(limits)
    , m_random(seed)
    , m_rateLimiter(m_limits.promptRateLimit)
    , m_requestRates(m_limits.requestRateLimits, seed)
    , m_brittleEndpoints(std::move(self), m_limits.brittleEndpoints)
    , m_availability(m_limits.availability, seed)
    , m_failures(m_limits.failures)
    , m_prefixes(PrefixLimit)
    , m_memory(m_limits.memory)
    , m_promisedSlots({.promiseValidity = SlotPromiseTime})
    , m_line(m_limits.line)
    , m_lineReports(m_limits.line)
{
}

EndpointChoice EndpointChooser::choose(const EndpointsById &endpoints, const EndpointRequirements &need, TimePoint now)
{
    const bool needsModel = !need.target.model.empty();
    const RoutingTarget base{need.target.model, {}};
    const TokenCount capacity = capacityOf(need.service);
    const bool boundsMemory = capacity > TokenCount{0};
    const MemoryAuthority authority = boundsMemory ? authorityOf(need.service, now) : MemoryAuthority::Own;
    EndpointChoice choice;
    double best = 0;
    bool anyActive = false;
    bool anyOfVersion = false;
    bool anyModel = false;
    bool anyLoaded = false;
    bool anyUsable = false;
    bool anyFull = false;
    bool anyRateLimited = false;
    bool anyCurrent = false;
    Duration requestDelay = Duration::max();
    const std::vector<const LiveEndpoint *> active = activeEndpoints(endpoints, need.service);
    const Duration typicalInterval = typicalEventInterval(active);
    const Duration longestInterval = longestUsefulInterval(active, need, typicalInterval);
    for (const LiveEndpoint *endpoint : active) {
        if (m_availability.isLeaving(*endpoint) || m_availability.isReplaced(*endpoint, now)) {
            continue;
        }
        anyActive = true;
        if (need.softwareVersion && !endpoint->continuesStreamsOf(*need.softwareVersion)) {
            continue;
        }
        anyOfVersion = true;
        anyModel = anyModel || endpoint->holds(base) || endpoint->loading == need.target.model;
        if (needsModel && !endpoint->holds(need.target)) {
            continue;
        }
        anyLoaded = true;
        if (need.avoided.contains(endpoint->id) || isInBackoff(endpoint->id, now)) {
            continue;
        }
        const auto path = pathCost ? pathCost(*endpoint) : std::optional<double>(0);
        if (!path) {
            continue;
        }
        anyUsable = true;
        const OthersLoad others = othersLoad(*endpoint, now);
        if (others.isCurrent && !anyCurrent) {
            // An endpoint of unknown load is no better than those that are known to be full.
            anyCurrent = true;
            choice.endpoint.reset();
            choice.freeSlots = 0;
        }
        if (anyCurrent && !others.isCurrent) {
            continue;
        }
        const Duration interval = eventInterval(*endpoint, typicalInterval);
        if (interval > longestInterval) {
            // A faster endpoint may become free.
            anyFull = true;
            continue;
        }
        if (isFull(*endpoint, others, now) || (boundsMemory && !hasMemory(endpoint->id, need, capacity, authority, now))) {
            anyFull = true;
            continue;
        }
        if (const Duration delay = m_availability.delay(*endpoint, now); delay > Duration(0)) {
            requestDelay = std::min(requestDelay, delay);
            continue;
        }
        if (const Duration delay = m_requestRates.delay(endpoint->id, now); delay > Duration(0)) {
            choice.acceptedRate += m_requestRates.expectedRate(endpoint->id);
            requestDelay = std::min(requestDelay, delay);
            continue;
        }
        const TokenCount uncached = needsModel ? uncachedTokens(endpoint->id, need) : TokenCount{0};
        const Duration delay = needsModel ? m_rateLimiter.delay(endpoint->id, uncached, now) : Duration(0);
        if (delay > Duration(0)) {
            choice.delay = anyRateLimited ? std::min(choice.delay, delay) : delay;
            anyRateLimited = true;
            continue;
        }
        const double load = inFlight(endpoint->id) + others.requests;
        choice.freeSlots += std::max(1.0, std::floor(requestLimit(*endpoint) - load));
        boost::random::uniform_real_distribution<double> draw(0, others.isCurrent ? TieBreakRange : UnknownLoadRange * endpoint->slots);
        const double work = load + static_cast<double>(uncached.value) / TokensPerRequest;
        const double cost =
            (work + draw(m_random)) / endpoint->slots + dataCentreCost(*endpoint) + *path + streamDurationCost(need.stream, interval);
        if (!choice.endpoint || cost < best) {
            choice.endpoint = endpoint->id;
            best = cost;
        }
    }
    choice.isGranted = choice.endpoint && boundsMemory && authority == MemoryAuthority::Granted;
    if (!anyActive) {
        choice.reason = NoEndpointReason::NoEndpoint;
    } else if (!anyOfVersion) {
        choice.reason = NoEndpointReason::VersionAbsent;
    } else if (!anyLoaded) {
        choice.reason = anyModel ? NoEndpointReason::NotLoadedYet : NoEndpointReason::ModelAbsent;
    } else if (anyRateLimited) {
        choice.reason = NoEndpointReason::RateLimited;
    } else if (anyUsable && !anyFull) {
        choice.reason = NoEndpointReason::RequestLimited;
        choice.delay = requestDelay;
    } else {
        choice.reason = anyUsable ? NoEndpointReason::Full : NoEndpointReason::NoneLeft;
    }
    return choice;
}

double EndpointChooser::requestLimit(const LiveEndpoint &endpoint) const
{
    const double ratio = queueRatio ? queueRatio(endpoint.service) : m_limits.queueRatio;
    return endpoint.slots * (1 + ratio);
}

bool EndpointChooser::isFull(const LiveEndpoint &endpoint, const OthersLoad &others, TimePoint now)
{
    const std::uint32_t own = inFlight(endpoint.id);
    const double load = own + others.requests;
    if (m_brittleEndpoints.isBrittle(endpoint, now)) {
        return !m_brittleEndpoints.accepts(endpoint, own, load, now);
    }
    const double known = others.isCurrent ? load : own;
    return known >= requestLimit(endpoint) || !m_availability.accepts(endpoint, own);
}

MemoryAuthority EndpointChooser::authorityOf(const ServiceId &service, TimePoint now) const
{
    const MemoryAuthority authority = memoryAuthority ? memoryAuthority(service) : MemoryAuthority::Own;
    const auto found = m_withoutGrants.find(service);
    const bool grantsNothing = found != m_withoutGrants.end() && now - found->second < GrantlessTime;
    return authority == MemoryAuthority::Granted && grantsNothing ? MemoryAuthority::Unheard : authority;
}

bool EndpointChooser::exceedsMemory(const EndpointRequirements &need) const
{
    const TokenCount capacity = capacityOf(need.service);
    return capacity > TokenCount{0} && need.tokens >= capacity;
}

TokenCount EndpointChooser::heldTokens(const EndpointId &endpoint, const VmId &node, TimePoint now)
{
    return m_memory.own(endpoint) + m_loads.tokensWithout(VmId{}, endpoint, now) + m_memory.promisedWithout(node, endpoint, now);
}

bool EndpointChooser::hasMemory(
    const EndpointId &endpoint, const EndpointRequirements &need, TokenCount capacity, MemoryAuthority authority, TimePoint now)
{
    switch (authority) {
    case MemoryAuthority::Own:
    case MemoryAuthority::Substitute:
        return m_memory.fits(heldTokens(endpoint, VmId{}, now), need.tokens, capacity, authority);
    case MemoryAuthority::Granted:
        return m_memory.granted(endpoint, now) >= need.tokens;
    case MemoryAuthority::Unheard:
        break;
    }
    return m_memory.fits(m_memory.own(endpoint), need.tokens, capacity, authority);
}

void EndpointChooser::promiseSlot(
    const VmId &node, const LoadQuery &query, const EndpointsById &endpoints, LoadReport &report, TimePoint now)
{
    constexpr TokenCount OneRequest{1};
    EndpointId best;
    double lowest = 0;
    double free = 0;
    for (ReportedLoad &load : report.loads) {
        const EndpointId &id = load.others.endpoint;
        load.others.requests += static_cast<std::uint32_t>(m_promisedSlots.promisedWithout(node, id, now).value);
        const auto listed = endpoints.find(id);
        if (listed == endpoints.end()) {
            continue;
        }
        const double requests = load.others.requests + m_loads.requestsOf(node, id);
        const double limit = requestLimit(listed->second);
        if (requests >= limit) {
            continue;
        }
        free += std::max(1.0, std::floor(limit - requests));
        const double cost = requests / listed->second.slots;
        if (best.empty() || cost < lowest) {
            best = id;
            lowest = cost;
        }
    }
    const bool yields = !query.waiting->hasYielded && yieldsToOthers(*report.elsewhere, free);
    if (!best.empty() && !yields) {
        m_promisedSlots.promise(node, best, TokenCount{0}, OneRequest, TokenCount{0}, now);
    }
}

void EndpointChooser::grantMemory(
    const VmId &node, const LoadQuery &query, const EndpointsById &endpoints, LoadReport &report, TimePoint now)
{
    const TokenCount capacity = capacityOf(query.subject.service);
    const MemoryAuthority authority =
        authorityOf(query.subject.service, now) == MemoryAuthority::Own ? MemoryAuthority::Own : MemoryAuthority::Substitute;
    ReportedLoad *best = nullptr;
    double lowest = 0;
    double preference = 0;
    double free = 0;
    for (ReportedLoad &load : report.loads) {
        const EndpointId &id = load.others.endpoint;
        const auto listed = endpoints.find(id);
        preference += PreferenceCost;
        if (listed == endpoints.end() || !m_memory.fits(heldTokens(id, node, now), query.tokens, capacity, authority)) {
            continue;
        }
        const double requests = inFlight(id) + m_loads.sumWithout(VmId{}, id, now);
        if (requests >= requestLimit(listed->second)) {
            continue;
        }
        free += std::max(1.0, std::floor(requestLimit(listed->second) - requests));
        const double cost = requests / listed->second.slots + preference + (load.promptAllowance < 0 ? UnreadPromptsCost : 0);
        if (best == nullptr || cost < lowest) {
            best = &load;
            lowest = cost;
        }
    }
    const bool yields = report.elsewhere && !query.waiting->hasYielded && yieldsToOthers(*report.elsewhere, free);
    if (best != nullptr && yields) {
        report.elsewhere->isWithheld = true;
        return;
    }
    if (best != nullptr) {
        const EndpointId &id = best->others.endpoint;
        best->granted = m_memory.promise(node, id, heldTokens(id, node, now), query.tokens, capacity, now);
    }
}

WaitingElsewhere EndpointChooser::waitingElsewhere(const LoadSubject &subject, const WaitingRank &rank, TimePoint now)
{
    // Where memory is bounded, owners ask the first of them as well.
    const WaitingElsewhere reported = m_lineReports.elsewhere(subject, now);
    const bool isOwner = !hearsAll || hearsAll(subject.service);
    return isOwner && reported == WaitingElsewhere{} ? m_line.elsewhere(m_self, subject, rank, now) : reported;
}

std::optional<std::pair<VmId, LoadSubject>> EndpointChooser::invite(const LiveEndpoint &endpoint, TimePoint now)
{
    return m_line.invite(endpoint, now);
}

Duration
EndpointChooser::longestUsefulInterval(const std::vector<const LiveEndpoint *> &active, const EndpointRequirements &need, Duration typical)
{
    const bool anyInTime = std::any_of(active.begin(), active.end(), [&](const LiveEndpoint *endpoint) {
        const bool isSuitable = need.target.model.empty() || endpoint->holds(need.target);
        return isSuitable && !exceedsDeadline(need.stream, eventInterval(*endpoint, typical));
    });
    const bool isBounded = anyInTime && need.stream.events > 0;
    return isBounded ? std::chrono::duration_cast<Duration>(need.stream.timeLeft / need.stream.events) : Duration::max();
}

Duration EndpointChooser::eventInterval(const LiveEndpoint &endpoint, Duration typical)
{
    return endpoint.eventInterval > Duration(0) ? endpoint.eventInterval : typical;
}

double EndpointChooser::dataCentreCost(const LiveEndpoint &endpoint) const
{
    return endpoint.dataCentre == m_dataCentre ? 0 : OtherDataCentreCost;
}

bool EndpointChooser::isInBackoff(const EndpointId &endpoint, TimePoint now) const
{
    return m_failures.isInBackoff(endpoint, now);
}

OthersLoad EndpointChooser::othersLoad(const LiveEndpoint &endpoint, TimePoint now)
{
    return m_loads.others(endpoint.id, !hearsAll || hearsAll(endpoint.service), now);
}

EndpointLoad EndpointChooser::loadOf(const LiveEndpoint &endpoint, TimePoint now)
{
    EndpointLoad load{endpoint.id, endpoint.slots, inFlight(endpoint.id), othersLoad(endpoint, now)};
    if (boundsMemory(endpoint.service)) {
        load.tokens = heldTokens(endpoint.id, VmId{}, now);
    }
    if (!hearsAll || hearsAll(endpoint.service)) {
        load.others.age = m_loads.oldestNotice(endpoint.id, now);
    }
    return load;
}

std::vector<EndpointLoad> EndpointChooser::loads(const EndpointsById &endpoints, const EndpointRequirements &need, TimePoint now)
{
    std::vector<EndpointLoad> list;
    for (const LiveEndpoint *endpoint : activeEndpoints(endpoints, need.service)) {
        if (need.target.model.empty() || endpoint->holds(need.target)) {
            list.push_back(loadOf(*endpoint, now));
        }
    }
    return list;
}

LoadReport EndpointChooser::answerLoadQuery(const VmId &node, const LoadQuery &query, const EndpointsById &endpoints, TimePoint now)
{
    LoadReport report{query.subject, {}};
    // A node with requests at more endpoints than a query names has not said that it has none at the others.
    const bool namesAll = query.own.size() < LoadEntryLimit;
    const auto isConcerned = [&](const EndpointId &endpoint) {
        const auto listed = endpoints.find(endpoint);
        return namesAll && listed != endpoints.end() && listed->second.service == query.subject.service;
    };
    for (const EndpointRequests &count : query.own) {
        const TokenCount before = m_loads.tokensOf(node, count.endpoint);
        m_memory.onIncreased(node, count.endpoint, count.tokens - std::min(count.tokens, before));
    }
    m_loads.onCounts(node, isConcerned, query.own, now);
    for (const EndpointId &endpoint : query.endpoints) {
        EndpointRequests others{endpoint, inFlight(endpoint) + m_loads.sumWithout(node, endpoint, now)};
        if (boundsMemory(query.subject.service)) {
            others.tokens = m_memory.own(endpoint) + m_loads.tokensWithout(node, endpoint, now);
        }
        report.loads.push_back({others, static_cast<std::int32_t>(m_rateLimiter.level(endpoint, now))});
    }
    report.number = query.number;
    if (query.waiting) {
        if (const auto own = ownWaiting ? ownWaiting(query.subject) : std::nullopt) {
            m_line.onWaiting(m_self, query.subject, *own, now);
        }
        m_line.onWaiting(node, query.subject, *query.waiting, now);
        report.elsewhere = m_line.elsewhere(node, query.subject, rankOf(*query.waiting, now), now);
    }
    if (query.tokens > TokenCount{0} && boundsMemory(query.subject.service)) {
        grantMemory(node, query, endpoints, report, now);
    } else if (query.waiting && query.waiting->requests > 0) {
        promiseSlot(node, query, endpoints, report, now);
    }
    return report;
}

void EndpointChooser::onLoadReport(const LoadReport &report, TimePoint now)
{
    if (report.number == 0 && boundsMemory(report.subject.service)) {
        m_withoutGrants[report.subject.service] = now;
    }
    if (report.elsewhere) {
        m_lineReports.onReport(report.subject, *report.elsewhere, now);
    }
    for (const ReportedLoad &load : report.loads) {
        m_loads.onReport(load.others, now);
        if (load.granted > TokenCount{0}) {
            m_memory.onGranted(report.number, load.others.endpoint, load.granted);
        }
        m_rateLimiter.setLevel(load.others.endpoint, static_cast<double>(load.promptAllowance), now);
    }
}

LoadQuery EndpointChooser::loadQuery(const EndpointRequirements &need, const EndpointsById &endpoints, TimePoint now)
{
    LoadQuery query{{need.service, need.target}, {}, {}};
    query.waiting = ownWaiting ? ownWaiting(query.subject) : std::nullopt;
    const bool asksForMemory = boundsMemory(need.service);
    if (asksForMemory) {
        query.number = m_memory.onQuery(now);
        query.tokens = need.tokens;
    }
    std::vector<std::pair<double, EndpointId>> candidates;
    const std::vector<const LiveEndpoint *> active = activeEndpoints(endpoints, need.service);
    const Duration typicalInterval = typicalEventInterval(active);
    const Duration longestInterval = longestUsefulInterval(active, need, typicalInterval);
    for (const LiveEndpoint *endpoint : active) {
        const std::uint32_t own = inFlight(endpoint->id);
        if (query.own.size() < LoadEntryLimit && own > 0) {
            query.own.push_back({endpoint->id, own, m_memory.own(endpoint->id)});
        }
        const bool isSuitable = need.target.model.empty() || endpoint->holds(need.target);
        const Duration interval = eventInterval(*endpoint, typicalInterval);
        const bool isTooSlow = interval > longestInterval;
        const bool isGone = m_availability.isReplaced(*endpoint, now);
        if (!isSuitable || isTooSlow || isGone || need.avoided.contains(endpoint->id) || isInBackoff(endpoint->id, now)) {
            continue;
        }
        boost::random::uniform_real_distribution<double> draw(0, CandidateRange);
        const double unread = need.target.model.empty() ? 0 : static_cast<double>(uncachedTokens(endpoint->id, need).value);
        const double cost = (own + unread / TokensPerRequest) / endpoint->slots + dataCentreCost(*endpoint) + draw(m_random)
                            + streamDurationCost(need.stream, interval);
        candidates.emplace_back(cost, endpoint->id);
    }
    // An owner that grants memory prefers the first ones.
    if (candidates.size() > LoadCandidateLimit || asksForMemory) {
        std::sort(candidates.begin(), candidates.end());
        candidates.resize(std::min(candidates.size(), LoadCandidateLimit));
    }
    for (const auto &[cost, endpoint] : candidates) {
        query.endpoints.push_back(endpoint);
    }
    return query;
}

std::uint32_t EndpointChooser::inFlight(const EndpointId &endpoint) const
{
    const auto found = m_records.find(endpoint);
    return found == m_records.end() ? 0 : found->second.inFlight;
}

TokenCount EndpointChooser::uncachedTokens(const EndpointId &endpoint, const EndpointRequirements &need) const
{
    const auto parts = need.sharedParts.size();
    const double hitRatio = parts == 0 ? 0 : m_prefixes.hitRatio(endpoint, prefixesOf(need.sharedParts));
    const auto cachedParts = static_cast<std::size_t>(std::lround(hitRatio * static_cast<double>(parts)));
    TokenCount uncached = need.prompt;
    for (std::size_t index = 0; index < cachedParts; ++index) {
        uncached -= std::min(uncached, need.sharedParts[index].tokens);
    }
    return uncached;
}

void EndpointChooser::onDispatched(const EndpointId &endpoint, const EndpointRequirements &need, TimePoint now)
{
    ++m_records[endpoint].inFlight;
    if (need.tokens > TokenCount{0}) {
        m_memory.onDispatched(endpoint, need.tokens);
    }
    m_rateLimiter.onDispatched(endpoint, uncachedTokens(endpoint, need), now);
    m_requestRates.onDispatched(endpoint, now);
    m_prefixes.onPromptSent(endpoint, prefixesOf(need.sharedParts));
}

LoadChange EndpointChooser::onDispatchNotice(const VmId &node, const DispatchNotice &notice, TimePoint now)
{
    if (notice.prompt > TokenCount{0}) {
        m_rateLimiter.onDispatched(notice.endpoint, notice.prompt, now);
    }
    m_brittleEndpoints.onNode(node, now);
    if (notice.rejected) {
        m_brittleEndpoints.onRejected(notice.endpoint, now);
    }
    const std::uint32_t requests = m_loads.requestsOf(node, notice.endpoint);
    const TokenCount before = m_loads.tokensOf(node, notice.endpoint);
    m_memory.onIncreased(node, notice.endpoint, notice.tokens - std::min(notice.tokens, before));
    m_loads.onNotice(node, {notice.endpoint, notice.inFlight, notice.tokens}, now);
    m_promisedSlots.onIncreased(node, notice.endpoint, TokenCount{notice.inFlight - std::min(notice.inFlight, requests)});
    if (notice.inFlight == requests) {
        return LoadChange::None;
    }
    return notice.inFlight > requests ? LoadChange::More : LoadChange::Less;
}

void EndpointChooser::onEnded(const EndpointId &endpoint, TokenCount tokens)
{
    m_memory.onEnded(endpoint, tokens);
    Record &record = m_records[endpoint];
    record.inFlight -= record.inFlight > 0 ? 1 : 0;
}

void EndpointChooser::onSucceeded(const EndpointId &endpoint)
{
    m_failures.onSucceeded(endpoint);
    m_availability.onServed(endpoint);
}

FailureAssessment EndpointChooser::onFailed(const EndpointId &endpoint, TimePoint now, EndpointFailureKind kind)
{
    return m_failures.onFailed(endpoint, kind, now);
}

FailureAssessment EndpointChooser::onUnreachable(const EndpointId &endpoint, TimePoint now)
{
    return m_failures.onUnreachable(endpoint, now);
}

void EndpointChooser::onDirectory(const EndpointsById &endpoints, TimePoint now)
{
    m_requestRates.onDirectory(endpoints, now);
    m_brittleEndpoints.onDirectory(endpoints);
    m_availability.onDirectory(endpoints);
    m_failures.onDirectory(endpoints);
    m_loads.onDirectory(endpoints);
    std::erase_if(m_records, [&](const auto &entry) { return !endpoints.contains(entry.first) && entry.second.inFlight == 0; });
}

} // namespace Hemlockhill
