// Test support: controllers of an open group in virtual time, with a network that delays, drops and blocks messages, and disks that can be
// lost.
#pragma once

#include "hemlockhill/controller.h"

#include "consensus/simulated_group.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hemlockhill::Testing
{

inline constexpr std::size_t SeedCount = 3;
// Time after which a process that was asked to stop ends in any case.
inline constexpr Duration GracePeriod = std::chrono::milliseconds(7600);
inline constexpr Duration Step = std::chrono::milliseconds(20);

inline VmId vmAt(std::size_t node)
{
    return VmId{"10.0.0." + std::to_string(node + 1)};
}

inline std::size_t nodeOf(const VmId &vm)
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
    std::optional<std::set<VmId>> founders;
};

// Bytes of the entries and snapshots in a batch.
inline std::size_t bytesOf(const ConsensusBatch &batch)
{
    std::size_t bytes = 0;
    for (const Envelope &envelope : batch.envelopes) {
        if (const auto *append = std::get_if<AppendRequest>(&envelope.message)) {
            for (const LogEntry &entry : append->entries) {
                bytes += entry.payload.size();
            }
        } else if (const auto *snapshot = std::get_if<SnapshotRequest>(&envelope.message)) {
            bytes += snapshot->bytes.size();
        }
    }
    return bytes;
}

// What a controller has answered to a read of the document version.
struct ReadOutcome {
    bool isAnswered = false;
    std::optional<std::uint64_t> version;
};

