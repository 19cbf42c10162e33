// Open group: controllers configured only with seeds create one group, extend it to all controllers and repair it, under random network
// partitions, crashes and disk losses.
#include "hemlockhill/controller.h"

#include "consensus/simulated_group.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <deque>
#include <iostream>

using namespace Hemlockhill;

namespace
{

constexpr std::size_t SeedCount = 3;
constexpr Duration Step = std::chrono::milliseconds(20);

VmId vmAt(std::size_t node)
{
    return VmId{"10.0.0." + std::to_string(node + 1)};
}

std::size_t nodeOf(const VmId &vm)
{
    return std::stoul(vm.value.substr(vm.value.rfind('.') + 1)) - 1;
}

// A message or callback that is due at a later time.
struct Delivery {
    std::size_t from = 0;
    std::size_t to = 0;
    TimePoint at;
    std::function<void()> deliver;
};

// Content of a VM's disk.
struct Disk {
    std::string folder;
    SimulatedDisk log;
    std::optional<VoterMembership> initialMembership;
};

struct Vm {
    std::unique_ptr<Controller> controller;
    Disk disk;
    std::set<VmId> knownControllers;
    unsigned starts = 0;
    bool everStarted = false;
    // Highest document version applied by this process.
    std::uint64_t inForce = 0;
};

class SimulatedRegion
{
public:
    SimulatedRegion(std::size_t size, std::uint64_t seed)
        : m_random(seed)
        , m_vms(size)
    {
    }

    std::size_t random(std::size_t below) { return boost::random::uniform_int_distribution<std::size_t>(0, below - 1)(m_random); }
    bool chance(std::size_t percent) { return random(100) < percent; }

    void start(std::size_t node)
    {
        Vm &vm = m_vms[node];
        Settings settings;
        settings.cluster = ClusterId{"test"};
        settings.vm = vmAt(node);
        settings.peers.openMembership = true;
        settings.control.toleratedFailures = losses;
        settings.peers.listen.port = 1;
        for (std::size_t seed = 0; seed < SeedCount; ++seed) {
            if (seed != node) {
                settings.peers.others.push_back({vmAt(seed), {}, {}, true});
            }
        }
        // As set by the platform: only on seeds at the first start of the whole system.
        settings.control.mayCreateGroup = !vm.everStarted && node < SeedCount && now == TimePoint{} + Step;
        vm.everStarted = true;
        vm.knownControllers.clear();
        vm.inForce = 0;
        ++vm.starts;
        if (vm.disk.folder.empty()) {
            vm.disk.folder = "folder" + std::to_string(++m_lastFolder);
        }
        ControllerHooks hooks;
        hooks.sendConsensus = [this, node](const VmId &to, const ConsensusBatch &batch) {
            send(node, to, [this, batch](std::size_t at) { m_vms[at].controller->onConsensus(batch, now); });
        };
        hooks.requestIdentity = [this, node](const VmId &to) {
            send(node, to, [this, node](std::size_t at) {
                const IdentityReply reply = m_vms[at].controller->identity();
                send(at, vmAt(node), [this, at, reply](std::size_t back) { m_vms[back].controller->onIdentity(vmAt(at), reply, now); });
            });
        };
        hooks.persist = [this, node](const ConsensusActions &actions) {
            m_vms[node].disk.log.apply(actions);
            scheduleLocal(node, [this, node, mark = *actions.mark] { m_vms[node].controller->onStorage(StorageSynced{mark}, now); });
        };
        hooks.saveInitialMembership = [this, node](const VoterMembership &membership) { m_vms[node].disk.initialMembership = membership; };
        hooks.leadershipChanged = [](std::optional<Term>) {};
        hooks.applied = [this, node](const ReplicatedCommand &) { checkVersion(node); };
        hooks.restored = [this, node] { checkVersion(node); };
        vm.controller = std::make_unique<Controller>(settings, m_metrics, std::move(hooks));
        StorageOpened opened;
        opened.identity = VoterId{vm.disk.folder};
        opened.restored = {vm.disk.log.hardState, std::nullopt, vm.disk.log.entries, vm.disk.initialMembership.value_or(VoterMembership{})};
        if (vm.disk.log.snapshot) {
            opened.restored.snapshot = *vm.disk.log.snapshot;
        }
        opened.initialMembership = vm.disk.initialMembership;
        vm.controller->onStorage(opened, now);
    }

