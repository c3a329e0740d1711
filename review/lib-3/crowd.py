"""A crowd of clients: many large bodies of legal size at once, on connections that stay open.

Arguments: the address, the connections of a wave, the waves of jobs, then those of bodies that are
no jobs. Each request is sent whole.
"""

import json
import socket
import sys
import time

# The longest body that the configuration allows.
MAX_BODY_BYTES = 262_144
STEPS = 1_900
# Keeps a job under that length.
NAMED_STEPS = 40
WAVE_S = 1.5


def job():
    steps = []
    for number in range(STEPS):
        step = {"count": 1, "cpu": 1000, "estimated_ms": 50_000}
        if number:
            step["after"] = [0] * NAMED_STEPS
        steps.append(step)
    body = {"best_effort": True, "specification": "work 50000", "steps": steps}
    return json.dumps(body, separators=(",", ":")).encode()


def main():
    name, port = sys.argv[1].split(":")
    connections, job_waves, other_waves = (int(argument) for argument in sys.argv[2:5])
    bodies = [job()] * job_waves + [b'"' + b"x" * (MAX_BODY_BYTES - 2) + b'"'] * other_waves
    assert max(len(body) for body in bodies) <= MAX_BODY_BYTES
    kept = []
    for wave, body in enumerate(bodies):
        for number in range(connections):
            head = (
                "POST /lohu930/%016x HTTP/1.1\r\nHost: nony24.example\r\nX-Deadline-Ms: 60000\r\n"
                "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                % (wave * connections + number + 1, len(body))
            )
            try:
                connection = socket.create_connection((name, int(port)), timeout=1)
                connection.setblocking(False)
                kept.append(connection)
                connection.send(head.encode() + body)
            except OSError:
                continue
        time.sleep(WAVE_S)
    time.sleep(WAVE_S)


main()
