"""Declarations that do not fit must be refused with the missing amount, and must change nothing."""

from placement_callers import print_overcommitted, start_region, wait_for_answers
from session import Session

MODELS = ("scribe", "clerk")

with Session() as session:
    runners, nodes = start_region(session, MODELS, runners=2, load_time="100ms")
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
