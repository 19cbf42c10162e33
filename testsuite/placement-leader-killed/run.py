"""Kills the leading controller, twice, while loads are in flight. No engine may be overcommitted, and every model must be served
afterwards."""

from placement_callers import VM_LOCATIONS, send_request, declare_models, declare_runners, print_overcommitted, wait_for_answers
from session import Session, leader_of, wait_until

MODELS = ("scribe", "clerk", "atlas", "folio")

with Session() as session:
    options = ("--memory", "30GB", "--load-time", "1500ms", "--fencing", "checked")
    runners = [session.engine(f"runner-{number}", *options) for number in (1, 2, 3)]
    nodes = session.region(VM_LOCATIONS)
    declare_runners(session, nodes[0], runners, memory="30GB", fencing="checked")
    declare_models(session, nodes[0], MODELS)
    for time in ("first", "second"):
        leader = leader_of(nodes)
        wait_until(lambda: "loading" in session.ctl(leader, "show placement", quiet=True)[1], "loads to be in flight")
        leader.kill()
        session.print(f"the leader is killed while loads are in flight, the {time} time")
        node = next(node for node in nodes if node.running())
        command = f"change model folio version {time} operation {time}-change"
        wait_until(lambda: session.ctl(node, command, quiet=True)[0] == 0, "a new version to be accepted")
        session.print("a new version is accepted by the controllers that are left")
        leader.start()
        wait_until(leader.ready, "the killed controller to serve again")
    wait_for_answers(session, nodes, MODELS)
    session.print(f"every model at every node: {sorted({send_request(session, node, model, 'dues') for node in nodes for model in MODELS})}")
    print_overcommitted(session, runners)
