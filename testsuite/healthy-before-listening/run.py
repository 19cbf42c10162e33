"""Starts a node whose operators' address is taken. It must exit without ever having accepted a caller's connection."""

import socket

from session import HOST, Node, Session

with Session() as session, socket.socket() as occupant:
    settings = session.settings("vm-a", "ktm-1", data_folder=True)
    # Closed connections of an earlier session may still wait on the port.
    occupant.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    occupant.bind((HOST, int(settings["operators"]["listen"].rsplit(":", 1)[1])))
    occupant.listen()
    accepted = 0
    for _ in range(20):
        node = session.track(Node("vm-a", settings, session.folder))
        while node.running():
            accepted += session.listens(node.callers)
    session.print(f"callers accepted: {accepted}")
    session.print(f"exit code {node.popen.returncode}")
