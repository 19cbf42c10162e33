// Error types: the reasons for which requests and commands are refused, and the exceptions that the library throws.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// Whether the refused work was executed. No guarantees that the endpoint has not started it and never will.
enum class Ran { No, Yes, Unknown };

// Why a request or command was refused or ended early. Each reason has a metric label and an HTTP status.
enum class Reason {
    MalformedRequest,
    HeaderTooLarge,
    BodyTooLarge,
    SlowSender,
    UnknownPath,
    MethodNotAllowed,
    UnknownModel,
    UnknownAdapter,
    UnknownService,
    NoEndpoint,
    VersionAbsent,
    StreamOriginUnknown,
    QueueFull,
    DeadlineUnreachable,
    DeadlineExceeded,
    LeaseExpired,
    Draining,
    Quarantined,
    EndpointRefused,
    EndpointLost,
    EndpointSilent,
    IncompleteAnswer,
    OversizedAnswer,
    CallerGone,
    CallerTooSlow,
    RetryBudgetSpent,
    KeyInProgress,
    KeyReused,
    KeyExpired,
    OutcomeUnknown,
    NoQuorum,
    NotLeader,
    RevisionConflict,
    MalformedCommand,
    UnknownObject,
    ObjectInUse,
    AlreadyDeclared,
    InsufficientMemory,
    LastCopy,
    TooManyConnections,
    ChangeInProgress,
    LearnerBehind,
    KeyRequired,
    RegisterFull,
    Unauthenticated,
    ConfigurationOutdated,
    QuotaExceeded,
    QuotaUnknown,
    Internal,
};

// Static properties of a reason.
struct ReasonTraits {
    Reason reason;
    std::string_view name;
    unsigned httpStatus;
    // True when the unchanged request may succeed later.
    bool retryable;
};

const ReasonTraits &traitsOf(Reason reason);
std::string_view toText(Reason reason);
std::string_view toText(Ran ran);
std::optional<Reason> parseReason(std::string_view text);
std::optional<Ran> parseRan(std::string_view text);

// All reasons, in the order of the enumeration.
const std::vector<ReasonTraits> &allReasons();

// A refusal as reported to the caller or operator and counted in the metrics.
struct Refusal {
    Reason reason = Reason::Internal;
    Ran ran = Ran::No;
    // Human-readable explanation; programs should use the reason.
    std::string detail;
    std::optional<std::chrono::seconds> retryAfter;
    // The current revision, when the reason is RevisionConflict.
    std::optional<std::uint64_t> currentRevision;

    bool operator==(const Refusal &) const = default;
};

// Base of all exceptions that the library throws.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// An error in a settings file: the JSON path, such as "$.callers.listen", and a description.
struct SettingsFault {
    std::string path;
    std::string problem;

    bool operator==(const SettingsFault &) const = default;
};

// Thrown for an invalid settings file. Lists all errors found, not only the first.
class SettingsError : public Error
{
public:
    explicit SettingsError(std::vector<SettingsFault> faults);

    const std::vector<SettingsFault> &faults() const { return m_faults; }

private:
    std::vector<SettingsFault> m_faults;
};

// Thrown when a resource outside the process, such as a file or an address, cannot be opened, read or bound.
class EnvironmentError : public Error
{
public:
    using Error::Error;
};

// Thrown when a serialized value is malformed.
class DecodeError : public Error
{
public:
    using Error::Error;
};

} // namespace Hemlockhill
