// Deterministic simulation of a group of voters for tests: virtual time in microseconds, a network that drops, delays, duplicates and
// blocks messages, disks that lose unsynced data or are full for a while. Invariants are checked after every step.
#pragma once

#include "hemlockhill/consensus.h"

#include <boost/functional/hash.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Hemlockhill
{

// An invariant of consensus was violated.
class InvariantViolation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Synced data that a voter reads after a restart.
struct SimulatedDisk {
    HardState hardState;
    std::shared_ptr<const ConsensusSnapshot> snapshot;
    std::vector<LogEntry> entries;

    void apply(const ConsensusActions &actions)
    {
        hardState = actions.hardState.value_or(hardState);
        if (actions.snapshot) {
            snapshot = actions.snapshot;
            const LogIndex index = snapshot->index;
            const bool all = actions.discardLog;
            std::erase_if(entries, [all, index](const LogEntry &entry) { return all || entry.index <= index; });
        }
        if (actions.truncateFrom) {
            std::erase_if(entries, [&actions](const LogEntry &entry) { return entry.index >= *actions.truncateFrom; });
        }
        entries.insert(entries.end(), actions.append.begin(), actions.append.end());
    }
};

// A read that a voter has begun, and the number of entries committed before.
struct SimulatedRead {
    ReadMark mark;
    std::uint64_t committedBefore = 0;
};

struct SimulatedVoter {
    VoterId id;
    std::unique_ptr<Consensus> core;
    SimulatedDisk disk;
    std::deque<ConsensusActions> unsynced;
    std::size_t syncing = 0;
    unsigned incarnation = 0;
    bool paused = false;
    // The disk refuses every write.
    bool diskFull = false;
    // Deliberately removed from the group, without losing its disk.
    bool excluded = false;
    double clockRate = 1;
    double clockBase = 0;
    std::int64_t clockSetAt = 0;
    std::int64_t wakeAt = -1;
    std::uint64_t appliedIndex = 0;
    std::uint64_t compactedAt = 0;
    std::size_t state = 0;
    std::uint64_t commit = 0;
    std::vector<Envelope> receivedWhilePaused;
    std::vector<SimulatedRead> reads;
};

struct SimulatedNetwork {
    int dropPercent = 0;
    int repeatPercent = 0;
    std::int64_t maxDelay = 5'000;
    std::int64_t minSync = 1;
    std::int64_t maxSync = 3'000;
    // Directed links, as (sender, receiver), whose messages are dropped.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
};

class SimulatedGroup
{
public:
    // Delay in microseconds before a voter whose disk refused a write opens it again, as in StorageThread.
    static constexpr std::int64_t ReopenDelay = 700'000;

    SimulatedGroup(std::size_t size, std::uint64_t seed, unsigned clockRateBoundPercent = 10)
        : m_random(seed)
        , m_voters(size)
    {
        settings.clockRateBoundPercent = clockRateBoundPercent;
        settings.maxBatchEntries = 8;
        settings.maxInFlightEntries = 32;
        settings.snapshotChunkBytes = 16;
        settings.retainedEntries = 20;
        settings.promotionLag = 8;
        for (SimulatedVoter &voter : m_voters) {
            voter.id = newIdentity();
            m_initial.voters.insert(voter.id);
        }
        m_states.push_back(0);
        for (std::size_t node = 0; node < size; ++node) {
            start(node);
        }
    }

    ConsensusSettings settings;
    SimulatedNetwork network;
    std::uint64_t compactEvery = 60;
    // False if clocks may run at rates outside clockRateBoundPercent, which leases do not bear.
    bool clocksAreBounded = true;

    std::int64_t random(std::int64_t from, std::int64_t to)
    {
        return boost::random::uniform_int_distribution<std::int64_t>(from, to)(m_random);
    }
    bool chance(int percent) { return random(0, 99) < percent; }
    std::size_t size() const { return m_voters.size(); }
    SimulatedVoter &voter(std::size_t node) { return m_voters[node]; }
    Consensus *core(std::size_t node) { return m_voters[node].core.get(); }
    std::int64_t time() const { return m_time; }
    std::uint64_t steps() const { return m_steps; }
    std::uint64_t committed() const { return m_states.size() - 1; }
    std::uint64_t confirmedReads() const { return m_confirmedReads; }
    TimePoint local(std::size_t node) const
    {
        const SimulatedVoter &at = m_voters[node];
        return TimePoint(Duration(std::llround(at.clockBase + static_cast<double>(m_time - at.clockSetAt) * at.clockRate)));
    }

    // Running leader with the highest term, if any.
    std::optional<std::size_t> leader() const
    {
        std::optional<std::size_t> found;
        for (std::size_t node = 0; node < m_voters.size(); ++node) {
            const auto &core = m_voters[node].core;
            const bool leads = core && !m_voters[node].paused && core->role() == VoterRole::Leader;
            if (leads && (!found || core->term() > m_voters[*found].core->term())) {
                found = node;
            }
        }
        return found;
    }

    void start(std::size_t node)
    {
        SimulatedVoter &at = m_voters[node];
        RestoredState restored{
            at.disk.hardState, std::nullopt, at.disk.entries, m_initial.voters.count(at.id) > 0 ? m_initial : VoterMembership{}};
        if (at.disk.snapshot) {
            restored.snapshot = *at.disk.snapshot;
        }
        at.appliedIndex = 0;
        at.compactedAt = 0;
        at.state = 0;
        at.commit = 0;
        at.wakeAt = -1;
        settings.self = at.id;
        at.core = std::make_unique<Consensus>(settings, std::move(restored), m_random(), local(node));
        pump(node);
    }

    // Ends the process. With loseUnsynced a random prefix of the unsynced batches reaches the disk, otherwise all of them.
    void crash(std::size_t node, bool loseUnsynced)
    {
        SimulatedVoter &at = m_voters[node];
        if (!at.core) {
            return;
        }
        const auto all = static_cast<std::int64_t>(at.unsynced.size());
        const auto kept = loseUnsynced ? random(0, all) : all;
        for (std::int64_t batch = 0; batch < kept; ++batch) {
            at.disk.apply(at.unsynced[static_cast<std::size_t>(batch)]);
        }
        at.unsynced.clear();
        at.syncing = 0;
        ++at.incarnation;
        at.core.reset();
        at.paused = false;
        at.receivedWhilePaused.clear();
        at.reads.clear();
    }

    // From now on the disk refuses writes. The voter fails at the first one and opens the disk again after ReopenDelay.
    void fillDisk(std::size_t node) { m_voters[node].diskFull = true; }
    // The disk has room again. A failed voter continues when it opens the disk next.
    void freeDisk(std::size_t node) { m_voters[node].diskFull = false; }

    // Starts the process, which opens its disk. Opening writes; on a disk that is nearly full it may succeed, so that a later write fails.
    void open(std::size_t node)
    {
        SimulatedVoter &at = m_voters[node];
        if (at.diskFull && chance(50)) {
            schedule(Event{m_time + ReopenDelay, 0, node, at.incarnation, EventKind::Reopening, nullptr});
        } else {
            start(node);
        }
    }

    // Ends the process, deletes its data and restarts it with a new identity.
    void loseDisk(std::size_t node)
    {
        crash(node, true);
        SimulatedVoter &at = m_voters[node];
        m_retired.insert(at.id);
        at.disk = SimulatedDisk{};
        at.id = newIdentity();
        start(node);
    }

    // True if, in the latest membership known to each node, a quorum of disks remains after this node loses its disk, or after this node is
    // removed, respectively.
    bool mayLoseDisk(std::size_t node) const { return keepsQuorumWithout(m_voters[node].id, {}); }
    bool mayExclude(std::size_t node) const
    {
        const bool anotherExcluded = std::any_of(m_voters.begin(), m_voters.end(), [](const SimulatedVoter &at) { return at.excluded; });
        return !anotherExcluded && keepsQuorumWithout({}, m_voters[node].id);
    }

    void setClockRate(std::size_t node, double rate)
    {
        SimulatedVoter &at = m_voters[node];
        at.clockBase = static_cast<double>(local(node).time_since_epoch().count());
        at.clockSetAt = m_time;
        at.clockRate = rate;
        at.wakeAt = -1;
        if (at.core) {
            scheduleWake(node);
        }
    }

    void pause(std::size_t node) { m_voters[node].paused = m_voters[node].core != nullptr; }

    void resume(std::size_t node)
    {
        SimulatedVoter &at = m_voters[node];
        at.paused = false;
        for (const Envelope &envelope : std::exchange(at.receivedWhilePaused, {})) {
            deliver(node, envelope);
        }
        at.wakeAt = -1;
        if (at.core) {
            at.core->tick(local(node));
            finishSync(node);
        }
    }

    void cut(std::size_t from, std::size_t to) { network.cuts.insert({from, to}); }

    void isolate(std::size_t node)
    {
        for (std::size_t other = 0; other < m_voters.size(); ++other) {
            cut(node, other);
            cut(other, node);
        }
    }

    bool propose(std::size_t node, const std::string &payload)
    {
        const bool accepted = std::holds_alternative<Proposal>(core(node)->propose(payload, local(node)));
        pump(node);
        return accepted;
    }

    // Begins a read if the voter leads. When it is confirmed, the voter must know all entries that were committed before it.
    void beginRead(std::size_t node)
    {
        const auto mark = core(node)->beginRead(local(node));
        if (mark) {
            m_voters[node].reads.push_back({*mark, committed()});
        }
        pump(node);
    }

    // Proposes one random membership change that makes a current identity a voter or removes a lost one.
    void repairMembership(std::size_t node)
    {
        Consensus &leader = *core(node);
        const VoterMembership members = leader.membership();
        std::vector<MembershipChange> candidates;
        for (const SimulatedVoter &at : m_voters) {
            const bool known = members.voters.count(at.id) + members.learners.count(at.id) > 0;
            if (at.excluded && known) {
                candidates.push_back({MembershipChangeKind::Remove, at.id});
            } else if (!at.excluded && !known) {
                candidates.push_back({MembershipChangeKind::AddLearner, at.id});
            } else if (!at.excluded && members.learners.count(at.id) > 0) {
                candidates.push_back({MembershipChangeKind::PromoteLearner, at.id});
            }
        }
        for (const VoterId &lost : m_retired) {
            if (members.voters.count(lost) + members.learners.count(lost) > 0) {
                candidates.push_back({MembershipChangeKind::Remove, lost});
            }
        }
        if (!candidates.empty()) {
            leader.proposeMembership(candidates[static_cast<std::size_t>(random(0, static_cast<std::int64_t>(candidates.size()) - 1))],
                                     local(node));
            pump(node);
        }
    }

    bool hasConverged() const
    {
        std::set<VoterId> all;
        for (const SimulatedVoter &at : m_voters) {
            all.insert(at.id);
        }
        for (const SimulatedVoter &at : m_voters) {
            const bool agrees = at.core && at.appliedIndex == committed() && at.core->membership() == VoterMembership{all, {}};
            if (!agrees) {
                return false;
            }
        }
        return true;
    }

    void heal()
    {
        network = SimulatedNetwork{};
        for (std::size_t node = 0; node < m_voters.size(); ++node) {
            m_voters[node].excluded = false;
            freeDisk(node);
            if (!m_voters[node].core) {
                start(node);
            }
            if (m_voters[node].paused) {
                resume(node);
            }
        }
    }

    void pump(std::size_t node)
    {
        SimulatedVoter &at = m_voters[node];
        ConsensusActions actions = at.core->takeActions(local(node));
        for (Envelope &envelope : actions.messages) {
            send(node, std::move(envelope));
        }
        applyCommitted(node, actions);
        if (actions.mark) {
            actions.committed.clear();
            actions.messages.clear();
            at.unsynced.push_back(std::move(actions));
            startSync(node);
        }
        check(node);
        if (at.appliedIndex > at.compactedAt + compactEvery) {
            at.compactedAt = at.appliedIndex;
            at.core->compact(LogIndex{at.appliedIndex}, stateText(at.state));
        }
        scheduleWake(node);
    }

    // Runs the next event and returns true. If there is none up to this time, advances the time to it and returns false.
    bool step(std::int64_t until)
    {
        if (m_events.empty() || m_events.top().at > until) {
            m_time = until;
            return false;
        }
        const Event event = m_events.top();
        m_events.pop();
        m_time = std::max(m_time, event.at);
        ++m_steps;
        SimulatedVoter &at = m_voters[event.node];
        if (event.envelope) {
            deliver(event.node, *event.envelope);
        } else if (event.kind == EventKind::Reopening) {
            if (!at.core && at.incarnation == event.incarnation) {
                open(event.node);
            }
        } else if (at.core && at.incarnation == event.incarnation && !at.paused) {
            if (event.kind == EventKind::Sync) {
                finishSync(event.node);
            } else if (event.at == at.wakeAt) {
                at.wakeAt = -1;
                at.core->tick(local(event.node));
                pump(event.node);
            }
        }
        return true;
    }

    void run(std::int64_t duration)
    {
        const std::int64_t until = m_time + duration;
        while (step(until)) { }
    }

private:
    enum class EventKind { Wake, Sync, Reopening };

    struct Event {
        std::int64_t at = 0;
        std::uint64_t order = 0;
        std::size_t node = 0;
        unsigned incarnation = 0;
        EventKind kind = EventKind::Wake;
        std::shared_ptr<const Envelope> envelope;

        bool operator<(const Event &other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    bool keepsQuorumWithout(const VoterId &lost, const VoterId &excluded) const
    {
        std::set<VoterId> allLost = m_retired;
        allLost.insert(lost);
        std::set<VoterId> allExcluded{excluded};
        for (const SimulatedVoter &at : m_voters) {
            allExcluded.insert(at.excluded ? at.id : excluded);
        }
        // A deliberately removed voter may belong to one membership and not to the next, so both cases are checked.
        const auto keepsQuorum = [&allLost, &allExcluded](const std::set<VoterId> &voters) {
            std::size_t lostVoters = 0;
            std::size_t remainingVoters = 0;
            std::size_t remainingIntact = 0;
            for (const VoterId &voter : voters) {
                const bool isLost = allLost.count(voter) > 0;
                const bool remains = allExcluded.count(voter) == 0;
                lostVoters += isLost ? 1 : 0;
                remainingVoters += remains ? 1 : 0;
                remainingIntact += remains && !isLost ? 1 : 0;
            }
            return lostVoters * 2 < voters.size() && remainingIntact > remainingVoters / 2;
        };
        return std::all_of(m_voters.begin(), m_voters.end(), [&keepsQuorum](const SimulatedVoter &at) {
            return at.core && (at.core->membership().voters.empty() || keepsQuorum(at.core->membership().voters));
        });
    }

    static std::string stateText(std::size_t state)
    {
        const std::string text = std::to_string(state);
        return text + std::string(30, '.');
    }

    VoterId newIdentity() { return VoterId{"v" + std::to_string(++m_identities)}; }

    void schedule(Event event)
    {
        event.order = ++m_order;
        m_events.push(std::move(event));
    }

    void scheduleWake(std::size_t node)
    {
        SimulatedVoter &at = m_voters[node];
        const TimePoint deadline = at.core->nextDeadline();
        if (deadline == TimePoint::max()) {
            return;
        }
        const auto wait = static_cast<double>((deadline - local(node)).count()) / at.clockRate;
        const std::int64_t wakeAt = m_time + std::max<std::int64_t>(1, static_cast<std::int64_t>(wait) + 1);
        if (at.wakeAt < 0 || wakeAt < at.wakeAt) {
            at.wakeAt = wakeAt;
            schedule(Event{wakeAt, 0, node, at.incarnation, EventKind::Wake, nullptr});
        }
    }

    void startSync(std::size_t node)
    {
        SimulatedVoter &at = m_voters[node];
        if (at.syncing == 0 && !at.unsynced.empty()) {
            at.syncing = at.unsynced.size();
            schedule(Event{m_time + random(network.minSync, network.maxSync), 0, node, at.incarnation, EventKind::Sync, nullptr});
        }
    }

    void finishSync(std::size_t node)
    {
        SimulatedVoter &at = m_voters[node];
        if (at.diskFull && at.syncing > 0) {
            // A part of the batches may have reached the disk before it was full.
            crash(node, true);
            schedule(Event{m_time + ReopenDelay, 0, node, at.incarnation, EventKind::Reopening, nullptr});
            return;
        }
        std::optional<PersistedMark> mark;
        for (; at.syncing > 0; --at.syncing) {
            at.disk.apply(at.unsynced.front());
            mark = at.unsynced.front().mark;
            at.unsynced.pop_front();
        }
        if (mark) {
            at.core->persisted(*mark);
        }
        startSync(node);
        pump(node);
    }

    void send(std::size_t from, Envelope envelope)
    {
        const auto shared = std::make_shared<const Envelope>(std::move(envelope));
        for (std::size_t to = 0; to < m_voters.size(); ++to) {
            if (m_voters[to].id != shared->to || network.cuts.count({from, to}) > 0 || chance(network.dropPercent)) {
                continue;
            }
            for (int copies = chance(network.repeatPercent) ? 2 : 1; copies > 0; --copies) {
                schedule(Event{m_time + random(100, network.maxDelay), 0, to, 0, EventKind::Wake, shared});
            }
        }
    }

    void deliver(std::size_t node, const Envelope &envelope)
    {
        SimulatedVoter &at = m_voters[node];
        if (!at.core || at.id != envelope.to) {
            return;
        }
        if (at.paused) {
            at.receivedWhilePaused.push_back(envelope);
            return;
        }
        at.core->receive(envelope, local(node));
        pump(node);
    }

    void applyCommitted(std::size_t node, const ConsensusActions &actions)
    {
        SimulatedVoter &at = m_voters[node];
        if (actions.restore) {
            at.appliedIndex = actions.restore->index.value;
            at.compactedAt = at.appliedIndex;
            require(at.appliedIndex < m_states.size(), "a snapshot contains an uncommitted entry", node);
            at.state = m_states[at.appliedIndex];
            require(actions.restore->data == stateText(at.state), "a snapshot differs from the committed log", node);
        }
        for (const LogEntry &entry : actions.committed) {
            require(entry.index.value == at.appliedIndex + 1, "gap in the committed entries", node);
            at.appliedIndex = entry.index.value;
            boost::hash_combine(at.state, entry.term.value);
            boost::hash_combine(at.state, entry.payload);
            if (at.appliedIndex == m_states.size()) {
                m_states.push_back(at.state);
            }
            require(m_states[at.appliedIndex] == at.state, "a committed entry was lost or replaced", node);
        }
    }

    void check(std::size_t node)
    {
        SimulatedVoter &at = m_voters[node];
        require(at.core->commitIndex().value >= at.commit, "the commit index decreased", node);
        at.commit = at.core->commitIndex().value;
        if (at.core->role() != VoterRole::Leader) {
            return;
        }
        const auto known = m_leaders.emplace(at.core->term().value, at.id).first;
        require(known->second == at.id, "two leaders in the same term", node);
        checkReads(node);
        if (!clocksAreBounded || !at.core->leaseHeld(local(node))) {
            return;
        }
        require(at.commit == committed(), "a leader holds a lease without knowing the latest committed entry", node);
        for (std::size_t other = 0; other < m_voters.size(); ++other) {
            const bool bothHeld = other != node && m_voters[other].core && m_voters[other].core->leaseHeld(local(other));
            require(!bothHeld, "two leaders hold a lease at the same time", node);
        }
    }

    void checkReads(std::size_t node)
    {
        SimulatedVoter &at = m_voters[node];
        m_confirmedReads += std::erase_if(at.reads, [&](const SimulatedRead &read) {
            const bool isConfirmed = at.core->isReadConfirmed(read.mark);
            require(!isConfirmed || at.commit >= read.committedBefore, "a confirmed read misses an entry committed before it", node);
            return isConfirmed;
        });
    }

    void require(bool holds, const std::string &property, std::size_t node) const
    {
        if (!holds) {
            throw InvariantViolation(property + ", at node " + std::to_string(node) + ", step " + std::to_string(m_steps));
        }
    }

    boost::random::mt19937_64 m_random;
    std::vector<SimulatedVoter> m_voters;
    VoterMembership m_initial;
    std::set<VoterId> m_retired;
    std::priority_queue<Event> m_events;
    std::int64_t m_time = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_steps = 0;
    std::uint64_t m_identities = 0;
    std::uint64_t m_confirmedReads = 0;
    // Hash of the state after each committed entry.
    std::vector<std::size_t> m_states;
    std::map<std::uint64_t, VoterId> m_leaders;
};

} // namespace Hemlockhill
