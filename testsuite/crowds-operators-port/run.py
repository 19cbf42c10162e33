"""Guards against clients of the operators' port that make a node exceed its memory or its descriptors, or end, by what they send at once,
leave unfinished or do not read."""

from crowd_callers import BODY_LIMIT, CALLERS, MACHINE, MEMBERS, check_crowd, crowds_of_requests, head, with_body
from session import Session, http_call, wait_until

STATEMENT = "/operator/v1/statement"
# Declared services with long names, so that showing them is a long answer.
SERVICES = 400
NAME_PADDING = "x" * 40


with Session() as session:
    settings = session.settings("vm-a", "ktm-1", data_folder=True)
    settings["callers"].update(CALLERS)
    settings["machine"] = MACHINE
    node = session.start_node(settings)
    session.script(node, [f"declare service {NAME_PADDING}-{number}" for number in range(SERVICES)])
    wait_until(node.ready, "the node to be ready")

    def shows_services():
        return http_call(node.operators, "POST", STATEMENT, "show services")[0] == 200

    def check(name, parts, members, half_close=False):
        check_crowd(session, node, name, node.operators, parts, members, shows_services, half_close)

    for name, (parts, members) in crowds_of_requests(STATEMENT).items():
        check(name, parts, members)
    show = with_body(STATEMENT, b"show services", more="Accept: application/json")
    largest = with_body(STATEMENT, b"show services" + b" " * (BODY_LIMIT - 100))
    many_words = with_body(STATEMENT, b"x " * ((BODY_LIMIT - 100) // 2))
    check("half-closed connections", [show], MEMBERS, half_close=True)
    check("half-closed connections within a body", [head(STATEMENT), b"80000\r\n" + b"x" * 100_000], MEMBERS, half_close=True)
    check("many requests in one write", [show * 200], MEMBERS)
    check("metrics that are not read", [head("/metrics", "", "GET") * 2000], MEMBERS)
    check("statements of the largest size", [largest] * 4, MEMBERS)
    check("statements of many words", [many_words] * 4, MEMBERS)
    status = http_call(node.operators, "POST", STATEMENT, "show services" + " " * (BODY_LIMIT - 100))[0]
    session.print(f"one statement of the largest size in calm: status {status}")
