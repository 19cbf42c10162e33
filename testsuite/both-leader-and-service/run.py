"""Kills the leading controller and a plain service while a once-only call is running. Every node must report the outcome as unknown,
the call must not run again, and later calls must be answered."""

import concurrent.futures
import json

from session import Session, http_call, leader_of, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3", "vm-d": "ktm-1"}
OUTCOME_S = 120

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

    def runs():
        return json.loads(http_call(register.address, "GET", "/runs")[2])

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        first = pool.submit(transfer, nodes[3])
        wait_until(lambda: runs() == {"deed-1": 1}, "the call to run")
        leader = leader_of(nodes)
        leader.kill()
        register.kill()
        session.print(f"leader and service are killed while the call runs: {first.result()}")
    register.start()
    leader.start()
    wait_until(leader.ready, "the killed controller to serve again")
    wait_until(lambda: session.listens(register.address), "the service to listen again")
    for node in nodes:
        answer = wait_until(lambda: "outcome_unknown" in (latest := transfer(node)) and latest, "the outcome to be decided", OUTCOME_S)
        session.print(f"repeat at {node.name}: {answer}")
    answer = wait_until(lambda: (latest := transfer(nodes[1], 2)).startswith("200") and latest, "another key to be answered")
    session.print(f"another key: {answer}")
    session.print(f"runs: {runs()}")
