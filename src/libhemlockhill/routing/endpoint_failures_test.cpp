// Tests which endpoints are put into backoff because of failed requests, alone and under the load of several nodes.
#include "hemlockhill/endpoint_failures.h"

#include "hemlockhill/retry_budget.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace Hemlockhill;

namespace
{

const EndpointId First{"e0"};
const EndpointId Second{"e1"};
const EndpointId Third{"e2"};
const ModelId Drafter{"m1"};
const ModelId Writer{"m2"};
constexpr auto Failed = EndpointFailureKind::Exchange;
constexpr auto NotConnected = EndpointFailureKind::NotConnected;

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(milliseconds);
}

EndpointId endpointId(std::size_t index)
{
    return EndpointId{"e" + std::to_string(index)};
}

EndpointsById directory(std::size_t count)
{
    EndpointsById endpoints;
    for (std::size_t index = 0; index < count; ++index) {
        LiveEndpoint endpoint;
        endpoint.id = endpointId(index);
        endpoint.service = ServiceId{"records"};
        endpoints.emplace(endpoint.id, endpoint);
    }
    return endpoints;
}

EndpointFailures failuresOf(std::size_t count)
{
    EndpointFailures failures;
    failures.onDirectory(directory(count));
    return failures;
}

void succeed(EndpointFailures &failures, const EndpointId &endpoint, int times)
{
    for (int request = 0; request < times; ++request) {
        failures.onSucceeded(endpoint);
    }
}

// Lets 3 in 10 requests fail, no two of them in a row.
void failThreeInTen(EndpointFailures &failures, const EndpointId &endpoint, int tens, TimePoint now)
{
    for (int request = 0; request < 10 * tens; ++request) {
        if (request % 10 == 2 || request % 10 == 5 || request % 10 == 8) {
            failures.onFailed(endpoint, Failed, now);
        } else {
            failures.onSucceeded(endpoint);
        }
    }
}

// How a node decides which endpoints are in use.
struct Rule {
    std::function<void(const EndpointId &)> onSucceeded;
    std::function<void(const EndpointId &, TimePoint)> onFailed;
    std::function<bool(const EndpointId &, TimePoint)> isInBackoff;
};
using RuleFactory = std::function<Rule(std::size_t endpoints)>;

// The rule before endpoints were compared: two failures in a row, or a moving average of 0.3.
Rule formerRule(std::size_t)
{
    struct Record {
        std::uint32_t consecutiveFailures = 0;
        double failureRate = 0;
        TimePoint backoffUntil;
    };
    const auto records = std::make_shared<std::map<EndpointId, Record>>();
    Rule rule;
    rule.onSucceeded = [records](const EndpointId &endpoint) {
        Record &record = (*records)[endpoint];
        record.consecutiveFailures = 0;
        record.failureRate -= record.failureRate * 0.15;
    };
    rule.onFailed = [records](const EndpointId &endpoint, TimePoint now) {
        Record &record = (*records)[endpoint];
        record.failureRate += (1 - record.failureRate) * 0.15;
        ++record.consecutiveFailures;
        if (record.consecutiveFailures >= 2 || record.failureRate >= 0.3) {
            const auto doublings = std::min<std::uint32_t>(record.consecutiveFailures, 4) - 1;
            record.backoffUntil = now + std::min<Duration>(std::chrono::milliseconds(500 * (1U << doublings)), std::chrono::seconds(4));
        }
    };
    rule.isInBackoff = [records](const EndpointId &endpoint, TimePoint now) { return now < (*records)[endpoint].backoffUntil; };
    return rule;
}

Rule presentRule(std::size_t endpoints)
{
    const auto failures = std::make_shared<EndpointFailures>();
    failures->onDirectory(directory(endpoints));
    Rule rule;
    rule.onSucceeded = [failures](const EndpointId &endpoint) { failures->onSucceeded(endpoint); };
    rule.onFailed = [failures](const EndpointId &endpoint, TimePoint now) { failures->onFailed(endpoint, Failed, now); };
    rule.isInBackoff = [failures](const EndpointId &endpoint, TimePoint now) { return failures->isInBackoff(endpoint, now); };
    return rule;
}

