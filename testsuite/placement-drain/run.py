"""Drains the endpoint with the only copy of a model. The copy must move first, and no request may be refused or interrupted."""

from placement_callers import (
    PLACEMENT_S,
    BackgroundRequests,
    find_single_copy,
    placement,
    print_overcommitted,
    start_region,
    wait_for_answers,
    wait_for_loaded_copies,
)
from session import Session, wait_until

MODELS = ("scribe", "clerk")

with Session() as session:
    runners, nodes = start_region(session, MODELS, load_time="500ms")
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
