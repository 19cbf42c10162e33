"""Stops a node under load. Requests in progress must be answered completely, and later ones refused as not run."""

import signal

from request_callers import Callers, send_request, declare, stats
from session import Session, http_call, wait_until

with Session() as session:
    runner = session.engine("runner-1", "--preload", "scribe:v1:12GB", "--between-tokens", "10ms", "--batch", "8")
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
    declare(session, node, [runner])
    with Callers(16) as callers:
        for number in range(8):
            callers.submit(session, node, f"chassis {number}", 300)
            callers.submit(session, node, f"plain {number}", 10, stream=False)
        wait_until(lambda: stats(runner)["running"] == 8, "the runner to be full")
        node.signal(signal.SIGTERM)
        wait_until(lambda: http_call(node.callers, "GET", "/readyz")[0] == 503, "the node to report that it is not ready")
        session.print(f"in the notice period: {send_request(session, node, 'notice', 2)}")
        session.print(f"in progress: {callers.results()}")
    session.print(f"exit code {node.popen.wait(30)}")
