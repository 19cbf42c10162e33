"""Engines omit the end marker, skip or repeat tokens, cut streams and stall. No caller may receive a wrong answer as a complete one."""

from request_callers import Callers, send_request, declare, set_mode
from session import Session

FAULTS = (
    ("no end marker", {"skip_end_marker": True}),
    ("token 3 left out", {"gap_at_token": 3}),
    ("cut after 4 tokens", {"cut_after_tokens": 4}),
    ("cut after 4 tokens, 2 repeated on resume", {"cut_after_tokens": 4, "repeat_on_resume": 2}),
    ("stalled after 4 tokens", {"stall_after_tokens": 4}),
    ("cut before the first token", {"cut_after_tokens": 0}),
)


def refill_retry_budget(session, node, runners):
    """Sends successful requests, which refill the retry budget for the next fault."""
    for runner in runners:
        set_mode(runner)
    with Callers(8) as callers:
        for number in range(80):
            callers.submit(session, node, f"good {number}", 1)
        assert callers.results() == "80 whole"


with Session() as session:
    options = ("--preload", "scribe:v1:12GB")
    bad, good = (session.engine(f"runner-{number}", *options) for number in (1, 2))
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1, endpoints={"first_byte_timeout": "2s", "between_bytes_timeout": "2s"})
    declare(session, node, [bad, good])
    for name, mode in FAULTS:
        refill_retry_budget(session, node, (bad, good))
        set_mode(bad, **mode)
        results = {send_request(session, node, f"{name} {number}", 10) for number in range(6)}
        session.print(f"{name}, at one of two runners: {', '.join(sorted(results))}")
    for name, mode in FAULTS:
        refill_retry_budget(session, node, (bad, good))
        set_mode(bad, **mode)
        set_mode(good, **mode)
        session.print(f"{name}, at both: {send_request(session, node, name, 8)}")
        session.print(f"{name}, at both, not streamed: {send_request(session, node, name, 8, stream=False)}")
    results = [send_request(session, node, f"no budget {number}", 8) for number in range(12)]
    session.print(f"many requests, cut before the first token at both: at last {results[-1]}")
    refill_retry_budget(session, node, (bad, good))
    session.print(f"after the faults: {send_request(session, node, 'mended', 8)}")
    session.print(f"node stops: exit code {node.terminate()}")
