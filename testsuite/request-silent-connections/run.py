"""All open connections to the only runner go silent permanently, while new ones work. Requests must move to fresh connections."""

import time

from request_callers import Callers, send_request, declare, metric, set_mode, stats
from session import Session

# Below the first-byte timeout of 8 s, with a margin for a busy machine.
MAX_ANSWER_S = 5

with Session() as session:
    runner = session.engine("runner-1", "--preload", "scribe:v1:12GB")
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1, endpoints={"first_byte_timeout": "8s", "between_bytes_timeout": "2s"})
    declare(session, node, [runner])
    for number in range(30):
        send_request(session, node, f"learn {number}", 3)
    set_mode(runner, silent_open_connections=True)
    started = time.monotonic()
    session.print(f"first request after the silence: {send_request(session, node, 'chassis 1', 5)}")
    session.print(f"answered within {MAX_ANSWER_S} s: {time.monotonic() - started < MAX_ANSWER_S}")
    session.print(f"retried because of silence: {metric(node, 'hemlockhill_retries_total', reason='endpoint_silent') >= 1}")
    started = time.monotonic()
    session.print(f"next request: {send_request(session, node, 'chassis 2', 5)}, at once: {time.monotonic() - started < 1}")
    with Callers(8) as callers:
        for number in range(8):
            callers.submit(session, node, f"stream {number}", 400)
        while stats(runner)["running"] < 8:
            time.sleep(0.02)
        set_mode(runner, silent_open_connections=True)
        session.print(f"streams caught by the silence: {callers.results()}")
    session.print(f"node stops: exit code {node.terminate()}")
