// Measures commit latency and throughput of three consensus replicas in one process. Each replica has its own data folder and storage
// thread. Usage: control_log_bench [FOLDER]; the data folders are created in FOLDER, which selects the disk to measure.
// Prints one line per metric: name, value, unit, target, and holds or short.
#include "hemlockhill/consensus.h"
#include "hemlockhill/log_storage.h"

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <variant>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

using namespace Hemlockhill;
namespace fs = std::filesystem;

namespace
{

constexpr std::size_t Voters = 3;
constexpr std::size_t PayloadBytes = 128;
constexpr std::size_t Rounds = 12;
constexpr std::size_t SamplesPerRound = 25;
constexpr std::size_t ConcurrentProposals = 64;
constexpr std::uint64_t CompactionInterval = 5000;
constexpr auto LoadDuration = std::chrono::seconds(3);
constexpr auto MaxWait = std::chrono::milliseconds(5);
constexpr auto ElectionTimeout = std::chrono::seconds(20);
constexpr double MinCommitsPerSecond = 2000;
constexpr double MaxCommitOverBareWrite = 4;
constexpr double BareWriteQuantile = 0.1;
constexpr double MedianQuantile = 0.5;

TimePoint now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

double millisecondsSince(TimePoint start)
{
    return std::chrono::duration<double, std::milli>(now() - start).count();
}

// Returns the given quantile, at least 0 and below 1, of the values.
double valueAtQuantile(std::vector<double> values, double quantile)
{
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(static_cast<double>(values.size()) * quantile));
}

struct CompletedSync {
    std::size_t voter = 0;
    PersistedMark mark;
};

// Queue of completed syncs, from the storage threads to the replicas.
class CompletedSyncQueue
{
public:
    void push(CompletedSync completed)
    {
        const std::lock_guard guard(m_mutex);
        m_queue.push_back(completed);
        m_arrived.notify_one();
    }

    std::deque<CompletedSync> waitAndTake()
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait_for(lock, MaxWait, [this] { return !m_queue.empty(); });
        return std::exchange(m_queue, {});
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<CompletedSync> m_queue;
};

// Storage thread of a replica. Writes all queued actions, then syncs once per batch.
class StorageThread
{
public:
    StorageThread(std::size_t voter, const fs::path &folder, CompletedSyncQueue &completed)
        : m_voter(voter)
        , m_storage(StorageSettings{folder})
        , m_completedSyncs(completed)
        , m_thread([this] { run(); })
    {
    }

    ~StorageThread()
    {
        {
            const std::lock_guard guard(m_mutex);
            m_stopping = true;
            m_arrived.notify_one();
        }
        m_thread.join();
    }

    const VoterId &identity() const { return m_storage.identity(); }

    void push(ConsensusActions actions)
    {
        const std::lock_guard guard(m_mutex);
        m_queue.push_back(std::move(actions));
        m_arrived.notify_one();
    }

private:
    void run()
    {
        while (true) {
            std::deque<ConsensusActions> batch;
            {
                std::unique_lock lock(m_mutex);
                m_arrived.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
                if (m_stopping) {
                    return;
                }
                batch.swap(m_queue);
            }
            for (const ConsensusActions &actions : batch) {
                m_storage.write(actions);
            }
            m_storage.sync();
            m_completedSyncs.push(CompletedSync{m_voter, *batch.back().mark});
        }
    }

    std::size_t m_voter;
    LogStorage m_storage;
    CompletedSyncQueue &m_completedSyncs;
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<ConsensusActions> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
};

// The group of three voters, driven by the calling thread.
class Group
{
public:
    explicit Group(const fs::path &folder)
    {
        RestoredState restored;
        for (std::size_t voter = 0; voter < Voters; ++voter) {
            m_storages.push_back(std::make_unique<StorageThread>(voter, folder / ("voter-" + std::to_string(voter)), m_completedSyncs));
            restored.initialMembership.voters.insert(m_storages.back()->identity());
            m_positions[m_storages.back()->identity()] = voter;
        }
        ConsensusSettings settings;
        settings.electionTimeout = std::chrono::seconds(2);
        for (std::size_t voter = 0; voter < Voters; ++voter) {
            settings.self = m_storages[voter]->identity();
            m_replicas.emplace_back(settings, restored, voter + 1, now());
        }
    }

    // Waits for a leader that holds its lease and returns it. Throws Error after ElectionTimeout.
    Consensus &awaitLeader()
    {
        const TimePoint deadline = now() + ElectionTimeout;
        while (now() < deadline) {
            step();
            for (Consensus &replica : m_replicas) {
                if (replica.leaseHeld(now())) {
                    return replica;
                }
            }
        }
        throw Error("no leader elected within the election timeout");
    }

    // Waits for a completed sync, at most MaxWait, and advances every replica.
    void step()
    {
        for (const CompletedSync &completed : m_completedSyncs.waitAndTake()) {
            m_replicas[completed.voter].persisted(completed.mark);
        }
        for (Consensus &replica : m_replicas) {
            replica.tick(now());
        }
        flush();
    }

