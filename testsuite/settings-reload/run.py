"""On SIGHUP the node reads its settings again. A lower body limit must take effect immediately, a new address must be reported as
needing a restart, and an invalid file must change nothing."""

import json
import signal

from session import Session, http_call, wait_until

BODY = json.dumps({"model": "scribe", "prompt": "x" * 2000})


def status_of_long_body(node):
    return http_call(node.callers, "POST", "/v1/completions", BODY)[0]


def logged(node, event):
    return [json.loads(line) for line in node.log.read_text().splitlines() if f'"event":"{event}"' in line]


with Session() as session:
    (node,) = session.region({"vm-a": "ktm-1"}, controllers=1)
    session.send_until_accepted(node, "declare service drafts")
    wait_until(node.ready, "the node to be ready")
    session.print(f"a body of 2 KB: status {status_of_long_body(node)}")
    node.settings["callers"]["body_limit"] = "1KB"
    node.settings["operators"]["listen"] = "127.0.0.1:9"
    node.file.write_text(json.dumps(node.settings))
    node.signal(signal.SIGHUP)
    wait_until(lambda: logged(node, "setting taken over"), "the settings to be read again")
    wait_until(lambda: status_of_long_body(node) == 413, "the new limit")
    session.print(f"taken over: {[line['path'] for line in logged(node, 'setting taken over')]}")
    session.print(f"needs a restart: {[line['path'] for line in logged(node, 'setting needs a restart')]}")
    node.file.write_text("{")
    node.signal(signal.SIGHUP)
    wait_until(lambda: logged(node, "settings not reloaded"), "the invalid file to be rejected")
    session.print(f"after a faulty file: ready {node.ready()}, a body of 2 KB: status {status_of_long_body(node)}")
