"""A controller and a node without a disk are down for 1,000 changes and must catch up. Then all controllers restart together, and every
accepted command must still be present."""

from session import Session, leader_of, wait_until

CHANGES = 1000

with Session() as session:
    nodes = session.region({"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3", "vm-d": "ktm-1", "vm-e": "ktm-2"})
    session.send_until_accepted(nodes[0], "declare service drafts")
    follower = next(node for node in nodes[:3] if node is not leader_of(nodes))
    stopped = (follower, nodes[4])
    for node in stopped:
        node.kill()
    statements = [f"declare service s{number}" for number in range(CHANGES)]
    session.script(nodes[3], statements)
    for node in stopped:
        node.start()
    for node in stopped:
        wait_until(node.ready, f"{node.name} to return")
        wait_until(lambda: session.revision(node) == CHANGES + 1, f"{node.name} to catch up")
    session.print("both have caught up")
    for node in nodes[:3]:
        node.kill()
    for node in nodes[:3]:
        node.start()
    session.send_until_accepted(nodes[3], "declare service after-the-restart")
    session.print(f"revision after the restart of all controllers: {session.revision(nodes[3])}")
