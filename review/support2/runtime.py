"""A runtime as a process of its own: runtime.py PORT RUN_MS LOG. Each run and its end is a line of LOG."""

import sys
import threading
import time

import standins as s

port, run_ms, log = int(sys.argv[1]), float(sys.argv[2]), open(sys.argv[3], "a", encoding="utf-8")
lock = threading.Lock()


def note(text):
    with lock:
        log.write("%.3f %s\n" % (time.time(), text))
        log.flush()


runtime = s.Runtime(lambda route, rid: run_ms / 1000, note, port=port)
note("listens")
while True:
    time.sleep(3600)