// Requests that arrive at several nodes in turn, and are sent to endpoints of which each fails a part of them at random.
struct Load {
    std::size_t nodes = 6;
    int requests = 1'500;
    int requestsPerSecond = 50;
    std::vector<double> failureShares;
    std::uint64_t seed = 1;
    // Number of exchanges of one request that may run it, and how long a request waits for an endpoint in use.
    int attemptLimit = 2;
    Duration wait = std::chrono::milliseconds(400);
};

struct Result {
    int sent = 0;
    int served = 0;
    int failed = 0;
    int refused = 0;
    std::map<EndpointId, int> sentTo;
};

class LoadedNodes
{
public:
    LoadedNodes(const Load &load, const RuleFactory &makeRule)
        : m_load(load)
        , m_random(load.seed)
    {
        for (std::size_t node = 0; node < load.nodes; ++node) {
            m_nodes.push_back({makeRule(load.failureShares.size()), RetryBudget(RetryBudgetLimits{})});
        }
    }

    Result run()
    {
        for (int request = 0; request < m_load.requests; ++request) {
            serve(m_nodes[static_cast<std::size_t>(request) % m_nodes.size()], at(request * 1'000 / m_load.requestsPerSecond));
        }
        return m_result;
    }

private:
    struct Node {
        Rule rule;
        RetryBudget budget;
    };

    void serve(Node &node, TimePoint arrivedAt)
    {
        node.budget.onRequest();
        std::set<EndpointId> tried;
        TimePoint now = arrivedAt;
        for (int attempt = 0; attempt < m_load.attemptLimit; ++attempt) {
            if (attempt > 0 && !node.budget.spend()) {
                break;
            }
            const auto endpoint = waitForEndpoint(node, tried, now);
            if (!endpoint) {
                break;
            }
            tried.insert(*endpoint);
            if (send(node, *endpoint, now)) {
                ++m_result.served;
                return;
            }
        }
        ++(tried.empty() ? m_result.refused : m_result.failed);
    }

    std::optional<EndpointId> waitForEndpoint(const Node &node, const std::set<EndpointId> &tried, TimePoint &now)
    {
        for (const TimePoint end = now + m_load.wait; now < end; now += std::chrono::milliseconds(10)) {
            std::vector<EndpointId> candidates;
            for (std::size_t index = 0; index < m_load.failureShares.size(); ++index) {
                const EndpointId id = endpointId(index);
                if (!tried.contains(id) && !node.rule.isInBackoff(id, now)) {
                    candidates.push_back(id);
                }
            }
            if (!candidates.empty()) {
                boost::random::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
                return candidates[draw(m_random)];
            }
        }
        return std::nullopt;
    }

    bool send(const Node &node, const EndpointId &endpoint, TimePoint now)
    {
        ++m_result.sent;
        ++m_result.sentTo[endpoint];
        boost::random::uniform_real_distribution<double> draw(0, 1);
        const auto index = static_cast<std::size_t>(std::stoi(endpoint.value.substr(1)));
        const bool hasFailed = draw(m_random) < m_load.failureShares[index];
        if (hasFailed) {
            node.rule.onFailed(endpoint, now);
        } else {
            node.rule.onSucceeded(endpoint);
        }
        return !hasFailed;
    }

    Load m_load;
    boost::random::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    Result m_result;
};

struct Comparison {
    Result former;
    Result present;
};

std::string describe(const Result &result)
{
    return std::to_string(result.sent) + " sent, " + std::to_string(result.served) + " served, " + std::to_string(result.failed)
           + " failed, " + std::to_string(result.refused) + " refused";
}

Comparison compare(const std::string &name, const Load &load)
{
    Comparison comparison{LoadedNodes(load, formerRule).run(), LoadedNodes(load, presentRule).run()};
    BOOST_TEST_MESSAGE(name << ", seed " << load.seed << ", former rule: " << describe(comparison.former)
                            << "; present rule: " << describe(comparison.present) << "; sent to e0: " << comparison.former.sentTo.at(First)
                            << " and " << comparison.present.sentTo.at(First));
    return comparison;
}

constexpr std::uint64_t Seeds = 20;

} // namespace

// Guards against requests that are refused although each endpoint would serve 7 in 10 of them: 1,500 requests, 50 a second, at 6 nodes
// before three endpoints.
BOOST_AUTO_TEST_CASE(endpoints_that_fail_alike_are_all_in_backoff)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Load load;
        load.failureShares = {0.3, 0.3, 0.3};
        load.seed = seed;
        const Comparison comparison = compare("three endpoints fail 3 in 10", load);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_CHECK_EQUAL(comparison.present.refused, 0);
            // Each is sent once, and retried within a budget of 20 and a tenth of the requests at each node.
            BOOST_CHECK_GT(comparison.present.served, load.requests * 0.7);
            BOOST_CHECK_GT(comparison.present.served, comparison.former.served);
            BOOST_CHECK_GT(comparison.former.refused, 0);
        }
    }
}

