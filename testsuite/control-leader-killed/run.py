"""Kills the leading controller. The next command must be accepted at any node, a resent command must return its first answer, and the
killed controller must recover the state of the others."""

from session import Session, leader_of, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3", "vm-d": "ktm-1", "vm-e": "ktm-2"}

with Session() as session:
    nodes = session.region(VM_LOCATIONS)
    session.send_until_accepted(nodes[3], "declare service drafts priority interactive operation op-1")
    session.print("a command sent again through another node, with its operation id:")
    session.ctl(nodes[4], "declare service drafts priority interactive operation op-1")
    leader = leader_of(nodes)
    leader.kill()
    session.print("the leading controller is killed")
    session.send_until_accepted(nodes[3], "declare service register operation op-2")
    session.ctl(nodes[4], "declare service drafts priority interactive operation op-1")
    session.ctl(nodes[4], "declare service register operation op-2")
    leader.start()
    wait_until(leader.ready, "the killed controller to serve again")
    session.print("it is back, and answers:")
    session.print(session.ctl(leader, "show services", quiet=True)[1].rstrip())
    session.send_until_accepted(nodes[3], "withdraw service register at 2 operation op-3")
