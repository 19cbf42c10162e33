"""Sends a streamed and a non-streamed request from a caller through one node to a runner, and queries the state as an operator."""

from session import Session, http_call, wait_until

with Session() as session:
    runner = session.engine("runner-1", "--preload", "scribe:v1:12GB")
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
    session.ctl(
        node,
        f"declare endpoint runner-1 address {runner.address} in ktm-1 memory 80GB",
        "declare service drafts priority interactive",
        "declare model scribe version v1 weights 12GB kv 2GB service drafts",
    )
    wait_until(node.ready, "the node to be ready")
    wait_until(lambda: session.chat(node, "scribe", "warm up")[0] == 200, "the runner's first report")
    session.print(f"streamed: {session.chat(node, 'scribe', 'chassis 11', max_tokens=4)}")
    session.print(f"plain: {session.chat(node, 'scribe', 'chassis 11', max_tokens=4, stream=False)}")
    status, refusal, _ = session.chat(node, "oracle", "chassis 11")
    session.print(f"unknown model: {status} {refusal['reason']} ran={refusal['ran']}")
    status, _, _ = http_call(node.callers, "POST", "/v1/chat/completions", "{broken")
    session.print(f"malformed body: {status}")
    session.ctl(node, "show models")
    session.ctl(node, "show endpoints", as_json=True)
    session.print(f"node stops: exit code {node.terminate()}")
