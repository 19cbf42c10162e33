"""Kills the only engine and restarts it at once, several times, while a caller repeats one request. The new process refuses the request until
its model is loaded. A refused request must not be suspected of having crashed the process before."""

from placement_callers import declare_models, declare_runners, send_request, wait_for_answers
from session import Session, wait_until

RESTARTS = 5
MODELS = ("scribe",)

with Session() as session:
    runner = session.engine("runner-1", "--memory", "20GB", "--load-time", "300ms")
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
    declare_runners(session, node, [runner])
    declare_models(session, node, MODELS)
    wait_for_answers(session, [node], MODELS)
    results = set()

    def is_served():
        results.add(send_request(session, node, "scribe", "chassis"))
        return "whole" in results

    for _ in range(RESTARTS):
        runner.kill()
        runner.start()
        wait_until(lambda: session.listens(runner.address), "the engine to listen")
        results.clear()
        wait_until(is_served, "the request to be served", 60)
    session.print(f"refused as quarantined: {any('quarantined' in result for result in results)}")
    session.print(f"suspicions: {int(session.event_count(node, 'quarantine_suspicion'))}")
