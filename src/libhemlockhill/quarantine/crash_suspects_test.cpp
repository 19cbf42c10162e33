// Suspects of one node, and of several nodes whose notices are late and get lost.
#include "hemlockhill/crash_guard.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace Hemlockhill;

namespace
{

constexpr Fingerprint Culprit{1};
constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration Pause = std::chrono::milliseconds(250);
constexpr Duration RunTime = std::chrono::milliseconds(60);
constexpr Duration PushPeriod = std::chrono::seconds(1);
constexpr std::uint64_t Schedules = 300;

// Nodes that exchange notices. A node sends the crashing request to an endpoint unless it refuses it.
class Nodes
{
public:
    Nodes(std::size_t count, std::uint64_t seed, std::size_t dropPercent)
        : m_random(seed)
        , m_nodes(count, CrashSuspects(CrashSuspectSubject::Request))
        , m_dropPercent(dropPercent)
    {
    }

    std::size_t random(std::size_t below) { return boost::random::uniform_int_distribution<std::size_t>(0, below - 1)(m_random); }

    void sendCulprit(std::size_t node)
    {
        if (m_nodes[node].refusedFor(Culprit, m_now)) {
            return;
        }
        advance(RunTime);
        ++crashes;
        m_nodes[node].onBrokenOff(Culprit, LossId{++m_lastLoss}, m_now);
        for (const CrashSuspectNotice &notice : m_nodes[node].takeNotices(m_now)) {
            for (std::size_t other = 0; other < m_nodes.size(); ++other) {
                post(other, notice);
            }
        }
    }

    void advance(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            m_now += std::chrono::milliseconds(10);
            deliver();
            if (m_now - m_pushedAt >= PushPeriod) {
                push();
            }
        }
    }

    int crashes = 0;

private:
    struct Delivery {
        std::size_t to = 0;
        TimePoint at;
        CrashSuspectNotice notice;
    };

    void post(std::size_t to, const CrashSuspectNotice &notice)
    {
        if (random(100) >= m_dropPercent) {
            m_deliveries.push_back({to, m_now + std::chrono::milliseconds(random(40)), notice});
        }
    }

    void deliver()
    {
        std::erase_if(m_deliveries, [this](const Delivery &delivery) {
            if (delivery.at <= m_now) {
                m_nodes[delivery.to].onNotice(delivery.notice, m_now);
            }
            return delivery.at <= m_now;
        });
    }

    void push()
    {
        m_pushedAt = m_now;
        for (const CrashSuspects &node : m_nodes) {
            const CrashSuspectNotice refused = node.refusals(m_now);
            if (!refused.empty()) {
                post(random(m_nodes.size()), refused);
            }
        }
    }

    boost::random::mt19937_64 m_random;
    TimePoint m_now = Start;
    TimePoint m_pushedAt = Start;
    std::vector<CrashSuspects> m_nodes;
    std::size_t m_dropPercent;
    std::vector<Delivery> m_deliveries;
    std::uint64_t m_lastLoss = 0;
};

std::uint64_t firstSeed()
{
    const char *text = std::getenv("HEMLOCKHILL_SEED");
    return text == nullptr ? 1 : std::stoull(text);
}

// Sends the crashing request to random nodes for a minute. Returns the number of endpoints that it crashed.
int crashesIn(std::size_t nodes, std::uint64_t seed, std::size_t dropPercent)
{
    Nodes group(nodes, seed, dropPercent);
    for (int repeat = 0; repeat < 240; ++repeat) {
        group.sendCulprit(group.random(nodes));
        group.advance(Pause);
    }
    return group.crashes;
}

} // namespace

BOOST_AUTO_TEST_CASE(repeats_at_many_nodes_cost_two_endpoints)
{
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + Schedules; ++seed) {
        BOOST_TEST_CONTEXT("HEMLOCKHILL_SEED=" << seed)
        {
            BOOST_CHECK_EQUAL(crashesIn(9, seed, 0), 2);
        }
    }
}

