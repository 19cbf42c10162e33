"""Guards against idle connections to many endpoints taking up the descriptors of a node: each endpoint has its own limit, and their number
has none."""

import asyncio
import os
import sys
import threading

from session import Session, free_port, http_call, wait_until

ENDPOINTS = 400
DESCRIPTORS = 300
MACHINE = {"memory": "256MB", "descriptors": DESCRIPTORS}
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=600\r\n"
# A connection is kept only if the answer repeats this header.
NAME_HEADER = b"hemlockhill-exchange:"


async def answer(reader, writer):
    """Answers each request on a connection, and keeps it open."""
    try:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
            names = [line + b"\r\n" for line in lines if line.lower().startswith(NAME_HEADER)]
            writer.write(ANSWER + b"".join(names) + b"\r\nok")
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def serve(port, started):
    """Serves all addresses of the loopback network, so that each endpoint has an address of its own."""

    async def run():
        server = await asyncio.start_server(answer, "0.0.0.0", port)
        started.set()
        await server.serve_forever()

    asyncio.run(run())


def descriptors(node):
    return len(os.listdir(f"/proc/{node.popen.pid}/fd"))


with Session() as session:
    port = free_port()
    started = threading.Event()
    threading.Thread(target=serve, args=(port, started), daemon=True).start()
    started.wait()
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1, machine=MACHINE)
    statements = []
    for number in range(ENDPOINTS):
        address = f"127.1.{number // 250}.{number % 250 + 1}:{port}"
        statements.append(f"declare endpoint store-{number} address {address} in ktm-1 kind plain-service")
        statements.append(f"declare service store-{number} endpoints store-{number}")
    session.script(node, statements)
    wait_until(node.ready, "the node to be ready")
    peak = 0
    answered = 0
    for number in range(ENDPOINTS):
        answered += http_call(node.callers, "GET", f"/services/store-{number}/x")[0] == 200
        peak = max(peak, descriptors(node))
    print(f"{peak} descriptors", file=sys.stderr)
    session.print(f"answered: {answered} of {ENDPOINTS}")
    session.print(f"open descriptors: {'within the limit' if peak <= DESCRIPTORS else f'{peak} of {DESCRIPTORS}'}")
