"""Declarations that do not fit must be refused with the missing amount, and must change nothing."""

from placement_callers import VM_LOCATIONS, declare_models, declare_runners, print_overcommitted, wait_for_answers
from session import Session

MODELS = ("scribe", "clerk")

with Session() as session:
    runners = [session.engine(f"runner-{number}", "--memory", "20GB", "--load-time", "100ms") for number in (1, 2)]
    nodes = session.region(VM_LOCATIONS)
    declare_runners(session, nodes[0], runners)
    declare_models(session, nodes[0], MODELS)
    wait_for_answers(session, nodes, MODELS)
    revision = session.revision(nodes[0])
    session.ctl(nodes[1], "declare model archive version v1 weights 30GB kv 2GB service drafts")
    session.ctl(nodes[2], "declare model ledger version v1 weights 12GB kv 2GB service drafts")
    session.ctl(nodes[0], "change model scribe weights 19GB")
    session.ctl(nodes[0], "show models")
    session.print(f"nothing has changed: {[session.revision(node) == revision for node in nodes]}")
    wait_for_answers(session, nodes, MODELS)
    session.print("the declared models are still served")
    session.send_until_accepted(nodes[0], "declare model ledger version v1 weights 4GB kv 2GB copies 1 service drafts")
    wait_for_answers(session, nodes, (*MODELS, "ledger"))
    session.print("a smaller model is accepted and served")
    print_overcommitted(session, runners)
