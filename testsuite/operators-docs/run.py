"""Runs every statement in the ctl blocks of the operator pages, each page against a fresh node.

A line that begins with "refused:" means that the statement above it must be refused with that reason; all others must be accepted.
docs/API.md must list each refusal reason with the status and retry flag of the table in the program.
"""

import pathlib
import re

from session import Session

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PAGES = ROOT / "docs/operators"
REASONS = ROOT / "src/libhemlockhill/world/failure.cpp"


def statements(page):
    """Returns the statements of the ctl blocks of a page, each with the expected refusal reason or None."""
    found = []
    in_ctl_block = False
    for line in page.read_text().splitlines():
        if line.startswith("```"):
            in_ctl_block = line.strip() == "```ctl"
        elif in_ctl_block and line.startswith("refused:"):
            found[-1][1] = line.split(":", 1)[1].strip()
        elif in_ctl_block and line.strip() and not line.startswith("#"):
            found.append([line, None])
    return found


def run_page(page):
    with Session() as session:
        (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
        for statement, reason in statements(page):
            code, output = session.ctl(node, statement, quiet=True)
            as_documented = output.startswith(f"refused: {reason}:") if reason else code == 0
            if not as_documented:
                raise SystemExit(f"{page.name}: {statement}\n{output}")
            session.print(f"{page.name}> {statement}" + (f"   (refused: {reason})" if reason else ""))


def check_reasons():
    table = re.findall(r'\{Reason::\w+, "(\w+)", (\d+), (\w+)\}', REASONS.read_text())
    expected = [(name, status, "yes" if retry == "true" else "no") for name, status, retry in table]
    documented = re.findall(r"^\| `(\w+)` \| (\d+) \| (yes|no) \|$", (ROOT / "docs/API.md").read_text(), re.MULTILINE)
    if not expected or documented != expected:
        raise SystemExit(f"docs/API.md differs from the refusal reasons of the program: {set(documented) ^ set(expected)}")
    print("API.md lists every reason")


check_reasons()
for path in sorted(PAGES.glob("*.md")):
    if statements(path):
        run_page(path)
