// Measures the register of idempotency keys: duplicate runs in randomized schedules, claims applied per second, and bytes per key.
// Prints one line per metric: name value unit target holds|short.
#include "hemlockhill/once_register.h"

#include "once/once_schedule_testing.h"

#include <malloc.h>

#include <array>
#include <iostream>
#include <string>

namespace
{

using namespace Hemlockhill;
using std::chrono::milliseconds;

constexpr std::uint64_t ScheduleCount = 100'000;
constexpr std::size_t ClaimCount = 200'000;
constexpr std::size_t BatchSize = 64;
constexpr std::array<std::size_t, 4> KeyCounts{50'000, 100'000, 200'000, 400'000};
constexpr std::size_t AnswerBytes = 200;
// The request rate of the target size, assuming that every request is a once-only call.
constexpr double MinClaimsPerSecond = 2'900;
constexpr double MaxMemoryBytesPerKey = 800;
constexpr double MaxSnapshotBytesPerKey = 800;
constexpr double MaxBytesPerTombstone = 32;

bool report(const std::string &name, double value, const std::string &unit, double target, bool holds)
{
    std::cout << name << ' ' << value << ' ' << unit << ' ' << target << ' ' << (holds ? "holds" : "short") << '\n';
    return holds;
}

WallTime wallTime(std::size_t ms)
{
    return WallTime(milliseconds(1'700'000'000'000 + static_cast<std::int64_t>(ms)));
}

ClaimKey makeClaim(std::size_t number)
{
    ClaimKey claim;
    claim.key = IdempotencyKey{"a1b2c3d4-0000-4000-8000-" + std::to_string(100'000'000'000 + number)};
    claim.service = ServiceId{"register"};
    claim.call = Digest{number, number};
    claim.node = VmId{"vm-a"};
    claim.claim = ClaimId{"vm-a-12345678901234567890-" + std::to_string(number)};
    claim.dispatchWindow = milliseconds(5000);
    return claim;
}

void applyClaims(OnceRegister &machine, std::size_t from, std::size_t to)
{
    for (std::size_t number = from; number < to; ++number) {
        const ClaimKey claim = makeClaim(number);
        const StoredAnswer answer{200, "application/json", {}, std::string(AnswerBytes, 'x')};
        machine.apply(OnceCommand{wallTime(number / 100), {claim, RecordOutcome{registerKey(claim), claim.claim, answer}}});
    }
}

std::size_t heapBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Returns the slope of the least-squares line through (KeyCounts, values).
double slopeOf(const std::array<double, KeyCounts.size()> &values)
{
    double meanX = 0;
    double meanY = 0;
    for (std::size_t index = 0; index < KeyCounts.size(); ++index) {
        meanX += static_cast<double>(KeyCounts.at(index)) / KeyCounts.size();
        meanY += values.at(index) / KeyCounts.size();
    }
    double covariance = 0;
    double variance = 0;
    for (std::size_t index = 0; index < KeyCounts.size(); ++index) {
        const double x = static_cast<double>(KeyCounts.at(index)) - meanX;
        covariance += x * (values.at(index) - meanY);
        variance += x * x;
    }
    return covariance / variance;
}

bool measureRuns()
{
    std::uint64_t duplicateRuns = 0;
    std::uint64_t otherViolations = 0;
    for (std::uint64_t seed = 1; seed <= ScheduleCount; ++seed) {
        const Testing::OnceScheduleResult result = Testing::OnceSchedule(seed).run();
        duplicateRuns += result.extraRuns;
        otherViolations += result.faults() - result.extraRuns;
    }
    const bool runs = report("once_runs_above_one", static_cast<double>(duplicateRuns), "runs", 0, duplicateRuns == 0);
    return report("once_untrue_answers", static_cast<double>(otherViolations), "answers", 0, otherViolations == 0) && runs;
}

// Measures the claims per second that one replica decodes and applies, in log entries of BatchSize claims.
bool measureClaims()
{
    std::vector<std::string> entries;
    for (std::size_t number = 0; number < ClaimCount; number += BatchSize) {
        OnceCommand command{wallTime(number / 100), {}};
        for (std::size_t step = 0; step < BatchSize; ++step) {
            command.steps.emplace_back(makeClaim(number + step));
        }
        entries.push_back(encode(command));
    }
    OnceRegister machine;
    const auto start = std::chrono::steady_clock::now();
    for (const std::string &entry : entries) {
        machine.apply(decodeOnceCommand(entry));
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const double rate = static_cast<double>(machine.keys()) / elapsed.count();
    return report("once_claims_applied", rate, "1/s", MinClaimsPerSecond, rate >= MinClaimsPerSecond);
}

bool measureBytes()
{
    std::array<double, KeyCounts.size()> memory{};
    std::array<double, KeyCounts.size()> snapshot{};
    std::array<double, KeyCounts.size()> tombstones{};
    for (std::size_t index = 0; index < KeyCounts.size(); ++index) {
        const std::size_t before = heapBytes();
        OnceLimits limits;
        limits.maxTotalAnswerSize = Bytes{1'000'000'000};
        OnceRegister machine(limits);
        applyClaims(machine, 0, KeyCounts.at(index));
        memory.at(index) = static_cast<double>(heapBytes() - before);
        snapshot.at(index) = static_cast<double>(machine.snapshot().size());
        machine.apply(OnceCommand{wallTime(1'000'000'000), {ExpireKeys{milliseconds(1)}}});
        tombstones.at(index) = static_cast<double>(machine.snapshot().size());
    }
    const double perKey = slopeOf(memory);
    const double perSnapshotKey = slopeOf(snapshot);
    const double perTombstone = slopeOf(tombstones);
    const bool memoryHolds = report("once_bytes_a_key_memory", perKey, "B", MaxMemoryBytesPerKey, perKey <= MaxMemoryBytesPerKey);
    const bool snapshotHolds =
        report("once_bytes_a_key_snapshot", perSnapshotKey, "B", MaxSnapshotBytesPerKey, perSnapshotKey <= MaxSnapshotBytesPerKey);
    const bool tombstonesHold =
        report("once_bytes_a_tombstone_snapshot", perTombstone, "B", MaxBytesPerTombstone, perTombstone <= MaxBytesPerTombstone);
    return memoryHolds && snapshotHolds && tombstonesHold;
}

} // namespace

int main()
{
    const bool runs = measureRuns();
    const bool claims = measureClaims();
    const bool bytes = measureBytes();
    return runs && claims && bytes ? 0 : 1;
}
