// Tests of endpoints' rate limits over many nodes, whose notices are lost, late, repeated and reordered, and of the beginning and end of
// limits.
#include "hemlockhill/endpoint_rate_limiter.h"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>

using namespace Hemlockhill;

namespace
{

const EndpointId Limited{"e1"};
const Incarnation FirstLife{"1"};
const Incarnation SecondLife{"2"};
constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr Duration Window = std::chrono::seconds(4);
// In any window an endpoint may get one and a half times what its limit allows, and this many requests more.
constexpr double AllowedSurplus = 5;

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1)) + milliseconds * Millisecond;
}

DeclaredCapacity limited(double rate)
{
    return {RateLimitStatement::Limited, RequestRate{rate}};
}

DeclaredCapacity unlimited()
{
    return {RateLimitStatement::Unlimited, {}};
}

// How notices travel between the nodes of a simulation.
struct Network {
    double lossRatio = 0;
    double repeatRatio = 0;
    // Fraction of the notices that arrive up to lateMs late.
    double lateRatio = 0;
    int lateMs = 400;
};

// Nodes that would each send a request to one limited endpoint at any time.
class LimitedEndpointSimulation
{
public:
    LimitedEndpointSimulation(std::size_t nodes, double rate, Network network, unsigned seed)
        : m_rate(rate)
        , m_network(network)
        , m_random(seed)
    {
        for (std::size_t node = 0; node < nodes; ++node) {
            addNode(nodes);
        }
    }

    void addNode(std::size_t nodes)
    {
        m_nodes.push_back(std::make_unique<EndpointRateLimiter>(EndpointRateLimits{}, m_random()));
        for (const auto &node : m_nodes) {
            node->setNodeCount(std::max(nodes, m_nodes.size()));
        }
    }

    // A request of the node is answered with the limit.
    void declare(std::size_t node)
    {
        if (m_nodes[node]->onAnswer(Limited, FirstLife, limited(m_rate), at(m_now), at(m_now))) {
            announce(node, true);
        }
    }

    void run(int milliseconds)
    {
        for (const int end = m_now + milliseconds; m_now < end; ++m_now) {
            deliver();
            for (std::size_t node = 0; node < m_nodes.size(); ++node) {
                // A node's waiting requests are considered every 10 ms.
                if ((static_cast<std::size_t>(m_now) + node) % 10 == 0 && m_nodes[node]->delay(Limited, at(m_now)) == Duration(0)) {
                    dispatch(node);
                }
            }
        }
    }

    // The largest number of requests in any window.
    std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_dispatches.size(); ++last) {
            while (m_dispatches[first] <= m_dispatches[last] - Window / Millisecond) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    double allowed() const { return 1.5 * m_rate * std::chrono::duration<double>(Window).count() + AllowedSurplus; }
    std::size_t dispatches() const { return m_dispatches.size(); }

private:
    struct Message {
        std::size_t from;
        std::size_t to;
        RateLimitNotice notice;
    };

    bool draw(double ratio) { return boost::random::bernoulli_distribution<>(ratio)(m_random); }

    void send(std::size_t from, std::size_t to, const RateLimitNotice &notice)
    {
        const int copies = draw(m_network.lossRatio) ? 0 : 1 + (draw(m_network.repeatRatio) ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            const int longest = draw(m_network.lateRatio) ? m_network.lateMs : 2;
            m_messages.emplace(m_now + boost::random::uniform_int_distribution<>(1, longest)(m_random), Message{from, to, notice});
        }
    }

    void announce(std::size_t from, bool wantsReply)
    {
        const auto notice = m_nodes[from]->notice(Limited, wantsReply, at(m_now));
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (to != from) {
                send(from, to, notice.value());
            }
        }
    }

    void dispatch(std::size_t node)
    {
        m_dispatches.push_back(m_now);
        if (!m_nodes[node]->onDispatched(Limited, at(m_now))) {
            return;
        }
        announce(node, true);
        m_repeats.emplace(m_now + 60, node);
        m_repeats.emplace(m_now + 300, node);
    }

    void deliver()
    {
        for (; !m_repeats.empty() && m_repeats.begin()->first <= m_now; m_repeats.erase(m_repeats.begin())) {
            announce(m_repeats.begin()->second, false);
        }
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            const Message message = m_messages.begin()->second;
            m_messages.erase(m_messages.begin());
            const VmId from{std::to_string(message.from)};
            if (m_nodes[message.to]->onNotice(from, message.notice, at(m_now))) {
                send(message.to, message.from, m_nodes[message.to]->notice(Limited, false, at(m_now)).value());
            }
        }
    }

    double m_rate;
    Network m_network;
    boost::random::mt19937 m_random;
    std::vector<std::unique_ptr<EndpointRateLimiter>> m_nodes;
    std::multimap<int, Message> m_messages;
    std::multimap<int, std::size_t> m_repeats;
    std::vector<int> m_dispatches;
    int m_now = 0;
};

