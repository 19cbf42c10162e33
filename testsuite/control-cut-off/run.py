"""Pauses a node while a change is accepted without it. After it resumes, the node must not serve requests until it has applied the change,
and must then rejoin without operator action."""

from session import Session, wait_until

with Session() as session:
    runner = session.engine("runner-1", "--preload", "scribe:v1:12GB")
    nodes = session.region({"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3", "vm-d": "ktm-1"})
    session.send_until_accepted(nodes[0], f"declare endpoint runner-1 address {runner.address} in ktm-1 memory 80GB")
    session.send_until_accepted(nodes[0], "declare model scribe version v1 weights 12GB kv 2GB")
    wait_until(lambda: session.chat(nodes[3], "scribe", "warm up")[0] == 200, "vm-d to serve")
    nodes[3].pause()
    session.send_until_accepted(nodes[0], "withdraw model scribe")
    session.print("vm-d was frozen while the model was withdrawn; it is resumed")
    nodes[3].resume()
    status, refusal, _ = session.chat(nodes[3], "scribe", "chassis 11")
    session.print(f"its first answer is a refusal that nothing ran: {status in (503, 404) and refusal['ran'] == 'no'}")
    wait_until(nodes[3].ready, "vm-d to rejoin")
    status, refusal, _ = session.chat(nodes[3], "scribe", "chassis 11")
    session.print(f"vm-d is back: {status} {refusal['reason']}")
