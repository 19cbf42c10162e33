"""Kills leader and runner, restarts them, and kills the next leader and runner. The second recovery must work like the first."""

from placement_callers import (
    find_single_copy,
    print_overcommitted,
    send_request,
    start_region,
    wait_for_answers,
    wait_for_loaded_copies,
)
from session import Session, leader_of, wait_until

MODELS = ("scribe", "clerk")

with Session() as session:
    runners, nodes = start_region(session, MODELS)
    wait_for_answers(session, nodes, MODELS)
    for time in ("first", "second"):
        _, endpoint = find_single_copy(wait_for_loaded_copies(session, nodes[1], 3))
        killed = next(runner for runner in runners if runner.name == endpoint)
        leader = leader_of(nodes)
        leader.kill()
        killed.kill()
        session.print(f"the leader and the runner with an only copy are killed, the {time} time")
        wait_for_answers(session, [node for node in nodes if node.running()], MODELS)
        session.print("every model is answered at the nodes that are left")
        leader.start()
        killed.start()
        wait_until(leader.ready, "the killed controller to serve again")
    session.print(f"all nodes: {sorted({send_request(session, node, model, 'dues') for node in nodes for model in MODELS})}")
    print_overcommitted(session, runners)
