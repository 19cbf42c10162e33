"""Changes the version of a model under continuous requests. The new version must be loaded before the old one is evicted, and no request
may be refused."""

from placement_callers import (
    PLACEMENT_S,
    VM_LOCATIONS,
    BackgroundRequests,
    declare_models,
    declare_runners,
    placement,
    print_overcommitted,
    wait_for_answers,
    wait_for_loaded_copies,
)
from session import Session, wait_until

with Session() as session:
    runners = [session.engine(f"runner-{number}", "--memory", "20GB", "--load-time", "500ms") for number in (1, 2, 3)]
    nodes = session.region(VM_LOCATIONS)
    declare_runners(session, nodes[0], runners)
    declare_models(session, nodes[0], ("scribe",))
    wait_for_answers(session, nodes, ("scribe",))
    wait_for_loaded_copies(session, nodes[1], 2)

    def only_version_loaded(version):
        rows = placement(session, nodes[2])
        return rows and len(rows) == 2 and all(row[1] == version and row[3] == "loaded" for row in rows)

    for version in ("v2", "v3"):
        with BackgroundRequests(session, nodes, ("scribe",)) as background:
            session.send_until_accepted(nodes[0], f"change model scribe version {version}")
            try:
                wait_until(lambda: only_version_loaded(version), f"version {version} alone to be loaded", PLACEMENT_S)
            except SystemExit as failure:
                raise SystemExit(f"{failure}; placed at the end: {placement(session, nodes[2])}") from failure
            session.print(f"{version} alone is loaded, twice")
        background.print_failures()
    print_overcommitted(session, runners)
