// The replicated register of idempotency keys for at-most-once calls: which keys are claimed, and the outcomes of their calls.
// A claim is committed before a node sends the first byte of the call; the outcome is committed afterwards.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/http.h"
#include "hemlockhill/world.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// Identifies the claim of a key by one attempt. Unique also across restarts of a node.
using ClaimId = Id<struct ClaimTag>;
// The stable name of the caller, if the proxy in front supplies one; empty otherwise. Keys of different scopes are distinct.
using CallerScope = Id<struct CallerScopeTag>;

// Milliseconds since the Unix epoch, read from the clock of the node that proposes a command.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// A 128-bit hash.
struct Digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const Digest &) const = default;
};

struct DigestHash {
    std::size_t operator()(const Digest &digest) const noexcept { return digest.low; }
};

// The digest of a call's method, target and body. Repeats of a call have equal digests.
Digest digestOf(const HttpRequest &request);

// The timestamp in a key that is a UUID version 7. Empty for any other key.
std::optional<WallTime> timeOf(const IdempotencyKey &key);

// A complete answer of a service.
struct StoredAnswer {
    unsigned status = 200;
    std::string contentType;
    std::vector<HttpHeader> headers;
    std::string body;

    // Size of content type, headers and body in bytes, as counted against OnceLimits.
    std::size_t bytes() const;
    bool operator==(const StoredAnswer &) const = default;
};

// Claims a key: requests permission to run its call.
struct ClaimKey {
    IdempotencyKey key;
    ServiceId service;
    CallerScope scope;
    Digest call;
    VmId node;
    ClaimId claim;
    // Time from the proposal during which the node may send the first byte of the call.
    std::chrono::milliseconds dispatchWindow{0};
    // Time from the end of the dispatch window during which the node waits for the answer.
    std::chrono::milliseconds answerWindow{0};

    bool operator==(const ClaimKey &) const = default;
};

// Records the outcome of a claimed call. Without an answer it is unknown whether the call ran.
struct RecordOutcome {
    Digest key;
    ClaimId claim;
    std::optional<StoredAnswer> answer;

    bool operator==(const RecordOutcome &) const = default;
};

// Releases a claimed key, so that it can be claimed again. A node may propose this only if it sent no byte of the call.
struct ReleaseClaim {
    Digest key;
    ClaimId claim;

    bool operator==(const ReleaseClaim &) const = default;
};

// Removes keys that are older than the retention period.
struct ExpireKeys {
    std::chrono::milliseconds retention{0};

    bool operator==(const ExpireKeys &) const = default;
};

using OnceStep = std::variant<ClaimKey, RecordOutcome, ReleaseClaim, ExpireKeys>;

// A batch of steps, applied in order as one log entry.
struct OnceCommand {
    WallTime proposedAt;
    std::vector<OnceStep> steps;

    bool operator==(const OnceCommand &) const = default;
};

// The result of a step. Granted to RegisterFull are results of a ClaimKey, the others of the remaining steps.
enum class OnceVerdict {
    // The claiming node may send the call.
    Granted,
    // Another claim of the key has no outcome yet.
    InProgress,
    // An earlier call with the key was answered; the answer is in StepOutcome::answer.
    Answered,
    // The call ran, but its answer was too large to store.
    AnswerNotKept,
    // An earlier call with the key may have run.
    Unknown,
    // The key belongs to a call with another digest.
    KeyReused,
    // The key is older than the retention period.
    KeyExpired,
    // The timestamp of the key is ahead of the register's time by more than OnceLimits::maxClockSkew.
    KeyFromFuture,
    // The claim's dispatch window had passed before the claim was applied.
    ClaimTooLate,
    // OnceLimits::maxKeys or OnceLimits::maxTombstones is reached.
    RegisterFull,
    Recorded,
    Released,
    Expired,
    // The step's claim does not hold the key, or the key to release already has an outcome.
    Ignored,
};

// The name of a verdict in stored and transmitted text.
std::string_view toText(OnceVerdict verdict);

struct StepOutcome {
    OnceVerdict verdict = OnceVerdict::Ignored;
    // Present with Answered.
    std::optional<StoredAnswer> answer;

    bool operator==(const StepOutcome &) const = default;
};

// One outcome per step, in the order of the steps.
struct OnceOutcome {
    std::vector<StepOutcome> steps;
};

// The refusal sent to a caller whose claim was not granted and for whose key no answer is stored.
Refusal refusalOf(OnceVerdict verdict);

