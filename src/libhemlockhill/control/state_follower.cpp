// Replication of the declared state by deltas or snapshots.
#include "hemlockhill/state_follower.h"

#include "hemlockhill/language.h"

#include <xxhash.h>

#include <utility>

namespace Hemlockhill
{

StateDigest digestOf(const RegionState &state)
{
    const std::string text = canonicalText(state);
    return StateDigest{XXH3_64bits(text.data(), text.size())};
}

void StateHistory::recordAccepted(const Command &command, const RegionStateMachine &machine)
{
    m_entries.push_back({machine.state().revision, format(command), m_digest});
    if (m_entries.size() > CommandLimit) {
        m_entries.pop_front();
    }
    m_revision = machine.state().revision;
    m_digest = digestOf(machine.state());
}

void StateHistory::reset(const RegionStateMachine &machine)
{
    m_entries.clear();
    m_revision = machine.state().revision;
    m_digest = digestOf(machine.state());
}

FollowReply StateHistory::answer(Revision known, StateDigest digest, const RegionStateMachine &machine) const
{
    FollowReply reply;
    reply.leading = true;
    reply.revision = m_revision;
    reply.digest = m_digest;
    if (known == m_revision && digest == m_digest) {
        return reply;
    }
    for (const Entry &entry : m_entries) {
        const bool isNext = entry.revision.value == known.value + 1;
        if (isNext && entry.digestBefore != digest) {
            break;
        }
        if (entry.revision > known) {
            reply.statements.push_back(entry.statement);
        }
    }
    // A delta is usable only if it contains every revision after the node's.
    if (known >= m_revision || reply.statements.size() != m_revision.value - known.value) {
        reply.statements.clear();
        reply.snapshot = machine.snapshot();
    }
    return reply;
}

void StateFollower::apply(const FollowReply &reply)
{
    if (!reply.snapshot.empty()) {
        restoreSnapshot(reply.snapshot);
    }
    for (const std::string &statement : reply.statements) {
        const Statement parsed = parseStatement(statement);
        const auto *request = std::get_if<CommandRequest>(&parsed);
        if (request == nullptr || std::holds_alternative<Refusal>(m_machine.apply(*request))) {
            *this = StateFollower();
            throw DecodeError("cannot apply statement of the state delta: " + statement);
        }
    }
    if (!reply.statements.empty()) {
        m_digest = digestOf(m_machine.state());
    }
    if (m_machine.state().revision != reply.revision || m_digest != reply.digest) {
        *this = StateFollower();
        throw DecodeError("state delta does not produce the revision and digest of the leader");
    }
}

void StateFollower::restoreSnapshot(const std::string &snapshot)
{
    m_machine = RegionStateMachine::restore(snapshot);
    m_digest = digestOf(m_machine.state());
}

} // namespace Hemlockhill
