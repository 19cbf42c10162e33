"""Kills a runner in the middle of its streams. Every caller must still receive its complete answer, resumed on the other runner."""

from request_callers import Callers, declare, metric, stats
from session import Session, wait_until

CALLERS = 16
TOKENS = 120

with Session() as session:
    options = ("--preload", "scribe:v1:12GB", "--between-tokens", "10ms", "--batch", "32")
    runners = [session.engine(f"runner-{number}", *options) for number in (1, 2)]
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
    declare(session, node, runners)
    with Callers(CALLERS) as callers:
        for number in range(CALLERS):
            callers.submit(session, node, f"chassis {number}", TOKENS)
        wait_until(lambda: all(stats(runner)["running"] >= 4 for runner in runners), "streams on both runners")
        runners[0].kill()
        session.print(f"streams: {callers.results()}")
    session.print(f"retries counted: {metric(node, 'hemlockhill_retries_total', reason='endpoint_lost') >= 4}")
    with Callers(CALLERS) as callers:
        for number in range(CALLERS):
            callers.submit(session, node, f"plain {number}", 3, stream=False)
        session.print(f"after the loss: {callers.results()}")
    session.print(f"node stops: exit code {node.terminate()}")
