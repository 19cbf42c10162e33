// Tests of consensus in specific failure scenarios.
#include "consensus/simulated_group.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

constexpr std::int64_t Millisecond = 1'000;
constexpr std::int64_t Second = 1'000 * Millisecond;
constexpr std::uint64_t Seed = 7;
constexpr std::uint64_t ElectionSeeds = 100;
// A clock at this rate does not advance in the course of a test.
constexpr double StoppedRate = 1e-9;
constexpr std::int64_t ElectionLimit = 120 * Second;

std::size_t awaitLeader(SimulatedGroup &group)
{
    for (std::int64_t waited = 0; waited < 20 * Second; waited += 10 * Millisecond) {
        const auto leader = group.leader();
        if (leader && group.core(*leader)->leaseHeld(group.local(*leader))) {
            return *leader;
        }
        group.run(10 * Millisecond);
    }
    throw InvariantViolation("no leader was elected");
}

// Returns the time until a leader holds a lease, or the limit if none does by then.
std::int64_t timeUntilLease(SimulatedGroup &group, std::int64_t limit)
{
    const std::int64_t start = group.time();
    while (group.time() < start + limit) {
        const auto leader = group.leader();
        if (leader && group.core(*leader)->leaseHeld(group.local(*leader))) {
            return group.time() - start;
        }
        group.run(10 * Millisecond);
    }
    return limit;
}

// Runs until a new command is committed and returns how long that took.
std::int64_t commitOne(SimulatedGroup &group)
{
    const std::int64_t start = group.time();
    const std::uint64_t before = group.committed();
    group.propose(awaitLeader(group), "one more");
    while (group.committed() == before && group.time() < start + 20 * Second) {
        group.run(Millisecond);
    }
    BOOST_REQUIRE(group.committed() > before);
    return group.time() - start;
}

void repair(SimulatedGroup &group)
{
    for (int rounds = 0; rounds < 1000 && !group.hasConverged(); ++rounds) {
        group.repairMembership(awaitLeader(group));
        group.run(20 * Millisecond);
    }
    BOOST_REQUIRE(group.hasConverged());
}

Reason refusalOf(const std::variant<Proposal, Refusal> &result)
{
    const auto *refused = std::get_if<Refusal>(&result);
    return refused == nullptr ? Reason::Internal : refused->reason;
}

const VoterId A{"a"};
const VoterId B{"b"};
const VoterId C{"c"};

// One voter of a group of three, driven directly by the test.
struct SingleVoter {
    explicit SingleVoter(std::vector<LogEntry> entries, Term term, VoterId votedFor = {})
        : core(settings(),
               RestoredState{HardState{term, std::move(votedFor)}, std::nullopt, std::move(entries), VoterMembership{{A, B, C}, {}}},
               Seed,
               now)
    {
    }

    static ConsensusSettings settings()
    {
        ConsensusSettings settings;
        settings.self = A;
        return settings;
    }

    std::vector<Envelope> act()
    {
        ConsensusActions actions = core.takeActions(now);
        if (actions.mark) {
            core.persisted(*actions.mark);
        }
        std::vector<Envelope> messages = std::move(actions.messages);
        for (Envelope &envelope : core.takeActions(now).messages) {
            messages.push_back(std::move(envelope));
        }
        return messages;
    }

    void receive(const VoterId &from, ConsensusMessage message) { core.receive(Envelope{from, A, std::move(message)}, now); }

    void becomeLeader()
    {
        now = core.nextDeadline();
        core.tick(now);
        receive(B, PreVoteReply{core.term() + Term{1}, true});
        act();
        receive(B, VoteReply{core.term(), true});
        act();
        BOOST_REQUIRE(core.role() == VoterRole::Leader);
    }

    void timeOut()
    {
        now = core.nextDeadline();
        core.tick(now);
        act();
        BOOST_REQUIRE(core.role() == VoterRole::PreCandidate);
    }

    // Stands in the next term and, without an answer by the end of the election timeout, asks for pre-votes again.
    void becomePreCandidateAfterElection()
    {
        timeOut();
        receive(B, PreVoteReply{core.term() + Term{1}, true});
        act();
        BOOST_REQUIRE(core.role() == VoterRole::Candidate);
        timeOut();
    }

    TimePoint now{std::chrono::hours(1)};
    Consensus core;
};

} // namespace

BOOST_AUTO_TEST_CASE(entry_of_earlier_term_is_committed_only_through_entry_of_current_term)
{
    SingleVoter voter({LogEntry{Term{1}, LogIndex{1}, EntryKind::Noop, {}}, LogEntry{Term{2}, LogIndex{2}, EntryKind::Command, "x"}},
                      Term{2});
    voter.becomeLeader();
    voter.receive(B, AppendReply{Term{3}, true, LogIndex{1}, LogIndex{2}, voter.now});
    BOOST_TEST(voter.core.commitIndex().value == 0U);
    voter.receive(B, AppendReply{Term{3}, true, LogIndex{2}, LogIndex{3}, voter.now});
    BOOST_TEST(voter.core.commitIndex().value == 3U);
}