    void kill(std::size_t node)
    {
        m_vms[node].controller.reset();
        std::erase_if(m_deliveries, [node](const Delivery &delivery) { return delivery.to == node; });
    }

    void loseDisk(std::size_t node)
    {
        kill(node);
        m_vms[node].disk = Disk{};
    }

    void step()
    {
        now += Step;
        ++steps;
        std::deque<Delivery> due;
        std::erase_if(m_deliveries, [&](Delivery &delivery) {
            if (delivery.at > now) {
                return false;
            }
            due.push_back(std::move(delivery));
            return true;
        });
        for (Delivery &delivery : due) {
            if (m_vms[delivery.to].controller) {
                delivery.deliver();
            }
        }
        for (std::size_t node = 0; node < m_vms.size(); ++node) {
            if (m_vms[node].controller) {
                m_vms[node].controller->tick(now);
            }
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end;) {
            step();
        }
    }

    std::optional<std::size_t> leader() const
    {
        for (std::size_t node = 0; node < m_vms.size(); ++node) {
            if (m_vms[node].controller && m_vms[node].controller->leads(now)) {
                return node;
            }
        }
        return std::nullopt;
    }

    // Submits a document with the next version to the leader, if there is one.
    void submit()
    {
        const auto at = leader();
        if (!at) {
            return;
        }
        const DeploymentDocument document{DeploymentVersion{++m_lastVersion}, "document " + std::to_string(m_lastVersion)};
        m_vms[*at].controller->submit(
            encodePayload(ReplicatedMachine::Deployment, encode(document)),
            [this, version = document.version.value](const SubmitReply &reply) {
                if (std::holds_alternative<std::string>(reply.outcome)) {
                    acknowledged = std::max(acknowledged, version);
                }
            },
            now);
    }

    // The document version of a process never decreases.
    void checkVersion(std::size_t node)
    {
        Vm &vm = m_vms[node];
        if (!vm.controller) {
            return;
        }
        const std::uint64_t version = vm.controller->state().deployment().current().version.value;
        BOOST_REQUIRE_GE(version, vm.inForce);
        vm.inForce = version;
    }

    // At most one group has been created, and a leader's state includes every acknowledged document.
    void checkInvariants()
    {
        std::set<std::string> groups;
        for (std::size_t node = 0; node < m_vms.size(); ++node) {
            if (m_vms[node].disk.initialMembership) {
                groups.insert(encodeMembership(*m_vms[node].disk.initialMembership));
            }
            if (m_vms[node].controller && m_vms[node].controller->leads(now)) {
                BOOST_REQUIRE_GE(m_vms[node].controller->state().deployment().current().version.value, acknowledged);
            }
        }
        BOOST_REQUIRE_LE(groups.size(), 1);
    }

    std::size_t voters() const
    {
        const auto at = leader();
        return at ? m_vms[*at].controller->consensus()->membership().voters.size() : 0;
    }

    bool runs(std::size_t node) const { return m_vms[node].controller != nullptr; }
    std::size_t size() const { return m_vms.size(); }
    Controller &controllerOf(std::size_t node) { return *m_vms[node].controller; }

    TimePoint now;
    std::uint64_t steps = 0;
    std::uint64_t acknowledged = 0;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::size_t dropPercent = 0;
    // Number of controllers that may be lost at the same time.
    std::uint32_t losses = 1;

private:
    void scheduleLocal(std::size_t node, std::function<void()> action)
    {
        m_deliveries.push_back({node, node, now + std::chrono::milliseconds(random(30)), std::move(action)});
    }

