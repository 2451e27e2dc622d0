"""Runs all tests, and passes over those that KNOWN-RED.txt names: each fails for a fault that is known and not mended yet.

    test id | cause | issue

A listed test that passes, a line that names no test or lacks a part, and more than three lines fail the run. Called by
bin/test, with what unittest's own `discover` takes; without, several processes share the files, one file after the other each.
"""

import os
import re
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from queue import Queue

ROOT = Path(__file__).resolve().parents[1]
MOST = 3
# Half of the time of the tests is waiting. Each process looks for free ports in a part of its own.
AT_ONCE, FIRST_PORT, PORTS_EACH = 4, 12_000, 2_000
# A file that takes longer has hung (s).
LONGEST = 900
# Those that take longest begin first, so that the last to end is not one of them.
LONGEST_FIRST = (
    "test_sharing.py",
    "test_fault_injection.py",
    "test_together.py",
    "test_front.py",
    "test_leases.py",
    "test_scale.py",
    "test_attempts.py",
    "test_distribution.py",
    "test_sessions.py",
)


class Unusable(Exception):
    """What is wrong with the list, a line each."""


def read(text, loader=unittest.TestLoader()):
    """Cause and issue by test id. Raises `Unusable`."""
    listed, wrong = {}, []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            wrong.append(f"line {number} is not `test | cause | issue`: {line!r}")
        elif not names_a_test(parts[0], loader):
            wrong.append(f"line {number} names no test: {parts[0]}")
        elif parts[0] in listed:
            wrong.append(f"line {number} names a test again: {parts[0]}")
        else:
            listed[parts[0]] = (parts[1], parts[2])
    if len(listed) > MOST:
        wrong.append(f"{len(listed)} tests are listed, {MOST} at the most may be")
    if wrong:
        raise Unusable("\n".join(wrong))
    return listed


def names_a_test(name, loader):
    try:
        suite = loader.loadTestsFromName(name)
    except (AttributeError, ImportError, ValueError):
        return False
    tests = list(suite)
    return len(tests) == 1 and isinstance(tests[0], unittest.TestCase) and tests[0].id() == name


class Result(unittest.TextTestResult):
    """`listed` fail and are passed over; where they pass, that is the failure."""

    listed: dict = {}

    def __init__(self, *args, **how):
        super().__init__(*args, **how)
        self.red = []

    def addSuccess(self, test):
        if test.id() in self.listed:
            self.failures.append((test, "listed in KNOWN-RED.txt, and it passes: take its line out\n"))
        else:
            super().addSuccess(test)

    def addFailure(self, test, err):
        self._failed(test, err, super().addFailure)

    def addError(self, test, err):
        self._failed(test, err, super().addError)

    def addSubTest(self, test, subtest, err):
        if err is None or test.id() not in self.listed:
            super().addSubTest(test, subtest, err)
        elif test.id() not in self.red:
            self.red.append(test.id())

    def _failed(self, test, err, plain):
        if test.id() not in self.listed:
            plain(test, err)
        elif test.id() not in self.red:
            self.red.append(test.id())

    def printErrors(self):
        super().printErrors()
        for name in self.red:
            cause, issue = self.listed[name]
            self.stream.writeln(f"KNOWN RED: {name}: {cause} ({issue})")


def main(arguments, path=ROOT / "KNOWN-RED.txt"):
    if not arguments and AT_ONCE > 1:
        return shared_out()
    return alone(arguments, path)


def shared_out(folder=ROOT / "tests", top=ROOT):
    """Each file of the folder in a process of its own, so many at once; what each says comes whole, when it has ended. `top` is
    where its modules' names begin."""
    files = sorted(
        (path.name for path in folder.glob("test_*.py")),
        key=lambda name: (LONGEST_FIRST.index(name) if name in LONGEST_FIRST else len(LONGEST_FIRST), name),
    )
    slots, ran, failed = Queue(), 0, []
    for slot in range(AT_ONCE):
        slots.put(slot)
    began = time.monotonic()

    def play(name):
        slot = slots.get()
        first = FIRST_PORT + slot * PORTS_EACH
        try:
            done = subprocess.run(
                [sys.executable, __file__, "-s", folder, "-t", top, "-p", name],
                cwd=ROOT,
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                timeout=LONGEST,
                env={**os.environ, "CURLEWSHIFT_PORTS": f"{first}-{first + PORTS_EACH}"},
            )
            return name, done.returncode, done.stdout
        except subprocess.TimeoutExpired as late:
            return name, 1, f"{late.stdout or ''}\n{name} did not end within {LONGEST} s\n"
        finally:
            slots.put(slot)

    with ThreadPoolExecutor(AT_ONCE) as pool:
        for over in as_completed([pool.submit(play, name) for name in files]):
            name, code, said = over.result()
            found = re.search(r"^Ran (\d+) tests? in", said, re.MULTILINE)
            ran += int(found[1]) if found else 0
            if code or not found:
                failed.append(name)
            print(f"== {name}\n{said.rstrip()}", flush=True)
    print(
        f"\n{len(files)} files, {ran} tests in {time.monotonic() - began:.0f} s"
        + (f", not passed: {', '.join(sorted(failed))}" if failed else ", all passed")
    )
    return 1 if failed or not ran else 0


def alone(arguments, path=ROOT / "KNOWN-RED.txt"):
    try:
        listed = read(path.read_text()) if path.exists() else {}
    except Unusable as wrong:
        print(f"KNOWN-RED.txt: {wrong}", file=sys.stderr)
        return 1
    runner = unittest.TextTestRunner(resultclass=type("Listed", (Result,), {"listed": listed}))
    ran = unittest.main(
        module=None, argv=["bin/test", "discover", "-s", "tests", "-t", ".", *arguments], testRunner=runner, exit=False
    )
    if not ran.result.testsRun:
        print("no test ran", file=sys.stderr)
        return 1
    return 0 if ran.result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))
    sys.exit(main(sys.argv[1:]))
