"""Sends more requests than a runner can start within their deadlines. Requests that would be late must be refused immediately, with
Retry-After."""

import json
import time

from request_callers import Callers, send_request, declare, classify_answer
from session import Session, http_call


def refused_immediately(node):
    """Sends a request while the runner is full. Returns the reason, ran, whether Retry-After is set, and whether the answer took less than
    1 s."""
    body = json.dumps({"model": "scribe", "stream": True, "max_tokens": 5, "messages": [{"role": "user", "content": "late"}]})
    started = time.monotonic()
    status, headers, text = http_call(node.callers, "POST", "/v1/chat/completions", body)
    answer = json.loads(text) if status != 200 else {"reason": "answered", "ran": "yes"}
    return answer["reason"], answer["ran"], int(headers.get("Retry-After", 0)) >= 1, time.monotonic() - started < 1


with Session() as session:
    runner = session.engine("runner-1", "--preload", "scribe:v1:12GB", "--between-tokens", "10ms", "--batch", "2")
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
    declare(session, node, [runner], "drafts priority interactive first-token 470ms deadline 60s")
    for number in range(4):
        send_request(session, node, f"learn {number}", 150)
    with Callers(8) as callers:
        for number in range(8):
            callers.submit(session, node, f"long {number}", 300)
            time.sleep(0.05)
        session.print(f"while the runner is full: {refused_immediately(node)}")
        results = callers.results()
        session.print(f"some were served whole: {'whole' in results}")
        session.print(f"the others were refused as not run: {'deadline_unreachable ran=no' in results}")
        session.print(f"nothing else happened: {all('whole' in part or 'ran=no' in part for part in results.split(', '))}")
    status, refusal, _ = session.chat(node, "scribe", "no time", max_tokens=100, headers={"Hemlockhill-Deadline-Ms": "1"})
    session.print(f"a caller's own deadline: {status} {refusal['reason']}")
    session.print(f"afterwards: {classify_answer('chassis', 3, session.chat(node, 'scribe', 'chassis', max_tokens=3))}")
    session.print(f"node stops: exit code {node.terminate()}")
