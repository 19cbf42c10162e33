"""A request that crashes its engine is resent twenty times, to each node in turn. It must be quarantined after at most two lost engines,
and a concurrent stream of another caller must complete."""

import json

from request_callers import MODEL, Callers, declare, metric
from session import Session, http_call, leader_of, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3"}
# The nodes share the quarantine record through the replicated log.
NODES = len(VM_LOCATIONS)
RESENDS = 20
TOKENS = 300
CRASH = {"model": MODEL, "max_tokens": 5, "messages": [{"role": "user", "content": "CRASH-ENGINE now"}]}


def send_crash_request(node, number):
    """Sends the crash request with a different user and JSON layout for each number. Returns the status, reason, ran and whether Retry-After
    is set."""
    body = json.dumps({"user": f"caller {number}", **CRASH}, indent=number % 3)
    status, headers, text = http_call(node.callers, "POST", "/v1/chat/completions", body)
    refusal = json.loads(text)
    return f"{status} {refusal['reason']} ran={refusal['ran']} retry-after={int(headers.get('Retry-After', 0)) > 0}"


def count_lost(runners):
    return sum(not runner.running() for runner in runners)


with Session() as session:
    options = ("--preload", f"{MODEL}:v1:12GB", "--between-tokens", "10ms")
    runners = [session.engine(f"runner-{number}", *options) for number in (1, 2, 3)]
    nodes = session.region(dict(list(VM_LOCATIONS.items())[:NODES]), controllers=NODES)
    declare(session, leader_of(nodes), runners)
    wait_until(lambda: all(node.ready() for node in nodes), "every node to be ready")
    with Callers(1) as callers:
        callers.submit(session, nodes[0], "an innocent question", TOKENS)
        answers = [send_crash_request(nodes[number % NODES], number) for number in range(RESENDS)]
        session.print(f"first: {answers[0]}")
        session.print(f"then, {RESENDS - 1} times: {', '.join(sorted(set(answers[1:])))}")
        session.print(f"engines lost: at most 2: {count_lost(runners) <= 2}")
        session.print(f"concurrent stream: {callers.results()}")
    with Callers(1) as callers:
        callers.submit(session, nodes[0], "an innocent question", 5)
        session.print(f"afterwards: {callers.results()}")
    refused = sum(metric(node, "hemlockhill_refusals_total", reason="quarantined") for node in nodes)
    session.print(f"refusals counted: {refused >= RESENDS - 1}")
    session.print(f"suspicions counted: {sum(session.event_count(node, 'quarantine_suspicion') for node in nodes) >= 1}")
    session.print(f"trials counted: {sum(session.event_count(node, 'quarantine_trial') for node in nodes) >= 1}")
