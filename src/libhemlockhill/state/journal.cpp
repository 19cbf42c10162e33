// The bounded log of decisions.
#include "hemlockhill/journal.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Hemlockhill
{

namespace
{

template<typename NameId>
bool matchesId(const NameId &wanted, const NameId &found)
{
    return wanted.empty() || wanted == found;
}

// In the order of the enumerators.
constexpr std::array<std::string_view, 18> KindNames{
    "command_accepted",
    "command_refused",
    "model_load",
    "model_evict",
    "model_move",
    "adapter_load",
    "adapter_evict",
    "order_failed",
    "endpoint_lost",
    "endpoint_returned",
    "endpoint_leaving",
    "node_lost",
    "node_returned",
    "leader_elected",
    "membership_changed",
    "request_refused",
    "request_retried",
    "request_quarantined",
};
static_assert(KindNames.size() == static_cast<std::size_t>(DecisionKind::RequestQuarantined) + 1);

constexpr std::array<std::string_view, 14> CauseNames{
    "operator",
    "reachability",
    "second_data_centre",
    "rising_demand",
    "falling_demand",
    "memory_needed",
    "pinned",
    "version_change",
    "endpoint_lost",
    "endpoint_leaving",
    "lease_expired",
    "timeout",
    "refusal",
    "reported",
};
static_assert(CauseNames.size() == static_cast<std::size_t>(Cause::Reported) + 1);

} // namespace

std::string_view toText(DecisionKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

std::string_view toText(Cause cause)
{
    return CauseNames.at(static_cast<std::size_t>(cause));
}

bool matches(const JournalFilter &filter, const Decision &decision)
{
    const DecisionSubjects &subjects = decision.subjects;
    const bool endpoint = matchesId(filter.endpoint, subjects.endpoint) || matchesId(filter.endpoint, subjects.from);
    return endpoint && matchesId(filter.model, subjects.model) && matchesId(filter.adapter, subjects.adapter)
           && matchesId(filter.vm, subjects.vm) && matchesId(filter.request, subjects.request)
           && (!filter.since || decision.time >= *filter.since) && (!filter.kind || decision.kind == *filter.kind);
}

Journal::Journal(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(1, capacity))
{
}

void Journal::record(Decision decision)
{
    if (decision.detail.size() > MaxDetailBytes) {
        decision.detail.resize(MaxDetailBytes);
    }
    KindLog &log = m_logs[decision.kind];
    if (log.entries.size() == m_capacity) {
        log.entries.pop_front();
        ++log.dropped;
    }
    log.entries.push_back({++m_lastSequence, std::move(decision)});
}

std::vector<Decision> Journal::select(const JournalFilter &filter) const
{
    std::vector<const Entry *> found;
    for (const auto &[kind, log] : m_logs) {
        for (const Entry &entry : log.entries) {
            if (matches(filter, entry.decision)) {
                found.push_back(&entry);
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const Entry *left, const Entry *right) { return left->sequence < right->sequence; });
    std::vector<Decision> decisions;
    decisions.reserve(found.size());
    for (const Entry *entry : found) {
        decisions.push_back(entry->decision);
    }
    return decisions;
}

std::size_t Journal::size() const
{
    std::size_t count = 0;
    for (const auto &[kind, log] : m_logs) {
        count += log.entries.size();
    }
    return count;
}

std::uint64_t Journal::dropped() const
{
    std::uint64_t count = 0;
    for (const auto &[kind, log] : m_logs) {
        count += log.dropped;
    }
    return count;
}

std::uint64_t Journal::dropped(DecisionKind kind) const
{
    const auto log = m_logs.find(kind);
    return log == m_logs.end() ? 0 : log->second.dropped;
}

} // namespace Hemlockhill
