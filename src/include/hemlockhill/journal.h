// A bounded in-memory log of the system's decisions and their causes. Operator queries are answered from it.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/world.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

enum class DecisionKind {
    CommandAccepted,
    CommandRefused,
    ModelLoad,
    ModelEvict,
    ModelMove,
    AdapterLoad,
    AdapterEvict,
    OrderFailed,
    EndpointLost,
    EndpointReturned,
    EndpointLeaving,
    NodeLost,
    NodeReturned,
    LeaderElected,
    MembershipChanged,
    RequestRefused,
    RequestRetried,
    RequestQuarantined,
};

// Why a decision was made.
enum class Cause {
    Operator,
    // The model or adapter had no loaded copy.
    Reachability,
    // The model had copies in one data centre only.
    SecondDataCentre,
    RisingDemand,
    FallingDemand,
    // Memory was needed for another model or adapter.
    MemoryNeeded,
    Pinned,
    VersionChange,
    EndpointLost,
    EndpointLeaving,
    LeaseExpired,
    Timeout,
    // See Decision::reason.
    Refusal,
    // Reported by an engine or another VM.
    Reported,
};

// The name of a kind or cause as operators see it, for instance "model_load".
std::string_view toText(DecisionKind kind);
std::string_view toText(Cause cause);

// The objects that a decision concerns. Ids that do not apply are empty.
struct DecisionSubjects {
    ModelId model;
    AdapterId adapter;
    EndpointId endpoint;
    // The source endpoint of a moved copy.
    EndpointId from;
    ServiceId service;
    VmId vm;
    RequestId request;
    bool operator==(const DecisionSubjects &) const = default;
};

struct Decision {
    TimePoint time;
    DecisionKind kind = DecisionKind::CommandAccepted;
    DecisionSubjects subjects;
    Cause cause = Cause::Operator;
    // Present for refusals and failures.
    std::optional<Reason> reason;
    // Free text for operators, such as a statement or a value. Truncated to Journal::MaxDetailBytes.
    std::string detail;
    bool operator==(const Decision &) const = default;
};

// Selects decisions. Empty ids and absent values match everything. An endpoint matches as subject and as the source of a move.
struct JournalFilter {
    ModelId model;
    AdapterId adapter;
    EndpointId endpoint;
    VmId vm;
    RequestId request;
    std::optional<TimePoint> since;
    std::optional<DecisionKind> kind;
};

bool matches(const JournalFilter &filter, const Decision &decision);

// The log of decisions. Each kind of decision has its own capacity, so that a burst of refusals does not evict the decisions on model
// placement. The oldest decision of a kind is dropped first.
class Journal
{
public:
    static constexpr std::size_t DefaultCapacity = 1024;
    // Longest detail text that is kept, in bytes.
    static constexpr std::size_t MaxDetailBytes = 256;

    // The capacity is the number of decisions kept per kind. Zero is treated as one.
    explicit Journal(std::size_t capacity = DefaultCapacity);

    void record(Decision decision);

    // Returns the matching decisions in the order in which they were recorded.
    std::vector<Decision> select(const JournalFilter &filter) const;

    // Number of decisions kept, over all kinds.
    std::size_t size() const;
    // Number of decisions that were dropped because the capacity was reached, over all kinds or of one kind.
    std::uint64_t dropped() const;
    std::uint64_t dropped(DecisionKind kind) const;

private:
    struct Entry {
        std::uint64_t sequence = 0;
        Decision decision;
    };
    struct KindLog {
        std::deque<Entry> entries;
        std::uint64_t dropped = 0;
    };

    std::size_t m_capacity;
    std::uint64_t m_lastSequence = 0;
    std::map<DecisionKind, KindLog> m_logs;
};

} // namespace Hemlockhill