BOOST_AUTO_TEST_CASE(leader_counts_itself_towards_quorum_only_after_sync)
{
    SingleVoter voter({}, Term{1});
    voter.becomeLeader();
    voter.core.propose("x", voter.now);
    const ConsensusActions append = voter.core.takeActions(voter.now);
    voter.receive(B, AppendReply{voter.core.term(), true, LogIndex{1}, LogIndex{2}, voter.now});
    BOOST_TEST(voter.core.commitIndex().value == 1U);
    voter.core.persisted(append.mark.value());
    BOOST_TEST(voter.core.commitIndex().value == 2U);
}

// A leader kept 1,024 entries of any size in memory after a snapshot, and sent all of them to a voter that had been away at once.
BOOST_AUTO_TEST_CASE(returning_voter_is_sent_a_day_of_large_entries_at_once)
{
    constexpr std::size_t Entries = 600;
    constexpr std::size_t EntryBytes = 100'000;
    constexpr std::size_t SentLimit = std::size_t{8} << 20U;
    SingleVoter voter({}, Term{1});
    voter.becomeLeader();
    for (std::size_t count = 0; count < Entries; ++count) {
        voter.core.propose(std::string(EntryBytes, 'x'), voter.now);
        voter.act();
        voter.receive(B, AppendReply{voter.core.term(), true, LogIndex{}, voter.core.lastIndex(), voter.now});
        voter.act();
    }
    voter.core.compact(voter.core.commitIndex(), "state");
    voter.receive(C, AppendReply{voter.core.term(), false, LogIndex{}, LogIndex{}, voter.now});
    std::size_t sent = 0;
    const auto count = [&sent](const std::vector<Envelope> &messages) {
        for (const Envelope &envelope : messages) {
            const auto *append = std::get_if<AppendRequest>(&envelope.message);
            for (const LogEntry &entry : append == nullptr ? std::vector<LogEntry>{} : append->entries) {
                sent += entry.payload.size();
            }
        }
    };
    count(voter.act());
    // The first entries have arrived, so its log is known to match.
    voter.receive(C, AppendReply{voter.core.term(), true, LogIndex{}, LogIndex{2}, voter.now});
    count(voter.act());
    BOOST_CHECK_LE(sent, SentLimit);
}

// A voter that was behind was only sent entries, which it acknowledges once they are synced, and no heartbeats.
BOOST_AUTO_TEST_CASE(voter_that_syncs_slowly_gets_its_entries_with_each_heartbeat)
{
    constexpr int Heartbeats = 5;
    std::vector<LogEntry> entries;
    for (std::uint64_t index = 1; index <= 10; ++index) {
        entries.push_back(LogEntry{Term{1}, LogIndex{index}, EntryKind::Command, "x"});
    }
    SingleVoter voter(std::move(entries), Term{1});
    voter.becomeLeader();
    voter.receive(C, AppendReply{voter.core.term(), false, LogIndex{10}, LogIndex{4}, voter.now});
    voter.act();
    int withEntries = 0;
    for (int count = 0; count < Heartbeats; ++count) {
        voter.now += SingleVoter::settings().heartbeat;
        for (const Envelope &envelope : voter.act()) {
            const auto *append = std::get_if<AppendRequest>(&envelope.message);
            withEntries += envelope.to == C && append != nullptr && !append->entries.empty() ? 1 : 0;
        }
    }
    BOOST_CHECK_EQUAL(withEntries, 0);
}

// Nobody led while the voters took longer than an election timeout to sync the first entry of a term.
BOOST_AUTO_TEST_CASE(new_leader_steps_down_before_voters_have_synced_its_first_entry)
{
    constexpr int Heartbeats = 30;
    SingleVoter voter({}, Term{1});
    voter.becomeLeader();
    for (int count = 0; count < Heartbeats; ++count) {
        voter.now += SingleVoter::settings().heartbeat;
        voter.core.tick(voter.now);
        for (const Envelope &envelope : voter.act()) {
            const auto *append = std::get_if<AppendRequest>(&envelope.message);
            if (envelope.to == B && append != nullptr && append->entries.empty()) {
                voter.receive(B, AppendReply{voter.core.term(), true, append->previousIndex, LogIndex{}, append->sentAt});
            }
        }
    }
    BOOST_CHECK(voter.core.role() == VoterRole::Leader);
}

