"""A caller disconnects while its call is running, and the node is stopped while another call is running. Both calls must complete exactly
once, and their answers must be stored or delivered."""

import concurrent.futures
import http.client
import json

from session import Session, http_call, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3"}

with Session() as session:
    register = session.service("register-1", "--delay", "1500ms")
    nodes = session.region(VM_LOCATIONS)
    session.ctl(
        nodes[0],
        f"declare endpoint register-1 address {register.address} in ktm-1 kind plain-service",
        "declare service register once-only endpoints register-1",
    )
    wait_until(lambda: all(node.ready() for node in nodes), "the nodes to be ready")

    def runs():
        return json.loads(http_call(register.address, "GET", "/runs")[2])

    def transfer(number):
        headers = {"Idempotency-Key": f"transfer-{number}"}
        return http_call(nodes[0].callers, "POST", "/services/register/transfers", f"deed-{number}", headers)

    def final_answer(number):
        """Repeats the call until it is no longer in progress and returns the answer."""
        return wait_until(lambda: (answer := transfer(number))[0] != 409 and answer, "the call to end")

    host, port = nodes[0].callers.rsplit(":", 1)
    caller = http.client.HTTPConnection(host, int(port))
    caller.request("POST", "/services/register/transfers", "deed-1", {"Idempotency-Key": "transfer-1"})
    wait_until(lambda: runs() == {"deed-1": 1}, "the call to run")
    caller.close()
    status, headers, body = final_answer(1)
    session.print(f"caller gone, sent again: {status} {body} replayed={headers.get('Idempotency-Replayed')}")
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        second = pool.submit(transfer, 2)
        wait_until(lambda: runs().get("deed-2") == 1, "the second call to run")
        session.print(f"node stopped meanwhile: exit code {nodes[0].terminate()}")
        status, _, body = second.result()
        session.print(f"its call: {status} {body}")
    session.print(f"runs: {runs()}")
