"""Sessions of many processes for measurements, and the resource usage of a process: processor time, resident memory, socket bytes.

Socket bytes are the kernel counters of each TCP socket (`ss`). Bytes sent between the last sample and the close of a socket are missed.
"""

import os
import pathlib
import random
import re
import socket
import subprocess
import time

from session import HOST, Session

FIRST_PORT = 10_000


class MeasuredSession(Session):
    """A session that allocates listen ports below the ephemeral port range. Among many nodes, an outgoing connection of one node could
    otherwise take the port of a node that starts later."""

    def address(self, name):
        end = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
        while True:
            address = f"{HOST}:{random.randrange(FIRST_PORT, end)}"
            if address not in self.names and not self.is_in_use(address):
                self.names[address] = name
                return address

    @staticmethod
    def is_in_use(address):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, int(address.rsplit(":", 1)[1])))
            except OSError:
                return True
        return False


def processor_seconds(process):
    """Returns the processor time of all threads in seconds; the kernel counts it in nanoseconds."""
    total = 0
    for thread in pathlib.Path(f"/proc/{process.popen.pid}/task").iterdir():
        total += int((thread / "schedstat").read_text().split()[0])
    return total / 1e9


def resident_mb(process):
    for line in pathlib.Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise SystemExit("no VmRSS line in the process status")


def all_sockets():
    """Returns, by process id, the bytes received and sent of each open socket, by its (local, remote) address pair."""
    found = {}
    for line in subprocess.run(["ss", "-tinHOp"], capture_output=True, text=True, check=True).stdout.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner:
            received = re.search(r"bytes_received:(\d+)", line)
            sent = re.search(r"bytes_sent:(\d+)", line)
            address_pair = tuple(line.split()[3:5])
            counts = tuple(int(match.group(1)) if match else 0 for match in (received, sent))
            found.setdefault(int(owner.group(1)), {})[address_pair] = counts
    return found


def control_sockets(node, sockets):
    """Returns the sockets of the node without its connections from callers and operators, to which this measurement belongs."""
    served = (node.callers, node.operators)
    return {address_pair: counts for address_pair, counts in sockets.get(node.popen.pid, {}).items() if address_pair[0] not in served}


def bytes_between(before, after):
    """Returns the bytes received and sent between two samples."""
    totals = [0, 0]
    for address_pair, counts in after.items():
        earlier = before.get(address_pair, (0, 0))
        for direction in range(2):
            totals[direction] += counts[direction] - earlier[direction] if counts[direction] >= earlier[direction] else counts[direction]
    return totals


class Usage:
    """Samples the processor usage and socket throughput of nodes between construction and take()."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.start = time.monotonic()
        self.sockets = all_sockets()
        self.processor = [processor_seconds(node) for node in nodes]

    def take(self):
        """Returns for each node the fraction of a core used, and the bytes received and sent per second."""
        elapsed = time.monotonic() - self.start
        sockets = all_sockets()
        rows = []
        for node, processor in zip(self.nodes, self.processor):
            transferred = bytes_between(control_sockets(node, self.sockets), control_sockets(node, sockets))
            rows.append(((processor_seconds(node) - processor) / elapsed, transferred[0] / elapsed, transferred[1] / elapsed))
        return rows


def machine_load():
    return f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores"