BOOST_AUTO_TEST_CASE(vote_survives_restart)
{
    SingleVoter voter({}, Term{5}, B);
    voter.now += std::chrono::seconds(10);
    voter.receive(C, VoteRequest{Term{5}, LogIndex{}, Term{}, false});
    const std::vector<Envelope> messages = voter.act();
    BOOST_REQUIRE(messages.size() == 1U);
    BOOST_TEST(!std::get<VoteReply>(messages.front().message).granted);
}

BOOST_AUTO_TEST_CASE(overwritten_entries_do_not_count_as_synced)
{
    const auto entry = [](std::uint64_t term, std::uint64_t index) {
        return LogEntry{Term{term}, LogIndex{index}, EntryKind::Command, "x"};
    };
    for (const bool restored : {true, false}) {
        const std::vector<LogEntry> old{entry(1, 1), entry(1, 2), entry(1, 3)};
        SingleVoter voter(restored ? old : std::vector<LogEntry>{}, Term{1});
        if (!restored) {
            voter.receive(C, AppendRequest{Term{1}, LogIndex{}, Term{}, LogIndex{}, old, voter.now});
            voter.core.takeActions(voter.now);
        }
        voter.receive(B, AppendRequest{Term{2}, LogIndex{1}, Term{1}, LogIndex{}, {entry(2, 2)}, voter.now});
        voter.act();
        voter.now = voter.core.nextDeadline();
        voter.core.tick(voter.now);
        voter.receive(B, PreVoteReply{Term{3}, true});
        voter.act();
        voter.receive(B, VoteReply{Term{3}, true});
        // The new leader has not yet synced its own entry at index 3.
        voter.receive(B, AppendReply{Term{3}, true, LogIndex{2}, LogIndex{3}, voter.now});
        BOOST_TEST(voter.core.commitIndex().value == 0U);
        voter.act();
        BOOST_TEST(voter.core.commitIndex().value == 3U);
    }
}

BOOST_AUTO_TEST_CASE(leader_steps_down_on_reply_with_higher_term)
{
    SingleVoter voter({}, Term{1});
    voter.becomeLeader();
    voter.receive(C, AppendReply{Term{9}, false, LogIndex{}, LogIndex{}, voter.now});
    BOOST_TEST((voter.core.role() == VoterRole::Follower));
    BOOST_TEST(voter.core.term().value == 9U);
}

