"""Crowds of clients that send what a node must not keep, and the bounds that the node has to keep meanwhile."""

import asyncio
import contextlib
import os
import pathlib
import socket
import sys
import time

CHUNK_BYTES = 65536
BODY_LIMIT = 1_000_000
HEADER_LIMIT = 16_000
# Number of bytes by which a body stops short of its end.
SHORT_BY = 10
MEMBERS = 120
IDLE_MEMBERS = 400
# How long a crowd may take to send, and how long its connections stay open afterwards.
SENDING_S = 5
HOLDING_S = 1
# How long after a crowd a request may be refused before it has to be answered.
RECOVERY_S = 20
MEMORY_MB = 64
DESCRIPTORS = 300
CALLERS = {"body_limit": "1MB", "header_limit": "16KB", "request_timeout": "3s"}
MACHINE = {"memory": f"{MEMORY_MB}MB", "descriptors": DESCRIPTORS}


def head(path, framing="Transfer-Encoding: chunked", method="POST", more=""):
    lines = [f"{method} {path} HTTP/1.1", "Host: node.example", framing, more]
    return ("\r\n".join(line for line in lines if line) + "\r\n\r\n").encode()


def chunk(size):
    return f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"


def chunks(total, size):
    """Returns parts of a chunked body of that many bytes, without its end."""
    batch = max(1, CHUNK_BYTES // size)
    whole, rest = divmod(total, size)
    parts = [chunk(size) * batch] * (whole // batch)
    parts.append(chunk(size) * (whole % batch) + (chunk(rest) if rest else b""))
    return parts


def plain(total):
    """Returns parts of a body of that many bytes that is sent as it is."""
    return [b"x" * CHUNK_BYTES] * (total // CHUNK_BYTES) + [b"x" * (total % CHUNK_BYTES)]


def with_body(path, body, more=""):
    """Returns a complete request."""
    return head(path, f"Content-Length: {len(body)}", more=more) + body


def crowds_of_requests(path):
    """Returns the crowds that no handler of a port ever sees, by their name: parts to send and number of members."""
    announced, unfinished = f"Content-Length: {3 * BODY_LIMIT}", f"Content-Length: {BODY_LIMIT}"
    begun = head(path)[:-2]
    return {
        "large chunks that stop short": ([head(path), *chunks(BODY_LIMIT - SHORT_BY, CHUNK_BYTES)], MEMBERS),
        "chunks of one byte that stop short": ([head(path), *chunks(BODY_LIMIT - SHORT_BY, 1)], MEMBERS),
        "announced bodies that stop short": ([head(path, unfinished), *plain(BODY_LIMIT - SHORT_BY)], MEMBERS),
        "bodies of three times the limit, announced": ([head(path, announced), *plain(3 * BODY_LIMIT)], MEMBERS),
        "bodies of three times the limit, in chunks": ([head(path), *chunks(3 * BODY_LIMIT, CHUNK_BYTES)], MEMBERS),
        "long heads": ([begun, *[b"X-Long: " + b"x" * CHUNK_BYTES + b"\r\n"] * 16], MEMBERS),
        "heads that stop short": ([begun, b"X-Long: " + b"x" * (HEADER_LIMIT - len(begun) - 20)], MEMBERS),
        "long trailers": ([head(path), chunk(10), b"0\r\n", *[b"X-Long: " + b"x" * CHUNK_BYTES + b"\r\n"] * 16], MEMBERS),
        "trailers of many fields": ([head(path), chunk(10), b"0\r\n", *[b"X-A: b\r\n" * 8192] * 16], MEMBERS),
        "long chunk extensions": ([head(path), b"a;", *[b"x" * CHUNK_BYTES] * 16], MEMBERS),
        "many chunk extensions": ([head(path), *[b"1;" + b"x" * 8000 + b"\r\nx\r\n"] * 128], MEMBERS),
        "idle connections": ([], IDLE_MEMBERS),
    }


async def send_parts(address, parts, half_close):
    """Opens a connection and sends what the node takes. Returns the socket, still open and never read from."""
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SENDING_S):
            await loop.sock_connect(connection, (host, int(port)))
            for part in parts:
                await loop.sock_sendall(connection, part)
                await asyncio.sleep(0)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
    return connection


async def watch_descriptors(node, peak):
    """Keeps the highest number of open descriptors of the node in peak[0]."""
    while True:
        with contextlib.suppress(OSError):
            peak[0] = max(peak[0], len(os.listdir(f"/proc/{node.popen.pid}/fd")))
        await asyncio.sleep(0.02)


def peak_memory_mb(node):
    """Returns the highest resident memory since the process began."""
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{node.popen.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) * 1024 / 1e6
    return 0


async def send_crowd(node, address, parts, members, half_close):
    """Lets the members send, keeps their connections open for a while, and returns the peak of open descriptors."""
    peak = [0]
    watcher = asyncio.create_task(watch_descriptors(node, peak))
    connections = await asyncio.gather(*(send_parts(address, parts, half_close) for _ in range(members)))
    await asyncio.sleep(HOLDING_S)
    watcher.cancel()
    for connection in connections:
        connection.close()
    return peak[0]


def is_answered_in_time(attempt):
    deadline = time.monotonic() + RECOVERY_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, ValueError):
            if attempt():
                return True
        time.sleep(0.1)
    return False


def check_crowd(session, node, name, address, parts, members, ordinary_request, half_close=False):
    """Restarts the node, so that its peaks count from there, and prints whether it keeps its bounds under a crowd. `ordinary_request`
    returns whether one request was answered."""
    node.kill()
    node.start()
    if not is_answered_in_time(lambda: node.ready() and ordinary_request()):
        raise SystemExit("the node was not ready")
    descriptors = asyncio.run(send_crowd(node, address, parts, members, half_close))
    memory = peak_memory_mb(node)
    faults = []
    if not node.running():
        faults.append("the process has ended")
    if memory >= MEMORY_MB:
        faults.append(f"{memory:.0f} MB of resident memory, of {MEMORY_MB}")
    if descriptors > DESCRIPTORS:
        faults.append(f"{descriptors} open descriptors, of {DESCRIPTORS}")
    if node.running() and not is_answered_in_time(ordinary_request):
        faults.append("no request was answered afterwards")
    session.print(f"{name}: {'; '.join(faults) or 'within its bounds'}")
    # For the reader of a failed run; the golden file does not contain it.
    print(f"{name}: {memory:.0f} MB, {descriptors} descriptors", file=sys.stderr)

