"""Measures control with real processes: a killed leader, a change on nine nodes, catch-up after 1,000 changes, the idle cost of a node.

Prints lines of name, value, unit, target and whether it holds; exits 1 when one falls short.
"""

import concurrent.futures
import json
import statistics
import sys
import time

from measured_session import MeasuredSession, Usage, all_sockets, bytes_between, control_sockets, machine_load, resident_mb
from session import Session, leader_of, wait_until

VM_LOCATIONS = {f"vm-{letter}": f"ktm-{number % 3 + 1}" for number, letter in enumerate("abcdefghi")}
KILLS = 14
CHANGES = 20
AWAY_CHANGES = 1000
IDLE_S = 10
short = False


def report(name, value, unit, target, holds):
    global short
    short = short or not holds
    print(f"{name} {value:.3f} {unit} target {target} {'holds' if holds else 'short'}", flush=True)


def region(session):
    nodes = session.region(VM_LOCATIONS)
    # A node is ready once something is declared.
    session.script(nodes[0], ["declare service measured"])
    wait_until(lambda: all(node.ready() for node in nodes), "all nodes to be ready")
    wait_until(lambda: any(session.voters(node) == 3 for node in nodes[:3]), "three voters")
    return nodes


def change(session, node, number):
    code, answer = session.ctl(node, f"change service measured deadline {number + 1}s operation change-{number}", quiet=True)
    return code == 0, answer


def measure_killed_leader(session, nodes):
    """From the kill to the next accepted command, given to a node that is no controller and sent again until it is accepted."""
    times = []
    for number in range(KILLS):
        leader = leader_of(nodes)
        leader.kill()
        killed = time.monotonic()
        wait_until(lambda: change(session, nodes[3 + number % 6], number)[0], "a command after a kill")
        times.append(time.monotonic() - killed)
        leader.start()
        wait_until(leader.ready, "the killed controller to be ready")
        wait_until(lambda: session.voters(leader) == 3, "the killed controller to be a voter")
    print(f"control_killed_leader s, each of {KILLS} kills: " + " ".join(f"{value:.2f}" for value in sorted(times)))
    share = sum(value <= 3 for value in times) / KILLS
    report("control_killed_leader_within_3s", share, "share", "at least 0.95", share >= 0.95)
    print(f"control_killed_leader_median {statistics.median(times):.3f} s")


def reached(session, node, revision, since):
    wait_until(lambda: session.revision(node) >= revision, "a revision")
    return time.monotonic() - since


def measure_in_force(session, nodes):
    """From giving the command to the last of nine nodes having its revision in force."""
    times = []
    accepted = []
    with concurrent.futures.ThreadPoolExecutor(len(nodes)) as pool:
        for number in range(CHANGES):
            revision = max(session.revision(node) for node in nodes) + 1
            began = time.monotonic()
            looks = [pool.submit(reached, session, node, revision, began) for node in nodes]
            assert change(session, nodes[number % 9], 1000 + number)[0]
            accepted.append(time.monotonic() - began)
            times.append(max(look.result() for look in looks))
    print(f"control_command_answered_median {statistics.median(accepted):.3f} s, of which a new ctl process is a part")
    print(f"control_in_force_on_nine_median {statistics.median(times):.3f} s")
    report("control_in_force_on_nine_largest", max(times), "s", "at most 2", max(times) <= 2)


def replicated_lengths(controller):
    """Lengths of the statements as replicated, which its log holds."""
    entries = [json.loads(line) for line in controller.log.read_text().splitlines() if '"command accepted"' in line]
    return [len(json.loads(entry["command"])["statement"]) for entry in entries]


def measure_catch_up(session, nodes):
    """A frozen node goes on after 1,000 changes and learns the delta; killed and started again, it learns the whole state."""
    away = nodes[8]
    count = AWAY_CHANGES // 8
    away.pause()
    # Until the lease of the frozen node has run out each command waits for it.
    time.sleep(2)
    writers = [[f"declare service drafts-{writer}-{number}" for number in range(count)] for writer in range(8)]
    began = session.revision(nodes[0])
    with concurrent.futures.ThreadPoolExecutor(len(writers)) as pool:
        list(pool.map(lambda pair: session.script(nodes[pair[0]], pair[1]), enumerate(writers)))
    target = session.revision(nodes[0])
    assert target - began == AWAY_CHANGES, (began, target)

    def arrived(act):
        sockets = control_sockets(away, all_sockets())
        since = time.monotonic()
        act()
        wait_until(lambda: Session.is_healthy(away) and session.revision(away) >= target, "the node to catch up")
        passed = time.monotonic() - since
        return passed, bytes_between(sockets, control_sockets(away, all_sockets()))[0]

    changes = sum(replicated_lengths(nodes[0])[-AWAY_CHANGES:])
    passed, received = arrived(away.resume)
    report("control_catch_up_1000_changes", passed, "s", "at most 1", passed <= 1)
    away.kill()
    started, whole = arrived(away.start)
    print(f"control_catch_up_bytes received after the freeze {received}, by a new start {whole}, text of the changes {changes}")
    print(f"control_catch_up_received_to_whole {received / max(whole, 1):.3f} times, start to caught up {started:.3f} s")


def measure_idle(session, nodes):
    """A node that is no controller, in a region of nine without requests, runners or changes."""
    leader = leader_of(nodes)
    controllers = [node for node in nodes[:3] if node is not leader]
    roles = {"leader": leader, "controller": controllers[0], "node": nodes[4]}
    time.sleep(2)
    usage = Usage(list(roles.values()))
    time.sleep(IDLE_S)
    for (role, process), (processor, received, sent) in zip(roles.items(), usage.take()):
        figures = (
            ("processor", processor * 100, "%_of_a_core", 2.4),
            ("memory", resident_mb(process), "MB", 128),
            ("bytes", (received + sent) / 1000, "KB/s", 11),
        )
        for name, value, unit, budget in figures:
            if role == "node":
                report(f"control_idle_{role}_{name}", value, unit, f"at most {budget}", value <= budget)
            else:
                print(f"control_idle_{role}_{name} {value:.3f} {unit}")


def main():
    print(f"control_measure: {machine_load()}")
    with MeasuredSession() as session:
        nodes = region(session)
        measure_idle(session, nodes)
        measure_in_force(session, nodes)
        measure_killed_leader(session, nodes)
    with MeasuredSession() as session:
        nodes = region(session)
        measure_catch_up(session, nodes)
    print(f"control_measure: {machine_load()}")
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
