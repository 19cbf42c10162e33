"""A controller loses its data folder and restarts under a new identity; right after the repair of the group a second controller is
killed. No accepted command may be lost."""

import shutil

from session import Session, leader_of, wait_until

with Session() as session:
    nodes = session.region({"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3", "vm-d": "ktm-1", "vm-e": "ktm-2"})
    for number in range(5):
        session.send_until_accepted(nodes[3], f"declare service s{number}")
    leader = leader_of(nodes)
    first, second = [node for node in nodes[:3] if node is not leader]
    before = session.event_count(leader, "membership_change")
    first.kill()
    shutil.rmtree(first.settings["data_folder"])
    first.start()
    session.print("a controller has lost its data folder and started again")
    wait_until(lambda: session.event_count(leader, "membership_change") >= before + 3, "the group to be repaired")
    wait_until(lambda: session.voters(leader) == 3, "three voters")
    second.kill()
    session.print("another controller is killed right after the repair")
    session.send_until_accepted(nodes[4], "declare service after-the-repair")
    leader.kill()
    leader.start()
    session.print("the leading controller is killed and started again")
    session.send_until_accepted(nodes[4], "declare service after-the-second")
    session.ctl(nodes[4], "show services")
