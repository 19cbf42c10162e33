"""Sends ten thousand random, corrupted and truncated requests to the caller port, from a seed. The node must keep serving."""

import errno
import os
import random
import socket

from request_callers import send_request, declare
from session import Session

INPUTS = 10_000
SEED = int(os.environ.get("HEMLOCKHILL_SEED", "20"))
BODY = b'{"model":"scribe","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"chassis"}]}'
VALID = b"POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
PIECES = (b"GET", b"POST", b" /", b"v1/models", b"HTTP/1.1", b"\r\n", b"\r\n\r\n", b"Content-Length: ", b"-1", b"99999999999999999999")
PIECES += (b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n", b"{", b"[" * 200, b'"model":', b"\x00\xff", b"Expect: 100-continue\r\n", b"a" * 20_000)


def random_input(source):
    kind = source.randrange(4)
    if kind == 0:
        return source.randbytes(source.randrange(1, 300))
    if kind == 1:
        return VALID[: source.randrange(1, len(VALID))]
    if kind == 2:
        changed = bytearray(VALID)
        for _ in range(source.randrange(1, 8)):
            changed[source.randrange(len(changed))] = source.randrange(256)
        return bytes(changed)
    return b"".join(source.choices(PIECES, k=source.randrange(1, 12)))


def send(address, data):
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=10) as caller:
        try:
            caller.sendall(data)
            caller.shutdown(socket.SHUT_WR)
            while caller.recv(65_536):
                pass
        except ConnectionError:
            pass
        except OSError as error:
            # The node had already closed the connection.
            if error.errno != errno.ENOTCONN:
                raise


with Session() as session:
    runner = session.engine("runner-1", "--preload", "scribe:v1:12GB", "--first-token", "1ms", "--between-tokens", "1ms", "--batch", "64")
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
    declare(session, node, [runner])
    source = random.Random(SEED)
    for number in range(INPUTS):
        try:
            send(node.callers, random_input(source))
        except OSError as error:
            raise SystemExit(f"seed {SEED}, input {number}: {error}")
    session.print(f"{INPUTS} inputs sent")
    session.print(f"node still runs: {node.running()}")
    session.print(f"a good request: {send_request(session, node, 'chassis 1', 3)}")
    session.print(f"node stops: exit code {node.terminate()}")
