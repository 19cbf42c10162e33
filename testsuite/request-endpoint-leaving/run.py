"""Endpoints leave under load, one by its own report and one drained by an operator. They must receive no new work after two seconds, and
no stream may be cut."""

import itertools
import signal
import threading
import time

from request_callers import Callers, send_request, declare, stats
from session import Session, wait_until

NOTICE_S = 2


class Load:
    """Sends short requests one after another until stopped."""

    def __init__(self, session, node):
        self.results = set()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, args=(session, node))
        self.thread.start()

    def run(self, session, node):
        for number in itertools.count():
            if self.stopping.is_set():
                return
            self.results.add(send_request(session, node, f"short {number}", 2))

    def stop(self):
        self.stopping.set()
        self.thread.join()
        return ", ".join(sorted(self.results))


with Session() as session:
    options = ("--preload", "scribe:v1:12GB", "--between-tokens", "10ms", "--batch", "32")
    runners = [session.engine(f"runner-{number}", *options) for number in (1, 2, 3)]
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
    declare(session, node, runners)
    load = Load(session, node)
    with Callers(12) as callers:
        for number in range(12):
            callers.submit(session, node, f"chassis {number}", 600)
        wait_until(lambda: all(stats(runner)["running"] >= 1 for runner in runners), "streams on every runner")
        runners[0].signal(signal.SIGTERM)
        session.ctl(node, "drain endpoint runner-2")
        time.sleep(NOTICE_S)
        before = [stats(runner)["runs"] for runner in runners[:2]]
        time.sleep(1)
        after = [stats(runner)["runs"] for runner in runners[:2]]
        session.print(f"new work on the leaving runners after {NOTICE_S} s: {sum(after) - sum(before)}")
        session.print(f"streams: {callers.results()}")
    session.print(f"short requests: {load.stop()}")
    session.print(f"runner-1 has stopped: exit code {runners[0].popen.wait(30)}")
    session.print(f"node stops: exit code {node.terminate()}")
