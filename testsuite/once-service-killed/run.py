"""The service is killed after a call was sent. The caller must be told that the outcome is unknown, and no repeat may run the call again."""

import concurrent.futures
import json

from session import Session, http_call, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3"}

with Session() as session:
    journal = session.folder / "runs.txt"
    register = session.service("register-1", "--delay", "60s", "--journal", journal)
    nodes = session.region(VM_LOCATIONS)
    session.ctl(
        nodes[0],
        f"declare endpoint register-1 address {register.address} in ktm-1 kind plain-service",
        "declare service register once-only endpoints register-1",
    )
    wait_until(lambda: all(node.ready() for node in nodes), "the nodes to be ready")

    def transfer(node, key="transfer-1"):
        status, _, body = http_call(node.callers, "POST", "/services/register/transfers", "deed", {"Idempotency-Key": key})
        answer = json.loads(body)
        return f"{status} {answer['reason']} ran={answer['ran']}"

    def runs():
        return json.loads(http_call(register.address, "GET", "/runs")[2])

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        first = pool.submit(transfer, nodes[0])
        wait_until(lambda: runs() == {"deed": 1}, "the call to run")
        session.print(f"repeat while it runs: {transfer(nodes[-1])}")
        register.kill()
        session.print(f"service killed: {first.result()}")
    wait_until(lambda: "outcome_unknown" in transfer(nodes[-1]), "the outcome to be recorded")
    session.print(f"repeat while the service is down: {transfer(nodes[-1])}")
    session.print(f"another key while the service is down: {transfer(nodes[0], 'transfer-2')}")
    register.start()
    wait_until(lambda: session.listens(register.address), "the service to listen again")
    session.print(f"repeat after its restart: {transfer(nodes[0])}")
    session.print(f"runs: {runs()}")
