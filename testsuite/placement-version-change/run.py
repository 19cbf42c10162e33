"""A model's version changes under continuous requests: the new one is loaded before the old one goes, and none is refused."""

from placement_callers import PLACEMENT_S, PLACES, Polling, declare_models, declare_runners, placement, say_running, settled
from placement_callers import wait_for_answers
from session import Session, until

with Session() as session:
    runners = [session.engine(f"runner-{number}", "--memory", "20GB", "--load-time", "500ms") for number in (1, 2, 3)]
    nodes = session.region(PLACES)
    declare_runners(session, nodes[0], runners)
    declare_models(session, nodes[0], ("scribe",))
    wait_for_answers(session, nodes, ("scribe",))
    settled(session, nodes[1], 2)

    def only_version(version):
        rows = placement(session, nodes[2])
        return rows and len(rows) == 2 and all(row[1] == version and row[3] == "loaded" for row in rows)

    for version in ("v2", "v3"):
        with Polling(session, nodes, ("scribe",)) as polling:
            session.accepted(nodes[0], f"change model scribe version {version}")
            try:
                until(lambda: only_version(version), f"version {version} alone to be loaded", PLACEMENT_S)
            except SystemExit as failure:
                raise SystemExit(f"{failure}; placed at the end: {placement(session, nodes[2])}") from failure
            session.say(f"{version} alone is loaded, twice")
        polling.say()
    say_running(session, runners)
