"""Every sync to disk takes 900 ms, one and a half election timeouts. All controllers are killed together. They must elect a leader, and
the accepted command must still be present."""

from session import Session

with Session() as session:
    session.sync_delay = "900ms"
    nodes = session.region({"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3", "vm-d": "ktm-1"})
    session.send_until_accepted(nodes[3], "declare service drafts")
    for node in nodes[:3]:
        node.kill()
    for node in nodes[:3]:
        node.start()
    session.send_until_accepted(nodes[3], "declare service after-the-restart")
    session.print(f"revision after the restart of all controllers: {session.revision(nodes[3])}")
