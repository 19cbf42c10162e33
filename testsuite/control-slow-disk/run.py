"""Every sync to disk takes 400 ms, two thirds of the election timeout. The leader must keep its leadership under a series of commands, and
commands must be accepted again after it is killed."""

from session import Session, leader_of, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3", "vm-d": "ktm-1"}

with Session() as session:
    session.sync_delay = "400ms"
    nodes = session.region(VM_LOCATIONS)
    session.send_until_accepted(nodes[3], "declare service drafts priority interactive")

    def leaderships_lost():
        return sum(session.event_count(node, "leadership_lost") for node in nodes if node.running())

    lost_at_start = leaderships_lost()
    for number in range(1, 11):
        session.send_until_accepted(nodes[3], f"change service drafts deadline {number}s")
    wait_until(lambda: all(node.ready() for node in nodes), "the nodes to be ready")
    session.print(f"leadership lost meanwhile: {int(leaderships_lost() - lost_at_start)} times")
    leader = leader_of(nodes)
    leader.kill()
    session.send_until_accepted(nodes[3], "declare service register once-only")
    alive = [node for node in nodes if node.running()]
    wait_until(lambda: all(node.ready() for node in alive), "the other nodes to be ready")
    session.print("the other nodes are ready again")
