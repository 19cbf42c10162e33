"""The leading controller is killed, twice, while loads are in flight to engines that ignore fencing numbers: no engine is overcommitted, and every model is
answered."""

from placement_callers import PLACES, ask, declare_models, declare_runners, say_running, wait_for_answers
from session import Session, leader_of, until

MODELS = ("scribe", "clerk", "atlas", "folio")

with Session() as session:
    options = ("--memory", "30GB", "--load-time", "1500ms", "--fencing", "ignored")
    runners = [session.engine(f"runner-{number}", *options) for number in (1, 2, 3)]
    nodes = session.region(PLACES)
    declare_runners(session, nodes[0], runners, memory="30GB", fencing="ignored")
    declare_models(session, nodes[0], MODELS)
    for time in ("first", "second"):
        leader = leader_of(nodes)
        until(lambda: "loading" in session.ctl(leader, "show placement", quiet=True)[1], "loads to be in flight")
        leader.kill()
        session.say(f"the leader is killed while loads are in flight, the {time} time")
        node = next(node for node in nodes if node.running())
        command = f"change model folio version {time} operation {time}-change"
        until(lambda: session.ctl(node, command, quiet=True)[0] == 0, "a new version to be accepted")
        session.say("a new version is accepted by the controllers that are left")
        leader.start()
        until(leader.ready, "the killed controller to serve again")
    wait_for_answers(session, nodes, MODELS)
    session.say(f"every model at every node: {sorted({ask(session, node, model, 'dues') for node in nodes for model in MODELS})}")
    say_running(session, runners)
