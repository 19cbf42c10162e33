"""Kills two of three controllers. Changes must be refused, but nodes that reach a majority of all nodes must keep serving. When a
controller restarts, changes must be accepted again."""

from session import Session, http_call, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3", "vm-d": "ktm-1", "vm-e": "ktm-2"}

with Session() as session:
    runner = session.engine("runner-1", "--preload", "scribe:v1:12GB")
    nodes = session.region(VM_LOCATIONS)
    session.send_until_accepted(nodes[0], f"declare endpoint runner-1 address {runner.address} in ktm-1 memory 80GB")
    session.send_until_accepted(nodes[0], "declare model scribe version v1 weights 12GB kv 2GB")
    remaining = nodes[2:]
    wait_until(lambda: all(session.chat(node, "scribe", "warm up")[0] == 200 for node in remaining), "the nodes to serve")
    nodes[0].kill()
    nodes[1].kill()
    session.print("two of three controllers are killed")
    for node in remaining:
        wait_until(lambda: session.event_count(node, "serving_attested") > 0, f"{node.name} to serve by attestation")
    code, answer = session.ctl(nodes[3], "declare service drafts", quiet=True)
    session.print(f"a change: exit code {code}, {answer.split(':')[1].strip()}")
    for node in remaining:
        wait_until(node.ready, f"{node.name} to be ready")
        session.print(f"{node.name} serves: {session.chat(node, 'scribe', 'chassis 11', max_tokens=3)}")
    nodes[0].start()
    session.print("one controller comes back")
    session.send_until_accepted(nodes[3], "declare service drafts")
