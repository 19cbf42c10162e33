"""Scripts of statements: where they stop, resending them, an unreachable node, and a lost answer."""

import socket
import subprocess
import threading

from session import HOST, PROGRAM, Session

SCRIPT = """# A region in five lines.
declare endpoint r1 address 127.0.0.1:9001 in ktm-1 memory 80GB

declare model scribe version v1 weights 12GB kv 2GB
declare model huge version v1 weights 90GB kv 2GB
declare model late version v1 weights 1GB kv 1GB
"""


def run_ctl(session, *arguments, stdin=""):
    done = subprocess.run([PROGRAM, "ctl", *arguments], input=stdin, capture_output=True, text=True, timeout=60, check=False)
    session.print((done.stdout + done.stderr).rstrip())
    session.print(f"(exit code {done.returncode})")


def drop_answer(listener, node_address):
    """Forwards one statement to the node and closes the connection without returning the answer."""
    client, _ = listener.accept()
    host, port = node_address.rsplit(":", 1)
    with client, socket.create_connection((host, int(port))) as node:
        node.sendall(client.recv(65536))
        node.recv(65536)


with Session() as session:
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
    session.print("a script stops at its first refusal")
    run_ctl(session, "--at", node.operators, "--operation", "setup", stdin=SCRIPT)
    session.print("sent again, it gets its first answers")
    run_ctl(session, "--at", node.operators, "--operation", "setup", stdin=SCRIPT)
    session.print("another command under an operation id that was used")
    run_ctl(session, "--at", node.operators, "--operation", "setup", stdin="# x\ndeclare service drafts\n")
    session.print("a statement that is not understood")
    run_ctl(session, "--at", node.operators, stdin="show endpoints\nshow placment\nshow models\n")

    nobody = session.address("nobody")
    session.print("the first node cannot be reached")
    run_ctl(session, "--at", nobody, "--at", node.operators, "declare service drafts")
    session.print("no node can be reached")
    run_ctl(session, "--at", nobody, "declare service drafts")

    with socket.create_server((HOST, 0)) as listener:
        lossy = f"{HOST}:{listener.getsockname()[1]}"
        session.names[lossy] = "lossy"
        session.print("the answer is lost, and the command is sent again to another node")
        proxy = threading.Thread(target=drop_answer, args=(listener, node.operators))
        proxy.start()
        run_ctl(session, "--at", lossy, "--at", node.operators, "set move-weight 3")
        proxy.join()
        session.print("the answer is lost, and there is no other node")
        proxy = threading.Thread(target=drop_answer, args=(listener, node.operators))
        proxy.start()
        run_ctl(session, "--at", lossy, "--operation", "weight", "set move-weight 4")
        proxy.join()
    run_ctl(session, "--at", node.operators, "set move-weight 4 operation weight-1")
    session.print("wrong arguments")
    run_ctl(session, "--at", "localhost:80", "show status")
    run_ctl(session, "--at", node.operators, "--timeout", "soon", "show status")