// Guards against the same with requests that may run once, 1,500 of them within 4 s, as in refusals-beside-faults.
BOOST_AUTO_TEST_CASE(endpoints_that_fail_alike_are_all_in_backoff_under_a_burst)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Load load;
        load.requestsPerSecond = 375;
        load.attemptLimit = 1;
        load.failureShares = {0.3, 0.3, 0.3};
        load.seed = seed;
        const Comparison comparison = compare("three endpoints fail 3 in 10, burst", load);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_CHECK_EQUAL(comparison.present.refused, 0);
            BOOST_CHECK_EQUAL(comparison.present.sent, load.requests);
            BOOST_CHECK_GT(comparison.present.served, load.requests * 0.65);
            BOOST_CHECK_GT(comparison.former.refused, 0);
        }
    }
}

// Guards against a bad endpoint that stays in use for longer than before. The load is the same as in the first of these tests.
BOOST_AUTO_TEST_CASE(endpoint_that_fails_everything_beside_good_ones_stays_in_use)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Load load;
        load.failureShares = {1, 0, 0};
        load.seed = seed;
        const Comparison comparison = compare("one of three fails everything", load);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            // Chance decides which requests are sent there after a backoff, so one request more at each node is allowed.
            BOOST_CHECK_LE(comparison.present.sentTo.at(First), comparison.former.sentTo.at(First) + static_cast<int>(load.nodes));
            BOOST_CHECK_EQUAL(comparison.present.refused, 0);
            BOOST_CHECK_GE(comparison.present.served, comparison.former.served - static_cast<int>(load.nodes));
        }
    }
}

// Guards against the same with a bad endpoint that serves some of its requests: 12 endpoints, 6,000 requests at 6 nodes.
BOOST_AUTO_TEST_CASE(one_of_twelve_endpoints_that_fails_four_in_ten_stays_in_use)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Load load;
        load.requests = 6'000;
        load.failureShares = std::vector<double>(12, 0);
        load.failureShares[0] = 0.4;
        load.seed = seed;
        const Comparison comparison = compare("one of twelve fails 4 in 10", load);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_CHECK_LE(comparison.present.sentTo.at(First), comparison.former.sentTo.at(First) * 1.1 + 6);
            BOOST_CHECK_EQUAL(comparison.present.refused, 0);
        }
    }
}