    void send(std::size_t from, const VmId &to, std::function<void(std::size_t)> deliver)
    {
        const std::size_t target = nodeOf(to);
        // The receiver learns the sender's address from the call, as with real peer calls.
        learn(from, target);
        if (target >= m_vms.size() || cuts.contains({from, target}) || chance(dropPercent)) {
            return;
        }
        m_deliveries.push_back(
            {from, target, now + std::chrono::milliseconds(random(40)), [this, from, target, deliver = std::move(deliver)] {
                 learn(target, from);
                 deliver(target);
             }});
    }

    void learn(std::size_t node, std::size_t other)
    {
        Vm &vm = m_vms[node];
        const bool isSeed = other < SeedCount;
        if (vm.controller && node != other && !isSeed && vm.knownControllers.insert(vmAt(other)).second) {
            vm.controller->addPeer({vmAt(other), {}, {}, true});
        }
    }

    boost::random::mt19937_64 m_random;
    Metrics m_metrics;
    std::vector<Vm> m_vms;
    std::vector<Delivery> m_deliveries;
    std::uint64_t m_lastFolder = 0;
    std::uint64_t m_lastVersion = 0;
};

std::uint64_t firstSeed()
{
    const char *text = std::getenv("HEMLOCKHILL_TEST_SEED");
    return text == nullptr ? 1 : std::stoull(text);
}

void startAll(SimulatedRegion &region)
{
    region.now = TimePoint{} + Step;
    for (std::size_t node = 0; node < region.size(); ++node) {
        region.start(node);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(seeds_create_one_group_that_extends_to_all_controllers)
{
    SimulatedRegion region(5, 3);
    startAll(region);
    region.run(std::chrono::seconds(15));
    BOOST_CHECK_EQUAL(region.voters(), 5);
    region.submit();
    region.run(std::chrono::seconds(1));
    BOOST_CHECK_EQUAL(region.acknowledged, 1);
    region.checkInvariants();
}

// Guards against a follower that takes the arrival of a reply for the time at which the endpoint list was written.
BOOST_AUTO_TEST_CASE(follow_reply_says_how_old_the_endpoint_list_is)
{
    constexpr Duration ListAge = std::chrono::milliseconds(900);
    constexpr Duration HoldTime = std::chrono::milliseconds(30);
    SimulatedRegion region(3, 7);
    startAll(region);
    region.run(std::chrono::seconds(5));
    BOOST_REQUIRE(region.leader());
    Controller &leader = region.controllerOf(*region.leader());
    EndpointsById endpoints{{EndpointId{"e1"}, LiveEndpoint{EndpointId{"e1"}}}};
    leader.publishDirectory(endpoints, region.now - ListAge, region.now);

    std::vector<FollowReply> replies;
    const auto keep = [&replies](FollowReply reply) { replies.push_back(std::move(reply)); };
    FollowRequest request;
    leader.follow(VmId{"node"}, request, keep, region.now);
    BOOST_REQUIRE_EQUAL(replies.size(), 1);
    BOOST_CHECK(replies[0].listingAge == ListAge);

    // A held request is answered with a list that was requested after the request arrived.
    request.directory = replies[0].directory;
    request.confirmed = replies[0].revision;
    request.known = replies[0].revision;
    request.deployment = DeploymentVersion{1'000};
    leader.follow(VmId{"node"}, request, keep, region.now);
    BOOST_REQUIRE_EQUAL(replies.size(), 1);
    endpoints.begin()->second.leaving = true;
    leader.publishDirectory(endpoints, region.now + HoldTime, region.now + HoldTime);
    BOOST_REQUIRE_EQUAL(replies.size(), 2);
    BOOST_CHECK(replies[1].listingAge == -HoldTime);
}

BOOST_AUTO_TEST_CASE(controller_with_empty_disk_creates_no_second_group)
{
    SimulatedRegion region(3, 4);
    startAll(region);
    region.run(std::chrono::seconds(5));
    region.submit();
    region.run(std::chrono::seconds(1));
    for (std::size_t other : {1U, 2U}) {
        region.cuts.insert({0, other});
        region.cuts.insert({other, 0});
    }
    region.loseDisk(0);
    region.start(0);
    region.run(std::chrono::seconds(10));
    region.checkInvariants();
    region.cuts.clear();
    region.run(std::chrono::seconds(15));
    BOOST_CHECK_EQUAL(region.voters(), 3);
    region.checkInvariants();
}

BOOST_AUTO_TEST_CASE(permanently_lost_voter_is_replaced_at_another_address)
{
    SimulatedRegion region(4, 5);
    region.now = TimePoint{} + Step;
    for (std::size_t node = 0; node < 3; ++node) {
        region.start(node);
    }
    region.run(std::chrono::seconds(5));
    region.submit();
    region.run(std::chrono::seconds(1));
    region.kill(1);
    region.start(3);
    region.run(std::chrono::seconds(20));
    BOOST_CHECK_EQUAL(region.voters(), 3);
    region.kill(0);
    region.run(std::chrono::seconds(5));
    BOOST_CHECK(region.leader());
    region.checkInvariants();
}

// A group of five that must tolerate two disk losses keeps five voters while one is silent. With four voters, losing two more right after
// the silent one returns would leave no quorum.
BOOST_AUTO_TEST_CASE(silent_voter_is_kept_while_needed_for_loss_tolerance)
{
    SimulatedRegion region(5, 6);
    region.losses = 2;
    startAll(region);
    region.run(std::chrono::seconds(15));
    region.kill(1);
    region.run(std::chrono::seconds(15));
    BOOST_CHECK_EQUAL(region.voters(), 5);
    region.submit();
    region.run(std::chrono::seconds(1));
    region.start(1);
    region.run(std::chrono::milliseconds(500));
    for (std::size_t lost : {2U, 3U}) {
        region.loseDisk(lost);
        region.start(lost);
    }
    region.run(std::chrono::seconds(20));
    BOOST_REQUIRE(region.leader());
    BOOST_CHECK_EQUAL(region.voters(), 5);
    region.checkInvariants();
}

// Only one disk is lost at a time, and the next one only after the group has had time to repair itself.
BOOST_AUTO_TEST_CASE(random_failures_lose_no_acknowledged_document)
{
    std::uint64_t steps = 0;
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + 12; ++seed) {
        BOOST_TEST_CONTEXT("HEMLOCKHILL_TEST_SEED=" << seed)
        {
            SimulatedRegion region(5, seed);
            startAll(region);
            region.run(std::chrono::seconds(12));
            TimePoint nextDiskLoss = region.now + std::chrono::seconds(10);
            for (int round = 0; round < 400; ++round) {
                region.submit();
                region.dropPercent = region.chance(30) ? 10 : 0;
                const std::size_t node = region.random(region.size());
                const std::size_t other = region.random(region.size());
                switch (region.random(8)) {
                case 0:
                    region.kill(node);
                    break;
                case 1:
                    if (region.now >= nextDiskLoss && region.voters() == region.size()) {
                        region.loseDisk(node);
                        nextDiskLoss = region.now + std::chrono::seconds(20);
                    }
                    break;
                case 2:
                    region.cuts.insert({node, other});
                    break;
                case 3:
                    for (std::size_t crashed = 0; crashed < region.size(); ++crashed) {
                        region.kill(crashed);
                    }
                    break;
                default:
                    region.cuts.clear();
                    for (std::size_t down = 0; down < region.size(); ++down) {
                        if (!region.runs(down)) {
                            region.start(down);
                        }
                    }
                }
                region.run(std::chrono::milliseconds(100 + region.random(600)));
                region.checkInvariants();
            }
            region.cuts.clear();
            region.dropPercent = 0;
            for (std::size_t down = 0; down < region.size(); ++down) {
                if (!region.runs(down)) {
                    region.start(down);
                }
            }
            region.run(std::chrono::seconds(40));
            BOOST_CHECK_EQUAL(region.voters(), 5);
            const std::uint64_t before = region.acknowledged;
            region.submit();
            region.run(std::chrono::seconds(1));
            BOOST_CHECK_GT(region.acknowledged, before);
            region.checkInvariants();
            steps += region.steps * region.size();
        }
    }
    std::cout << "controller steps: " << steps << ", first seed " << firstSeed() << '\n';
    BOOST_CHECK_GE(steps, 100'000);
}
