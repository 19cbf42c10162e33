"""Regions and callers for the placement sessions: automatically placed models, and callers that send requests continuously."""

import json
import threading

from request_callers import classify_answer
from session import leader_of, wait_until

VM_LOCATIONS = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3"}
PLACEMENT_S = 120
TOKENS = 3


def declare_runners(session, node, runners, memory="20GB", fencing="checked"):
    for number, runner in enumerate(runners, 1):
        session.send_until_accepted(
            node,
            f"declare endpoint {runner.name} address {runner.address} in ktm-{number} memory {memory} kind runner fencing {fencing}",
        )


def declare_models(session, node, models):
    session.send_until_accepted(node, "declare service drafts priority interactive first-token 20s deadline 30s")
    for model in models:
        session.send_until_accepted(node, f"declare model {model} version v1 weights 12GB kv 2GB copies 1 service drafts")


def start_region(session, models, runners=3, memory="20GB", load_time="300ms", fencing="checked"):
    """Starts runners and nodes, and declares the runners and the models. Returns the runners and the nodes."""
    options = ("--memory", memory, "--load-time", load_time, "--fencing", fencing)
    engines = [session.engine(f"runner-{number}", *options) for number in range(1, runners + 1)]
    nodes = session.region(VM_LOCATIONS)
    declare_runners(session, nodes[0], engines, memory, fencing)
    declare_models(session, nodes[0], models)
    return engines, nodes


def send_request(session, node, model, prompt):
    return classify_answer(prompt, TOKENS, session.chat(node, model, prompt, max_tokens=TOKENS))


def wait_for_answers(session, nodes, models):
    """Waits until every node answers a request for every model."""
    for model in models:
        for node in nodes:
            wait_until(lambda: send_request(session, node, model, "chassis") == "whole", f"{node.name} to answer for {model}", PLACEMENT_S)


def placement(session, node):
    """Returns the placement that the node reports, as (model, version, endpoint, phase) of each copy, or None while the query fails."""
    code, answer = session.ctl(node, "show placement", as_json=True, quiet=True)
    if code != 0:
        return None
    return [(row["model"], row["version"], row["endpoint"], row["phase"]) for row in json.loads(answer)]


def wait_for_loaded_copies(session, node, copies):
    """Waits until there are exactly `copies` copies and all of them are loaded, and returns them."""

    def all_loaded():
        rows = placement(session, node)
        return rows if rows and len(rows) == copies and all(row[3] == "loaded" for row in rows) else None

    return wait_until(all_loaded, f"{copies} copies to be loaded", PLACEMENT_S)


def find_single_copy(rows):
    """Returns a model with a single copy, and the endpoint that holds it."""
    for model, _, endpoint, _ in rows:
        if sum(1 for row in rows if row[0] == model) == 1:
            return model, endpoint
    raise SystemExit(f"no model has a single copy: {rows}")

def kill_leaders_during_loads(session, models, fencing):
    """Kills the leading controller, twice, while loads are in flight, and checks that every model is served afterwards."""
    runners, nodes = start_region(session, models, memory="30GB", load_time="1500ms", fencing=fencing)
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
    wait_for_answers(session, nodes, models)
    session.print(f"every model at every node: {sorted({send_request(session, node, model, 'dues') for node in nodes for model in models})}")
    print_overcommitted(session, runners)


class BackgroundRequests:
    """Sends short requests for every model at every node in turn, with one thread per model, until stopped. Use as a context manager."""

    def __init__(self, session, nodes, models):
        self.session = session
        self.nodes = nodes
        self.failures = []
        self.sent_count = 0
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(model,)) for model in models]

    def run(self, model):
        while not self.stopping.is_set():
            for node in self.nodes:
                self.sent_count += 1
                result = send_request(self.session, node, model, f"chassis {self.sent_count}")
                if result != "whole":
                    self.failures.append(f"{model} at {node.name}: {result}")

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def print_failures(self):
        """Prints the number of incomplete answers and each distinct failure; the expected number is 0."""
        self.session.print(f"requests sent continuously: {self.sent_count > 0}, incomplete answers: {len(self.failures)}")
        for failure in sorted(set(self.failures)):
            self.session.print(failure)


def print_overcommitted(session, engines):
    """Counts the engines that have exited: a fake engine exits when its memory is overcommitted."""
    session.print(f"engines overcommitted: {sum(1 for engine in engines if not engine.running())}")