void checkBound(std::size_t nodes, double rate, Network network, unsigned seed)
{
    LimitedEndpointSimulation simulation(nodes, rate, network, seed);
    for (std::size_t node = 0; node < nodes; ++node) {
        simulation.declare(node);
    }
    simulation.run(20'000);
    BOOST_TEST_CONTEXT("nodes " << nodes << ", rate " << rate << ", loss " << network.lossRatio << ", seed " << seed)
    {
        BOOST_CHECK_LE(static_cast<double>(simulation.mostInWindow()), simulation.allowed());
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_of_all_nodes_stay_within_the_limit_while_notices_are_lost_late_and_repeated)
{
    const std::vector<Network> networks{{}, {0.1, 0.1, 0.1}, {0.4, 0.2, 0.2}};
    for (unsigned seed = 1; seed <= 4; ++seed) {
        for (const Network &network : networks) {
            for (const double rate : {0.2, 0.7, 1.8, 4.0, 25.0}) {
                checkBound(4, rate, network, seed);
                checkBound(8, rate, network, seed);
            }
        }
    }
    for (const double rate : {0.7, 1.8, 25.0}) {
        checkBound(60, rate, networks[1], 5);
    }
    checkBound(350, 1.8, {}, 6);
    checkBound(350, 25, {}, 7);
}

BOOST_AUTO_TEST_CASE(nodes_that_do_not_hear_each_other_share_the_rate_equally)
{
    for (const std::size_t nodes : {8, 60, 350}) {
        for (const double rate : {0.5, 1.8, 25.0}) {
            checkBound(nodes, rate, {1, 0, 0}, 8);
        }
    }
}

// Guards against a safe bound that leaves the endpoint idle.
BOOST_AUTO_TEST_CASE(most_of_the_rate_is_used)
{
    for (const std::size_t nodes : {1, 8, 60}) {
        LimitedEndpointSimulation simulation(nodes, 4, {0.02, 0, 0}, 9);
        simulation.declare(0);
        simulation.run(30'000);
        BOOST_CHECK_GE(simulation.dispatches(), 0.8 * 4 * 30);
    }
}

BOOST_AUTO_TEST_CASE(node_that_has_just_started_sends_no_burst_to_a_limited_endpoint)
{
    LimitedEndpointSimulation simulation(6, 1.8, {}, 10);
    simulation.declare(0);
    simulation.run(8'000);
    for (std::size_t node = 6; node < 9; ++node) {
        simulation.addNode(9);
        simulation.declare(node);
        simulation.run(500);
    }
    simulation.run(8'000);
    BOOST_CHECK_LE(static_cast<double>(simulation.mostInWindow()), simulation.allowed());
}

BOOST_AUTO_TEST_CASE(limit_ends_with_an_answer_to_a_later_request_only)
{
    EndpointRateLimiter limiter({}, 1);
    BOOST_CHECK(limiter.onAnswer(Limited, FirstLife, limited(2), at(0), at(50)));
    BOOST_CHECK(!limiter.onAnswer(Limited, FirstLife, unlimited(), at(40), at(60)));
    BOOST_CHECK(limiter.isLimited(Limited));
    BOOST_CHECK(!limiter.onAnswer(Limited, FirstLife, {}, at(70), at(90)));
    BOOST_CHECK(limiter.isLimited(Limited));
    BOOST_CHECK(limiter.onAnswer(Limited, FirstLife, unlimited(), at(70), at(100)));
    BOOST_CHECK(!limiter.isLimited(Limited));
    BOOST_CHECK(limiter.delay(Limited, at(100)) == Duration(0));
}

BOOST_AUTO_TEST_CASE(late_notice_does_not_bring_back_a_limit_that_has_ended)
{
    EndpointRateLimiter first({}, 1);
    EndpointRateLimiter second({}, 2);
    first.onAnswer(Limited, FirstLife, limited(2), at(0), at(10));
    RateLimitNotice late = first.notice(Limited, true, at(20)).value();
    second.onNotice(VmId{"first"}, late, at(21));
    second.onAnswer(Limited, FirstLife, unlimited(), at(200), at(230));
    late.age += std::chrono::milliseconds(215);
    BOOST_CHECK(!second.onNotice(VmId{"first"}, late, at(236)));
    BOOST_CHECK(!second.isLimited(Limited));
    first.onNotice(VmId{"second"}, second.notice(Limited, false, at(240)).value(), at(241));
    BOOST_CHECK(!first.isLimited(Limited));
}

BOOST_AUTO_TEST_CASE(limit_ends_when_the_endpoint_starts_again)
{
    EndpointRateLimiter limiter({}, 1);
    limiter.onAnswer(Limited, FirstLife, limited(2), at(0), at(0));
    LiveEndpoint listed;
    listed.id = Limited;
    listed.incarnation = FirstLife;
    limiter.onDirectory({{Limited, listed}}, at(100));
    BOOST_CHECK(limiter.isLimited(Limited));
    listed.incarnation = SecondLife;
    // The new incarnation may have declared the limit before it was listed.
    limiter.onDirectory({{Limited, listed}}, at(200));
    BOOST_CHECK(limiter.isLimited(Limited));
    limiter.onAnswer(Limited, FirstLife, limited(2), at(300), at(300));
    limiter.onDirectory({{Limited, listed}}, at(3'000));
    BOOST_CHECK(!limiter.isLimited(Limited));
    limiter.onAnswer(Limited, SecondLife, limited(2), at(4'000), at(4'000));
    limiter.onDirectory({}, at(4'100));
    BOOST_CHECK(!limiter.isLimited(Limited));
}

// An endpoint that gets nothing at all could never say that its limit has ended.
BOOST_AUTO_TEST_CASE(endpoint_with_a_limit_of_zero_still_gets_a_request_now_and_then)
{
    EndpointRateLimiter limiter({}, 1);
    limiter.onAnswer(Limited, FirstLife, limited(0), at(0), at(0));
    BOOST_CHECK(limiter.delay(Limited, at(0)) > std::chrono::seconds(5));
    BOOST_CHECK(limiter.delay(Limited, at(20'000)) == Duration(0));
}

BOOST_AUTO_TEST_CASE(changed_limit_replaces_the_one_before)
{
    EndpointRateLimiter limiter({}, 1);
    limiter.onAnswer(Limited, FirstLife, limited(100), at(0), at(0));
    BOOST_CHECK(limiter.delay(Limited, at(1'000)) == Duration(0));
    BOOST_CHECK(limiter.onAnswer(Limited, FirstLife, limited(0.5), at(900), at(1'000)));
    limiter.onDispatched(Limited, at(1'000));
    BOOST_CHECK(limiter.delay(Limited, at(1'000)) > std::chrono::seconds(1));
}
