"""The check subcommand must report all faults of a settings file at once, each with its JSON path."""

import pathlib
import subprocess
import tempfile

from session import PROGRAM

FAULTY = """{
    "cluster": "himal", "vm": "vm-a", "colour": "red",
    "callers": {"listen": "127.0.0.1:0", "body_limit": "4 megabytes"},
    "operators": {"listen": "127.0.0.1:7001"},
    "peers": {"listen": "127.0.0.1:7001"},
    "control": {"heartbeat": "1s", "election_timeout": "1s"}
}"""

with tempfile.TemporaryDirectory() as folder:
    file = pathlib.Path(folder) / "settings.json"
    file.write_text(FAULTY)
    done = subprocess.run([PROGRAM, "check", file], capture_output=True, text=True, check=False)
    print(done.stdout + done.stderr, end="")
    print(f"exit code {done.returncode}")
