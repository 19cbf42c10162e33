"""Drains the endpoint with the only copy of a model. The copy must move first, and no request may be refused or interrupted."""

from placement_callers import (
    PLACEMENT_S,
    VM_LOCATIONS,
    BackgroundRequests,
    declare_models,
    declare_runners,
    find_single_copy,
    placement,
    print_overcommitted,
    wait_for_answers,
    wait_for_loaded_copies,
)
from session import Session, wait_until

MODELS = ("scribe", "clerk")

with Session() as session:
    runners = [session.engine(f"runner-{number}", "--memory", "20GB", "--load-time", "500ms") for number in (1, 2, 3)]
    nodes = session.region(VM_LOCATIONS)
    declare_runners(session, nodes[0], runners)
    declare_models(session, nodes[0], MODELS)
    wait_for_answers(session, nodes, MODELS)
    _, endpoint = find_single_copy(wait_for_loaded_copies(session, nodes[1], 3))
    session.print("three copies of two models are loaded; the endpoint with an only copy is drained")

    def is_empty():
        rows = placement(session, nodes[2])
        return rows is not None and all(row[2] != endpoint for row in rows)

    with BackgroundRequests(session, nodes, MODELS) as background:
        code, answer = session.ctl(nodes[1], f"drain endpoint {endpoint}", quiet=True)
        session.print(answer.strip())
        wait_until(is_empty, "the drained endpoint to be empty", PLACEMENT_S)
        session.print("the drained endpoint is empty")
    background.print_failures()
    print_overcommitted(session, runners)
