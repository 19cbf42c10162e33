// Runs groups of three voters whose disks are full one after another, under random schedules of other faults. HEMLOCKHILL_SEED=N sets the
// first seed, HEMLOCKHILL_SCHEDULES=N the number of schedules.
#include "consensus/simulated_group.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

using namespace Hemlockhill;

namespace
{

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t ScheduleCount = 60;
constexpr std::uint64_t RoundsPerSchedule = 6;
constexpr std::uint64_t RequiredSteps = 500'000;
// Virtual time is in microseconds.
constexpr std::int64_t Millisecond = 1'000;
constexpr std::int64_t Second = 1'000 * Millisecond;
constexpr std::int64_t ProposalInterval = 20 * Millisecond;
// A voter waits at most two election timeouts before it calls an election. As many again allow for one split vote.
constexpr std::int64_t ElectionTimeouts = 4;

std::uint64_t environmentNumber(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

// Which faults accompany the full disks of a round.
enum class Company { None, MembershipRepair, KillOfAll, LostDisk };

class FullDiskSchedule
{
public:
    explicit FullDiskSchedule(std::uint64_t seed)
        : m_group(3, seed)
        , m_electionBound(ElectionTimeouts * m_group.settings.electionTimeout / std::chrono::microseconds(1))
    {
        m_group.compactEvery = 20;
    }

    void run()
    {
        requireProgress(m_electionBound, "a new group");
        for (std::uint64_t round = 0; round < RoundsPerSchedule; ++round) {
            fillAllInTurn(static_cast<Company>(m_group.random(0, 3)));
            requireProgress(SimulatedGroup::ReopenDelay + m_electionBound, "a group whose disks have room again");
            requireConvergence();
        }
    }

    std::uint64_t steps() const { return m_group.steps(); }
    std::uint64_t committed() const { return m_group.committed(); }
    std::uint64_t disksFilled() const { return m_disksFilled; }

private:
    std::size_t randomNode() { return static_cast<std::size_t>(m_group.random(0, static_cast<std::int64_t>(m_group.size()) - 1)); }

    void fillAllInTurn(Company company)
    {
        const std::size_t first = randomNode();
        m_group.network.maxSync = m_group.chance(50) ? 3 * Millisecond : 50 * Millisecond;
        const bool followsLeader = m_group.chance(50);
        for (std::size_t turn = 0; turn < m_group.size(); ++turn) {
            const std::size_t node = followsLeader ? m_group.leader().value_or(first) : (first + turn) % m_group.size();
            const std::int64_t until = m_group.time() + m_group.random(1 * Second, 9 * Second);
            m_group.fillDisk(node);
            ++m_disksFilled;
            if (company == Company::None) {
                requireProgress(m_electionBound, "a group with one full disk");
            }
            accompany(company, node);
            applyLoad(until - m_group.time(), company == Company::MembershipRepair || company == Company::LostDisk);
            m_group.freeDisk(node);
            // The next disk may be full before this voter has opened its own again.
            const bool overlaps = company != Company::None && m_group.chance(50);
            applyLoad(overlaps ? m_group.random(0, 100 * Millisecond) : SimulatedGroup::ReopenDelay + m_electionBound, false);
        }
    }

    void accompany(Company company, std::size_t fullNode)
    {
        // The first write that the disk refuses comes within a few milliseconds.
        applyLoad(m_group.random(0, m_group.chance(50) ? 20 * Millisecond : 500 * Millisecond), false);
        const std::size_t other = (fullNode + 1) % m_group.size();
        if (company == Company::KillOfAll) {
            for (std::size_t node = 0; node < m_group.size(); ++node) {
                m_group.crash(node, true);
                m_group.open(node);
            }
        } else if (company == Company::LostDisk && !m_hasLostDisk && m_group.core(fullNode) && m_group.mayLoseDisk(other)) {
            m_hasLostDisk = true;
            m_group.loseDisk(other);
        }
    }

    // Proposes commands, and membership repairs if asked to, to the node that leads.
    void propose(bool repairs)
    {
        const std::optional<std::size_t> leader = m_group.leader();
        if (!leader) {
            return;
        }
        const bool accepted = m_group.propose(*leader, "command " + std::to_string(++m_commands));
        if (accepted && !m_proposedAt) {
            m_proposedAt = m_group.core(*leader)->lastIndex().value;
        }
        if (repairs) {
            m_group.repairMembership(*leader);
        }
    }

    void applyLoad(std::int64_t duration, bool repairs)
    {
        const std::int64_t until = m_group.time() + duration;
        while (m_group.time() < until) {
            m_group.run(std::min(until - m_group.time(), ProposalInterval));
            propose(repairs);
        }
    }

    // Requires that a change that is proposed from now on is committed within the bound.
    void requireProgress(std::int64_t bound, const std::string &group)
    {
        const std::int64_t until = m_group.time() + bound;
        m_proposedAt.reset();
        while (!m_proposedAt || m_group.committed() < *m_proposedAt) {
            if (m_group.time() >= until) {
                throw InvariantViolation(group + " does not commit, step " + std::to_string(m_group.steps()));
            }
            applyLoad(ProposalInterval, false);
        }
    }

    // A voter that was full or replaced has every change again and is a member; the next round may then lose a disk.
    void requireConvergence()
    {
        const std::int64_t until = m_group.time() + 10 * (SimulatedGroup::ReopenDelay + m_electionBound);
        while (!m_group.hasConverged()) {
            if (m_group.time() >= until) {
                throw InvariantViolation("a group whose disks have room again does not converge, step " + std::to_string(m_group.steps()));
            }
            applyLoad(ProposalInterval, true);
            m_group.run(100 * Millisecond);
        }
        m_hasLostDisk = false;
    }

    SimulatedGroup m_group;
    std::int64_t m_electionBound;
    std::uint64_t m_commands = 0;
    std::uint64_t m_disksFilled = 0;
    // Index of the first change that a leader accepted since requireProgress() began.
    std::optional<std::uint64_t> m_proposedAt;
    bool m_hasLostDisk = false;
};

} // namespace

// Guards against a group that accepts no change although every disk has room again.
BOOST_AUTO_TEST_CASE(group_stands_still_after_disks_were_full_in_turn)
{
    const std::uint64_t first = environmentNumber("HEMLOCKHILL_SEED", FirstSeed);
    const std::uint64_t count = environmentNumber("HEMLOCKHILL_SCHEDULES", ScheduleCount);
    std::uint64_t steps = 0;
    std::uint64_t committed = 0;
    std::uint64_t disksFilled = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        FullDiskSchedule schedule(seed);
        try {
            schedule.run();
        } catch (const std::exception &error) {
            BOOST_ERROR("seed " << seed << ": " << error.what());
        }
        steps += schedule.steps();
        committed += schedule.committed();
        disksFilled += schedule.disksFilled();
    }
    std::cout << "seeds " << first << " to " << first + count - 1 << ": " << steps << " steps, " << committed << " entries committed, "
              << disksFilled << " disks filled\n";
    BOOST_TEST((steps >= RequiredSteps || count < ScheduleCount));
}
