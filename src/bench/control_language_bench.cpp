// Measures parsing, applying and answering operator statements at the target size of 1,300 runners and 310 models.
// Prints one line per metric: name, value, unit, target, and holds or short.
#include "hemlockhill/operator_answer.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <functional>
#include <iomanip>
#include <iostream>

namespace
{

using namespace Hemlockhill;

constexpr int RunnerCount = 1'300;
constexpr int ModelCount = 310;
constexpr int CopiesPerRunner = 4;
constexpr int Repetitions = 200;

std::vector<std::string> regionScript()
{
    std::vector<std::string> script;
    for (int number = 0; number < RunnerCount; ++number) {
        const std::string host = "10.0." + std::to_string(number / 200) + "." + std::to_string(1 + number % 200);
        script.push_back("declare endpoint r" + std::to_string(number) + " address " + host + ":9000 in dc-" + std::to_string(number % 11)
                         + " memory 80GB");
    }
    for (int number = 0; number < ModelCount; ++number) {
        script.push_back("declare model m" + std::to_string(number) + " version v1 weights 12GB kv 2GB copies 2");
    }
    return script;
}

void applyScript(RegionStateMachine &machine, const std::vector<std::string> &script)
{
    for (const std::string &statement : script) {
        machine.apply(std::get<CommandRequest>(parseStatement(statement)));
    }
}

double meanMicroseconds(const std::function<void()> &step)
{
    const auto start = std::chrono::steady_clock::now();
    for (int number = 0; number < Repetitions; ++number) {
        step();
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / Repetitions;
}

// Prints a metric and returns whether it is within its target.
bool report(const char *name, double value, const char *unit, double target)
{
    const bool holds = value <= target;
    std::cout << name << ' ' << std::fixed << std::setprecision(1) << value << ' ' << unit << " <=" << target << ' '
              << (holds ? "holds" : "short") << '\n';
    return holds;
}

OperatorView makeView(const RegionState &state, Journal &journal)
{
    OperatorView view;
    view.now = TimePoint(std::chrono::hours(2));
    view.state = state;
    int number = 0;
    for (const auto &[endpoint, description] : state.endpoints) {
        for (int copy = 0; copy < CopiesPerRunner; ++copy) {
            const ModelId model{"m" + std::to_string(number++ % ModelCount)};
            view.residency.push_back({endpoint, model, {}, VersionId{"v1"}, Bytes{14'000'000'000}, ResidencyRow::Phase::Loaded});
        }
    }
    for (int count = 0; count < 4 * static_cast<int>(Journal::DefaultCapacity); ++count) {
        Decision decision;
        decision.time = view.now - std::chrono::seconds(count % 3'600);
        decision.kind = static_cast<DecisionKind>(count % 4);
        decision.subjects.model = ModelId{"m" + std::to_string(count % ModelCount)};
        journal.record(decision);
    }
    view.journal = &journal;
    return view;
}

double answerMicroseconds(const OperatorView &view, const char *statement)
{
    const Statement query = parseStatement(statement);
    return meanMicroseconds([&] { benchmark::DoNotOptimize(std::get<OperatorAnswer>(answerQuery(view, query)).text()); });
}

} // namespace

int main()
{
    const std::vector<std::string> script = regionScript();
    RegionStateMachine machine;
    applyScript(machine, script);
    const std::uint64_t declared = machine.state().revision.value;
    applyScript(machine, script);
    const std::uint64_t revisionsOfResend = machine.state().revision.value - declared;

    bool holds = report("language_parse", meanMicroseconds([&] { benchmark::DoNotOptimize(parseStatement(script.back())); }), "us", 50);
    int version = 0;
    const auto change = [&] {
        const std::string statement = "change model m7 version v" + std::to_string(++version);
        machine.apply(std::get<CommandRequest>(parseStatement(statement)));
    };
    holds &= report("command_apply", meanMicroseconds(change), "us", 1'000);
    const auto redeclare = [&] { machine.apply(std::get<CommandRequest>(parseStatement(script.front()))); };
    holds &= report("endpoint_declare", meanMicroseconds(redeclare), "us", 1'000);
    holds &= report("script_resend_revisions", static_cast<double>(revisionsOfResend), "revisions", 0);
    Journal journal;
    const OperatorView view = makeView(machine.state(), journal);
    holds &= report("show_placement", answerMicroseconds(view, "show placement"), "us", 50'000);
    holds &= report("explain_model", answerMicroseconds(view, "explain model m7"), "us", 50'000);
    holds &= report("explain_hour", answerMicroseconds(view, "explain last 1h"), "us", 50'000);
    holds &= report("plan_change", answerMicroseconds(view, "plan change model m7 version v0"), "us", 50'000);
    return holds ? 0 : 1;
}
