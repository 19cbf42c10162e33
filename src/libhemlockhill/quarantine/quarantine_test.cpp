// Tests of the quarantine: fingerprints, suspects, trials, refusals, expiry, limits.
#include "hemlockhill/quarantine.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

constexpr Fingerprint CrashRequest{1};
constexpr Fingerprint Bystander{2};

WallTime at(std::chrono::milliseconds offset)
{
    return WallTime(std::chrono::hours(400'000) + offset);
}

// A register and two nodes whose replicas follow it without lag.
struct TestRegion {
    QuarantineOutcome apply(const QuarantineCommand &command)
    {
        BOOST_CHECK(decodeQuarantineCommand(encode(command)) == command);
        const QuarantineOutcome outcome = machine.apply(command);
        machine = QuarantineRegister::restore(machine.snapshot());
        node.updateReplica(std::make_shared<const QuarantineRegister>(machine), command.proposedAt);
        other.updateReplica(std::make_shared<const QuarantineRegister>(machine), command.proposedAt);
        return outcome;
    }

    void reportLoss(const std::string &endpoint, const std::vector<Fingerprint> &running, WallTime now)
    {
        for (const auto &command : node.onEndpointLost(EndpointId{endpoint}, Incarnation{"1"}, running, now)) {
            apply(command);
        }
    }

    bool startTrial(Fingerprint fingerprint, const std::string &endpoint, WallTime now)
    {
        return apply(other.startTrial(fingerprint, EndpointId{endpoint}, now)) == QuarantineOutcome::TrialGranted;
    }

    QuarantineVerdict verdict(Fingerprint fingerprint, WallTime now) const { return other.decide(fingerprint, 3, now).verdict; }

    QuarantineRegister machine;
    Quarantine node{VmId{"vm-a"}};
    Quarantine other{VmId{"vm-b"}};
};

} // namespace

BOOST_AUTO_TEST_CASE(fingerprint_covers_only_members_that_affect_the_result)
{
    const Fingerprint first = fingerprintOf(R"({"model": "m", "messages": [{"role": "user", "content": "a  b"}], "temperature": 1.0})");
    const Fingerprint same = fingerprintOf(
        R"({"temperature":1,"messages":[{"content":"a  b","role":"user"}],"user":"u7","stream":true,"metadata":{"id":9},"model":"m"})");
    BOOST_TEST(first == same);
    BOOST_TEST(first != fingerprintOf(R"({"model": "m", "messages": [{"role": "user", "content": "a b"}], "temperature": 1})"));
    BOOST_TEST(first != fingerprintOf(R"({"model": "n", "messages": [{"role": "user", "content": "a  b"}], "temperature": 1})"));
    BOOST_CHECK_THROW(fingerprintOf("[]"), DecodeError);
    BOOST_CHECK_THROW(fingerprintOf("{"), DecodeError);
}

BOOST_AUTO_TEST_CASE(second_loss_is_refused_at_all_nodes_until_expiry)
{
    TestRegion region;
    BOOST_CHECK(region.verdict(CrashRequest, at(seconds(0))) == QuarantineVerdict::Allowed);
    region.reportLoss("r1", {CrashRequest}, at(seconds(0)));
    BOOST_CHECK(region.verdict(CrashRequest, at(seconds(1))) == QuarantineVerdict::TrialOnly);
    BOOST_TEST(region.startTrial(CrashRequest, "r2", at(seconds(1))));
    BOOST_TEST(!region.startTrial(CrashRequest, "r3", at(seconds(1))));
    BOOST_CHECK(region.node.decide(CrashRequest, 3, at(seconds(1))).verdict == QuarantineVerdict::Refused);
    region.reportLoss("r2", {CrashRequest}, at(seconds(2)));
    const QuarantineDecision refused = region.other.decide(CrashRequest, 3, at(seconds(3)));
    BOOST_CHECK(refused.verdict == QuarantineVerdict::Refused);
    BOOST_CHECK(refused.retryAfter == seconds(599));
    BOOST_TEST(!region.startTrial(CrashRequest, "r3", at(seconds(4))));
    // After expiry one trial is granted; a further loss is refused for twice as long.
    BOOST_CHECK(region.verdict(CrashRequest, at(minutes(11))) == QuarantineVerdict::TrialOnly);
    BOOST_TEST(region.startTrial(CrashRequest, "r3", at(minutes(11))));
    region.reportLoss("r3", {CrashRequest}, at(minutes(12)));
    BOOST_CHECK(region.verdict(CrashRequest, at(minutes(31))) == QuarantineVerdict::Refused);
    BOOST_CHECK(region.verdict(CrashRequest, at(minutes(33))) == QuarantineVerdict::TrialOnly);
}

// Guards against a request that crashes endpoints so often that it is no longer refused.
BOOST_AUTO_TEST_CASE(request_that_crashed_many_endpoints_is_allowed_again)
{
    TestRegion region;
    std::chrono::milliseconds now{0};
    for (int loss = 1; loss <= 12; ++loss) {
        // While the request is still a suspect.
        now += loss <= 2 ? std::chrono::milliseconds(minutes(5)) : std::chrono::milliseconds(std::chrono::hours(23));
        region.reportLoss("r" + std::to_string(loss), {CrashRequest}, at(now));
        region.reportLoss("r" + std::to_string(loss), {CrashRequest}, at(now));
        const bool isRefused = region.verdict(CrashRequest, at(now + seconds(1))) == QuarantineVerdict::Refused;
        BOOST_TEST(isRefused == (loss > 1), "after loss " << loss);
    }
}

BOOST_AUTO_TEST_CASE(one_loss_reported_by_several_nodes_counts_once)
{
    TestRegion region;
    region.reportLoss("r1", {CrashRequest}, at(seconds(0)));
    region.reportLoss("r1", {CrashRequest, Bystander}, at(seconds(0)));
    BOOST_CHECK(region.verdict(CrashRequest, at(seconds(1))) == QuarantineVerdict::TrialOnly);
}

BOOST_AUTO_TEST_CASE(own_reports_count_before_the_replica_has_them)
{
    Quarantine node{VmId{"vm-a"}};
    node.onEndpointLost(EndpointId{"r1"}, Incarnation{"1"}, {CrashRequest}, at(seconds(0)));
    BOOST_CHECK(node.decide(CrashRequest, 3, at(seconds(1))).verdict == QuarantineVerdict::TrialOnly);
    node.onEndpointLost(EndpointId{"r2"}, Incarnation{"1"}, {CrashRequest}, at(seconds(2)));
    BOOST_CHECK(node.decide(CrashRequest, 3, at(seconds(3))).verdict == QuarantineVerdict::Refused);
}

BOOST_AUTO_TEST_CASE(bystanders_are_cleared_by_completion_or_by_attribution_of_the_loss)
{
    TestRegion region;
    const Fingerprint otherBystander{3};
    region.reportLoss("r1", {CrashRequest, Bystander, otherBystander}, at(seconds(0)));
    for (const auto &command : region.node.onCompleted(Bystander, at(seconds(1)))) {
        region.apply(command);
    }
    BOOST_CHECK(region.verdict(Bystander, at(seconds(1))) == QuarantineVerdict::Allowed);
    BOOST_CHECK(region.verdict(otherBystander, at(seconds(1))) == QuarantineVerdict::TrialOnly);
    BOOST_TEST(region.startTrial(CrashRequest, "r2", at(seconds(2))));
    region.reportLoss("r2", {CrashRequest}, at(seconds(3)));
    BOOST_CHECK(region.verdict(otherBystander, at(seconds(4))) == QuarantineVerdict::Allowed);
    // A suspect whose earlier loss is attributed elsewhere is still refused after its next loss.
    region.reportLoss("r3", {otherBystander}, at(seconds(5)));
    BOOST_CHECK(region.verdict(otherBystander, at(seconds(6))) == QuarantineVerdict::Refused);
    BOOST_CHECK(region.verdict(CrashRequest, at(seconds(6))) == QuarantineVerdict::Refused);
    BOOST_TEST(region.node.onCompleted(Fingerprint{9}, at(seconds(7))).empty());
}

BOOST_AUTO_TEST_CASE(trials_need_a_second_copy_and_an_endpoint_without_trial)
{
    TestRegion region;
    region.reportLoss("r1", {CrashRequest, Bystander}, at(seconds(0)));
    BOOST_CHECK(region.other.decide(CrashRequest, 1, at(seconds(1))).verdict == QuarantineVerdict::Refused);
    BOOST_CHECK(region.other.chooseTrialEndpoint({{EndpointId{"r2"}, 5}, {EndpointId{"r3"}, 1}}) == EndpointId{"r3"});
    BOOST_TEST(region.startTrial(CrashRequest, "r3", at(seconds(1))));
    BOOST_CHECK(region.other.chooseTrialEndpoint({{EndpointId{"r2"}, 5}, {EndpointId{"r3"}, 1}}) == EndpointId{"r2"});
    BOOST_TEST(!region.startTrial(Bystander, "r3", at(seconds(1))));
    for (const auto &command : region.other.onCancelled(CrashRequest, at(seconds(2)))) {
        region.apply(command);
    }
    BOOST_CHECK(region.verdict(CrashRequest, at(seconds(2))) == QuarantineVerdict::TrialOnly);
}

BOOST_AUTO_TEST_CASE(trial_that_exceeds_its_timeout_counts_as_a_loss)
{
    TestRegion region;
    region.reportLoss("r1", {CrashRequest}, at(seconds(0)));
    BOOST_TEST(region.startTrial(CrashRequest, "r2", at(seconds(1))));
    BOOST_CHECK(region.verdict(CrashRequest, at(minutes(3))) == QuarantineVerdict::Refused);
    BOOST_TEST(!region.startTrial(CrashRequest, "r3", at(minutes(3))));
}

BOOST_AUTO_TEST_CASE(register_is_bounded_and_evicts_the_lowest_weight_first)
{
    QuarantineRegister machine(QuarantineLimits{.maxSuspects = 10});
    machine.apply({at(seconds(0)), ReportLoss{LossId{1}, {CrashRequest}}});
    machine.apply({at(seconds(0)), ReportLoss{LossId{2}, {CrashRequest}}});
    machine.apply({at(seconds(0)), ReportLoss{LossId{3}, {Bystander}}});
    for (std::uint64_t number = 100; number < 200; ++number) {
        machine.apply({at(seconds(1)), ReportLoss{LossId{number}, {Fingerprint{number}, Fingerprint{number + 1000}}}});
    }
    BOOST_TEST(machine.size() == 10U);
    BOOST_CHECK(machine.find(CrashRequest) != nullptr && machine.find(CrashRequest)->refused());
    BOOST_CHECK(machine.find(Bystander) != nullptr);
    machine.apply({at(minutes(30)), ClearSuspect{Fingerprint{0}}});
    BOOST_TEST(machine.size() == 1U);
}
