"""review/6: while a fleet with one address goes down, requests are accepted by the system and never answered."""

import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support2"))
import standins as s

CLASSES = [("lobby-view", "idempotent", 2500, 1900, False), ("claim-seat", "at_most_once", 2500, 1300, False)]
INSTANCES, STOP_MS = 2, 5000
# Front ends learn of a drain 1 to 4.3 s late (kingston-match.toml, [discovery] notice_s).
BEFORE_S, NOTICE_S, EVERY_S, ANSWER_S = 3.0, 4.0, 0.05, 2.5 + 0.06 + 0.05


def body(case):
    try:
        return fleet_goes_down(case)
    finally:
        # Instances outlive their daemon: none of them may be left when the play could not be finished.
        daemon = next((process for process in case.processes if process.name == "fleet"), None)
        if daemon and case.alive(daemon):
            case.run([s.PROGRAM, "fleet", "down", "--file", case.path("fleet.jsonnet")])
            daemon.wait(STOP_MS / 1000 + 5)


def fleet_goes_down(case):
    (front,) = s.free_ports(1)
    ledger, registry = s.store(), s.directory()
    places, runtimes = [], []
    for number in range(1, INSTANCES + 2):
        runtime = s.Runtime(lambda route, rid: 0.05, lambda text: None, name="runtime of m%d" % number)
        runtimes.append(runtime)
        value = s.config("m%d" % number, front, runtime.port, ledger.port, registry.port, s.settings(CLASSES), stop_ms=STOP_MS)
        places.append("{ name: 'm%d', config: '%s' }" % (number, case.write("m%d.json" % number, value)))
    file = case.write("fleet.jsonnet", """{ fleet: {
        folder: '%s', listen: '127.0.0.1:%d', instances: %d, surge: 1, batch: 1, minimum: 1, places: [%s],
        releases: { '1': { program: '%s' } },
    } }""" % (case.path("fleet"), front, INSTANCES, ", ".join(places), s.PROGRAM))
    daemon = case.start("fleet", [s.PROGRAM, "fleet", "up", file])
    s.wait_until(lambda: sum(1 for r in runtimes if r.link) == INSTANCES and s.listens(front), 15, "the fleet serves")
    results, threads = {}, []

    def ask(txn, verb):
        begun = time.monotonic()
        try:
            sock = socket.create_connection(("127.0.0.1", front), 1)
        except OSError as error:
            results[txn] = (begun, verb, "refused by the system: %s" % type(error).__name__)
            return
        try:
            sock.settimeout(30)
            sock.sendall(s.frame(s.REQUEST, 1, s.request_payload(verb, txn)))
            written, reader = time.monotonic(), s.FrameReader()
            while True:
                data = sock.recv(65536)
                if not data:
                    results[txn] = (begun, verb, "LOST: the connection ended after %.2f s" % (time.monotonic() - written))
                    return
                for kind, stream, payload in reader.feed(data):
                    if kind == s.RESPONSE and stream == 1:
                        took = time.monotonic() - written
                        late = " LOST: late by its deadline," if took > ANSWER_S else ""
                        results[txn] = (begun, verb, "%s%s after %.2f s" % (late, s.CODES[payload[0]], took))
                        return
        except OSError as error:
            results[txn] = (begun, verb, "LOST: %s after %.2f s" % (type(error).__name__, time.monotonic() - begun))
        finally:
            sock.close()

    number = 0x100

    def send_for(seconds):
        nonlocal number
        begun = time.monotonic()
        while time.monotonic() < begun + seconds:
            thread = threading.Thread(target=ask, args=("%016x" % number, "claim-seat" if number % 4 == 0 else "lobby-view"), daemon=True)
            thread.start()
            threads.append(thread)
            number += 1
            time.sleep(EVERY_S)

    send_for(BEFORE_S)
    told = time.monotonic()
    if case.trouble:
        case.note("fleet down")
        case.run([s.PROGRAM, "fleet", "down", "--file", file])
    send_for(NOTICE_S)
    for thread in threads:
        thread.join(STOP_MS / 1000 + 10)
    if not case.trouble:
        case.run([s.PROGRAM, "fleet", "down", "--file", file])
    s.wait_until(lambda: not case.alive(daemon), STOP_MS / 1000 + 5, "the daemon ends")
    for txn, (at, verb, text) in sorted(results.items()):
        case.note("%s %s sent %+.2f s from the order: %s" % (verb, txn, at - told, text))
    lost = [txn for txn, result in results.items() if "LOST" in result[2]]
    case.note("%d requests, %d on an accepted connection without a whole answer in time, %d refused by the system" % (
        len(results), len(lost), sum(1 for r in results.values() if r[2].startswith("refused by the system"))))
    if not any("served" in r[2] for r in results.values()):
        raise s.CannotRun("no request was served")
    return ["%d of %d requests were accepted and never answered" % (len(lost), len(results))] if lost else []


s.play(HERE, body)
