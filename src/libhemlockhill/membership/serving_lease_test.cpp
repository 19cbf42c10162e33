// Once a revision is reported in force everywhere, no node may serve an older one, under any combination of link failures, clock drift,
// restarts and leader changes. Nodes must continue to serve when the controllers have lost their quorum.
#include "hemlockhill/serving_lease.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <string>

using namespace Hemlockhill;
using namespace std::chrono_literals;

namespace
{

const LeaseTimes Times;

TimePoint at(Duration duration)
{
    return TimePoint(duration + 100s);
}

VmId vm(std::size_t index)
{
    return VmId{"vm-" + std::to_string(index)};
}

// Simulates nodes and at most one leader at a time, over links that drop, delay and partition messages. Each node's clock runs faster or
// slower than the simulated time, within the drift bound.
class Region
{
public:
    Region(std::size_t count, std::uint32_t seed)
        : m_random(seed)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_clockRates.push_back(draw(-1, 1));
            m_nodes.emplace_back(Times, count, clockOf(index));
            m_partitioned.push_back(false);
        }
        becomeLeader();
    }

    void step()
    {
        m_now += std::chrono::milliseconds(draw(1, 40));
        deliver();
        const std::size_t node = static_cast<std::size_t>(draw(0, static_cast<int>(m_nodes.size()) - 1));
        const int choice = draw(0, 99);
        if (choice < 55) {
            follow(node);
        } else if (choice < 75) {
            runAttestationRound(node);
        } else if (choice < 80) {
            commit();
        } else if (choice < 82) {
            m_partitioned[node] = !m_partitioned[node];
        } else if (choice < 83) {
            m_leading = false;
        } else if (choice < 90) {
            becomeLeader();
        } else if (choice < 91) {
            restart(node);
        }
        acceptCommitted();
    }

    // Returns the index of a node that serves a revision older than the accepted one, if any.
    std::optional<std::size_t> staleNode() const
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            const bool serves = m_nodes[index].mode(clockOf(index)) != ServingMode::Stopped;
            if (serves && m_nodes[index].revision() < m_accepted) {
                return index;
            }
        }
        return std::nullopt;
    }

    Revision accepted() const { return m_accepted; }
    std::uint64_t attestedRounds() const { return m_attestedRounds; }

private:
    struct Reply {
        TimePoint due;
        std::size_t node;
        TimePoint sentAt;
        Revision revision;
    };

    int draw(int low, int high) { return boost::random::uniform_int_distribution<>(low, high)(m_random); }

    TimePoint clockOf(std::size_t index) const
    {
        // Each clock drifts by at most half the bound, so the difference between any two stays within the bound.
        const Duration elapsed = m_now - at(0s);
        return m_now + m_clockRates[index] * elapsed / (2 * Times.clockDriftDivisor + 1);
    }

    void becomeLeader()
    {
        if (m_leading) {
            return;
        }
        // A new leader starts only after the previous one can no longer grant leases.
        std::set<VmId> names;
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            names.insert(vm(index));
        }
        m_register.emplace(Times, names, m_now);
        m_leading = true;
    }

    // Replies in flight are lost with the connections of the previous process.
    void restart(std::size_t node)
    {
        m_nodes[node] = ServingLease(Times, m_nodes.size(), clockOf(node));
        std::erase_if(m_replies, [node](const Reply &reply) { return reply.node == node; });
    }

    void follow(std::size_t node)
    {
        if (!m_leading || m_partitioned[node] || draw(0, 9) == 0) {
            return;
        }
        const TimePoint sentAt = clockOf(node);
        const Revision confirmed = m_nodes[node].confirmableRevision(sentAt);
        m_now += std::chrono::milliseconds(draw(0, 30));
        m_register->recordReport(vm(node), confirmed, m_now);
        m_replies.push_back({m_now + std::chrono::milliseconds(draw(0, 2000)), node, sentAt, m_committed});
    }

    void deliver()
    {
        for (auto reply = m_replies.begin(); reply != m_replies.end();) {
            if (reply->due > m_now) {
                ++reply;
                continue;
            }
            if (draw(0, 9) != 0) {
                m_nodes[reply->node].onRenewed(reply->sentAt, reply->revision);
            }
            reply = m_replies.erase(reply);
        }
    }

    void runAttestationRound(std::size_t node)
    {
        ServingLease &requester = m_nodes[node];
        if (requester.holdsLease(clockOf(node))) {
            return;
        }
        requester.beginRound(clockOf(node));
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other == node || m_partitioned[other] != m_partitioned[node]) {
                continue;
            }
            const Attestation attestation = m_nodes[other].attest(clockOf(other));
            m_now += std::chrono::milliseconds(draw(0, 100));
            requester.onAttestation(vm(other), attestation);
        }
        if (const auto later = requester.laterRevision()) {
            requester.onPeerState(*later);
        }
        m_attestedRounds += requester.mode(clockOf(node)) == ServingMode::Attested ? 1 : 0;
    }

    void commit()
    {
        if (m_leading) {
            ++m_committed.value;
        }
    }

    void acceptCommitted()
    {
        for (Revision revision = m_committed; m_leading && revision > m_accepted; --revision.value) {
            if (m_register->inForceEverywhere(revision, m_now)) {
                m_accepted = revision;
            }
        }
    }

    boost::random::mt19937 m_random;
    TimePoint m_now = at(0s);
    std::vector<int> m_clockRates;
    std::vector<ServingLease> m_nodes;
    std::vector<bool> m_partitioned;
    std::optional<LeaseRegister> m_register;
    std::deque<Reply> m_replies;
    Revision m_committed;
    Revision m_accepted;
    bool m_leading = false;
    std::uint64_t m_attestedRounds = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(no_node_serves_a_revision_older_than_the_accepted_one)
{
    Revision accepted;
    std::uint64_t attestedRounds = 0;
    for (std::uint32_t seed = 1; seed <= 400; ++seed) {
        Region region(3 + seed % 7, seed);
        for (int step = 0; step < 600; ++step) {
            region.step();
            const auto stale = region.staleNode();
            BOOST_REQUIRE_MESSAGE(!stale, "seed " << seed << " step " << step << ": node " << *stale << " serves a stale revision");
        }
        accepted += region.accepted();
        attestedRounds += region.attestedRounds();
    }
    // Guards against schedules that exercise too few accepted changes or attested nodes.
    BOOST_TEST(accepted.value > 1000U);
    BOOST_TEST(attestedRounds > 1000U);
}