// One notice in ten is lost: a node that has missed one learns of it from the others within seconds.
BOOST_AUTO_TEST_CASE(lost_notices_cost_few_endpoints_more)
{
    int total = 0;
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + Schedules; ++seed) {
        BOOST_TEST_CONTEXT("HEMLOCKHILL_SEED=" << seed)
        {
            const int crashes = crashesIn(9, seed, 10);
            BOOST_CHECK_LE(crashes, 6);
            total += crashes;
        }
    }
    BOOST_CHECK_LE(total, static_cast<int>(Schedules) * 3);
}

BOOST_AUTO_TEST_CASE(refusal_ends_and_doubles_with_each_further_loss)
{
    const CrashSuspectLimits limits;
    CrashSuspects suspects(CrashSuspectSubject::Request, limits);
    suspects.onBrokenOff(Culprit, LossId{1}, Start);
    BOOST_CHECK(!suspects.refusedFor(Culprit, Start));
    suspects.onBrokenOff(Culprit, LossId{1}, Start);
    BOOST_CHECK(!suspects.refusedFor(Culprit, Start));
    suspects.onBrokenOff(Culprit, LossId{2}, Start);
    BOOST_CHECK(suspects.refusedFor(Culprit, Start) == limits.suspicionPeriod);
    const TimePoint later = Start + limits.suspicionPeriod;
    suspects.dropExpired(later);
    BOOST_CHECK(!suspects.refusedFor(Culprit, later));
    suspects.onBrokenOff(Culprit, LossId{3}, later);
    BOOST_CHECK(suspects.refusedFor(Culprit, later) == 2 * limits.suspicionPeriod);
}

// Guards against a suspect with as many losses as are kept whose refusal is no longer extended.
BOOST_AUTO_TEST_CASE(loss_beyond_those_kept_extends_the_refusal)
{
    const CrashSuspectLimits limits;
    CrashSuspects suspects(CrashSuspectSubject::Request, limits);
    for (std::uint64_t loss = 1; loss <= limits.lossesOfSuspect; ++loss) {
        suspects.onBrokenOff(Culprit, LossId{loss}, Start);
    }
    const TimePoint later = Start + std::chrono::hours(11);
    const auto before = suspects.refusedFor(Culprit, later);
    suspects.onBrokenOff(Culprit, LossId{limits.lossesOfSuspect + 1}, later);
    BOOST_CHECK(suspects.refusedFor(Culprit, later) > before);
}

BOOST_AUTO_TEST_CASE(answer_clears_a_suspect_at_all_nodes)
{
    CrashSuspects here(CrashSuspectSubject::Request);
    CrashSuspects there(CrashSuspectSubject::Request);
    for (const std::uint64_t loss : {1U, 2U}) {
        here.onBrokenOff(Culprit, LossId{loss}, Start);
    }
    for (const CrashSuspectNotice &notice : here.takeNotices(Start)) {
        there.onNotice(notice, Start);
    }
    BOOST_REQUIRE(there.refusedFor(Culprit, Start));
    here.onAnswered(Culprit);
    for (const CrashSuspectNotice &notice : here.takeNotices(Start)) {
        there.onNotice(notice, Start);
    }
    BOOST_CHECK(!there.refusedFor(Culprit, Start));
    BOOST_CHECK_EQUAL(there.size(), 0);
}

BOOST_AUTO_TEST_CASE(endpoint_that_answers_a_later_request_has_not_crashed)
{
    CrashSuspects suspects(CrashSuspectSubject::Request);
    suspects.onBrokenOff(Culprit, LossId{1}, Start);
    suspects.onBrokenOff(Culprit, LossId{2}, Start);
    const TimePoint before = Start - std::chrono::seconds(1);
    const TimePoint after = Start + std::chrono::milliseconds(1);
    suspects.onEndpointAnswered({LossId{1}, before, Start - std::chrono::milliseconds(1)}, after);
    BOOST_CHECK(suspects.refusedFor(Culprit, Start));
    suspects.onEndpointAnswered({LossId{1}, before, after}, after);
    BOOST_CHECK(!suspects.refusedFor(Culprit, Start));
}

