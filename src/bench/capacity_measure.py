"""Measures how resource usage scales with following nodes, declared objects, runners and open streams, as input of docs/CAPACITY.md.

Each slope is a least-squares fit over at least four sizes on this machine. Prints the points and one line per slope, and last the run
time with its target. Only the run time has a target here; docs/CAPACITY.md extrapolates the slopes to the target size and its budget.
"""

import concurrent.futures
import statistics
import subprocess
import sys
import time

from measured_session import MeasuredSession, Usage, all_sockets, control_sockets, machine_load, processor_seconds, resident_mb
from session import BUILD, Session, leader_of, wait_until

NODE_COUNTS = (4, 8, 16, 32, 48)
OBJECT_COUNTS = (250, 500, 1000, 2000)
RUNNER_COUNTS = (8, 16, 32, 64)
STREAM_COUNTS = (250, 500, 1000, 2000)
SAMPLE_S = 4
CHANGES = 30
START_REPEATS = 3
HISTORY_OVERFLOW_CHANGES = 1100


def fit(points):
    """Returns the slope, intercept and correlation of the least-squares line through (size, value) pairs."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    deviation = statistics.pstdev(values)
    correlation = statistics.correlation(sizes, values) if deviation else 0
    return line.slope, line.intercept, correlation


def show(name, unit, per, points):
    slope, start, correlation = fit(points)
    shown = " ".join(f"{size}:{value:.5g}" for size, value in points)
    print(f"{name} points {shown}")
    print(f"{name} {slope:.5g} {unit} a {per} (start {start:.5g} {unit}, r {correlation:.3f})", flush=True)


class Series:
    """Collects the (size, value) points of several metrics, by name."""

    def __init__(self):
        self.points = {}
        self.units = {}

    def add(self, name, unit, size, value):
        self.points.setdefault(name, []).append((size, value))
        self.units[name] = unit

    def show(self, per):
        for name, points in self.points.items():
            show(f"capacity_{name}", self.units[name], per, points)


def vm_locations(count):
    return {f"vm-{number}": f"ktm-{number % 3 + 1}" for number in range(count)}


def region(session, count, controllers):
    nodes = session.region(vm_locations(count), controllers=controllers)
    # A node is ready once the region has at least one declaration.
    session.script(nodes[0], ["declare service measured"])
    wait_until(lambda: all(node.ready() for node in nodes), "all nodes to be ready")
    return nodes


def measure_nodes():
    """Measures idle usage, and the time until a change is acknowledged as in force on all nodes, for regions with three controllers."""
    series = Series()
    for count in NODE_COUNTS:
        with MeasuredSession() as session:
            nodes = region(session, count, 3)
            leader = leader_of(nodes)
            follower = next(node for node in nodes[:3] if node is not leader)
            sampled = [leader, follower] + nodes[3:]
            time.sleep(1)
            usage = Usage(sampled)
            time.sleep(SAMPLE_S)
            rows = usage.take()
            for role, process, row in zip(("leader", "controller", "node"), sampled, rows):
                series.add(f"{role}_processor_by_nodes", "%_of_a_core", count, row[0] * 100)
                series.add(f"{role}_bytes_by_nodes", "KB/s", count, (row[1] + row[2]) / 1000)
                series.add(f"{role}_memory_by_nodes", "MB", count, resident_mb(process))
            durations = []
            for number in range(CHANGES // 2):
                started_at = time.monotonic()
                session.script(nodes[-1], [f"change service measured deadline {number + 1}s"])
                durations.append(time.monotonic() - started_at)
            series.add("change_in_force_by_nodes", "ms", count, statistics.median(durations) * 1000)
    series.show("node")


def send_many(session, node, statements):
    chunks = [statements[offset::8] for offset in range(8)]
    with concurrent.futures.ThreadPoolExecutor(len(chunks)) as pool:
        list(pool.map(lambda chunk: session.script(node, chunk), chunks))


def full_state_bytes(session, node, revision):
    """Returns the bytes that a starting node receives from its peers until it has the whole state: the minimum of several starts, because
    the state may be sent twice when both the leader and an attesting node answer."""
    received = []
    for _ in range(START_REPEATS):
        node.kill()
        node.start()
        wait_until(lambda: Session.is_healthy(node) and session.revision(node) >= revision, "the started node to have the state")
        received.append(sum(counts[0] for counts in control_sockets(node, all_sockets()).values()))
    return min(received)


def measure_objects():
    """Measures memory, the size of the whole state and the cost of one change against the number of declared objects."""
    series = Series()
    with MeasuredSession() as session:
        leader, node = region(session, 2, 1)
        # After more changes than the leader retains in its history, a starting node always receives the whole state.
        send_many(session, leader, [f"change service measured deadline {number + 31}s" for number in range(HISTORY_OVERFLOW_CHANGES)])
        declared = 0
        for count in OBJECT_COUNTS:
            added = range(declared, count)
            send_many(session, leader, [f"declare model model-{number} version v1 weights 12GB kv 2GB" for number in added])
            declared = count
            series.add("state_whole_by_objects", "bytes", count, full_state_bytes(session, node, session.revision(leader)))
            time.sleep(1)
            started_at = time.monotonic()
            before = [processor_seconds(process) for process in (leader, node)]
            session.script(leader, [f"change model model-0 kv {number % 2 + 3}GB" for number in range(CHANGES)])
            elapsed = time.monotonic() - started_at
            for role, process, earlier in zip(("leader", "node"), (leader, node), before):
                used = (processor_seconds(process) - earlier) / CHANGES * 1000
                series.add(f"{role}_processor_a_change_by_objects", "ms", count, used)
                series.add(f"{role}_memory_by_objects", "MB", count, resident_mb(process))
            series.add("change_time_by_objects", "ms", count, elapsed / CHANGES * 1000)
    series.show("object")


def measure_runners():
    """Measures the usage of one node against the number of runners that it polls for reports."""
    series = Series()
    with MeasuredSession() as session:
        leader, node = region(session, 2, 1)
        runners = []
        for count in RUNNER_COUNTS:
            added = [session.engine(f"runner-{number}") for number in range(len(runners), count)]
            runners += added
            session.script(
                leader, [f"declare endpoint {each.name} address {each.address} in ktm-1 memory 80GB" for each in added]
            )
            time.sleep(1.5)
            usage = Usage([node])
            time.sleep(SAMPLE_S)
            ((processor, received, sent),) = usage.take()
            series.add("node_processor_by_runners", "%_of_a_core", count, processor * 100)
            series.add("node_bytes_by_runners", "KB/s", count, (received + sent) / 1000)
            series.add("node_memory_by_runners", "MB", count, resident_mb(node))
    series.show("runner")


def measure_streams():
    """Measures the memory and processor usage of one node against the number of open streams, each with a token every 200 ms."""
    series = Series()
    limits = {"connection_limit": 4000, "request_limit": 4000}
    options = ("--preload", "scribe:v1:12GB", "--first-token", "1ms", "--between-tokens", "200ms", "--batch", "4096")
    for count in STREAM_COUNTS:
        with MeasuredSession() as session:
            runner = session.engine("runner-1", *options)
            (node,) = session.region(vm_locations(1), controllers=1, callers=limits, endpoints={"idle_connections": 512})
            session.script(
                node,
                [
                    "declare service drafts priority interactive first-token 30s deadline 60s",
                    f"declare endpoint runner-1 address {runner.address} in ktm-1 memory 80GB",
                    "declare model scribe version v1 weights 12GB kv 2GB service drafts",
                ],
            )
            wait_until(lambda: session.chat(node, "scribe", "warm up")[0] == 200, "the model to be served")
            arguments = [BUILD / "src/bench/request_load", "--at", node.callers, "--hold"]
            for name, value in {"requests": count, "concurrency": count, "tokens": 100_000}.items():
                arguments += [f"--{name}", str(value)]
            client = subprocess.Popen([str(each) for each in arguments], stdout=subprocess.PIPE, text=True)
            assert client.stdout.readline() == "held\n"
            time.sleep(1)
            usage = Usage([node])
            time.sleep(2)
            series.add("node_processor_by_streams", "%_of_a_core", count, usage.take()[0][0] * 100)
            series.add("node_memory_by_streams", "MB", count, resident_mb(node))
            client.terminate()
            client.wait()
    series.show("stream")


def main():
    started_at = time.monotonic()
    print(f"capacity_measure: {machine_load()}")
    measure_nodes()
    measure_objects()
    measure_runners()
    measure_streams()
    elapsed = time.monotonic() - started_at
    print(f"capacity_measure: {machine_load()}")
    holds = elapsed <= 120
    print(f"capacity_run_time {elapsed:.1f} s target at most 120 {'holds' if holds else 'short'}")
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