BOOST_AUTO_TEST_CASE(a_partitioned_node_stops_serving_before_a_change_is_accepted)
{
    LeaseRegister leases(Times, {vm(0), vm(1), vm(2)}, at(0s));
    ServingLease partitioned(Times, 3, at(0s));
    partitioned.onRenewed(at(2s), Revision{1});
    leases.recordReport(vm(2), Revision{1}, at(2s));
    leases.recordReport(vm(0), Revision{2}, at(3s));
    leases.recordReport(vm(1), Revision{2}, at(3s));
    BOOST_TEST(!leases.inForceEverywhere(Revision{2}, at(3s)));
    BOOST_CHECK(partitioned.mode(at(3s)) == ServingMode::Leased);
    BOOST_CHECK(partitioned.mode(at(3600ms)) == ServingMode::Stopped);
    BOOST_TEST(leases.inForceEverywhere(Revision{2}, at(3600ms)));
}

BOOST_AUTO_TEST_CASE(nodes_serve_by_attestation_without_a_leader)
{
    std::vector<ServingLease> nodes(5, ServingLease(Times, 5, at(0s)));
    for (ServingLease &node : nodes) {
        node.onRenewed(at(2s), Revision{7});
    }
    BOOST_CHECK(nodes[0].mode(at(10s)) == ServingMode::Stopped);
    nodes[0].beginRound(at(10s));
    nodes[0].onAttestation(vm(1), nodes[1].attest(at(10s)));
    BOOST_CHECK(nodes[0].mode(at(10s)) == ServingMode::Stopped);
    nodes[0].onAttestation(vm(2), nodes[2].attest(at(10s)));
    BOOST_CHECK(nodes[0].mode(at(10s)) == ServingMode::Attested);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_attests_only_after_the_leader_has_renewed_its_lease)
{
    ServingLease restarted(Times, 3, at(0s));
    BOOST_TEST(!restarted.attest(at(10s)).granted);
    restarted.onPeerState(Revision{4});
    BOOST_TEST(!restarted.attest(at(10s)).granted);
    restarted.onRenewed(at(5s), Revision{4});
    BOOST_TEST(restarted.attest(at(10s)).granted);
}

BOOST_AUTO_TEST_CASE(a_node_with_a_lease_grants_no_attestation_and_can_confirm_revisions)
{
    ServingLease leased(Times, 3, at(0s));
    leased.onRenewed(at(5s), Revision{4});
    BOOST_TEST(!leased.attest(at(6s)).granted);
    leased.onRenewed(at(6s), Revision{5});
    BOOST_TEST(leased.confirmableRevision(at(6s)).value == 5U);
}

BOOST_AUTO_TEST_CASE(a_node_with_a_slow_clock_stops_before_the_leader_considers_its_lease_expired)
{
    const Duration wait = 1530ms;
    const Duration waitOnSlowClock = wait - wait / Times.clockDriftDivisor;
    LeaseRegister leases(Times, {vm(0), vm(1), vm(2)}, at(0s));
    ServingLease slow(Times, 3, at(0s));
    slow.onRenewed(at(2s), Revision{1});
    leases.recordReport(vm(2), Revision{1}, at(2s));
    leases.recordReport(vm(0), Revision{2}, at(2s));
    leases.recordReport(vm(1), Revision{2}, at(2s));
    BOOST_TEST(leases.inForceEverywhere(Revision{2}, at(2s + wait)));
    BOOST_CHECK(slow.mode(at(2s + waitOnSlowClock)) == ServingMode::Stopped);
}
