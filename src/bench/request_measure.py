"""Measures the request path with real processes: added latency, throughput, memory of open streams, recovery from silent connections,
prefix cache hits, and attainment when runners are lost.

Prints one line per metric: name, value, unit, target, and holds or short. Exits with 1 if a target is missed.
"""

import json
import pathlib
import statistics
import subprocess
import sys
import time

from request_callers import declare, set_mode, stats
from session import BUILD, Session

LOAD = BUILD / "src/bench/request_load"
FAST = ("--preload", "scribe:v1:12GB", "--first-token", "15us", "--between-tokens", "15us", "--batch", "4096")
target_missed = False


def report(name, value, unit, target, holds):
    global target_missed
    target_missed = target_missed or not holds
    print(f"{name} {value:.3f} {unit} target {target} {'holds' if holds else 'short'}", flush=True)


def load(*addresses, **options):
    """Runs the load generator to completion and returns its report."""
    return json.loads(start_load(*addresses, **options).communicate(timeout=170)[0].splitlines()[-1])


def start_load(*addresses, **options):
    arguments = [LOAD]
    for address in addresses:
        arguments += ["--at", address]
    for name, value in options.items():
        arguments += [f"--{name}"] if value is True else [f"--{name}", str(value)]
    return subprocess.Popen([str(argument) for argument in arguments], stdout=subprocess.PIPE, text=True)


def start_one_runner(session):
    runner = session.engine("runner-1", *FAST)
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1, callers={"connection_limit": 4000, "request_limit": 4000}, endpoints={"idle_connections": 512})
    declare(session, node, [runner])
    return runner, node


def measure_added_time():
    with Session() as session:
        runner, node = start_one_runner(session)
        added = []
        for seed in range(5):
            direct = load(runner.address, requests=2000, seed=seed)
            through = load(node.callers, requests=2000, seed=seed)
            added.append(through["total_p50_ms"] - direct["total_p50_ms"])
    value = statistics.median(added)
    report("request_added_median", value, "ms", "at most 0.5", value <= 0.5)


def measure_throughput():
    with Session() as session:
        runner, node = start_one_runner(session)
        load(node.callers, requests=2000, concurrency=256)
        direct = load(runner.address, requests=20_000, concurrency=256)
        through = load(node.callers, requests=20_000, concurrency=256)
    assert through["whole"] == 20_000, through
    report("request_throughput", through["per_second"], "requests/s", f"half of {direct['per_second']:.0f}", through["per_second"] >= direct["per_second"] / 2)


def resident_mb(process):
    for line in pathlib.Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    raise SystemExit("no VmRSS line in the process status")


def measure_open_streams():
    streams = 2000
    options = ("--preload", "scribe:v1:12GB", "--first-token", "1ms", "--between-tokens", "200ms", "--batch", "4096")
    with Session() as session:
        runner = session.engine("runner-1", *options)
        (node,) = session.region({"vm-a": "ktm-1"}, controllers=1, callers={"connection_limit": 4000, "request_limit": 4000}, endpoints={"idle_connections": 512})
        declare(session, node, [runner])
        client = start_load(node.callers, requests=streams, concurrency=streams, tokens=100_000, hold=True)
        assert client.stdout.readline() == "held\n"
        time.sleep(3)
        running = stats(runner)["running"]
        value = resident_mb(node)
        client.terminate()
        client.wait()
    assert running == streams, running
    report("request_open_streams_memory", value, "MB", "at most 128 with 2000 open streams", value <= 128)


def measure_silent_connections():
    """Measures the time from sending a request on a silent connection to its complete answer over a fresh one."""
    limit_s = 8
    with Session() as session:
        runner = session.engine("runner-1", "--preload", "scribe:v1:12GB")
        (node,) = session.region({"vm-a": "ktm-1"}, controllers=1, endpoints={"first_byte_timeout": f"{limit_s}s"})
        declare(session, node, [runner])
        load(node.callers, requests=50, tokens=2)
        durations_s = []
        for _ in range(5):
            set_mode(runner, silent_open_connections=True)
            done = load(node.callers, requests=1, tokens=2)
            assert done["whole"] == 1, done
            durations_s.append(done["total_p50_ms"] / 1000)
    value = max(durations_s)
    report("request_silent_connection_move", value, "s", f"below the first-byte limit of {limit_s}", value < limit_s)


def measure_prefix_hits():
    """Compares the ratio of prompt blocks found in the runners' caches with callers that distribute requests round robin."""
    options = ("--preload", "scribe:v1:12GB", "--first-token", "5ms", "--between-tokens", "1ms", "--prefill-per-block", "2ms")
    results = {}
    for policy in ("round robin", "routing"):
        with Session() as session:
            runners = [session.engine(f"runner-{number}", *options, "--cache-blocks", "400") for number in range(6)]
            (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
            declare(session, node, runners)
            addresses = [runner.address for runner in runners] if policy == "round robin" else [node.callers]
            done = load(*addresses, requests=3000, rate=300, prefixes=100, tokens=8)
            counted = [stats(runner) for runner in runners]
            hits = sum(each["prefix_hits"] for each in counted) / sum(each["prefix_blocks"] for each in counted)
            results[policy] = hits, done["first_token_p99_ms"], done["whole"]
            print(f"request_prefix_hits {policy}: share {hits:.3f}, first token p99 {done['first_token_p99_ms']:.1f} ms, whole {done['whole']}")
    ratio = results["routing"][0] / results["round robin"][0]
    report("request_prefix_hit_ratio", ratio, "times", "at least 1.5", ratio >= 1.5)
    p99_ratio = results["routing"][1] / results["round robin"][1]
    report("request_prefix_tail_ratio", p99_ratio, "times", "at most 1", p99_ratio <= 1)


def measure_attainment_under_loss():
    """Kills three of twelve runners under a load slightly above the capacity of the other nine."""
    options = ("--preload", "scribe:v1:12GB", "--first-token", "50ms", "--between-tokens", "10ms", "--batch", "4")
    results = {}
    for policy in ("round robin", "routing"):
        with Session() as session:
            runners = [session.engine(f"runner-{number}", *options) for number in range(12)]
            (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
            declare(session, node, runners, "drafts priority interactive first-token 470ms deadline 10s")
            addresses, retries = ([runner.address for runner in runners], 3) if policy == "round robin" else ([node.callers], 0)
            client = start_load(*addresses, requests=2700, rate=180, tokens=20, retries=retries)
            time.sleep(3)
            for runner in runners[:3]:
                runner.kill()
            done = json.loads(client.communicate(timeout=120)[0].splitlines()[-1])
            results[policy] = done["attained"] / done["requests"]
            counted = ", ".join(f"{name} {done[name]}" for name in ("whole", "attained", "refused", "failed"))
            print(f"request_attainment_under_loss {policy}: {counted}, first token p99 {done['first_token_p99_ms']:.0f} ms", flush=True)
    ratio = results["routing"] / max(results["round robin"], 0.001)
    report("request_attainment_ratio", ratio, "times", "at least 1.3", ratio >= 1.3)


def main():
    measure_added_time()
    measure_throughput()
    measure_open_streams()
    measure_silent_connections()
    measure_prefix_hits()
    measure_attainment_under_loss()
    return 1 if target_missed else 0


if __name__ == "__main__":
    sys.exit(main())
