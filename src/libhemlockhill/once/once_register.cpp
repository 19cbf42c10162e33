// The replicated register of idempotency keys.
#include "hemlockhill/once_register.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace Hemlockhill
{

namespace
{

constexpr std::chrono::seconds RetryAfterInProgress(1);
constexpr std::chrono::seconds RetryAfterFull(10);

// Hashes the texts with their length prefixes, so that different lists never give the same hash input.
Digest hashOf(std::initializer_list<std::string_view> texts)
{
    std::string joined;
    for (const std::string_view text : texts) {
        joined += std::to_string(text.size());
        joined += ':';
        joined += text;
    }
    const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
    return Digest{hash.high64, hash.low64};
}

bool isUuid(std::string_view text)
{
    constexpr std::size_t UuidLength = 36;
    if (text.size() != UuidLength) {
        return false;
    }
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool dash = index == 8 || index == 13 || index == 18 || index == 23;
        if (dash ? text[index] != '-' : std::isxdigit(static_cast<unsigned char>(text[index])) == 0) {
            return false;
        }
    }
    return true;
}

struct VerdictTraits {
    std::string_view name;
    Reason reason;
    Ran ran;
    std::string_view detail;
};

// In the order of OnceVerdict.
constexpr std::array<VerdictTraits, 14> Verdicts{{
    {"granted", Reason::Internal, Ran::Unknown, ""},
    {"in_progress", Reason::KeyInProgress, Ran::Unknown, "a call with this key is still in progress"},
    {"answered", Reason::Internal, Ran::Yes, ""},
    {"answer_not_kept", Reason::OutcomeUnknown, Ran::Yes, "the call ran, but its answer was too large to store"},
    {"unknown", Reason::OutcomeUnknown, Ran::Unknown, "the call may have run; it will not be run again"},
    {"key_reused", Reason::KeyReused, Ran::No, "the key was already used for a different call; this call was not run"},
    {"key_expired", Reason::KeyExpired, Ran::Unknown, "the key is older than the retention period; its call will not be run again"},
    {"key_from_future", Reason::MalformedRequest, Ran::No, "the timestamp of the key is in the future"},
    {"claim_too_late", Reason::DeadlineExceeded, Ran::No, "the claim was committed too late to send the call"},
    {"register_full", Reason::RegisterFull, Ran::No, "the idempotency register is full for keys of this kind"},
    {"recorded", Reason::Internal, Ran::Unknown, ""},
    {"released", Reason::Internal, Ran::No, ""},
    {"expired", Reason::Internal, Ran::Unknown, ""},
    {"ignored", Reason::Internal, Ran::Unknown, ""},
}};

const VerdictTraits &traitsOf(OnceVerdict verdict)
{
    return Verdicts.at(static_cast<std::size_t>(verdict));
}

} // namespace

Digest digestOf(const HttpRequest &request)
{
    return hashOf({request.method, request.target, request.body});
}

std::optional<WallTime> timeOf(const IdempotencyKey &key)
{
    const std::string &text = key.value;
    constexpr std::size_t VersionAt = 14;
    if (!isUuid(text) || text[VersionAt] != '7') {
        return std::nullopt;
    }
    const std::string digits = text.substr(0, 8) + text.substr(9, 4);
    return WallTime(std::chrono::milliseconds(std::stoll(digits, nullptr, 16)));
}

std::size_t StoredAnswer::bytes() const
{
    std::size_t total = contentType.size() + body.size();
    for (const HttpHeader &header : headers) {
        total += header.name.size() + header.value.size();
    }
    return total;
}

std::string_view toText(OnceVerdict verdict)
{
    return traitsOf(verdict).name;
}

Refusal refusalOf(OnceVerdict verdict)
{
    const VerdictTraits &traits = traitsOf(verdict);
    Refusal refusal;
    refusal.reason = traits.reason;
    refusal.ran = traits.ran;
    refusal.detail = std::string(traits.detail);
    if (verdict == OnceVerdict::InProgress || verdict == OnceVerdict::ClaimTooLate) {
        refusal.retryAfter = RetryAfterInProgress;
    } else if (verdict == OnceVerdict::RegisterFull) {
        refusal.retryAfter = RetryAfterFull;
    }
    return refusal;
}

Digest registerKey(const ClaimKey &claim)
{
    return hashOf({claim.service.value, claim.scope.value, claim.key.value});
}

OnceOutcome OnceRegister::apply(const OnceCommand &command)
{
    m_now = std::max(m_now, command.proposedAt);
    OnceOutcome outcome;
    outcome.steps.reserve(command.steps.size());
    for (const OnceStep &step : command.steps) {
        if (const auto *claim = std::get_if<ClaimKey>(&step)) {
            outcome.steps.push_back(apply(*claim, command.proposedAt));
        } else if (const auto *record = std::get_if<RecordOutcome>(&step)) {
            outcome.steps.push_back(apply(*record));
        } else if (const auto *release = std::get_if<ReleaseClaim>(&step)) {
            outcome.steps.push_back(apply(*release));
        } else {
            outcome.steps.push_back(apply(std::get<ExpireKeys>(step)));
        }
    }
    return outcome;
}

