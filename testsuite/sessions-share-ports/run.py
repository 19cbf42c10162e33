"""Sessions that run at the same time are given ports before anything listens on them. No port may be given to two of them."""

import collections
import subprocess
import sys

SESSIONS = 16
ADDRESSES = 200
PROGRAM = f"""
from session import Session
with Session() as session:
    print(*(session.address(f"process-{{number}}") for number in range({ADDRESSES})), flush=True)
    input()
"""

processes = [
    subprocess.Popen([sys.executable, "-c", PROGRAM], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) for _ in range(SESSIONS)
]
taken = collections.Counter(address for process in processes for address in process.stdout.readline().split())
for process in processes:
    process.communicate("\n")
print(f"addresses given: {taken.total()}")
print(f"given more than once: {sum(count > 1 for count in taken.values())}")
