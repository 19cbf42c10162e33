// Every failure has a type: the reasons a caller or operator can be refused, and the exceptions of the library.
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

// Whether the refused work ran. No is a promise: the endpoint has not begun and never will.
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
    Internal,
};

// The fixed properties of a reason.
struct ReasonTraits {
    Reason reason;
    std::string_view name;
    unsigned httpStatus;
    // True when the same request can succeed later without being changed.
    bool retryable;
};

const ReasonTraits &traitsOf(Reason reason);
std::string_view toText(Reason reason);
std::string_view toText(Ran ran);
std::optional<Reason> parseReason(std::string_view text);
std::optional<Ran> parseRan(std::string_view text);

// All reasons, in declaration order.
const std::vector<ReasonTraits> &allReasons();

// A typed refusal: what is told to the caller or operator, and counted.
struct Refusal {
    Reason reason = Reason::Internal;
    Ran ran = Ran::No;
    // An explanation for people; programs use the reason.
    std::string detail;
    std::optional<std::chrono::seconds> retryAfter;
    // The revision that won, when the reason is RevisionConflict.
    std::optional<std::uint64_t> currentRevision;

    bool operator==(const Refusal &) const = default;
};

// Base of all exceptions that the library throws.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// One fault in a settings file: the JSON path, such as "$.callers.listen", and what is wrong there.
struct SettingsFault {
    std::string path;
    std::string problem;

    bool operator==(const SettingsFault &) const = default;
};

// A settings file that cannot be used. Carries every fault found, not only the first.
class SettingsError : public Error
{
public:
    explicit SettingsError(std::vector<SettingsFault> faults);

    const std::vector<SettingsFault> &faults() const { return m_faults; }

private:
    std::vector<SettingsFault> m_faults;
};

// A failure to open, read or bind something outside the process.
class EnvironmentError : public Error
{
public:
    using Error::Error;
};

// A serialized value that does not have the expected shape.
class DecodeError : public Error
{
public:
    using Error::Error;
};

} // namespace Hemlockhill
