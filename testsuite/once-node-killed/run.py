"""Kills the node that accepted a once-only call between the claim and the outcome. Repeats at the other nodes must report the outcome as
unknown, the call must not run again, and other calls must succeed."""

import concurrent.futures
import json

from session import Session, http_call, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3", "vm-d": "ktm-1"}
ENTRY = 3

with Session() as session:
    register = session.service("register-1", "--delay", "2s", "--journal", session.folder / "runs.txt")
    nodes = session.region(VM_LOCATIONS)
    session.send_until_accepted(nodes[0], f"declare endpoint register-1 address {register.address} in ktm-1 kind plain-service")
    session.send_until_accepted(nodes[0], "declare service register once-only deadline 4s endpoints register-1")
    wait_until(lambda: all(node.ready() for node in nodes), "the nodes to be ready")

    def transfer(node, number=1):
        headers = {"Idempotency-Key": f"transfer-{number}"}
        status, _, body = http_call(node.callers, "POST", "/services/register/transfers", f"deed-{number}", headers)
        answer = json.loads(body)
        return f"{status} {answer['reason']} ran={answer['ran']}" if "reason" in answer else f"{status} {body}"

    def transfer_or_lost():
        try:
            return transfer(nodes[ENTRY])
        except OSError:
            return "connection lost"

    def runs():
        return json.loads(http_call(register.address, "GET", "/runs")[2])

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        first = pool.submit(transfer_or_lost)
        wait_until(lambda: runs() == {"deed-1": 1}, "the call to run")
        session.print(f"repeat while it runs: {transfer(nodes[0])}")
        nodes[ENTRY].kill()
        session.print(f"its node is killed: {first.result()}")
    alive = nodes[:ENTRY]
    for node in alive:
        answer = wait_until(lambda: (latest := transfer(node)) and "in_progress" not in latest and latest, "the outcome to be decided", 120)
        session.print(f"repeat at {node.name}: {answer}")
    session.print(f"another key: {transfer(nodes[1], 2)}")
    nodes[ENTRY].start()
    wait_until(nodes[ENTRY].ready, "the killed node to serve again")
    session.print(f"repeat at the killed node: {transfer(nodes[ENTRY])}")
    session.print(f"runs: {runs()}")
