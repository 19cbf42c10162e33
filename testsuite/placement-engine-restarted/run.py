"""Kills and restarts the only engine of a region, twice. Each time it returns empty, and the models must be loaded again automatically."""

from placement_callers import VM_LOCATIONS, send_request, declare_models, declare_runners, print_overcommitted, wait_for_answers
from session import Session, wait_until

MODELS = ("scribe",)

with Session() as session:
    runner = session.engine("runner-1", "--memory", "20GB", "--load-time", "300ms")
    nodes = session.region(VM_LOCATIONS)
    declare_runners(session, nodes[0], [runner])
    declare_models(session, nodes[0], MODELS)
    wait_for_answers(session, nodes, MODELS)
    for time in ("first", "second"):
        runner.kill()
        wait_until(lambda: send_request(session, nodes[1], "scribe", "deed") != "whole", "the loss to be noticed")
        runner.start()
        wait_for_answers(session, nodes, MODELS)
        session.print(f"killed and started the {time} time: answered at every node again")
    print_overcommitted(session, [runner])