BOOST_AUTO_TEST_CASE(vote_and_acknowledgement_are_sent_only_after_sync)
{
    SingleVoter voter({}, Term{1});
    voter.now += std::chrono::seconds(10);
    voter.receive(B, VoteRequest{Term{5}, LogIndex{}, Term{}, false});
    const ConsensusActions vote = voter.core.takeActions(voter.now);
    BOOST_REQUIRE(vote.mark.has_value());
    BOOST_TEST((vote.hardState == HardState{Term{5}, B}));
    BOOST_TEST(vote.messages.empty());
    voter.core.persisted(*vote.mark);
    BOOST_TEST(voter.core.takeActions(voter.now).messages.size() == 1U);

    const LogEntry entry{Term{5}, LogIndex{1}, EntryKind::Command, "x"};
    voter.receive(B, AppendRequest{Term{5}, LogIndex{}, Term{}, LogIndex{}, {entry}, voter.now});
    const ConsensusActions append = voter.core.takeActions(voter.now);
    BOOST_TEST(append.append.size() == 1U);
    BOOST_TEST(append.messages.empty());
    voter.core.persisted(append.mark.value());
    BOOST_TEST(voter.core.takeActions(voter.now).messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(voter_with_recent_leader_grants_no_vote)
{
    SingleVoter voter({}, Term{1});
    voter.receive(B, AppendRequest{Term{5}, LogIndex{}, Term{}, LogIndex{}, {}, voter.now});
    voter.act();
    voter.now += std::chrono::milliseconds(999);
    voter.receive(C, PreVoteRequest{Term{6}, LogIndex{9}, Term{5}});
    voter.receive(C, VoteRequest{Term{6}, LogIndex{9}, Term{5}, false});
    BOOST_TEST(voter.core.term().value == 5U);
    for (const Envelope &envelope : voter.act()) {
        const auto *reply = std::get_if<PreVoteReply>(&envelope.message);
        BOOST_TEST((reply != nullptr && !reply->granted));
    }
    voter.now += std::chrono::milliseconds(1);
    voter.receive(C, VoteRequest{Term{6}, LogIndex{9}, Term{5}, false});
    BOOST_TEST(voter.core.term().value == 6U);
}

BOOST_AUTO_TEST_CASE(restarted_voter_waits_for_election_timeout_before_voting)
{
    SimulatedGroup group(3, Seed);
    const std::size_t leader = awaitLeader(group);
    const std::size_t restarted = (leader + 1) % 3;
    const std::size_t candidate = (leader + 2) % 3;
    group.cut(leader, candidate);
    group.cut(candidate, leader);
    // Each step of the group checks that at most one lease is held.
    for (int restarts = 0; restarts < 100; ++restarts) {
        group.crash(restarted, false);
        group.start(restarted);
        group.run(60 * Millisecond);
    }
    BOOST_TEST(group.core(leader)->leaseHeld(group.local(leader)));
}

BOOST_AUTO_TEST_CASE(commands_are_committed_within_three_seconds_of_leader_crash)
{
    int late = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        SimulatedGroup group(3, seed);
        const std::size_t leader = awaitLeader(group);
        group.propose(leader, "in the middle");
        group.crash(leader, true);
        late += commitOne(group) > 3 * Second ? 1 : 0;
    }
    BOOST_TEST(late <= 5);
}

BOOST_AUTO_TEST_CASE(resumed_leader_has_no_lease_and_commits_nothing)
{
    SimulatedGroup group(3, Seed);
    const std::size_t old = awaitLeader(group);
    group.pause(old);
    group.run(5 * Second);
    commitOne(group);
    BOOST_TEST(!group.core(old)->leaseHeld(group.local(old)));
    group.resume(old);
    BOOST_TEST((group.core(old)->role() != VoterRole::Leader));
    group.run(Second);
    BOOST_TEST(group.hasConverged());
}

BOOST_AUTO_TEST_CASE(leader_without_replies_steps_down)
{
    SimulatedGroup group(3, Seed);
    const std::size_t old = awaitLeader(group);
    for (std::size_t other = 0; other < 3; ++other) {
        group.cut(other, old);
    }
    group.run(1500 * Millisecond);
    BOOST_TEST((group.core(old)->role() != VoterRole::Leader));
    BOOST_TEST((refusalOf(group.core(old)->propose("x", group.local(old))) == Reason::NotLeader));
    commitOne(group);
}

// The first entry of a term was never committed, since its leader stepped down before.
BOOST_AUTO_TEST_CASE(nobody_leads_while_syncs_take_longer_than_an_election_timeout)
{
    constexpr std::int64_t SyncTime = 1100 * Millisecond;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SimulatedGroup group(3, seed);
        group.network.minSync = SyncTime;
        group.network.maxSync = SyncTime;
        bool hasLed = false;
        while (!hasLed && group.time() < 30 * Second) {
            group.run(50 * Millisecond);
            const auto leader = group.leader();
            hasLed = leader && group.core(*leader)->leaseHeld(group.local(*leader));
        }
        BOOST_TEST(hasLed, "no lease within 30 s, seed " << seed);
    }
}

