// Tests of the idempotency register: repeated calls, expiry, limits, encoding.
#include "hemlockhill/once_register.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t StartMs = 1'700'000'000'000;
constexpr milliseconds Retention(10'000);

WallTime wall(std::int64_t offsetMs)
{
    return WallTime(milliseconds(StartMs + offsetMs));
}

// A UUID version 7 with the timestamp StartMs.
const std::string TimedKey = "018bcfe5-6800-7000-8000-000000000001";

ClaimKey claimOf(const std::string &key, const std::string &claim, std::uint64_t call = 1)
{
    return ClaimKey{IdempotencyKey{key}, ServiceId{"register"}, {}, Digest{0, call}, VmId{"vm-a"}, ClaimId{claim}, milliseconds(1000)};
}

StepOutcome apply(OnceRegister &machine, OnceStep step, std::int64_t offsetMs)
{
    return machine.apply(OnceCommand{wall(offsetMs), {std::move(step)}}).steps.at(0);
}

StoredAnswer answerOf(std::string body)
{
    return StoredAnswer{201, "text/plain", {{"Location", "/deeds/7"}}, std::move(body)};
}

RecordOutcome outcomeOf(const ClaimKey &claim, std::optional<StoredAnswer> answer)
{
    return RecordOutcome{registerKey(claim), claim.claim, std::move(answer)};
}

// Returns a register with one answered call, claimed at offset 0.
OnceRegister answered(const std::string &key, OnceLimits limits = {})
{
    OnceRegister machine(limits);
    const ClaimKey claim = claimOf(key, "c1");
    BOOST_REQUIRE(apply(machine, claim, 0).verdict == OnceVerdict::Granted);
    BOOST_REQUIRE(apply(machine, outcomeOf(claim, answerOf("deed")), 10).verdict == OnceVerdict::Recorded);
    return machine;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_the_first_claim_of_a_key_in_a_batch_is_granted)
{
    OnceRegister machine;
    const OnceOutcome outcome = machine.apply(OnceCommand{wall(0), {claimOf("k", "c1"), claimOf("k", "c2"), claimOf("other", "c3")}});
    BOOST_CHECK(outcome.steps.at(0).verdict == OnceVerdict::Granted);
    BOOST_CHECK(outcome.steps.at(1).verdict == OnceVerdict::InProgress);
    BOOST_CHECK(outcome.steps.at(2).verdict == OnceVerdict::Granted);
    BOOST_TEST(refusalOf(OnceVerdict::InProgress).retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(repeated_call_gets_stored_answer_and_reused_key_is_refused)
{
    OnceRegister machine = answered("k");
    const StepOutcome repeat = apply(machine, claimOf("k", "c2"), 20);
    BOOST_CHECK(repeat.verdict == OnceVerdict::Answered);
    BOOST_CHECK(repeat.answer == answerOf("deed"));
    BOOST_CHECK(apply(machine, claimOf("k", "c3", 2), 20).verdict == OnceVerdict::KeyReused);
    // A later outcome of the same claim does not replace the first.
    apply(machine, outcomeOf(claimOf("k", "c1"), answerOf("other")), 30);
    BOOST_CHECK(apply(machine, claimOf("k", "c4"), 40).answer == answerOf("deed"));
}

BOOST_AUTO_TEST_CASE(claim_without_outcome_becomes_unknown_and_is_not_granted_again)
{
    OnceRegister machine;
    apply(machine, claimOf("k", "c1"), 0);
    BOOST_CHECK(apply(machine, claimOf("k", "c2"), 61'000).verdict == OnceVerdict::InProgress);
    BOOST_CHECK(apply(machine, claimOf("k", "c3"), 61'001).verdict == OnceVerdict::Unknown);
    BOOST_CHECK(apply(machine, claimOf("k", "c1"), 61'002).verdict == OnceVerdict::Unknown);
    // A longer answer window delays the transition to unknown, since the call may still be running.
    ClaimKey slow = claimOf("slow", "c5");
    slow.answerWindow = milliseconds(600'000);
    apply(machine, slow, 61'002);
    BOOST_CHECK(apply(machine, claimOf("slow", "c6"), 721'000).verdict == OnceVerdict::InProgress);
    BOOST_CHECK(apply(machine, claimOf("slow", "c6"), 723'000).verdict == OnceVerdict::Unknown);
    // The holder may record its outcome even after the claim became unknown.
    apply(machine, outcomeOf(claimOf("k", "c1"), answerOf("deed")), 724'000);
    BOOST_CHECK(apply(machine, claimOf("k", "c4"), 724'001).verdict == OnceVerdict::Answered);
}

BOOST_AUTO_TEST_CASE(only_the_holder_releases_a_claim_and_only_before_its_outcome)
{
    OnceRegister machine;
    const ClaimKey claim = claimOf("k", "c1");
    const Digest key = registerKey(claim);
    apply(machine, claim, 0);
    BOOST_CHECK(apply(machine, ReleaseClaim{key, ClaimId{"c2"}}, 1).verdict == OnceVerdict::Ignored);
    BOOST_CHECK(apply(machine, ReleaseClaim{key, ClaimId{"c1"}}, 2).verdict == OnceVerdict::Released);
    BOOST_CHECK(apply(machine, claimOf("k", "c2"), 3).verdict == OnceVerdict::Granted);
    apply(machine, outcomeOf(claimOf("k", "c2"), std::nullopt), 4);
    BOOST_CHECK(apply(machine, ReleaseClaim{key, ClaimId{"c2"}}, 5).verdict == OnceVerdict::Ignored);
    BOOST_CHECK(apply(machine, claimOf("k", "c3"), 6).verdict == OnceVerdict::Unknown);
}

BOOST_AUTO_TEST_CASE(expired_keys_are_refused)
{
    for (const std::string &key : {TimedKey, std::string("transfer-17")}) {
        OnceRegister machine = answered(key);
        apply(machine, ExpireKeys{Retention}, 400'000);
        BOOST_TEST(machine.keys() == 0U);
        BOOST_TEST(machine.answerBytes().value == 0U);
        BOOST_TEST(machine.tombstones() == (key == TimedKey ? 0U : 1U));
        BOOST_CHECK(apply(machine, claimOf(key, "c2"), 400'001).verdict == OnceVerdict::KeyExpired);
        // A proposer whose clock is behind cannot claim the expired key again.
        BOOST_CHECK(apply(machine, claimOf(key, "c3"), 0).verdict == OnceVerdict::KeyExpired);
    }
    BOOST_CHECK(refusalOf(OnceVerdict::KeyExpired).ran == Ran::Unknown);
}

BOOST_AUTO_TEST_CASE(future_keys_and_late_claims_are_refused)
{
    OnceRegister machine;
    BOOST_CHECK(apply(machine, claimOf(TimedKey, "c1"), -300'001).verdict == OnceVerdict::KeyFromFuture);
    BOOST_CHECK(apply(machine, claimOf("k", "c2"), 0).verdict == OnceVerdict::Granted);
    BOOST_CHECK(apply(machine, claimOf("l", "c3"), -1001).verdict == OnceVerdict::ClaimTooLate);
    BOOST_CHECK(timeOf(IdempotencyKey{TimedKey}) == wall(0));
    BOOST_TEST(!timeOf(IdempotencyKey{"018bcfe5-6800-4000-8000-000000000001"}).has_value());
}

BOOST_AUTO_TEST_CASE(full_register_refuses_new_keys_and_keeps_old_ones)
{
    OnceRegister machine = answered("k", OnceLimits{.maxKeys = 2});
    apply(machine, claimOf("l", "c2"), 0);
    BOOST_CHECK(apply(machine, claimOf("m", "c3"), 0).verdict == OnceVerdict::RegisterFull);
    BOOST_CHECK(apply(machine, claimOf("k", "c4"), 0).verdict == OnceVerdict::Answered);
    BOOST_CHECK(refusalOf(OnceVerdict::RegisterFull).ran == Ran::No);
}

BOOST_AUTO_TEST_CASE(full_tombstone_set_refuses_only_keys_without_timestamp)
{
    OnceRegister machine = answered("k", OnceLimits{.maxTombstones = 1});
    apply(machine, ExpireKeys{Retention}, 400'000);
    BOOST_CHECK(apply(machine, claimOf("l", "c2"), 400'000).verdict == OnceVerdict::RegisterFull);
    const std::string fresh = "018bcfeb-8280-7000-8000-000000000001";
    BOOST_CHECK(apply(machine, claimOf(fresh, "c3"), 400'000).verdict == OnceVerdict::Granted);
}

BOOST_AUTO_TEST_CASE(oversized_answers_are_not_stored_but_recorded_as_run)
{
    for (const OnceLimits &limits : {OnceLimits{.maxAnswerSize = Bytes{10}}, OnceLimits{.maxTotalAnswerSize = Bytes{10}}}) {
        OnceRegister machine = answered("k", limits);
        BOOST_CHECK(apply(machine, claimOf("k", "c2"), 20).verdict == OnceVerdict::AnswerNotKept);
        BOOST_TEST(machine.answerBytes().value == 0U);
    }
    BOOST_CHECK(refusalOf(OnceVerdict::AnswerNotKept).ran == Ran::Yes);
}

BOOST_AUTO_TEST_CASE(commands_and_snapshots_round_trip)
{
    const ClaimKey claim = claimOf("k\"\n", "c1", UINT64_MAX);
    const StoredAnswer binary = answerOf(std::string("\xff\x00 deed", 7));
    const OnceCommand command{
        wall(5), {claim, outcomeOf(claim, binary), outcomeOf(claim, {}), ReleaseClaim{Digest{1, 2}, ClaimId{"c"}}, ExpireKeys{Retention}}};
    BOOST_CHECK(decodeOnceCommand(encode(command)) == command);
    OnceRegister machine = answered("old");
    apply(machine, ExpireKeys{Retention}, 400'000);
    machine.apply(OnceCommand{wall(400'000), {claim, outcomeOf(claim, binary), claimOf("open", "c9")}});
    OnceRegister restored = OnceRegister::restore(machine.snapshot());
    BOOST_TEST(restored.snapshot() == machine.snapshot());
    BOOST_TEST(restored.answerBytes().value == machine.answerBytes().value);
    for (const char *key : {"old", "k\"\n", "open", "new"}) {
        const ClaimKey repeat = claimOf(key, "c10", key[0] == 'k' ? UINT64_MAX : 1);
        BOOST_CHECK(apply(restored, repeat, 400'001) == apply(machine, repeat, 400'001));
    }
    BOOST_CHECK_THROW(decodeOnceCommand("{\"time_ms\": 1, \"steps\": [{\"step\": \"run\"}]}"), DecodeError);
    BOOST_CHECK_THROW(decodeOnceCommand("[]"), DecodeError);
    BOOST_CHECK_THROW(OnceRegister::restore("{}"), DecodeError);
}

// Guards against replicas that differ after a restore in which answers still fit into the register.
BOOST_AUTO_TEST_CASE(key_claimed_again_at_the_same_time_is_restored_twice)
{
    OnceRegister machine;
    const ClaimKey first = claimOf("k", "c1");
    const ClaimKey second = claimOf("k", "c2");
    machine.apply(
        OnceCommand{wall(0), {first, ReleaseClaim{registerKey(first), first.claim}, second, outcomeOf(second, answerOf("deed"))}});
    const OnceRegister restored = OnceRegister::restore(machine.snapshot());
    BOOST_TEST(restored.answerBytes().value == machine.answerBytes().value);
    BOOST_TEST(restored.snapshot() == machine.snapshot());
}

// A register restored at any point must go on exactly like the original.
BOOST_AUTO_TEST_CASE(restored_register_goes_on_like_the_original)
{
    constexpr int States = 100'000;
    const OnceLimits limits{.maxKeys = 6, .maxTotalAnswerSize = Bytes{120}, .maxTombstones = 8, .maxClockSkew = milliseconds(1000)};
    boost::random::mt19937 random(20'261'204);
    const auto pick = [&random](int end) { return boost::random::uniform_int_distribution<int>(0, end - 1)(random); };
    const auto anyClaim = [&pick] { return claimOf(std::string(1, static_cast<char>('a' + pick(8))), "c" + std::to_string(pick(3))); };
    const auto anyStep = [&]() -> OnceStep {
        const ClaimKey claim = anyClaim();
        switch (pick(8)) {
        case 0:
            return ReleaseClaim{registerKey(claim), claim.claim};
        case 1:
        case 2:
            return outcomeOf(claim,
                             pick(4) == 0 ? std::nullopt : std::optional(answerOf(std::string(static_cast<std::size_t>(pick(60)), 'x'))));
        case 3:
            return ExpireKeys{Retention};
        default:
            return claim;
        }
    };
    OnceRegister original(limits);
    OnceRegister restored(limits);
    std::int64_t offset = 0;
    for (int state = 0; state < States; ++state) {
        offset += pick(3) == 0 ? pick(2000) : 0;
        const OnceCommand command{wall(offset), {anyStep(), anyStep()}};
        BOOST_REQUIRE_MESSAGE(original.apply(command).steps == restored.apply(command).steps, "outcomes differ in state " << state);
        BOOST_REQUIRE_MESSAGE(original.answerBytes() == restored.answerBytes(), "answer sizes differ in state " << state);
        BOOST_REQUIRE_MESSAGE(original.snapshot() == restored.snapshot(), "snapshots differ in state " << state);
        if (pick(4) == 0) {
            restored = OnceRegister::restore(restored.snapshot(), limits);
        }
        if (pick(2000) == 0) {
            original = OnceRegister(limits);
            restored = OnceRegister(limits);
        }
    }
}
