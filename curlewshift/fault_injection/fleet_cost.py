"""Cost of a request and of applying a full server list by fleet size: the session core alone, without sockets."""

from __future__ import annotations

import time

from curlewshift.model import Package, Terms
from curlewshift.session_core.server_list import ServerEntry, ServerList
from curlewshift.session_core.session_core import SessionCore

SECOND = 1_000_000_000
HOLDERS = 5
SIZES = (100, 400, 1600, 6400)


class InstantDriver:
    """A driver that collects tune-ins (set-up attempts at one server); the caller has each played at once."""

    def __init__(self):
        self.clock, self.tune_ins = 1000 * SECOND, []

    def now(self):
        return self.clock

    wall = now

    def tune_in(self, tune_in):
        self.tune_ins.append(tune_in)

    def _ignore(self, *what):
        pass

    wake = tell = end_session = probe = answer = whole_list = withdraw = _ignore


def measure_size(fleet: int, requests: int) -> dict:
    driver = InstantDriver()
    package = Package("p", 1.0, SECOND, 4 * SECOND, False, (1.0, 2.0, 4.0), 0, 2, 0)
    terms = Terms(
        driver.clock, 1, 0, 1, [package], True, SECOND // 2, 3, False, 2 * SECOND, 10 * SECOND, 0.5, 2.0, SECOND, None, 0.0, 0
    )
    titles = {f"t{n}": tuple(f"s{(n * 7 + k * 13) % fleet}" for k in range(HOLDERS)) for n in range(50)}
    session_core = SessionCore(driver, terms, ServerList({"r": 1e9}, titles))
    rows = [ServerEntry(f"m{n}", "on", SECOND, "z", f"r{n // 20}", 1e6, 1000, f"s{n}") for n in range(fleet)]
    began = time.perf_counter_ns()
    session_core.list_full("e", 1, rows)
    list_ns = time.perf_counter_ns() - began
    began = time.perf_counter_ns()
    for number in range(requests):
        request = session_core.asked(f"q{number}", "p", f"t{number % 50}")
        session_core.played(driver.tune_ins.pop(), "session")
        session_core.closed(request.front_session)
    return {
        "servers": fleet,
        "request_us": round((time.perf_counter_ns() - began) / requests / 1000, 1),
        "list_ms": round(list_ns / 1e6, 2),
    }


def measure_fleet(requests: int) -> dict:
    measure_size(SIZES[0], requests)
    sizes = [measure_size(fleet, requests) for fleet in SIZES]
    first, last = sizes[0], sizes[-1]
    return {
        "holders": HOLDERS,
        "sizes": sizes,
        "ratios": {
            "request": round(last["request_us"] / first["request_us"], 2),
            "list_per_server": round(last["list_ms"] / last["servers"] / (first["list_ms"] / first["servers"]), 2),
        },
    }