// Syncs take almost as long as an election timeout, and a write is always in progress.
BOOST_AUTO_TEST_CASE(leadership_is_lost_while_disks_are_slow)
{
    constexpr std::int64_t SyncTime = 850 * Millisecond;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SimulatedGroup group(3, seed);
        group.network.minSync = SyncTime;
        group.network.maxSync = SyncTime;
        group.run(20 * Second);
        const auto leader = group.leader();
        BOOST_REQUIRE_MESSAGE(leader, "no leader after 20 s, seed " << seed);
        const Term term = group.core(*leader)->term();
        const std::uint64_t committed = group.committed();
        for (int number = 0; number < 200 && group.leader() == leader; ++number) {
            group.propose(*leader, "command " + std::to_string(number));
            group.run(100 * Millisecond);
        }
        BOOST_TEST((group.leader() == leader && group.core(*leader)->term() == term), "another leader, seed " << seed);
        BOOST_TEST(group.core(*leader)->leaseHeld(group.local(*leader)), "no lease, seed " << seed);
        BOOST_TEST(group.committed() >= committed + 170, "committed " << group.committed() - committed << ", seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(new_leader_loses_its_quorum_while_its_first_entry_is_synced)
{
    SingleVoter voter({}, Term{1});
    voter.becomeLeader();
    voter.act();
    const TimePoint start = voter.now;
    while (voter.now < start + std::chrono::seconds(5)) {
        voter.now = voter.core.nextDeadline();
        voter.core.tick(voter.now);
        // B answers what it may answer before its sync.
        for (const Envelope &envelope : voter.act()) {
            const auto *request = std::get_if<AppendRequest>(&envelope.message);
            if (request != nullptr && envelope.to == B && request->entries.empty()) {
                voter.receive(B, AppendReply{request->term, true, request->previousIndex, LogIndex{}, request->sentAt});
            }
        }
        BOOST_REQUIRE((voter.core.role() == VoterRole::Leader));
    }
    voter.receive(B, AppendReply{voter.core.term(), true, LogIndex{}, LogIndex{1}, voter.now});
    BOOST_TEST(voter.core.leaseHeld(voter.now));
}

BOOST_AUTO_TEST_CASE(lost_first_entry_is_sent_again)
{
    SingleVoter voter({}, Term{1});
    voter.becomeLeader();
    voter.act();
    voter.now = voter.core.nextDeadline();
    voter.core.tick(voter.now);
    voter.act();
    voter.receive(B, AppendReply{voter.core.term(), true, LogIndex{}, LogIndex{}, voter.now});
    const std::vector<Envelope> messages = voter.act();
    BOOST_REQUIRE(messages.size() == 1U);
    BOOST_TEST(std::get<AppendRequest>(messages.front().message).entries.size() == 1U);
}

// All voters restart at once. Each step of the group checks that a term has one leader.
BOOST_AUTO_TEST_CASE(no_election_ends_on_disks_that_sync_slower_than_the_election_timeout)
{
    // In tenths of the election timeout.
    for (const std::int64_t tenths : {3, 6, 10, 15, 20, 30}) {
        for (const auto &[shortest, absent] : {std::pair(90, 0U), std::pair(90, 1U), std::pair(0, 0U), std::pair(0, 1U)}) {
            int late = 0;
            std::vector<std::int64_t> took;
            for (std::uint64_t seed = 1; seed <= ElectionSeeds; ++seed) {
                SimulatedGroup group(seed % 2 == 0 ? 3 : 5, seed);
                const std::int64_t timeout = group.settings.electionTimeout.count();
                group.run(20 * Second);
                for (std::size_t node = 0; node < group.size(); ++node) {
                    group.crash(node, true);
                }
                const std::int64_t syncTime = timeout * tenths / 10;
                group.network.minSync = std::max<std::int64_t>(1, syncTime * shortest / 100);
                group.network.maxSync = syncTime;
                for (std::size_t node = absent; node < group.size(); ++node) {
                    group.start(node);
                }
                took.push_back(timeUntilLease(group, ElectionLimit));
                // One more round of pre-votes, and two syncs for each of both votes and the first entry.
                late += took.back() > 4 * timeout + 6 * syncTime ? 1 : 0;
            }
            std::sort(took.begin(), took.end());
            const std::string syncs = std::to_string(shortest) + " to 100 % of " + std::to_string(tenths) + "/10 election timeouts, "
                                      + std::to_string(absent) + " absent";
            BOOST_TEST_MESSAGE("syncs of " << syncs << ": lease after " << took[took.size() / 2] / Millisecond << " ms (median), "
                                           << took[took.size() * 95 / 100] / Millisecond << " ms (p95), " << took.back() / Millisecond
                                           << " ms (longest), " << late << " late");
            BOOST_TEST(took.back() < ElectionLimit, "no leader, syncs of " << syncs);
            BOOST_TEST(late * 20 <= static_cast<int>(took.size()), late << " late, syncs of " << syncs);
        }
    }
}

BOOST_AUTO_TEST_CASE(vote_that_arrives_after_the_election_timeout_is_lost)
{
    SingleVoter voter({}, Term{1});
    voter.becomePreCandidateAfterElection();
    BOOST_TEST(voter.core.term().value == 2U);
    voter.receive(C, VoteReply{Term{1}, true});
    BOOST_TEST((voter.core.role() == VoterRole::PreCandidate));
    voter.receive(B, VoteReply{Term{2}, true});
    BOOST_TEST((voter.core.role() == VoterRole::Leader));
    BOOST_TEST(voter.core.term().value == 2U);
    BOOST_TEST((voter.core.leader() == A));
}

BOOST_AUTO_TEST_CASE(late_votes_of_an_ended_election_do_not_count)
{
    // A leader of the term is known.
    SingleVoter following({}, Term{1});
    following.becomePreCandidateAfterElection();
    following.receive(B, AppendRequest{Term{2}, LogIndex{}, Term{}, LogIndex{}, {}, following.now});
    following.act();
    following.receive(C, VoteReply{Term{2}, true});
    BOOST_TEST((following.core.role() == VoterRole::Follower));
    following.timeOut();
    following.receive(C, VoteReply{Term{2}, true});
    following.receive(B, VoteReply{Term{2}, true});
    BOOST_TEST((following.core.role() == VoterRole::PreCandidate));

    // The voter has led the term already.
    SingleVoter deposed({}, Term{1});
    deposed.becomeLeader();
    deposed.now += std::chrono::seconds(5);
    deposed.core.tick(deposed.now);
    deposed.act();
    BOOST_TEST((deposed.core.role() == VoterRole::Follower));
    deposed.timeOut();
    deposed.receive(C, VoteReply{Term{2}, true});
    deposed.receive(B, VoteReply{Term{2}, true});
    BOOST_TEST((deposed.core.role() == VoterRole::PreCandidate));

    // A higher term is known.
    SingleVoter outdated({}, Term{1});
    outdated.becomePreCandidateAfterElection();
    outdated.receive(C, VoteRequest{Term{3}, LogIndex{}, Term{}, false});
    outdated.act();
    outdated.receive(B, VoteReply{Term{2}, true});
    BOOST_TEST((outdated.core.role() == VoterRole::Follower));
    BOOST_TEST(outdated.core.term().value == 3U);

    // The next election has begun.
    SingleVoter standingAgain({}, Term{1});
    standingAgain.becomePreCandidateAfterElection();
    standingAgain.receive(B, PreVoteReply{Term{3}, true});
    standingAgain.act();
    standingAgain.receive(B, VoteReply{Term{2}, true});
    BOOST_TEST((standingAgain.core.role() == VoterRole::Candidate));
    BOOST_TEST(standingAgain.core.term().value == 3U);
}

BOOST_AUTO_TEST_CASE(voter_stands_against_the_candidate_that_its_vote_is_not_yet_synced_for)
{
    SingleVoter voter({}, Term{1});
    voter.now += std::chrono::seconds(10);
    voter.receive(B, VoteRequest{Term{2}, LogIndex{}, Term{}, false});
    const ConsensusActions vote = voter.core.takeActions(voter.now);
    constexpr std::chrono::seconds SyncTime(2);
    const TimePoint synced = voter.now + SyncTime;
    while (voter.now < synced) {
        voter.now = std::min(synced, voter.core.nextDeadline());
        voter.core.tick(voter.now);
        BOOST_REQUIRE((voter.core.role() == VoterRole::Follower));
    }
    voter.core.persisted(vote.mark.value());
    BOOST_TEST(voter.core.takeActions(voter.now).messages.size() == 1U);
    // The candidate may need another voter whose sync takes as long.
    BOOST_TEST((voter.core.nextDeadline() >= synced + SyncTime + SingleVoter::settings().electionTimeout));
}

BOOST_AUTO_TEST_CASE(voter_stopped_during_sync_of_its_vote_waits_for_a_few_election_timeouts_only)
{
    SingleVoter voter({}, Term{1});
    voter.now += std::chrono::seconds(10);
    voter.receive(B, VoteRequest{Term{2}, LogIndex{}, Term{}, false});
    const ConsensusActions vote = voter.core.takeActions(voter.now);
    voter.now += std::chrono::minutes(10);
    voter.core.persisted(vote.mark.value());
    voter.core.takeActions(voter.now);
    BOOST_TEST((voter.core.nextDeadline() <= voter.now + 10 * SingleVoter::settings().electionTimeout));
}

BOOST_AUTO_TEST_CASE(voter_returning_from_partition_does_not_disrupt_leader)
{
    SimulatedGroup group(3, Seed);
    const std::size_t leader = awaitLeader(group);
    const Term term = group.core(leader)->term();
    group.isolate((leader + 1) % 3);
    group.run(30 * Second);
    group.heal();
    group.run(5 * Second);
    BOOST_TEST((group.core(leader)->role() == VoterRole::Leader));
    BOOST_TEST(group.core(leader)->term() == term);
}

BOOST_AUTO_TEST_CASE(leadership_transfer_needs_no_election_timeout)
{
    SimulatedGroup group(3, Seed);
    const std::size_t old = awaitLeader(group);
    BOOST_TEST(group.core(old)->transferLeadership(group.local(old)));
    group.pump(old);
    BOOST_TEST((refusalOf(group.core(old)->propose("x", group.local(old))) == Reason::NotLeader));
    group.run(100 * Millisecond);
    BOOST_TEST((group.core(old)->role() == VoterRole::Follower));
    BOOST_TEST(commitOne(group) < 100 * Millisecond);
}

BOOST_AUTO_TEST_CASE(lost_transfer_request_ends_lease_of_old_leader)
{
    SimulatedGroup group(3, Seed);
    const std::size_t old = awaitLeader(group);
    BOOST_TEST(group.core(old)->transferLeadership(group.local(old)));
    // The TimeoutNow message is lost. The old leader cannot know this, so it must not keep its lease.
    group.isolate(old);
    group.pump(old);
    group.network.cuts.clear();
    BOOST_TEST(!group.core(old)->leaseHeld(group.local(old)));
    group.run(1100 * Millisecond);
    BOOST_TEST((group.core(old)->role() != VoterRole::Leader));
    commitOne(group);
}

BOOST_AUTO_TEST_CASE(second_disk_loss_after_repair_loses_no_entries)
{
    for (std::size_t second = 0; second < 3; ++second) {
        SimulatedGroup group(3, Seed + second);
        for (int command = 0; command < 200; ++command) {
            commitOne(group);
        }
        group.loseDisk((second + 1) % 3);
        repair(group);
        group.loseDisk(second);
        commitOne(group);
        repair(group);
        // hasConverged() compares the state of all three voters with all committed entries.
        BOOST_TEST(group.committed() > 200U);
    }
}

BOOST_AUTO_TEST_CASE(learner_names_a_leader_that_is_gone_for_ever)
{
    SimulatedGroup group(3, Seed);
    const std::size_t leader = awaitLeader(group);
    const std::size_t learning = (leader + 1) % 3;
    group.loseDisk(learning);
    group.core(leader)->proposeMembership({MembershipChangeKind::AddLearner, group.voter(learning).id}, group.local(leader));
    group.pump(leader);
    group.run(500 * Millisecond);
    BOOST_TEST((group.core(learning)->role() == VoterRole::Learner));
    BOOST_TEST((group.core(learning)->leader() == group.voter(leader).id));

    // A leader with which the learner still exchanges messages is not forgotten.
    group.run(10 * Second);
    BOOST_TEST((group.core(learning)->leader() == group.voter(leader).id));

    group.crash(leader, true);
    group.run(3 * Second);
    BOOST_TEST(!group.core(learning)->leader().has_value());
    BOOST_TEST((group.core(learning)->role() == VoterRole::Learner));
}

BOOST_AUTO_TEST_CASE(removed_voter_names_a_leader_that_is_gone_for_ever)
{
    SimulatedGroup group(3, Seed);
    const std::size_t leader = awaitLeader(group);
    const std::size_t removed = (leader + 1) % 3;
    group.core(leader)->proposeMembership({MembershipChangeKind::Remove, group.voter(removed).id}, group.local(leader));
    group.pump(leader);
    group.run(3 * Second);
    group.crash(leader, true);
    group.run(3 * Second);
    BOOST_TEST(!group.core(removed)->leader().has_value());
}

BOOST_AUTO_TEST_CASE(voter_whose_disk_hangs_names_a_leader_that_is_gone_for_ever)
{
    SingleVoter voter({}, Term{1});
    voter.receive(B, AppendRequest{Term{2}, LogIndex{}, Term{}, LogIndex{}, {}, voter.now});
    // Never synced.
    voter.core.takeActions(voter.now);
    BOOST_TEST((voter.core.leader() == B));
    const TimePoint end = voter.now + std::chrono::seconds(10);
    while (voter.now < end) {
        voter.now = voter.core.nextDeadline();
        voter.core.tick(voter.now);
    }
    BOOST_TEST(!voter.core.leader().has_value());
}

BOOST_AUTO_TEST_CASE(new_identity_is_not_promoted_before_it_has_caught_up)
{
    SimulatedGroup group(3, Seed);
    const std::size_t leader = awaitLeader(group);
    const std::size_t lost = (leader + 1) % 3;
    group.loseDisk(lost);
    BOOST_TEST((group.core(lost)->role() == VoterRole::Learner));
    const VoterId learner = group.voter(lost).id;
    group.core(leader)->proposeMembership({MembershipChangeKind::AddLearner, learner}, group.local(leader));
    group.cut(leader, lost);
    group.pump(leader);
    group.run(500 * Millisecond);
    const auto promote = [&] {
        return group.core(leader)->proposeMembership({MembershipChangeKind::PromoteLearner, learner}, group.local(leader));
    };
    BOOST_TEST((refusalOf(promote()) == Reason::LearnerBehind));
    group.network.cuts.clear();
    group.run(500 * Millisecond);
    BOOST_TEST(std::holds_alternative<Proposal>(promote()));
    BOOST_TEST((refusalOf(promote()) == Reason::ChangeInProgress));
}

BOOST_AUTO_TEST_CASE(membership_change_without_live_quorum_is_refused)
{
    SimulatedGroup group(5, Seed);
    const std::size_t leader = awaitLeader(group);
    group.crash((leader + 1) % 5, false);
    group.crash((leader + 2) % 5, false);
    group.run(3 * Second);
    const std::size_t currentLeader = awaitLeader(group);
    const VoterId live = group.voter((leader + 3) % 5).id == group.voter(currentLeader).id ? group.voter((leader + 4) % 5).id
                                                                                           : group.voter((leader + 3) % 5).id;
    const VoterId dead = group.voter((leader + 1) % 5).id;
    BOOST_TEST((refusalOf(group.core(currentLeader)->proposeMembership({MembershipChangeKind::Remove, live}, group.local(currentLeader)))
                == Reason::NoQuorum));
    BOOST_TEST(std::holds_alternative<Proposal>(
        group.core(currentLeader)->proposeMembership({MembershipChangeKind::Remove, dead}, group.local(currentLeader))));
}

BOOST_AUTO_TEST_CASE(single_voter_commits_alone_and_after_restart)
{
    SimulatedGroup group(1, Seed);
    commitOne(group);
    group.crash(0, true);
    group.start(0);
    commitOne(group);
    BOOST_TEST(group.hasConverged());
}

// Guards against a read that is confirmed by the answer to an earlier request, which a voter may have given before it elected another
// leader. The clock stands still, so that times alone do not tell the requests apart.
BOOST_AUTO_TEST_CASE(read_is_confirmed_by_a_request_that_was_sent_before_it)
{
    SimulatedGroup group(3, Seed);
    const std::size_t leader = awaitLeader(group);
    group.run(Second);
    group.clocksAreBounded = false;
    group.setClockRate(leader, StoppedRate);
    group.beginRead(leader);
    const auto before = group.core(leader)->beginRead(group.local(leader));
    group.pump(leader);
    for (std::size_t other = 0; other < group.size(); ++other) {
        group.cut(leader, other);
    }
    const auto after = group.core(leader)->beginRead(group.local(leader));
    group.pump(leader);
    group.run(Second);
    BOOST_REQUIRE(before);
    BOOST_REQUIRE(after);
    BOOST_TEST(group.core(leader)->isReadConfirmed(*before));
    BOOST_TEST(!group.core(leader)->isReadConfirmed(*after));
}

// Guards against a voter's refusal of a request of an earlier term, from before the leader's clock began anew, that counts as an answer to
// the present leader for as long as the two clocks differ.
BOOST_AUTO_TEST_CASE(refusal_of_an_earlier_terms_request_keeps_a_leader_that_is_cut_off)
{
    SimulatedGroup group(3, Seed);
    const std::size_t leader = awaitLeader(group);
    group.run(Second);
    for (std::size_t other = 0; other < group.size(); ++other) {
        const TimePoint formerClock = group.local(leader) + std::chrono::hours(1);
        const AppendReply refusal{group.core(leader)->term(), false, LogIndex{1}, LogIndex{}, formerClock};
        group.core(leader)->receive(Envelope{group.voter(other).id, group.voter(leader).id, refusal}, group.local(leader));
    }
    group.isolate(leader);
    group.run(10 * Millisecond);
    const auto read = group.core(leader)->beginRead(group.local(leader));
    BOOST_REQUIRE(read);
    BOOST_TEST(!group.core(leader)->isReadConfirmed(*read));
    group.run(2 * Second);
    BOOST_TEST((group.core(leader)->role() != VoterRole::Leader));
}

// Guards against a follower that returns the send time of a request that it refuses for its term.
BOOST_AUTO_TEST_CASE(follower_returns_the_send_time_of_an_earlier_term)
{
    SimulatedGroup group(3, Seed);
    const std::size_t follower = (awaitLeader(group) + 1) % group.size();
    const VoterId sender = group.voter((follower + 1) % group.size()).id;
    const TimePoint sentAt = group.local(follower) + std::chrono::hours(1);
    const AppendRequest request{Term{}, LogIndex{}, Term{}, LogIndex{}, {}, sentAt};
    group.core(follower)->receive(Envelope{sender, group.voter(follower).id, request}, group.local(follower));
    const ConsensusActions actions = group.core(follower)->takeActions(group.local(follower));
    for (const Envelope &envelope : actions.messages) {
        const auto *reply = std::get_if<AppendReply>(&envelope.message);
        BOOST_TEST((reply == nullptr || reply->sentAt != sentAt));
    }
    BOOST_TEST(!actions.messages.empty());
}

BOOST_AUTO_TEST_CASE(single_voter_confirms_its_reads_alone)
{
    SimulatedGroup group(1, Seed);
    commitOne(group);
    const auto read = group.core(0)->beginRead(group.local(0));
    BOOST_REQUIRE(read);
    BOOST_TEST(group.core(0)->isReadConfirmed(*read));
}

// Guards against a read that waits for the disks of the other voters, when entries are on their way to them.
BOOST_AUTO_TEST_CASE(read_waits_for_the_sync_of_entries_that_are_sent_with_it)
{
    SimulatedGroup group(3, Seed);
    const std::size_t leader = awaitLeader(group);
    group.network.minSync = 10 * Second;
    group.network.maxSync = 10 * Second;
    const auto read = group.core(leader)->beginRead(group.local(leader));
    group.propose(leader, "entry");
    group.run(20 * Millisecond);
    BOOST_REQUIRE(read);
    BOOST_TEST(group.core(leader)->isReadConfirmed(*read));
}

BOOST_AUTO_TEST_CASE(membership_encoding_round_trips)
{
    const VoterMembership membership{{A, B}, {C}};
    BOOST_TEST((decodeMembership(encodeMembership(membership)) == membership));
    BOOST_CHECK_THROW(decodeMembership("{\"voters\":3}"), DecodeError);
}
