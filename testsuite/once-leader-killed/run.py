"""Callers resend a set of keys at every node while the leading controller is killed. No call may run twice, and all nodes must return
the same stored answer afterwards."""

import concurrent.futures
import itertools
import json
import threading

from session import Session, http_call, leader_of, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3", "vm-d": "ktm-1", "vm-e": "ktm-2"}
KEYS = 12
CALLERS = 15
OUTCOME_S = 120

with Session() as session:
    register = session.service("register-1", "--delay", "50ms", "--journal", session.folder / "runs.txt")
    nodes = session.region(VM_LOCATIONS)
    session.send_until_accepted(nodes[0], f"declare endpoint register-1 address {register.address} in ktm-1 kind plain-service")
    session.send_until_accepted(nodes[0], "declare service register once-only deadline 4s endpoints register-1")
    wait_until(lambda: all(node.ready() for node in nodes), "the nodes to be ready")

    def transfer(node, key):
        """Returns the status and body of the answer, or None if the node is not reachable."""
        try:
            status, _, body = http_call(
                node.callers, "POST", "/services/register/transfers", f"deed-{key}", {"Idempotency-Key": f"transfer-{key}"}
            )
            return status, body
        except OSError:
            return None

    def runs():
        return json.loads(http_call(register.address, "GET", "/runs")[2])

    stopping = threading.Event()

    def resend_keys(caller):
        for turn in itertools.count():
            if stopping.is_set():
                return
            transfer(nodes[(caller + turn) % len(nodes)], turn % KEYS)

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        resenders = [pool.submit(resend_keys, caller) for caller in range(CALLERS)]
        try:
            wait_until(runs, "the first call to run")
            leader = leader_of(nodes)
            leader.kill()
            session.print("the leading controller is killed while one key after another is sent at every node")
            wait_until(lambda: len(runs()) == KEYS, "every key to run")
        finally:
            stopping.set()
        concurrent.futures.wait(resenders)
        for done in resenders:
            done.result()
    alive = [node for node in nodes if node.running()]
    leader.start()
    wait_until(leader.ready, "the killed controller to serve again")

    def final_answer(node, key):
        """Repeats the call until it is no longer in progress and the node has a lease and a leader, and returns the answer."""

        def answer():
            latest = transfer(node, key)
            pending = latest is None or any(reason in latest[1] for reason in ("in_progress", "no_quorum", "lease_expired"))
            return None if pending else latest

        return wait_until(answer, "the outcome to be known", OUTCOME_S)

    def kind(answer):
        if answer[0] == 200:
            return answer[1]
        refusal = json.loads(answer[1])
        return f"{refusal['reason']} ran={refusal['ran']}"

    answers = {key: {kind(final_answer(node, key)) for node in nodes} for key in range(KEYS)}
    session.print(f"keys that all nodes answer alike: {sum(1 for kinds in answers.values() if len(kinds) == 1)} of {KEYS}")
    differing = sorted(str(kinds) for kinds in answers.values() if len(kinds) > 1)
    session.print(f"others: {differing}")
    first_run = {"path": "/transfers", "run": 1}
    unknown = "outcome_unknown ran=unknown"
    unexpected = [text for kinds in answers.values() for text in kinds if text != unknown and json.loads(text) != first_run]
    session.print(f"answers that are neither the first run's nor unknown: {unexpected}")
    session.print(f"keys run: {len(runs())}, runs of each: {sorted(set(runs().values()))}")
