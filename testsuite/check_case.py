"""Runs the test case in a folder and compares its output with ref/out.txt. Usage: check_case.py FOLDER"""

import difflib
import os
import pathlib
import subprocess
import sys


def main():
    folder = pathlib.Path(sys.argv[1]).resolve()
    environment = dict(os.environ, PYTHONPATH=str(folder.parent), PYTHONDONTWRITEBYTECODE="1")
    done = subprocess.run([sys.executable, folder / "run.py"], stdout=subprocess.PIPE, text=True, env=environment, check=False)
    expected = (folder / "ref/out.txt").read_text()
    if done.returncode == 0 and done.stdout == expected:
        return 0
    print(f"{folder.name}: exit code {done.returncode}")
    print("".join(difflib.unified_diff(expected.splitlines(True), done.stdout.splitlines(True), "ref/out.txt", "this run")))
    return 1


if __name__ == "__main__":
    sys.exit(main())