// Limits of the register. Must be identical on every replica.
struct OnceLimits {
    // Maximum number of keys.
    std::size_t maxKeys = 1'000'000;
    // Maximum total size of the stored answers.
    Bytes maxTotalAnswerSize{64'000'000};
    // Maximum size of one stored answer. Larger answers are recorded as AnswerNotKept.
    Bytes maxAnswerSize{64'000};
    // Maximum number of expired keys without a timestamp, of which only a hash of 8 bytes is kept. New keys without a
    // timestamp are refused when tombstones and current keys together reach this limit.
    std::size_t maxTombstones = 4'000'000;
    // Time from the end of the answer window after which a claim without outcome counts as unknown.
    std::chrono::milliseconds outcomeGracePeriod{60'000};
    // Maximum time by which a key's timestamp may be ahead of the register's time.
    std::chrono::milliseconds maxClockSkew{300'000};
};

// The replicated state machine. Deterministic: its clock is the latest time of any applied command, so it never runs backwards.
class OnceRegister
{
public:
    explicit OnceRegister(OnceLimits limits = {})
        : m_limits(limits)
    {
    }

    OnceOutcome apply(const OnceCommand &command);

    // Keys that have not expired.
    std::size_t keys() const { return m_entries.size(); }
    std::size_t tombstones() const { return m_tombstones.size(); }
    Bytes answerBytes() const { return Bytes{m_answerBytes}; }
    // Keys with an earlier timestamp can no longer be claimed.
    WallTime watermark() const { return m_watermark; }

    // Converts the complete state to text and back. restore() throws DecodeError when the text is not a valid snapshot.
    std::string snapshot() const;
    static OnceRegister restore(std::string_view snapshot, OnceLimits limits = {});

private:
    enum class State { Claimed, Answered, AnswerNotKept, Unknown };

    struct Entry {
        Digest call;
        ClaimId claim;
        // Number of the claim that holds the key, in the order of all claims.
        std::uint64_t claimNumber = 0;
        WallTime claimedAt;
        // A claim without outcome counts as unknown after this time.
        WallTime unknownAfter;
        State state = State::Claimed;
        // True when the key has a timestamp. The watermark then rejects it after expiry, so that it needs no tombstone.
        bool hasTimestamp = false;
        std::optional<StoredAnswer> answer;
    };

    struct OrderedClaim {
        std::uint64_t number = 0;
        WallTime at;
        Digest key;
    };

    StepOutcome apply(const ClaimKey &step, WallTime proposedAt);
    StepOutcome apply(const RecordOutcome &step);
    StepOutcome apply(const ReleaseClaim &step);
    StepOutcome apply(const ExpireKeys &step);
    StepOutcome resultForRepeat(const Entry &entry, const ClaimKey &step) const;
    Entry *findHeldEntry(const Digest &key, const ClaimId &claim);
    // Returns the entry that this claim holds, or nullptr if its key has been released since.
    const Entry *findEntry(const OrderedClaim &claim) const;
    void removeExpired(const Digest &key);

    OnceLimits m_limits;
    WallTime m_now;
    WallTime m_watermark;
    boost::unordered_flat_map<Digest, Entry, DigestHash> m_entries;
    boost::unordered_flat_set<std::uint64_t> m_tombstones;
    // Keys in the order of their claims, in which they also expire. Released keys are removed only on expiry.
    std::deque<OrderedClaim> m_claimOrder;
    std::uint64_t m_lastClaimNumber = 0;
    std::uint64_t m_answerBytes = 0;
};

// The register's map key: a hash of service, scope and idempotency key.
Digest registerKey(const ClaimKey &claim);

// Converts a command to the text of a log entry and back. Decoding throws DecodeError when the text is malformed.
std::string encode(const OnceCommand &command);
OnceCommand decodeOnceCommand(std::string_view text);

// Converts an outcome to text and back. Decoding throws DecodeError when the text is malformed.
std::string encode(const OnceOutcome &outcome);
OnceOutcome decodeOnceOutcome(std::string_view text);

// Proposes a command to the replicated register. The reply is called on the proposer's event loop, either with the outcome once the
// command is committed and applied, or with a refusal. After a refusal the command may still be committed.
using OnceReply = std::function<void(std::variant<OnceOutcome, Refusal>)>;
using OncePort = std::function<void(OnceCommand, OnceReply)>;

} // namespace Hemlockhill