// Guards against a crash that is disproved by the next incarnation, which answers while the directory still shows the former one.
BOOST_AUTO_TEST_CASE(answer_of_the_next_incarnation_clears_the_suspect)
{
    CrashSuspects suspects(CrashSuspectSubject::Request);
    suspects.onBrokenOff(Culprit, LossId{1}, Start);
    suspects.onBrokenOff(Culprit, LossId{2}, Start);
    const TimePoint later = Start + std::chrono::seconds(3);
    suspects.onEndpointAnswered({LossId{1}, later, later}, later);
    suspects.onEndpointAnswered({LossId{2}, std::nullopt, later}, later);
    BOOST_CHECK(suspects.refusedFor(Culprit, later));
    // A list that may be older than the next incarnation shows nothing, one without the former incarnation confirms the crash.
    suspects.onListed({{LossId{1}, LossId{2}}, later + std::chrono::seconds(1)}, later + std::chrono::seconds(1));
    suspects.onListed({{LossId{3}, LossId{4}}, later + std::chrono::seconds(2)}, later + std::chrono::seconds(2));
    BOOST_CHECK(suspects.refusedFor(Culprit, later + std::chrono::seconds(2)));
}

// Guards against a suspect that stays refused although the incarnations go on running: their connections were reset.
BOOST_AUTO_TEST_CASE(suspect_stays_refused_although_its_endpoints_answer_and_are_listed_as_before)
{
    CrashSuspects suspects(CrashSuspectSubject::Request);
    suspects.onBrokenOff(Culprit, LossId{1}, Start);
    suspects.onBrokenOff(Culprit, LossId{2}, Start);
    const TimePoint later = Start + std::chrono::milliseconds(100);
    suspects.onEndpointAnswered({LossId{1}, later, later}, later);
    suspects.onListed({{LossId{1}, LossId{2}}, later + std::chrono::milliseconds(1500)}, later + std::chrono::seconds(2));
    BOOST_CHECK(!suspects.refusedFor(Culprit, later + std::chrono::seconds(2)));
    bool isReported = false;
    for (const CrashSuspectNotice &notice : suspects.takeNotices(later + std::chrono::seconds(2))) {
        isReported = isReported || notice.disproved == std::vector<LossId>{LossId{1}};
    }
    BOOST_CHECK(isReported);
}

// Guards against a crash that is disproved because its node noticed it late: the next incarnation accepted the connection before.
BOOST_AUTO_TEST_CASE(crash_noticed_after_a_pause_is_disproved_by_the_next_incarnation)
{
    constexpr Duration Paused = std::chrono::seconds(4);
    CrashSuspects here(CrashSuspectSubject::Request);
    CrashSuspects there(CrashSuspectSubject::Request);
    here.onBrokenOff(Culprit, LossId{1}, Start, Paused);
    here.onBrokenOff(Culprit, LossId{2}, Start, Paused);
    for (const CrashSuspectNotice &notice : here.takeNotices(Start)) {
        there.onNotice(notice, Start);
    }
    const TimePoint after = Start + std::chrono::milliseconds(1);
    for (CrashSuspects *suspects : {&here, &there}) {
        suspects->onEndpointAnswered({LossId{1}, Start - std::chrono::seconds(1), after}, after);
        BOOST_CHECK(suspects->refusedFor(Culprit, after));
        suspects->onEndpointAnswered({LossId{1}, Start - std::chrono::seconds(5), after}, after);
        BOOST_CHECK(!suspects->refusedFor(Culprit, after));
    }
}

