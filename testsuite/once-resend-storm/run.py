"""Many callers send the same key concurrently and repeatedly at every node. The service must run each call once."""

import collections
import concurrent.futures
import json

from session import Session, http_call, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3"}
CALLERS = 24
ROUNDS = 10

with Session() as session:
    register = session.service("register-1", "--delay", "200ms")
    nodes = session.region(VM_LOCATIONS)
    session.ctl(
        nodes[0],
        f"declare endpoint register-1 address {register.address} in ktm-1 kind plain-service",
        "declare service register once-only endpoints register-1",
    )
    wait_until(lambda: all(node.ready() for node in nodes), "the nodes to be ready")

    def send(number):
        node = nodes[number % len(nodes)]
        headers = {"Idempotency-Key": f"transfer-{number // CALLERS}"}
        status, _, body = http_call(node.callers, "POST", "/services/register/transfers", f"deed-{number // CALLERS}", headers)
        return status if status == 200 else json.loads(body)["reason"]

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        answers = collections.Counter(pool.map(send, range(CALLERS * ROUNDS)))
    session.print(f"kinds of answer: {sorted(map(str, answers))}")
    status, headers, body = http_call(
        nodes[-1].callers, "POST", "/services/register/transfers", "deed-0", {"Idempotency-Key": "transfer-0"}
    )
    session.print(f"resent later: {status} {body} replayed={headers.get('Idempotency-Replayed')}")
    runs = json.loads(http_call(register.address, "GET", "/runs")[2])
    session.print(f"keys {len(runs)}, runs of each: {sorted(set(runs.values()))}")
    session.print(f"node stops: exit code {nodes[0].terminate()}")