// Guards against a majority of bad endpoints that make each other look normal.
BOOST_AUTO_TEST_CASE(two_of_three_endpoints_that_fail_everything_stay_in_use)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Load load;
        load.failureShares = {1, 1, 0};
        load.seed = seed;
        const Comparison comparison = compare("two of three fail everything", load);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const int bad = comparison.present.sentTo.at(First) + comparison.present.sentTo.at(Second);
            const int formerlyBad = comparison.former.sentTo.at(First) + comparison.former.sentTo.at(Second);
            BOOST_CHECK_LE(bad, formerlyBad * 1.1 + 6);
            BOOST_CHECK_EQUAL(comparison.present.refused, 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(second_failure_in_a_row_beside_good_endpoints_is_tolerated)
{
    EndpointFailures failures = failuresOf(3);
    for (const EndpointId &endpoint : {First, Second, Third}) {
        succeed(failures, endpoint, 20);
    }
    BOOST_CHECK(failures.onFailed(First, Failed, at(0)).verdict == FailureVerdict::Tolerated);
    const FailureAssessment second = failures.onFailed(First, Failed, at(10));
    BOOST_CHECK(second.verdict == FailureVerdict::BackedOff);
    BOOST_CHECK(second.isNew);
    BOOST_CHECK(second.backoff == std::chrono::seconds(1));
    BOOST_CHECK(failures.isInBackoff(First, at(1'000)));
    BOOST_CHECK(!failures.isInBackoff(First, at(1'020)));
    // Requests that were in progress fail as well.
    BOOST_CHECK(!failures.onFailed(First, Failed, at(20)).isNew);
    BOOST_CHECK(failures.onFailed(First, Failed, at(30)).backoff == std::chrono::seconds(4));
    BOOST_CHECK(!failures.isInBackoff(Second, at(40)));
}

BOOST_AUTO_TEST_CASE(failures_of_an_endpoint_beside_others_that_fail_alike_cause_a_backoff)
{
    EndpointFailures failures = failuresOf(3);
    for (const EndpointId &endpoint : {First, Second, Third}) {
        failThreeInTen(failures, endpoint, 10, at(0));
    }
    failures.onFailed(First, Failed, at(20'000));
    const FailureAssessment second = failures.onFailed(First, Failed, at(20'010));
    BOOST_CHECK(second.verdict == FailureVerdict::NoWorse);
    BOOST_REQUIRE(second.othersRate.has_value());
    BOOST_CHECK_CLOSE(*second.othersRate, 0.3, 15);
    BOOST_CHECK(!failures.isInBackoff(First, at(20'010)));
    BOOST_CHECK(!failures.onFailed(First, Failed, at(20'020)).isNew);
}

// Guards against an endpoint that begins to fail everything and stays in use because others fail a part of their requests.
BOOST_AUTO_TEST_CASE(endpoint_that_begins_to_fail_everything_beside_others_that_fail_stays_in_use)
{
    EndpointFailures failures = failuresOf(3);
    for (const EndpointId &endpoint : {First, Second, Third}) {
        failThreeInTen(failures, endpoint, 10, at(0));
    }
    int failed = 0;
    while (!failures.isInBackoff(First, at(20'000)) && failed < 20) {
        failures.onFailed(First, Failed, at(20'000));
        ++failed;
    }
    BOOST_CHECK_LE(failed, 8);
}

BOOST_AUTO_TEST_CASE(endpoint_that_has_recovered_stays_in_backoff)
{
    EndpointFailures failures = failuresOf(2);
    succeed(failures, First, 20);
    succeed(failures, Second, 20);
    for (int failure = 0; failure < 10; ++failure) {
        failures.onFailed(First, Failed, at(failure));
    }
    BOOST_CHECK(failures.isInBackoff(First, at(3'000)));
    BOOST_CHECK(!failures.isInBackoff(First, at(4'010)));
    succeed(failures, First, 12);
    BOOST_CHECK(failures.onFailed(First, Failed, at(10'000)).verdict == FailureVerdict::Tolerated);
    BOOST_CHECK(!failures.isInBackoff(First, at(10'000)));
    // The backoff begins anew.
    BOOST_CHECK(failures.onFailed(First, Failed, at(10'010)).backoff == std::chrono::seconds(1));
}

// Guards against requests to endpoints that nobody can connect to, kept in use because all others refuse connections as well.
BOOST_AUTO_TEST_CASE(endpoints_that_refuse_connections_stay_in_use)
{
    EndpointFailures failures = failuresOf(3);
    for (const EndpointId &endpoint : {First, Second, Third}) {
        succeed(failures, endpoint, 50);
    }
    for (const EndpointId &endpoint : {First, Second, Third}) {
        BOOST_CHECK(failures.onFailed(endpoint, NotConnected, at(0)).verdict == FailureVerdict::Tolerated);
        BOOST_CHECK(failures.onFailed(endpoint, NotConnected, at(10)).verdict == FailureVerdict::BackedOff);
    }
    for (const EndpointId &endpoint : {First, Second, Third}) {
        BOOST_CHECK(failures.isInBackoff(endpoint, at(20)));
        BOOST_CHECK(!failures.isInBackoff(endpoint, at(1'020)));
    }
    failures.onSucceeded(Second);
    BOOST_CHECK(failures.onUnreachable(Second, at(2'000)).verdict == FailureVerdict::BackedOff);
    BOOST_CHECK(failures.isInBackoff(Second, at(2'000)));
}

// Guards against requests to endpoints that all break off each connection.
BOOST_AUTO_TEST_CASE(endpoints_that_answer_nothing_stay_in_use)
{
    EndpointFailures silent = failuresOf(3);
    EndpointFailures fallen = failuresOf(3);
    for (const EndpointId &endpoint : {First, Second, Third}) {
        succeed(fallen, endpoint, 50);
    }
    for (int failure = 0; failure < 8; ++failure) {
        for (const EndpointId &endpoint : {First, Second, Third}) {
            silent.onFailed(endpoint, Failed, at(0));
            fallen.onFailed(endpoint, Failed, at(0));
        }
        for (const EndpointId &endpoint : {First, Second, Third}) {
            BOOST_CHECK_EQUAL(silent.isInBackoff(endpoint, at(0)), failure >= 1);
        }
    }
    for (const EndpointId &endpoint : {First, Second, Third}) {
        BOOST_CHECK(fallen.isInBackoff(endpoint, at(0)));
    }
}

BOOST_AUTO_TEST_CASE(few_samples_of_the_others_keep_a_bad_endpoint_in_use)
{
    EndpointFailures failures = failuresOf(3);
    succeed(failures, Second, 7);
    succeed(failures, First, 1);
    failures.onFailed(First, Failed, at(0));
    const FailureAssessment second = failures.onFailed(First, Failed, at(10));
    BOOST_CHECK(!second.othersRate);
    BOOST_CHECK(second.verdict == FailureVerdict::BackedOff);
    BOOST_CHECK(failures.isInBackoff(First, at(10)));
}

// Guards against a service without an endpoint in use after a few failures by chance, while nothing can be compared yet.
BOOST_AUTO_TEST_CASE(all_endpoints_are_in_backoff_after_few_requests)
{
    EndpointFailures failures = failuresOf(2);
    for (const EndpointId &endpoint : {First, Second}) {
        succeed(failures, endpoint, 1);
        failures.onFailed(endpoint, Failed, at(0));
        failures.onFailed(endpoint, Failed, at(0));
    }
    BOOST_CHECK(!failures.isInBackoff(First, at(10)));
    BOOST_CHECK(!failures.isInBackoff(Second, at(10)));
    // An endpoint that answers nothing is not needed.
    for (int failure = 0; failure < 8; ++failure) {
        failures.onFailed(First, Failed, at(20));
    }
    BOOST_CHECK(failures.isInBackoff(First, at(20)));
    BOOST_CHECK(!failures.isInBackoff(Second, at(20)));
}

// Guards against a model without an endpoint in use, while runners of other models are.
BOOST_AUTO_TEST_CASE(last_runner_of_a_model_is_in_backoff)
{
    EndpointsById endpoints = directory(3);
    endpoints[First].held = {{Drafter, {}}, {Writer, {}}};
    endpoints[Second].held = {{Drafter, {}}};
    endpoints[Third].held = {{Drafter, {}}};
    EndpointFailures failures;
    failures.onDirectory(endpoints);
    succeed(failures, First, 20);
    succeed(failures, Second, 20);
    failures.onFailed(First, Failed, at(0));
    BOOST_CHECK(failures.onFailed(First, Failed, at(0)).verdict == FailureVerdict::BackedOff);
    BOOST_CHECK(!failures.isInBackoff(First, at(10)));
    endpoints[Third].held.insert({Writer, {}});
    failures.onDirectory(endpoints);
    BOOST_CHECK(failures.isInBackoff(First, at(10)));
    endpoints[Third].leaving = true;
    failures.onDirectory(endpoints);
    BOOST_CHECK(!failures.isInBackoff(First, at(10)));
}

BOOST_AUTO_TEST_CASE(records_outlive_their_endpoints)
{
    EndpointFailures failures = failuresOf(2);
    failures.onFailed(First, Failed, at(0));
    failures.onFailed(First, Failed, at(0));
    BOOST_CHECK(failures.isInBackoff(First, at(10)));
    failures.onDirectory({});
    BOOST_CHECK(!failures.isInBackoff(First, at(10)));
    failures.onDirectory(directory(2));
    BOOST_CHECK(!failures.isInBackoff(First, at(10)));
}

// Guards against decisions of two nodes that differ although they saw the same.
BOOST_AUTO_TEST_CASE(same_outcomes_lead_to_other_decisions)
{
    Load load;
    load.failureShares = {0.3, 0.5, 0.1};
    const Result first = LoadedNodes(load, presentRule).run();
    const Result second = LoadedNodes(load, presentRule).run();
    BOOST_CHECK_EQUAL(describe(first), describe(second));
}
