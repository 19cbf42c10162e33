// Runs groups of voters under random schedules of crashes, disk losses, network faults and clock drift. HEMLOCKHILL_SEED=N sets the first
// seed, HEMLOCKHILL_SCHEDULES=N the number of schedules.
#include "consensus/simulated_group.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace Hemlockhill;

namespace
{

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t ScheduleCount = 200;
constexpr std::uint64_t RequiredSteps = 1'000'000;
constexpr std::uint64_t StepsPerSchedule = 26'000;
// Virtual time is in microseconds.
constexpr std::int64_t Millisecond = 1'000;
constexpr std::int64_t Second = 1'000 * Millisecond;
// Schedules with clocks that run at any rate.
constexpr std::uint64_t UnboundedScheduleCount = 60;
constexpr double SlowestRate = 0.01;
constexpr int IsolationPercent = 10;
// Longer than it takes to elect a successor.
constexpr std::int64_t SuccessionTime = 3 * Second;
constexpr std::int64_t RecoveryTimeout = 60 * Second;

std::uint64_t environmentNumber(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

// Whether clocks keep to the bound on which leases rely, or run at any rate and nearly stand still.
enum class Clocks { Bounded, Unbounded };

class FaultSchedule
{
public:
    explicit FaultSchedule(std::uint64_t seed, Clocks clocks = Clocks::Bounded)
        : m_group(seed % 2 == 0 ? 3 : 5, seed)
    {
        m_group.clocksAreBounded = clocks == Clocks::Bounded;
    }

    void run()
    {
        while (m_group.steps() < StepsPerSchedule) {
            const std::int64_t until = m_group.time() + m_group.random(2 * Second, 40 * Second);
            while (m_group.time() < until) {
                injectFault();
                if (!m_group.clocksAreBounded) {
                    injectClockFault();
                }
                applyLoad(m_group.random(20 * Millisecond, 1500 * Millisecond));
            }
            healAndCommit();
        }
    }

    std::uint64_t steps() const { return m_group.steps(); }
    std::uint64_t committed() const { return m_group.committed(); }
    std::uint64_t disksLost() const { return m_disksLost; }
    std::uint64_t confirmedReads() const { return m_group.confirmedReads(); }

private:
    std::size_t randomNode() { return static_cast<std::size_t>(m_group.random(0, static_cast<std::int64_t>(m_group.size()) - 1)); }

    // Proposes commands and membership repairs to nodes that consider themselves the leader.
    void applyLoad(std::int64_t duration)
    {
        const std::int64_t until = m_group.time() + duration;
        while (m_group.time() < until) {
            m_group.run(std::min(until - m_group.time(), m_group.random(5 * Millisecond, 150 * Millisecond)));
            const std::size_t node = randomNode();
            const bool leads = m_group.core(node) && !m_group.voter(node).paused && m_group.core(node)->role() == VoterRole::Leader;
            if (!leads) {
                continue;
            }
            for (std::int64_t commands = m_group.random(0, 6); commands > 0; --commands) {
                m_group.propose(node, "command " + std::to_string(++m_commands));
            }
            m_group.repairMembership(node);
        }
    }

    // Reads at all nodes that consider themselves the leader.
    void beginReads()
    {
        for (std::size_t node = 0; node < m_group.size(); ++node) {
            if (m_group.core(node) && !m_group.voter(node).paused) {
                m_group.beginRead(node);
            }
        }
    }

    // Cuts the leader off while its clock nearly stands still, so that it does not notice.
    void isolateLeaderWithoutClock()
    {
        if (const auto leader = m_group.leader()) {
            m_group.isolate(*leader);
            m_group.setClockRate(*leader, SlowestRate);
        }
    }

    void injectFault()
    {
        const std::size_t node = randomNode();
        switch (m_group.random(0, 14)) {
        case 0:
        case 1:
            m_group.crash(node, m_group.chance(50));
            if (m_group.chance(50)) {
                startAll();
            }
            break;
        case 2:
        case 3:
            startAll();
            break;
        case 4:
            if (m_group.mayLoseDisk(node)) {
                m_group.loseDisk(node);
                ++m_disksLost;
            }
            break;
        case 5:
            m_group.cut(node, randomNode());
            break;
        case 6:
            m_group.isolate(node);
            break;
        case 7:
        case 8:
            m_group.network.cuts.clear();
            break;
        case 9:
            m_group.pause(node);
            break;
        case 13:
            crashAll();
            break;
        case 10:
            resumeAll();
            break;
        case 11:
            m_group.network.dropPercent = static_cast<int>(m_group.random(0, 30));
            m_group.network.repeatPercent = static_cast<int>(m_group.random(0, 20));
            m_group.network.maxDelay = m_group.chance(20) ? 1500 * Millisecond : 20 * Millisecond;
            m_group.network.maxSync = m_group.chance(20) ? 600 * Millisecond : 5 * Millisecond;
            break;
        case 12:
            setClockRate(node);
            break;
        default:
            transferOrExclude(node);
        }
    }

    void injectClockFault()
    {
        if (m_group.chance(IsolationPercent)) {
            isolateLeaderWithoutClock();
            applyLoad(SuccessionTime);
        }
        beginReads();
    }

    void setClockRate(std::size_t node)
    {
        // Within clockRateBoundPercent, 10%.
        const std::int64_t percent = m_group.clocksAreBounded ? m_group.random(90, 110) : m_group.random(1, 300);
        m_group.setClockRate(node, static_cast<double>(percent) / 100);
    }

    void transferOrExclude(std::size_t node)
    {
        if (m_group.core(node) && !m_group.voter(node).paused && m_group.chance(60)) {
            m_group.core(node)->transferLeadership(m_group.local(node));
            m_group.pump(node);
        } else if (m_group.size() > 3 && m_group.mayExclude(node)) {
            // Stays excluded until the group is healed, because an abandoned removal may still be committed.
            m_group.voter(node).excluded = true;
        }
    }

    // Crashes all processes at once, with unfinished syncs, and restarts them.
    void crashAll()
    {
        for (std::size_t node = 0; node < m_group.size(); ++node) {
            m_group.crash(node, true);
        }
        startAll();
    }

    void startAll()
    {
        for (std::size_t node = 0; node < m_group.size(); ++node) {
            if (!m_group.core(node)) {
                m_group.start(node);
            }
        }
    }

    void resumeAll()
    {
        for (std::size_t node = 0; node < m_group.size(); ++node) {
            if (m_group.voter(node).paused) {
                m_group.resume(node);
            }
        }
    }

    void healAndCommit()
    {
        m_group.heal();
        for (std::size_t node = 0; !m_group.clocksAreBounded && node < m_group.size(); ++node) {
            m_group.setClockRate(node, 1);
        }
        const std::uint64_t before = m_group.committed();
        const std::int64_t until = m_group.time() + RecoveryTimeout;
        while (m_group.committed() == before || !m_group.hasConverged()) {
            if (m_group.time() >= until) {
                throw InvariantViolation("a healed group does not commit and converge, step " + std::to_string(m_group.steps()));
            }
            applyLoad(100 * Millisecond);
        }
    }

    SimulatedGroup m_group;
    std::uint64_t m_commands = 0;
    std::uint64_t m_disksLost = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(invariants_hold_under_random_fault_schedules)
{
    const std::uint64_t first = environmentNumber("HEMLOCKHILL_SEED", FirstSeed);
    const std::uint64_t count = environmentNumber("HEMLOCKHILL_SCHEDULES", ScheduleCount);
    std::uint64_t steps = 0;
    std::uint64_t committed = 0;
    std::uint64_t disksLost = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        FaultSchedule schedule(seed);
        try {
            schedule.run();
        } catch (const std::exception &error) {
            BOOST_ERROR("seed " << seed << ": " << error.what());
        }
        steps += schedule.steps();
        committed += schedule.committed();
        disksLost += schedule.disksLost();
    }
    std::cout << "seeds " << first << " to " << first + count - 1 << ": " << steps << " steps, " << committed << " entries committed, "
              << disksLost << " disks lost\n";
    BOOST_TEST((steps >= RequiredSteps || count < ScheduleCount));
}

// Guards against a read that relies on a clock: of a leader whose successor has been elected meanwhile.
BOOST_AUTO_TEST_CASE(confirmed_reads_miss_no_committed_entry_whatever_the_clocks_show)
{
    const std::uint64_t first = environmentNumber("HEMLOCKHILL_SEED", FirstSeed);
    const std::uint64_t count = environmentNumber("HEMLOCKHILL_SCHEDULES", UnboundedScheduleCount);
    std::uint64_t reads = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        FaultSchedule schedule(seed, Clocks::Unbounded);
        try {
            schedule.run();
        } catch (const std::exception &error) {
            BOOST_ERROR("seed " << seed << ": " << error.what());
        }
        reads += schedule.confirmedReads();
    }
    std::cout << "seeds " << first << " to " << first + count - 1 << ": " << reads << " reads confirmed\n";
    BOOST_TEST(reads >= count);
}
