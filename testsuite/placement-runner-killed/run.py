"""Kills the runner with the only copy of a model. Memory must be freed on another runner and the model served again automatically."""

from placement_callers import (
    find_single_copy,
    print_overcommitted,
    send_request,
    start_region,
    wait_for_answers,
    wait_for_loaded_copies,
)
from session import Session

MODELS = ("scribe", "clerk")

with Session() as session:
    runners, nodes = start_region(session, MODELS)
    wait_for_answers(session, nodes, MODELS)
    model, endpoint = find_single_copy(wait_for_loaded_copies(session, nodes[1], 3))
    session.print("three copies of two models are loaded; the runner with an only copy is killed")
    killed = next(runner for runner in runners if runner.name == endpoint)
    killed.kill()
    wait_for_answers(session, nodes, (model,))
    session.print("its model is answered at every node again")
    wait_for_answers(session, nodes, MODELS)
    session.print(f"all models: {sorted({send_request(session, node, name, 'dues') for node in nodes for name in MODELS})}")
    print_overcommitted(session, [runner for runner in runners if runner is not killed])