// Guards against nodes that pass an expired suspect round and so keep it for ever.
BOOST_AUTO_TEST_CASE(repeated_notices_do_not_make_a_loss_younger)
{
    CrashSuspects here(CrashSuspectSubject::Request);
    CrashSuspects there(CrashSuspectSubject::Request);
    here.onBrokenOff(Culprit, LossId{1}, Start);
    here.onBrokenOff(Culprit, LossId{2}, Start);
    const TimePoint later = Start + std::chrono::minutes(9);
    there.onNotice(here.refusals(later), later);
    BOOST_CHECK(there.refusedFor(Culprit, later) == std::chrono::minutes(1));
}

BOOST_AUTO_TEST_CASE(full_record_forgets_the_suspects_with_the_fewest_losses)
{
    CrashSuspectLimits limits;
    limits.suspects = 50;
    CrashSuspects suspects(CrashSuspectSubject::Request, limits);
    suspects.onBrokenOff(Culprit, LossId{1}, Start);
    suspects.onBrokenOff(Culprit, LossId{2}, Start);
    for (std::uint64_t number = 2; number < 500; ++number) {
        suspects.onBrokenOff(Fingerprint{number}, LossId{3}, Start + std::chrono::milliseconds(number));
    }
    BOOST_CHECK_LE(suspects.size(), limits.suspects);
    BOOST_CHECK(suspects.refusedFor(Culprit, Start));
    for (const CrashSuspectNotice &notice : suspects.takeNotices(Start)) {
        BOOST_CHECK_LE(notice.suspects.size(), limits.noticeEntries);
    }
}

// Guards against sound parts that are refused because many endpoints that worked on them failed at once for another reason.
BOOST_AUTO_TEST_CASE(parts_are_refused_after_many_endpoints_failed_at_once)
{
    const CrashSuspectLimits limits = CrashGuardLimits().promptParts;
    CrashSuspects here(CrashSuspectSubject::PromptPart, limits);
    CrashSuspects there(CrashSuspectSubject::PromptPart, limits);
    for (std::uint64_t loss = 1; loss <= 30; ++loss) {
        here.onBrokenOff(Culprit, LossId{loss}, Start + std::chrono::milliseconds(loss));
    }
    BOOST_CHECK(!here.refusedFor(Culprit, Start + std::chrono::milliseconds(30)));
    // Losses one after the other still count.
    const TimePoint later = Start + std::chrono::seconds(1);
    here.onBrokenOff(Culprit, LossId{31}, later);
    here.onBrokenOff(Culprit, LossId{32}, later + limits.coincidence);
    const TimePoint end = later + limits.coincidence;
    BOOST_CHECK(here.refusedFor(Culprit, end));
    there.onNotice(here.refusals(end), end);
    BOOST_CHECK(there.refusedFor(Culprit, end));
}

// Guards against a part that all requests share, and that is refused for so long that nothing can clear it.
BOOST_AUTO_TEST_CASE(shared_part_stays_refused_because_nothing_is_answered_meanwhile)
{
    const CrashSuspectLimits limits = CrashGuardLimits().promptParts;
    CrashSuspects suspects(CrashSuspectSubject::PromptPart, limits);
    suspects.onAnswered(Culprit);
    TimePoint now = Start;
    for (std::uint64_t loss = 1; loss <= limits.answeredRefusalThreshold; ++loss) {
        now += limits.coincidence;
        suspects.onBrokenOff(Culprit, LossId{loss}, now);
    }
    BOOST_CHECK(suspects.refusedFor(Culprit, now));
    BOOST_CHECK(!suspects.refusedFor(Culprit, now + std::chrono::seconds(2)));
    suspects.onAnswered(Culprit);
    BOOST_CHECK_EQUAL(suspects.size(), 0);
}

