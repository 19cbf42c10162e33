"""Operators send commands with the same revision to different nodes concurrently. Exactly one must be accepted, and the refusals of the
others must name the winning revision."""

import threading

from session import Session, wait_until

ROUNDS = 5

with Session() as session:
    nodes = session.region({"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3"})
    session.send_until_accepted(nodes[0], "declare service drafts")
    for revision in range(1, ROUNDS + 1):
        outcomes = [None] * len(nodes)

        def race(index):
            outcomes[index] = session.ctl(nodes[index], f"declare service s{revision}-{index} at {revision}", quiet=True)

        racers = [threading.Thread(target=race, args=(index,)) for index in range(len(nodes))]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        winners = [outcome for code, outcome in outcomes if code == 0]
        losers = sorted({outcome.strip() for code, outcome in outcomes if code != 0})
        session.print(f"round {revision}: accepted {len(winners)}: {winners[0].strip()}; others: {losers}")
    codes = {session.ctl(node, "show status", as_json=True, quiet=True)[1] for node in nodes}
    session.print(f"all nodes agree: {len(codes) == 1}")
