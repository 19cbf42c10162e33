"""Guards against clients of the callers' port that make a node exceed its memory or its descriptors, or end, by what they send at once,
leave unfinished or do not read."""

import json

from crowd_callers import BODY_LIMIT, CALLERS, MACHINE, MEMBERS, check_crowd, crowds_of_requests, head, with_body
from request_callers import declare, send_request, set_mode
from session import Session, http_call

CHAT = "/v1/chat/completions"
# Bodies that the service keeps and returns as one long answer, which is within the limit on bodies.
KEPT_BODY_BYTES = 300_000
KEPT_BODIES = 3


def chat(prompt, **members):
    return json.dumps({"model": "scribe", **members, "messages": [{"role": "user", "content": prompt}]}).encode()


with Session() as session:
    runner = session.engine("runner-1", "--preload", "scribe:v1:12GB", "--batch", "200", "--between-tokens", "1ms")
    service = session.service("store-1")
    settings = session.settings("vm-a", "ktm-1", data_folder=True)
    settings["callers"].update(CALLERS)
    settings["machine"] = MACHINE
    node = session.start_node(settings)
    declare(session, node, [runner])
    session.script(
        node,
        [
            f"declare endpoint store-1 address {service.address} in ktm-1 kind plain-service",
            "declare service store endpoints store-1",
        ],
    )
    for number in range(KEPT_BODIES):
        http_call(node.callers, "POST", "/services/store/keep", f"{number}" + "x" * KEPT_BODY_BYTES)

    def check(name, parts, members, half_close=False):
        check_crowd(session, node, name, node.callers, parts, members, lambda: send_request(session, node, "calm", 3) == "whole", half_close)

    for name, (parts, members) in crowds_of_requests(CHAT).items():
        check(name, parts, members)
    stream = with_body(CHAT, chat("long", stream=True, max_tokens=100_000))
    large = with_body(CHAT, chat("x" * (BODY_LIMIT - 1000), max_tokens=1))
    values = with_body(CHAT, chat("values", max_tokens=1, values=[0] * ((BODY_LIMIT - 1000) // 3)))
    check("half-closed connections", [stream], MEMBERS, half_close=True)
    check("half-closed connections within a body", [head(CHAT), b"80000\r\n" + b"x" * 100_000], MEMBERS, half_close=True)
    check("many requests in one write", [head("/v1/models", "", "GET") * 2000], MEMBERS)
    check("many streams in one write", [stream * 200], MEMBERS)
    check("streams that are not read", [stream], MEMBERS)
    check("long answers that are not read", [head("/services/store/runs", "", "GET") * 20], MEMBERS)
    set_mode(runner, delay_ms=1000)
    check("complete requests of the largest size", [large], MEMBERS)
    check("complete requests of many small values", [values], MEMBERS)
    set_mode(runner)
    session.print(f"one request of the largest size in calm: {send_request(session, node, 'x' * (BODY_LIMIT - 1000), 3)}")
