"""What a request and a list cost by the size of the fleet: the desk alone, no sockets, in one run."""

from __future__ import annotations

import time

from curlewshift.model import Package, Terms
from curlewshift.session_core.server_list import ServerEntry, ServerList
from curlewshift.session_core.session_core import SessionCore

SECOND = 1_000_000_000
HOLDERS = 5
SIZES = (100, 400, 1600, 6400)


class Nowhere:
    """An outside in which every tune-in plays at once."""

    def __init__(self):
        self.clock, self.out = 1000 * SECOND, []

    def now(self):
        return self.clock

    wall = now

    def tune_in(self, tune_in):
        self.out.append(tune_in)

    def _nothing(self, *what):
        pass

    wake = tell = end_session = probe = answer = whole_list = withdraw = _nothing


def one_size(fleet: int, requests: int) -> dict:
    driver = Nowhere()
    package = Package("p", 1.0, SECOND, 4 * SECOND, False, (1.0, 2.0, 4.0), 0, 2, 0)
    terms = Terms(
        driver.clock, 1, 0, 1, [package], True, SECOND // 2, 3, False, 2 * SECOND, 10 * SECOND, 0.5, 2.0, SECOND, None, 0.0, 0
    )
    titles = {f"t{n}": tuple(f"s{(n * 7 + k * 13) % fleet}" for k in range(HOLDERS)) for n in range(50)}
    session_core = SessionCore(driver, terms, ServerList({"r": 1e9}, titles))
    rows = [ServerEntry(f"m{n}", "on", SECOND, "z", f"r{n // 20}", 1e6, 1000, f"s{n}") for n in range(fleet)]
    began = time.perf_counter_ns()
    session_core.list_full("e", 1, rows)
    listed = time.perf_counter_ns() - began
    began = time.perf_counter_ns()
    for number in range(requests):
        request = session_core.asked(f"q{number}", "p", f"t{number % 50}")
        session_core.played(driver.out.pop(), "session")
        session_core.closed(request.front_session)
    return {
        "servers": fleet,
        "request_us": round((time.perf_counter_ns() - began) / requests / 1000, 1),
        "list_ms": round(listed / 1e6, 2),
    }


def measure_fleet(requests: int) -> dict:
    one_size(SIZES[0], requests)
    sizes = [one_size(fleet, requests) for fleet in SIZES]
    first, last = sizes[0], sizes[-1]
    return {
        "holders": HOLDERS,
        "sizes": sizes,
        "ratios": {
            "request": round(last["request_us"] / first["request_us"], 2),
            "list_per_server": round(last["list_ms"] / last["servers"] / (first["list_ms"] / first["servers"]), 2),
        },
    }
