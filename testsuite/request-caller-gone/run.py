"""A caller disconnects. The runner must stop generating for it, whether the request is running or queued, streamed or not."""

import json
import socket

from request_callers import MODEL, declare, metric, stats
from session import Session, wait_until

# Far below every exchange timeout, which would also end the work.
CANCEL_TIMEOUT_S = 5


def open_request(node, tokens, stream):
    host, port = node.callers.rsplit(":", 1)
    caller = socket.create_connection((host, int(port)))
    body = json.dumps({"model": MODEL, "stream": stream, "max_tokens": tokens, "messages": [{"role": "user", "content": "chassis"}]})
    caller.sendall(f"POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    return caller


with Session() as session:
    runner = session.engine("runner-1", "--preload", "scribe:v1:12GB", "--batch", "4")
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
    declare(session, node, [runner])
    callers = [open_request(node, 100_000, stream=number % 2 == 0) for number in range(4)]
    wait_until(lambda: stats(runner)["running"] == 4, "four requests to run")
    waiting = open_request(node, 100_000, stream=True)
    wait_until(lambda: stats(runner)["waiting"] == 1, "one request to wait at the runner")
    waiting.close()
    wait_until(lambda: stats(runner)["waiting"] == 0, "the waiting request to be cancelled", CANCEL_TIMEOUT_S)
    session.print("cancelled while it waited")
    for caller in callers:
        caller.close()
    wait_until(lambda: stats(runner)["running"] == 0, "the running requests to be cancelled", CANCEL_TIMEOUT_S)
    session.print("cancelled while they ran")
    wait_until(lambda: metric(node, "hemlockhill_refusals_total", reason="caller_gone") == 5, "five callers counted as gone")
    session.print("counted: 5 callers gone")
    session.print(f"node stops: exit code {node.terminate()}")
