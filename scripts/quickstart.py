"""Starts a small region on loopback: three nodes, three runners and one plain service."""

import argparse
import signal

from session import Session, http_call, wait_until

RUNNERS = {"runner-1": "ktm-1", "runner-2": "ktm-2", "runner-3": "ktm-3"}
NODES = {"vm-a": "ktm-1", "vm-b": "ktm-2", "vm-c": "ktm-3"}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--once", action="store_true", help="stop all processes after the requests")
    options = parser.parse_args()
    with Session() as session:
        runners = {name: session.engine(name) for name in RUNNERS}
        register = session.service("register-1")
        nodes = session.region(NODES)
        session.ctl(
            nodes[0],
            *[
                f"declare endpoint {name} address {runner.address} in {RUNNERS[name]} memory 80GB"
                for name, runner in runners.items()
            ],
            f"declare endpoint register-1 address {register.address} in ktm-1 kind plain-service",
            "declare service drafts priority interactive",
            "declare service register once-only endpoints register-1",
            "declare model scribe version v1 weights 12GB kv 2GB service drafts",
            "show models",
        )
        wait_until(nodes[0].ready, "the node to be ready")
        wait_until(lambda: session.chat(nodes[0], "scribe", "warm up")[0] == 200, "the runners' first reports")
        session.print(f"streamed answer: {session.chat(nodes[0], 'scribe', 'chassis history of 11')}")
        for node in nodes[:2]:
            status, _, answer = http_call(
                node.callers, "POST", "/services/register/transfer", '{"chassis": 11}', {"Idempotency-Key": "transfer-11"}
            )
            session.print(f"once-only call through {node.name}: {status} {answer}")
        session.ctl(nodes[0], "show placement")
        for node in nodes:
            print(f"{node.name}: callers at http://{node.callers}, operators at {node.operators}")
        if not options.once:
            print("running until interrupted")
            try:
                signal.pause()
            except KeyboardInterrupt:
                pass
        for process in reversed(session.processes):
            code = process.terminate()
            if code != 0:
                raise SystemExit(f"{process.name} stopped with exit code {code}")
        print("everything stopped gracefully")


if __name__ == "__main__":
    main()
