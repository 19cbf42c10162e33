"""Callers for the request sessions: expected answers, classification of answers, and concurrent callers."""

import collections
import concurrent.futures
import json
import zlib

from session import http_call, wait_until

MODEL = "scribe"


def expected_text(prompt, tokens):
    """Returns the text with which the fake engine answers a chat of one user message."""
    checksum = zlib.crc32(f"user: {prompt}\n".encode()) % 10_000
    return "".join(f"w{checksum}.{offset} " for offset in range(tokens))


def classify_answer(prompt, tokens, answer):
    """Classifies the result of Session.chat: whole, refused, error event, WRONG TEXT or CUT."""
    status, text, whole = answer
    if status != 200:
        return f"refused {text['reason']} ran={text['ran']}"
    if whole and text == expected_text(prompt, tokens):
        return "whole"
    if "<error " in text:
        reason = text[text.index("<error ") + 7 : -1]
        received = text[: text.index("<error ")]
        exact = expected_text(prompt, tokens).startswith(received)
        return f"error event {reason}, {'exact prefix' if exact else 'WRONG TEXT'}"
    return "WRONG TEXT" if whole else "CUT"


def send_request(session, node, prompt, tokens, **options):
    return classify_answer(prompt, tokens, session.chat(node, MODEL, prompt, max_tokens=tokens, **options))


class Callers:
    """Sends requests concurrently. Use as a context manager; results() waits for all of them."""

    def __init__(self, count):
        self.pool = concurrent.futures.ThreadPoolExecutor(count)
        self.futures = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.pool.shutdown()

    def submit(self, session, node, prompt, tokens, **options):
        self.futures.append(self.pool.submit(send_request, session, node, prompt, tokens, **options))

    def results(self):
        counted = collections.Counter(future.result() for future in self.futures)
        self.futures = []
        return ", ".join(f"{count} {result}" for result, count in sorted(counted.items()))


def declare(session, node, runners, service="drafts priority interactive first-token 30s deadline 60s"):
    """Declares one model on the runners and waits until every runner has served a request."""
    statements = [f"declare endpoint {runner.name} address {runner.address} in ktm-1 memory 80GB" for runner in runners]
    statements += [f"declare service {service}", f"declare model {MODEL} version v1 weights 12GB kv 2GB service {service.split()[0]}"]
    session.script(node, statements)
    wait_until(node.ready, "the node to be ready")
    wait_until(lambda: all_have_served(session, node, runners), "every runner to serve")


def all_have_served(session, node, runners):
    session.chat(node, MODEL, "warm up", max_tokens=1)
    return all(stats(runner)["runs"] > 0 for runner in runners)


def stats(runner):
    return json.loads(http_call(runner.address, "GET", "/fake/stats")[2])


def set_mode(runner, **mode):
    http_call(runner.address, "POST", "/fake/mode", json.dumps(mode))


def metric(node, name, **labels):
    """Returns the value of a counter, summed over the series whose labels match."""
    text = http_call(node.operators, "GET", "/metrics")[2]
    total = 0.0
    for line in text.splitlines():
        if line.startswith(name) and all(f'{key}="{value}"' in line for key, value in labels.items()):
            total += float(line.rsplit(" ", 1)[1])
    return total