struct Vm {
    std::unique_ptr<Controller> controller;
    Disk disk;
    std::set<VmId> knownControllers;
    unsigned starts = 0;
    bool everStarted = false;
    // Syncs of a disk complete one after another: time at which the latest one completes.
    TimePoint syncedUntil;
    // Calls of other machines fail until this time.
    TimePoint unreachableUntil;
    // When the process ends at the latest, once it has been asked to stop.
    std::optional<TimePoint> stopsAt;
    // Highest document version applied by this process.
    std::uint64_t inForce = 0;
    // Since when the machine has been suspended, if it is.
    std::optional<TimePoint> suspendedAt;
    // Since when its clock stands still although it runs, if it does.
    std::optional<TimePoint> clockStoppedAt;
    // Time that the machine's clock has not counted.
    Duration clockLag{0};
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
        settings.control.heartbeat = heartbeat;
        settings.control.electionTimeout = electionTimeout;
        settings.peers.listen.port = 1;
        vm.knownControllers.clear();
        for (const std::size_t seed : seeds) {
            if (seed != node) {
                vm.knownControllers.insert(vmAt(seed));
                settings.peers.others.push_back({vmAt(seed), {}, {}, true});
            }
        }
        // As set by the platform: only on seeds at the first start of the whole system. The folder that is created then keeps it.
        if (!vm.everStarted && node < SeedCount && now == TimePoint{} + Step) {
            vm.disk.founders = foundersOf(settings);
        }
        vm.everStarted = true;
        vm.inForce = 0;
        vm.stopsAt.reset();
        ++vm.starts;
        if (vm.disk.folder.empty()) {
            vm.disk.folder = "folder" + std::to_string(++m_lastFolder);
        }
        ControllerHooks hooks;
        hooks.sendConsensus = [this, node](const VmId &to, const ConsensusBatch &batch) {
            if (!messageLimit || bytesOf(batch) <= *messageLimit) {
                send(node, to, [this, batch](std::size_t at) { m_vms[at].controller->onConsensus(batch, clockOf(at)); });
            }
        };
        hooks.requestIdentity = [this, node](const VmId &to) {
            send(node, to, [this, node, requestedAt = clockOf(node)](std::size_t at) {
                const IdentityReply reply = m_vms[at].controller->identity();
                m_vms[at].controller->onIdentityRequested(vmAt(node), clockOf(at));
                answer(at, node, [this, at, reply, requestedAt](std::size_t back) {
                    if (!reply.leader.empty()) {
                        learn(back, nodeOf(reply.leader));
                    }
                    m_vms[back].controller->onIdentity(vmAt(at), reply, requestedAt, clockOf(back));
                });
            });
        };
        hooks.requestLeave = [this, node](const VmId &to, const LeaveRequest &request) {
            send(node, to, [this, node, request](std::size_t at) {
                const LeaveReply reply = m_vms[at].controller->onLeaveRequested(request, clockOf(at));
                answer(at, node, [this, reply](std::size_t back) { m_vms[back].controller->onLeaveReply(reply); });
            });
        };
        hooks.persist = [this, node](StorageOpening opening, const ConsensusActions &actions) {
            scheduleSync(node, [this, node, opening, actions] {
                m_vms[node].disk.log.apply(actions);
                m_vms[node].controller->onStorage(StorageSynced{opening, *actions.mark}, clockOf(node));
            });
        };
        hooks.saveInitialMembership = [this, node](StorageOpening, const VoterMembership &membership) {
            scheduleSyncs(node, folderSyncs, [this, node, membership] { m_vms[node].disk.initialMembership = membership; });
        };
        hooks.leadershipChanged = [](std::optional<Term>) {};
        hooks.applied = [this, node](const ReplicatedCommand &) { checkVersion(node); };
        hooks.restored = [this, node] { checkVersion(node); };
        hooks.deploymentChanged = [this, node](const DeploymentDocument &) { checkVersion(node); };
        vm.controller = std::make_unique<Controller>(settings, m_metrics, std::move(hooks));
        vm.syncedUntil = now;
        vm.unreachableUntil = now + halfOpenTime;
        scheduleSyncs(node, folderSyncs, [this, node] { open(node); });
    }

    void kill(std::size_t node)
    {
        m_vms[node].controller.reset();
        m_vms[node].syncedUntil = now;
        std::erase_if(m_deliveries, [node](const Delivery &delivery) { return delivery.to == node; });
    }

    // Asks a process to stop. It ends by itself once it has left the group, or after the grace period.
    void stop(std::size_t node)
    {
        Vm &vm = m_vms[node];
        if (vm.controller && !vm.stopsAt) {
            vm.stopsAt = now + GracePeriod;
        }
    }

    // Suspends a machine: it does nothing, and its clock stands still. What is sent to it arrives when it resumes.
    void suspend(std::size_t node) { m_vms[node].suspendedAt = now; }

    void resume(std::size_t node)
    {
        Vm &vm = m_vms[node];
        vm.clockLag += now - *vm.suspendedAt;
        vm.suspendedAt.reset();
    }

    // Lets a machine run on while its clock stands still.
    void stopClock(std::size_t node) { m_vms[node].clockStoppedAt = now; }

    // What the machine's clock shows.
    TimePoint clockOf(std::size_t node) const
    {
        const Vm &vm = m_vms[node];
        return vm.suspendedAt.value_or(vm.clockStoppedAt.value_or(now)) - vm.clockLag;
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
            if (delivery.at > now || m_vms[delivery.to].suspendedAt) {
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
            if (m_vms[node].controller && !m_vms[node].suspendedAt) {
                m_vms[node].controller->tick(clockOf(node));
                endIfStopped(node);
            }
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end;) {
            step();
        }
    }

    // Running controller that may act as the leader, the one with the highest term if there are several.
    std::optional<std::size_t> leader() const
    {
        std::optional<std::size_t> found;
        for (const std::size_t node : leaders()) {
            if (!found || termOf(node) > termOf(*found)) {
                found = node;
            }
        }
        return found;
    }

    // Reads the document version of a controller's state. The outcome is set once the controller answers: empty if it refuses.
    std::shared_ptr<ReadOutcome> read(std::size_t node)
    {
        auto outcome = std::make_shared<ReadOutcome>();
        m_vms[node].controller->confirmRead(
            [this, node, outcome](const ReadStatus &status) {
                outcome->isAnswered = true;
                if (status.obstacle == ReadObstacle::None) {
                    outcome->version = m_vms[node].controller->state().deployment().current().version.value;
                }
            },
            clockOf(node));
        return outcome;
    }

    // Submits a document with the next version to the leader, if there is one.
    void submit()
    {
        const auto at = leader();
        if (!at) {
            return;
        }
        DeploymentDocument document{DeploymentVersion{++m_lastVersion}, "document " + std::to_string(m_lastVersion)};
        while (document.text.size() < documentBytes) {
            document.text += static_cast<char>(random(256));
        }
        m_vms[*at].controller->submit(
            encodePayload(ReplicatedMachine::Deployment, encode(document)),
            [this, version = document.version.value](const SubmitReply &reply) {
                if (std::holds_alternative<std::string>(reply.outcome)) {
                    acknowledged = std::max(acknowledged, version);
                }
            },
            clockOf(*at));
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

    // Initial memberships of the groups that have been created.
    std::set<std::string> groups() const
    {
        std::set<std::string> found;
        for (const Vm &vm : m_vms) {
            if (vm.disk.initialMembership) {
                found.insert(encodeMembership(*vm.disk.initialMembership));
            }
        }
        return found;
    }

    // Nodes that accept changes now.
    std::set<std::size_t> leaders() const
    {
        std::set<std::size_t> found;
        for (std::size_t node = 0; node < m_vms.size(); ++node) {
            const Vm &vm = m_vms[node];
            if (vm.controller && !vm.suspendedAt && vm.controller->leads(clockOf(node))) {
                found.insert(node);
            }
        }
        return found;
    }

    // At most one group has been created, and a leader's state includes every acknowledged document.
    void checkInvariants()
    {
        for (std::size_t node = 0; node < m_vms.size(); ++node) {
            if (m_vms[node].controller && m_vms[node].controller->leads(clockOf(node))) {
                BOOST_REQUIRE_GE(m_vms[node].controller->state().deployment().current().version.value, acknowledged);
            }
        }
        BOOST_REQUIRE_LE(groups().size(), 1);
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
    // Consensus messages with more bytes of entries or snapshots are lost, as on a link that does not transport them within the timeout
    // of a call.
    std::optional<std::size_t> messageLimit;
    // Size of submitted documents, which cannot be compressed; small ones if 0.
    std::size_t documentBytes = 0;
    // Upper limit of the duration of a sync.
    std::size_t maxSyncMs = 30;
    std::size_t minSyncMs = 0;
    // Upper limit of the delay of a message.
    std::size_t maxDelayMs = 40;
    Duration heartbeat = ControlSettings().heartbeat;
    Duration electionTimeout = ControlSettings().electionTimeout;
    // Syncs until a folder is open, and until an initial membership is saved.
    std::size_t folderSyncs = 0;
    // Time after a start in which calls of other machines to this one fail; its own calls succeed.
    Duration halfOpenTime{0};
    // Number of controllers that may be lost at the same time.
    std::uint32_t losses = 1;
    // Seeds named in the settings of the processes that start from now on.
    std::vector<std::size_t> seeds{0, 1, 2};

private:
    Term termOf(std::size_t node) const { return m_vms[node].controller->consensus()->term(); }

    void open(std::size_t node)
    {
        Vm &vm = m_vms[node];
        StorageOpened opened;
        opened.identity = VoterId{vm.disk.folder};
        opened.restored = {vm.disk.log.hardState, std::nullopt, vm.disk.log.entries, vm.disk.initialMembership.value_or(VoterMembership{})};
        if (vm.disk.log.snapshot) {
            opened.restored.snapshot = *vm.disk.log.snapshot;
        }
        opened.initialMembership = vm.disk.initialMembership;
        opened.founders = vm.disk.founders;
        vm.controller->onStorage(opened, clockOf(node));
    }

    void endIfStopped(std::size_t node)
    {
        const Vm &vm = m_vms[node];
        if (vm.stopsAt && (vm.controller->leave(clockOf(node)) || now >= *vm.stopsAt)) {
            kill(node);
        }
    }

    // Data that is not synced yet is lost when the process is killed.
    void scheduleSync(std::size_t node, std::function<void()> action) { scheduleSyncs(node, 1, std::move(action)); }

    void scheduleSyncs(std::size_t node, std::size_t count, std::function<void()> action)
    {
        if (count == 0) {
            action();
            return;
        }
        TimePoint &syncedUntil = m_vms[node].syncedUntil;
        syncedUntil = std::max(syncedUntil, now);
        for (std::size_t sync = 0; sync < count; ++sync) {
            syncedUntil += std::chrono::milliseconds(minSyncMs + random(maxSyncMs - minSyncMs));
        }
        m_deliveries.push_back({node, node, syncedUntil, std::move(action)});
    }

    void send(std::size_t from, const VmId &to, std::function<void(std::size_t)> deliver)
    {
        const std::size_t target = nodeOf(to);
        // The receiver learns the sender's address from the call, as with real peer calls.
        learn(from, target);
        if (target < m_vms.size() && now >= m_vms[target].unreachableUntil) {
            transmit(from, target, std::move(deliver));
        }
    }

    // A reply returns on the connection of its call.
    void answer(std::size_t from, std::size_t to, std::function<void(std::size_t)> deliver)
    {
        learn(from, to);
        transmit(from, to, std::move(deliver));
    }

    void transmit(std::size_t from, std::size_t target, std::function<void(std::size_t)> deliver)
    {
        if (cuts.contains({from, target}) || chance(dropPercent)) {
            return;
        }
        m_deliveries.push_back(
            {from, target, now + std::chrono::milliseconds(random(maxDelayMs)), [this, from, target, deliver = std::move(deliver)] {
                 learn(target, from);
                 deliver(target);
             }});
    }

    void learn(std::size_t node, std::size_t other)
    {
        Vm &vm = m_vms[node];
        if (vm.controller && node != other && vm.knownControllers.insert(vmAt(other)).second) {
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

// First seed of a random test; set by HEMLOCKHILL_TEST_SEED to repeat one.
inline std::uint64_t firstSeed()
{
    const char *text = std::getenv("HEMLOCKHILL_TEST_SEED");
    return text == nullptr ? 1 : std::stoull(text);
}

inline void startAll(SimulatedRegion &region)
{
    region.now = TimePoint{} + Step;
    for (std::size_t node = 0; node < region.size(); ++node) {
        region.start(node);
    }
}

} // namespace Hemlockhill::Testing
