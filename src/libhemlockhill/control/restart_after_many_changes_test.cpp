// A controller that starts again does not repeat the work of every change that its log holds.
#include "hemlockhill/controller.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace Hemlockhill;

namespace
{

constexpr std::uint64_t Changes = 300;
constexpr std::size_t LargeBytes = 20'000;
const VmId Vm{"10.0.0.1"};
const VoterId Folder{"folder"};

// Text that compression does not make much smaller.
std::string textOf(std::uint64_t version, std::size_t size)
{
    std::string text;
    for (std::uint64_t word = version; text.size() < size; word = word * 6364136223846793005U + 1442695040888963407U) {
        text += std::to_string(word);
    }
    return text;
}

std::string change(std::uint64_t version, std::size_t size)
{
    return encodePayload(ReplicatedMachine::Deployment, encodeCompressed({DeploymentVersion{version}, textOf(version, size)}));
}

// The only controller of a group, whose storage persists everything at once.
class SingleController
{
public:
    SingleController()
        : m_controller(settings(), m_metrics, hooks())
    {
    }

    // Starts with this log, and runs until the controller leads.
    void start(std::vector<LogEntry> entries)
    {
        StorageOpened opened{StorageOpening{1}, Folder};
        opened.restored.hardState = HardState{Term{1}, {}};
        opened.restored.entries = std::move(entries);
        opened.initialMembership = VoterMembership{{voterIdOf(Vm, Folder)}, {}};
        m_controller.onStorage(std::move(opened), m_now);
        while (!m_controller.leads(m_now)) {
            m_now += std::chrono::milliseconds(100);
            m_controller.tick(m_now);
            persist();
        }
    }

    void submit(const std::string &payload)
    {
        m_controller.submit(
            payload, [](const SubmitReply &) {}, m_now);
        persist();
    }

    const std::vector<DeploymentVersion> &announced() const { return m_announced; }
    std::size_t snapshots() const { return m_snapshots; }

private:
    static Settings settings()
    {
        Settings settings;
        settings.vm = Vm;
        return settings;
    }

    ControllerHooks hooks()
    {
        ControllerHooks hooks;
        hooks.persist = [this](StorageOpening, const ConsensusActions &actions) {
            m_mark = actions.mark;
            m_snapshots += actions.snapshot ? 1 : 0;
        };
        hooks.leadershipChanged = [](std::optional<Term>) {};
        hooks.applied = [](const ReplicatedCommand &) {};
        hooks.restored = [] {};
        hooks.deploymentChanged = [this](const DeploymentDocument &document) { m_announced.push_back(document.version); };
        return hooks;
    }

    void persist()
    {
        while (const auto mark = std::exchange(m_mark, std::nullopt)) {
            m_controller.onStorage(StorageSynced{StorageOpening{1}, *mark}, m_now);
        }
    }

    Metrics m_metrics;
    TimePoint m_now{std::chrono::hours(1)};
    std::optional<PersistedMark> m_mark;
    std::vector<DeploymentVersion> m_announced;
    std::size_t m_snapshots = 0;
    Controller m_controller;
};

} // namespace

// The event loop of a small machine was busy with old deployments for so long that the new leader lost its leadership again.
BOOST_AUTO_TEST_CASE(restarted_controller_decodes_every_deployment_of_its_log)
{
    std::vector<LogEntry> entries;
    for (std::uint64_t index = 1; index <= Changes; ++index) {
        entries.push_back(LogEntry{Term{1}, LogIndex{index}, EntryKind::Command, change(index, 100)});
    }
    SingleController controller;
    controller.start(std::move(entries));
    BOOST_REQUIRE_EQUAL(controller.announced().size(), 1);
    BOOST_CHECK_EQUAL(controller.announced().back().value, Changes);
}

BOOST_AUTO_TEST_CASE(log_of_large_deployments_is_never_compacted)
{
    SingleController controller;
    controller.start({});
    for (std::uint64_t version = 1; version <= Changes; ++version) {
        controller.submit(change(version, LargeBytes));
    }
    BOOST_CHECK_GE(controller.snapshots(), 2);
    BOOST_CHECK_LE(controller.snapshots(), 10);
    BOOST_CHECK_EQUAL(controller.announced().size(), Changes);
}