    // Executes the actions of all replicas until no messages are pending.
    void flush()
    {
        bool active = true;
        while (active) {
            active = false;
            for (std::size_t voter = 0; voter < Voters; ++voter) {
                active = executeActions(voter) || active;
            }
        }
    }

private:
    bool executeActions(std::size_t voter)
    {
        Consensus &replica = m_replicas[voter];
        ConsensusActions actions = replica.takeActions(now());
        std::vector<Envelope> messages = std::move(actions.messages);
        if (!actions.committed.empty() && actions.committed.back().index.value % CompactionInterval == 0) {
            replica.compact(actions.committed.back().index, "state");
        }
        if (actions.mark) {
            m_storages[voter]->push(std::move(actions));
        }
        for (const Envelope &envelope : messages) {
            m_replicas[m_positions.at(envelope.to)].receive(envelope, now());
        }
        return !messages.empty();
    }

    CompletedSyncQueue m_completedSyncs;
    std::vector<std::unique_ptr<StorageThread>> m_storages;
    std::vector<Consensus> m_replicas;
    std::map<VoterId, std::size_t> m_positions;
};

LogIndex propose(Consensus &leader)
{
    const auto result = leader.propose(std::string(PayloadBytes, 'x'), now());
    if (const auto *refused = std::get_if<Refusal>(&result)) {
        throw Error("proposal refused: " + std::string(toText(refused->reason)));
    }
    return std::get<Proposal>(result).index;
}

double commitOnce(Group &group, Consensus &leader)
{
    const TimePoint start = now();
    const LogIndex index = propose(leader);
    group.flush();
    while (leader.commitIndex() < index) {
        group.step();
    }
    return millisecondsSince(start);
}

double bareSyncedWrite(int file)
{
    const std::string bytes(PayloadBytes, 'x');
    const TimePoint start = now();
    if (::write(file, bytes.data(), bytes.size()) < 0 || ::fdatasync(file) != 0) {
        throw Error("bare synced write failed");
    }
    return millisecondsSince(start);
}

// Measures throughput with ConcurrentProposals proposals in flight; each commit is replaced by a new proposal.
double commitsPerSecond(Group &group, Consensus &leader)
{
    const TimePoint start = now();
    const LogIndex first = leader.commitIndex();
    while (now() < start + LoadDuration) {
        while (leader.lastIndex().value < leader.commitIndex().value + ConcurrentProposals) {
            propose(leader);
        }
        group.flush();
        group.step();
    }
    return static_cast<double>(leader.commitIndex().value - first.value) * 1000 / millisecondsSince(start);
}

// Prints a metric and returns whether it is within its target.
bool report(const char *name, double value, const char *unit, const std::string &target, bool holds)
{
    std::printf("%s %.3f %s %s %s\n", name, value, unit, target.c_str(), holds ? "holds" : "short");
    return holds;
}

bool measure(const fs::path &folder)
{
    Group group(folder);
    Consensus &leader = group.awaitLeader();
    const int file = ::open((folder / "bare").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    std::vector<double> bare;
    std::vector<double> commits;
    for (std::size_t round = 0; round < Rounds; ++round) {
        for (std::size_t sample = 0; sample < SamplesPerRound; ++sample) {
            bare.push_back(bareSyncedWrite(file));
        }
        for (std::size_t sample = 0; sample < SamplesPerRound; ++sample) {
            commits.push_back(commitOnce(group, leader));
        }
    }
    ::close(file);
    const double rate = commitsPerSecond(group, leader);
    // On a busy machine a bare write may wait a scheduler tick for its thread, so a low quantile is the stricter reference.
    const double bareWrite = valueAtQuantile(bare, BareWriteQuantile);
    const double commit = valueAtQuantile(commits, MedianQuantile);
    const double ratio = commit / bareWrite;
    report("control_log_bare_synced_write_p10", bareWrite, "ms", "-", true);
    report("control_log_bare_synced_write_p50", valueAtQuantile(bare, MedianQuantile), "ms", "-", true);
    report("control_log_commit_p50", commit, "ms", "-", true);
    const bool latencyHolds = report("control_log_commit_over_bare_write", ratio, "times", "<=4", ratio <= MaxCommitOverBareWrite);
    const bool throughputHolds = report("control_log_commits", rate, "per_s", ">=2000", rate >= MinCommitsPerSecond);
    return latencyHolds && throughputHolds;
}

} // namespace

int main(int argc, char **argv)
{
    const fs::path parent = argc > 1 ? fs::path(argv[1]) : fs::temp_directory_path();
    const fs::path folder = parent / ("control_log_bench-" + std::to_string(std::random_device{}()));
    bool holds = false;
    try {
        fs::create_directories(folder);
        holds = measure(folder);
    } catch (const std::exception &error) {
        std::cerr << "control_log_bench: " << error.what() << "\n";
    }
    fs::remove_all(folder);
    return holds ? 0 : 1;
}
