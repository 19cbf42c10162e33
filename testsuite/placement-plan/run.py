"""A plan must be refused for the same reason as the declaration itself."""

from placement_callers import VM_LOCATIONS, declare_models, declare_runners, wait_for_answers
from session import Session

MODELS = ("scribe", "clerk")
DECLARATION = "declare model ledger version v1 weights 12GB kv 2GB service drafts"

with Session() as session:
    runners = [session.engine(f"runner-{number}", "--memory", "20GB", "--load-time", "100ms") for number in (1, 2)]
    nodes = session.region(VM_LOCATIONS)
    declare_runners(session, nodes[0], runners)
    declare_models(session, nodes[0], MODELS)
    wait_for_answers(session, nodes, MODELS)
    planned = session.ctl(nodes[0], f"plan {DECLARATION}", quiet=True)[1]
    declared = session.ctl(nodes[0], DECLARATION, quiet=True)[1]
    session.print(f"the declaration is refused: {'insufficient_memory' in declared}")
    session.print(f"the plan is refused for the same reason: {'insufficient_memory' in planned}")
