// The table of refusal reasons, and the texts of errors.
#include "hemlockhill/failure.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

std::string describe(const std::vector<SettingsFault> &faults)
{
    std::string text;
    for (const SettingsFault &fault : faults) {
        text += text.empty() ? "" : "\n";
        text += fault.path + ": " + fault.problem;
    }
    return text;
}

} // namespace

const std::vector<ReasonTraits> &allReasons()
{
    static const std::vector<ReasonTraits> table{
        {Reason::MalformedRequest, "malformed_request", 400, false},
        {Reason::HeaderTooLarge, "header_too_large", 431, false},
        {Reason::BodyTooLarge, "body_too_large", 413, false},
        {Reason::SlowSender, "slow_sender", 408, true},
        {Reason::UnknownPath, "unknown_path", 404, false},
        {Reason::MethodNotAllowed, "method_not_allowed", 405, false},
        {Reason::UnknownModel, "unknown_model", 404, false},
        {Reason::UnknownAdapter, "unknown_adapter", 404, false},
        {Reason::UnknownService, "unknown_service", 404, false},
        {Reason::NoEndpoint, "no_endpoint", 503, true},
        {Reason::VersionAbsent, "version_absent", 503, true},
        {Reason::StreamOriginUnknown, "stream_origin_unknown", 503, true},
        {Reason::QueueFull, "queue_full", 429, true},
        {Reason::DeadlineUnreachable, "deadline_unreachable", 429, true},
        {Reason::DeadlineExceeded, "deadline_exceeded", 504, true},
        {Reason::LeaseExpired, "lease_expired", 503, true},
        {Reason::Draining, "draining", 503, true},
        {Reason::Quarantined, "quarantined", 422, true},
        {Reason::EndpointRefused, "endpoint_refused", 502, true},
        {Reason::EndpointLost, "endpoint_lost", 502, true},
        {Reason::EndpointSilent, "endpoint_silent", 504, true},
        {Reason::IncompleteAnswer, "incomplete_answer", 502, true},
        {Reason::OversizedAnswer, "oversized_answer", 502, true},
        {Reason::CallerGone, "caller_gone", 499, false},
        {Reason::CallerTooSlow, "caller_too_slow", 499, false},
        {Reason::RetryBudgetSpent, "retry_budget_spent", 503, true},
        {Reason::KeyInProgress, "key_in_progress", 409, true},
        {Reason::KeyReused, "key_reused", 422, false},
        {Reason::KeyExpired, "key_expired", 410, false},
        {Reason::OutcomeUnknown, "outcome_unknown", 409, false},
        {Reason::NoQuorum, "no_quorum", 503, true},
        {Reason::NotLeader, "not_leader", 503, true},
        {Reason::RevisionConflict, "revision_conflict", 409, false},
        {Reason::MalformedCommand, "malformed_command", 400, false},
        {Reason::UnknownObject, "unknown_object", 404, false},
        {Reason::ObjectInUse, "object_in_use", 409, false},
        {Reason::AlreadyDeclared, "already_declared", 409, false},
        {Reason::InsufficientMemory, "insufficient_memory", 409, false},
        {Reason::LastCopy, "last_copy", 409, false},
        {Reason::TooManyConnections, "too_many_connections", 503, true},
        {Reason::ChangeInProgress, "change_in_progress", 409, true},
        {Reason::LearnerBehind, "learner_behind", 409, true},
        {Reason::KeyRequired, "key_required", 400, false},
        {Reason::RegisterFull, "register_full", 503, true},
        {Reason::Unauthenticated, "unauthenticated", 401, false},
        {Reason::ConfigurationOutdated, "configuration_outdated", 503, true},
        {Reason::QuotaExceeded, "quota_exceeded", 429, true},
        {Reason::QuotaUnknown, "quota_unknown", 503, true},
        {Reason::Internal, "internal", 500, true},
    };
    return table;
}

const ReasonTraits &traitsOf(Reason reason)
{
    return allReasons().at(static_cast<std::size_t>(reason));
}

std::string_view toText(Reason reason)
{
    return traitsOf(reason).name;
}

std::string_view toText(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        break;
    }
    return "unknown";
}

std::optional<Reason> parseReason(std::string_view text)
{
    const auto &table = allReasons();
    const auto found = std::find_if(table.begin(), table.end(), [text](const ReasonTraits &traits) { return traits.name == text; });
    return found == table.end() ? std::nullopt : std::optional(found->reason);
}

std::optional<Ran> parseRan(std::string_view text)
{
    for (const Ran ran : {Ran::No, Ran::Yes, Ran::Unknown}) {
        if (toText(ran) == text) {
            return ran;
        }
    }
    return std::nullopt;
}

SettingsError::SettingsError(std::vector<SettingsFault> faults)
    : Error(describe(faults))
    , m_faults(std::move(faults))
{
}

} // namespace Hemlockhill
