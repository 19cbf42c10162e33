"""Connections to a plain service go silent, answers are lost and connections are dropped. A once-only call must use a fresh connection,
and a call whose answer is lost must be reported as unknown and not run again."""

import json

from session import FAKES, Process, Session, http_call, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3"}

with Session() as session:
    register = session.service("register-1")
    relay, control = session.address("relay"), session.address("relay.control")
    session.track(
        Process(
            "relay",
            [FAKES / "fake_relay", "--listen", relay, "--to", register.address, "--control", control],
            session.folder / "relay.log",
        )
    )
    wait_until(lambda: session.listens(control), "the relay to listen")
    nodes = session.region(VM_LOCATIONS)
    session.ctl(
        nodes[0],
        f"declare endpoint register-1 address {relay} in ktm-1 kind plain-service",
        "declare service register once-only deadline 2s endpoints register-1",
    )
    wait_until(lambda: all(node.ready() for node in nodes), "the nodes to be ready")

    def set_relay_mode(command):
        session.print(f"relay: {command}")
        assert http_call(control, "POST", f"/{command}")[0] == 200

    def transfer(number):
        headers = {"Idempotency-Key": f"transfer-{number}"}
        status, answered, body = http_call(nodes[-1].callers, "POST", "/services/register/transfers", f"deed-{number}", headers)
        answer = json.loads(body)
        if "reason" in answer:
            return f"{status} {answer['reason']} ran={answer['ran']}"
        return f"{status} run {answer['run']}{' replayed' if 'Idempotency-Replayed' in answered else ''}"

    def repeat(number):
        """Resends the transfer until the outcome of the first attempt is recorded."""
        return wait_until(lambda: (answer := transfer(number)) and "in_progress" not in answer and answer, "an outcome")

    read = http_call(nodes[-1].callers, "GET", "/services/register/deeds")[0]
    session.print(f"a read leaves an idle connection: {read}")
    set_relay_mode("silence")
    session.print(f"transfer 1: {transfer(1)}")
    set_relay_mode("cut-answers")
    session.print(f"transfer 2: {transfer(2)}")
    session.print(f"transfer 2 again: {repeat(2)}")
    set_relay_mode("forward")
    session.print(f"transfer 2 again: {repeat(2)}")
    session.print(f"transfer 1 again: {repeat(1)}")
    set_relay_mode("drop")
    session.print(f"transfer 3: {transfer(3)}")
    set_relay_mode("delay?ms=50")
    session.print(f"transfer 3 again: {repeat(3)}")
    session.print(f"transfer 4: {transfer(4)}")
    session.print(f"runs: {http_call(register.address, 'GET', '/runs')[2]}")