namespace
{

constexpr Fingerprint FirstPart{10};
constexpr Fingerprint BadPart{11};
constexpr int Arrivals = 60;

// No two requests are alike.
RoutedRequestHead promptOf(const std::vector<Fingerprint> &parts)
{
    static std::uint64_t requests = 0;
    RoutedRequestHead head;
    head.fingerprint = Fingerprint{1000 + ++requests};
    head.promptParts = parts;
    return head;
}

// Two nodes that have just started, at which three endpoints have been lost beneath the first part of all prompts and a culprit.
struct SharedPart {
    // One request in so many has the culprit.
    explicit SharedPart(int culpritEvery = 20)
    {
        const std::vector<VmId> nodes{VmId{"10.0.0.1"}, VmId{"10.0.0.2"}};
        here.setNodes(nodes[0], nodes);
        there.setNodes(nodes[1], nodes);
        for (std::uint64_t loss = 1; loss <= 3; ++loss) {
            lastLossAt = Start + loss * std::chrono::milliseconds(300);
            here.onBrokenOff(promptOf({FirstPart, BadPart}), LossId{loss}, lastLossAt, lastLossAt);
        }
        exchangeNotices(lastLossAt);
        for (int arrival = 0; arrival < Arrivals; ++arrival) {
            const RoutedRequestHead request = arrival % culpritEvery == 0 ? culprit : sound;
            here.onArrival(request);
            there.onArrival(request);
        }
    }

    void exchangeNotices(TimePoint now)
    {
        const std::vector<CrashSuspectNotice> fromHere = here.takeNotices(now);
        for (const CrashSuspectNotice &notice : there.takeNotices(now)) {
            here.onNotice(notice, now);
        }
        for (const CrashSuspectNotice &notice : fromHere) {
            there.onNotice(notice, now);
        }
    }

    // When a node would first try the request.
    TimePoint trialDueAt(const RoutedRequestHead &request) const
    {
        TimePoint at = now;
        while (!here.isTrialDue(request, at) && !there.isTrialDue(request, at)) {
            at += std::chrono::milliseconds(50);
        }
        return at;
    }

    // Returns the node that begins a trial by this time; null if none does.
    CrashGuard *startTrial(TimePoint until)
    {
        for (; now < until; now += std::chrono::milliseconds(50)) {
            for (CrashGuard *guard : {&here, &there}) {
                if (guard->refusal(sound, now) && guard->isTrialDue(sound, now)) {
                    trialLoss = LossId{trialLoss.value + 1};
                    guard->onTrial(sound, trialLoss, now);
                    exchangeNotices(now);
                    ++trials;
                    return guard;
                }
            }
        }
        return nullptr;
    }

    CrashGuard here;
    CrashGuard there;
    RoutedRequestHead sound = promptOf({FirstPart, Fingerprint{12}});
    RoutedRequestHead culprit = promptOf({FirstPart, BadPart});
    TimePoint lastLossAt;
    TimePoint now = Start + std::chrono::seconds(1);
    int trials = 0;
    // What the endpoint of the last trial would suffer.
    LossId trialLoss{3};
};

} // namespace

// Guards against a part that all requests share and that stays refused, as no request with it is sent that could clear it.
BOOST_AUTO_TEST_CASE(part_that_all_requests_share_stays_refused_as_nothing_with_it_is_sent)
{
    SharedPart shared;
    BOOST_CHECK(shared.here.refusal(shared.sound, shared.now));
    CrashGuard *trying = shared.startTrial(shared.lastLossAt + std::chrono::seconds(5));
    BOOST_REQUIRE(trying != nullptr);
    BOOST_CHECK(shared.now >= shared.lastLossAt + std::chrono::seconds(3));
    // One request at a time, of all nodes together, and none with the culprit.
    BOOST_CHECK(!shared.here.isTrialDue(shared.sound, shared.now));
    BOOST_CHECK(!shared.there.isTrialDue(shared.sound, shared.now));
    trying->onProgress(shared.sound);
    shared.exchangeNotices(shared.now);
    for (const CrashGuard *guard : {&shared.here, &shared.there}) {
        BOOST_CHECK(!guard->refusal(shared.sound, shared.now));
        BOOST_CHECK(guard->refusal(shared.culprit, shared.now));
        BOOST_CHECK(!guard->isTrialDue(shared.culprit, shared.now + std::chrono::seconds(60)));
    }
}