StepOutcome OnceRegister::apply(const ClaimKey &step, WallTime proposedAt)
{
    const Digest key = registerKey(step);
    if (const auto found = m_entries.find(key); found != m_entries.end()) {
        return resultForRepeat(found->second, step);
    }
    if (m_tombstones.contains(key.low)) {
        return {OnceVerdict::KeyExpired, {}};
    }
    const auto keyTime = timeOf(step.key);
    if (keyTime && *keyTime < m_watermark) {
        return {OnceVerdict::KeyExpired, {}};
    }
    if (keyTime && *keyTime > m_now + m_limits.maxClockSkew) {
        return {OnceVerdict::KeyFromFuture, {}};
    }
    if (proposedAt + step.dispatchWindow < m_now) {
        return {OnceVerdict::ClaimTooLate, {}};
    }
    // A key without a timestamp needs a tombstone when it expires, so capacity for it is reserved when it is claimed.
    const bool tombstonesFull = !keyTime && m_tombstones.size() + m_entries.size() >= m_limits.maxTombstones;
    if (m_entries.size() >= m_limits.maxKeys || tombstonesFull) {
        return {OnceVerdict::RegisterFull, {}};
    }
    Entry entry;
    entry.call = step.call;
    entry.claim = step.claim;
    entry.claimNumber = ++m_lastClaimNumber;
    entry.claimedAt = m_now;
    entry.unknownAfter = m_now + step.dispatchWindow + step.answerWindow + m_limits.outcomeGracePeriod;
    entry.hasTimestamp = keyTime.has_value();
    m_claimOrder.push_back({entry.claimNumber, m_now, key});
    m_entries.emplace(key, std::move(entry));
    return {OnceVerdict::Granted, {}};
}

StepOutcome OnceRegister::resultForRepeat(const Entry &entry, const ClaimKey &step) const
{
    if (entry.call != step.call) {
        return {OnceVerdict::KeyReused, {}};
    }
    switch (entry.state) {
    case State::Answered:
        return {OnceVerdict::Answered, entry.answer};
    case State::AnswerNotKept:
        return {OnceVerdict::AnswerNotKept, {}};
    case State::Unknown:
        return {OnceVerdict::Unknown, {}};
    case State::Claimed:
        break;
    }
    if (m_now > entry.unknownAfter) {
        return {OnceVerdict::Unknown, {}};
    }
    // A duplicate of the proposal that holds the key is granted again, any other claim is not.
    return {entry.claim == step.claim ? OnceVerdict::Granted : OnceVerdict::InProgress, {}};
}

OnceRegister::Entry *OnceRegister::findHeldEntry(const Digest &key, const ClaimId &claim)
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() && found->second.claim == claim ? &found->second : nullptr;
}

StepOutcome OnceRegister::apply(const RecordOutcome &step)
{
    Entry *entry = findHeldEntry(step.key, step.claim);
    if (entry == nullptr) {
        return {OnceVerdict::Ignored, {}};
    }
    const bool resolved = entry->state == State::Answered || entry->state == State::AnswerNotKept;
    if (resolved) {
        return {OnceVerdict::Recorded, {}};
    }
    if (!step.answer) {
        entry->state = State::Unknown;
        return {OnceVerdict::Recorded, {}};
    }
    const std::size_t bytes = step.answer->bytes();
    if (bytes > m_limits.maxAnswerSize.value || m_answerBytes + bytes > m_limits.maxTotalAnswerSize.value) {
        entry->state = State::AnswerNotKept;
        return {OnceVerdict::Recorded, {}};
    }
    m_answerBytes += bytes;
    entry->state = State::Answered;
    entry->answer = step.answer;
    return {OnceVerdict::Recorded, {}};
}

StepOutcome OnceRegister::apply(const ReleaseClaim &step)
{
    const Entry *entry = findHeldEntry(step.key, step.claim);
    if (entry == nullptr || entry->state != State::Claimed) {
        return {OnceVerdict::Ignored, {}};
    }
    m_entries.erase(step.key);
    return {OnceVerdict::Released, {}};
}

StepOutcome OnceRegister::apply(const ExpireKeys &step)
{
    m_watermark = std::max(m_watermark, m_now - step.retention);
    // A key's timestamp is at most maxClockSkew later than its claim, so the timestamps of all keys removed here are before the watermark.
    while (!m_claimOrder.empty() && m_claimOrder.front().at + m_limits.maxClockSkew < m_watermark) {
        const OrderedClaim oldest = m_claimOrder.front();
        m_claimOrder.pop_front();
        if (findEntry(oldest) != nullptr) {
            removeExpired(oldest.key);
        }
    }
    return {OnceVerdict::Expired, {}};
}

const OnceRegister::Entry *OnceRegister::findEntry(const OrderedClaim &claim) const
{
    const auto found = m_entries.find(claim.key);
    return found != m_entries.end() && found->second.claimNumber == claim.number ? &found->second : nullptr;
}

void OnceRegister::removeExpired(const Digest &key)
{
    const auto found = m_entries.find(key);
    if (found->second.answer) {
        m_answerBytes -= found->second.answer->bytes();
    }
    if (!found->second.hasTimestamp) {
        m_tombstones.insert(key.low);
    }
    m_entries.erase(found);
}

} // namespace Hemlockhill
