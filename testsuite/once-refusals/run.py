"""Refused and repeatable calls of plain services: a different body under the same key, a missing key, an expired key, no endpoint."""

import json

from session import Session, http_call, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3"}
OLD_KEY = "018bcfe5-6800-7000-8000-000000000001"

with Session() as session:
    register = session.service("register-1")
    nodes = session.region(VM_LOCATIONS)
    session.ctl(
        nodes[0],
        f"declare endpoint register-1 address {register.address} in ktm-1 kind plain-service",
        "declare service register once-only endpoints register-1",
        "declare service notes endpoints register-1",
    )
    wait_until(lambda: all(node.ready() for node in nodes), "the nodes to be ready")

    def call(method, path, body=None, **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        status, answered, text = http_call(nodes[-1].callers, method, path, body, named)
        answer = json.loads(text)
        if "reason" in answer:
            return f"{status} {answer['reason']} ran={answer['ran']}"
        return f"{status} {text}{' replayed' if 'Idempotency-Replayed' in answered else ''}"

    key = {"Idempotency_Key": "transfer-1"}
    session.print(f"first: {call('POST', '/services/register/transfers?club=7', 'deed', **key)}")
    session.print(f"repeat: {call('POST', '/services/register/transfers?club=7', 'deed', **key)}")
    session.print(f"other body: {call('POST', '/services/register/transfers?club=7', 'other', **key)}")
    session.print(f"other path: {call('POST', '/services/register/transfers?club=8', 'deed', **key)}")
    session.print(f"same key at another service: {call('POST', '/services/notes/x', 'note', **key)}")
    session.print(f"no key: {call('POST', '/services/register/transfers', 'unkeyed')}")
    session.print(f"key from the year 2023: {call('POST', '/services/register/transfers', 'aged', Idempotency_Key=OLD_KEY)}")
    session.print(f"read: {call('GET', '/services/register/deeds/7')}")
    session.print(f"repeatable: {call('POST', '/services/notes/y', 'memo')}")
    session.print(f"repeatable again: {call('POST', '/services/notes/y', 'memo')}")
    session.print(f"unknown service: {call('POST', '/services/nothing/x', 'lost')}")
    session.print(f"method: {call('TRACE', '/services/notes/x')}")
    session.print(f"runs: {http_call(register.address, 'GET', '/runs')[2]}")
    session.ctl(nodes[0], "drain endpoint register-1")
    wait_until(lambda: "no_endpoint" in call("GET", "/services/notes/x"), "the endpoint to be left out")
    session.print(f"keyed call without endpoint: {call('POST', '/services/register/transfers', 'later', Idempotency_Key='transfer-2')}")
    session.ctl(nodes[0], "admit endpoint register-1")
    wait_until(lambda: "no_endpoint" not in call("GET", "/services/notes/x"), "the endpoint to be back")
    session.print(f"the same key later: {call('POST', '/services/register/transfers', 'later', Idempotency_Key='transfer-2')}")