// Guards against trials of a part that does crash endpoints, which go on and on.
BOOST_AUTO_TEST_CASE(part_that_crashes_endpoints_is_tried_again_and_again)
{
    SharedPart shared;
    const TimePoint end = Start + std::chrono::minutes(10);
    while (CrashGuard *trying = shared.startTrial(end)) {
        shared.now += std::chrono::milliseconds(100);
        trying->onBrokenOff(promptOf(shared.sound.promptParts), shared.trialLoss, shared.now, shared.now);
        shared.exchangeNotices(shared.now);
    }
    BOOST_CHECK_LE(shared.trials, 3);
    BOOST_CHECK(shared.here.refusal(shared.sound, end));
}

// Guards against a shared part that is tried no more for long after a trial that tells nothing, as its endpoint refused the request.
BOOST_AUTO_TEST_CASE(trial_that_did_not_run_postpones_the_next_ones)
{
    SharedPart shared;
    BOOST_REQUIRE(shared.startTrial(shared.lastLossAt + std::chrono::seconds(5)) != nullptr);
    const TimePoint triedAt = shared.now;
    BOOST_REQUIRE(shared.startTrial(triedAt + std::chrono::seconds(5)) != nullptr);
    BOOST_CHECK(shared.now >= triedAt + std::chrono::seconds(3));
}

// Guards against the loss of an endpoint that did not run the trial, which postpones the next one for long.
BOOST_AUTO_TEST_CASE(loss_of_another_endpoint_is_taken_for_the_outcome_of_a_trial)
{
    SharedPart shared;
    CrashGuard *trying = shared.startTrial(shared.lastLossAt + std::chrono::seconds(5));
    BOOST_REQUIRE(trying != nullptr);
    shared.now += std::chrono::milliseconds(500);
    trying->onBrokenOff(shared.culprit, LossId{50}, shared.now, shared.now);
    shared.exchangeNotices(shared.now);
    BOOST_CHECK(shared.startTrial(shared.now + std::chrono::seconds(5)) != nullptr);
}

// Guards against a trial that was sent to the address of an incarnation that had been lost before, which the list still showed.
BOOST_AUTO_TEST_CASE(loss_from_before_the_trial_is_taken_for_its_outcome)
{
    SharedPart shared;
    shared.trialLoss = LossId{2};
    CrashGuard *trying = shared.startTrial(shared.lastLossAt + std::chrono::seconds(5));
    BOOST_REQUIRE(trying != nullptr);
    for (CrashGuard *guard : {&shared.here, &shared.there}) {
        guard->onNotice(trying->refusals(shared.now).back(), shared.now);
    }
    BOOST_CHECK(shared.startTrial(shared.now + std::chrono::seconds(5)) != nullptr);
}

// Guards against a node that reaches no endpoint and begins all trials.
BOOST_AUTO_TEST_CASE(node_whose_trials_do_not_run_begins_the_next_one)
{
    SharedPart shared;
    const CrashGuard *first = shared.startTrial(shared.lastLossAt + std::chrono::seconds(5));
    BOOST_CHECK(shared.startTrial(shared.now + std::chrono::seconds(5)) != first);
}

// Guards against a trial of the shared part by a request that has the culprit too, where the culprit is common as well.
BOOST_AUTO_TEST_CASE(request_with_the_culprit_is_tried_as_early_as_one_without_it)
{
    const SharedPart shared(3);
    BOOST_CHECK(shared.trialDueAt(shared.sound) <= shared.lastLossAt + std::chrono::milliseconds(3100));
    BOOST_CHECK(shared.trialDueAt(shared.culprit) >= shared.trialDueAt(shared.sound) + std::chrono::milliseconds(700));
}
