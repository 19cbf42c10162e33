"""A plan must be refused for the same reason as the declaration itself."""

from placement_callers import start_region, wait_for_answers
from session import Session

MODELS = ("scribe", "clerk")
DECLARATION = "declare model ledger version v1 weights 12GB kv 2GB service drafts"

with Session() as session:
    runners, nodes = start_region(session, MODELS, runners=2, load_time="100ms")
    wait_for_answers(session, nodes, MODELS)
    planned = session.ctl(nodes[0], f"plan {DECLARATION}", quiet=True)[1]
    declared = session.ctl(nodes[0], DECLARATION, quiet=True)[1]
    session.print(f"the declaration is refused: {'insufficient_memory' in declared}")
    session.print(f"the plan is refused for the same reason: {'insufficient_memory' in planned}")
