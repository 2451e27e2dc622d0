"""Resource use of a node by request rate: set-ups, session ends passed on to viewers, and changes of rung.

The load is open-loop: a request does not wait for earlier ones, so that a node that cannot keep up shows a higher p99 and does
not slow the load down. Processor time is the node's own; waits are measured at the viewers' sockets and include delays by other
processes on the machine, as their notes say.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from curlewshift.scale.slopes import Run, Slope
from curlewshift.scale.slopes_idle import place, profile_of
from curlewshift.scale.slopes_node import RUNGS
from curlewshift.scale.slopes_stands import Stands

NS = 1_000_000_000
MS = 1_000_000
CONNECTIONS = 500
# Duration of a viewing (ns), and number of media servers.
VIEWING_NS, MEDIAS = NS // 2, 8
# Number of viewings whose rungs are changed, number of media servers they are on, and maximum number of changes requested of one
# server per round of the rules: in a round each viewing goes down by one rung at most.
CHANGED_VIEWINGS, CHANGED_MEDIAS, CHANGES_PER_SERVER = 2000, 16, 60
# A deviation from the requested rate above this fraction is noted.
MAX_SHORTFALL = 0.05
WAITS = "a p99 is of wall time, on loopback, and what else runs here lengthens it"


class Pace:
    """Calls `call()` `rate` times in each second, at uniformly random times (a Poisson process given its count). Runs in the
    stand-ins' loop; late calls are made late, none is dropped."""

    def __init__(self, stands: Stands, rate: int, call: Callable[[], None]):
        self.stands, self.rate, self.call = stands, rate, call
        self.second, self.times = time.monotonic_ns(), []
        stands.loop.turn_callbacks.append(self.turn)

    def turn(self, now: int) -> None:
        while self.times or self.second <= now:
            if not self.times:
                self.times = sorted((self.second + self.stands.rng.randrange(NS) for _ in range(self.rate)), reverse=True)
                self.second += NS
            while self.times and self.times[-1] <= now:
                self.times.pop()
                self.call()
            if self.times:
                return

    def stop(self) -> None:
        self.stands.loop.turn_callbacks.remove(self.turn)


def p99(waits: list[int]) -> float:
    """99th percentile of waits in ns; in s."""
    return sorted(waits)[int(len(waits) * 0.99)] / NS


def _paced(
    stands: Stands, node, seconds: float, warm_up: float, rate: float, call: Callable[[], None], begin: Callable[[], None]
) -> float:
    """Processor time per second at this rate, measured for `seconds` after a warm-up of `warm_up` seconds."""
    pace = Pace(stands, rate, call)
    try:
        _run_loop(stands, warm_up)
        begin()
        before, began, until = node.processor_ns(), time.monotonic_ns(), time.monotonic() + seconds
        _run_loop(stands, until - time.monotonic())
        return (node.processor_ns() - before) / (time.monotonic_ns() - began)
    finally:
        pace.stop()


def _run_loop(stands: Stands, seconds: float) -> None:
    """Runs the loop in short turns, as the request times are only as precise as the turns."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        stands.loop.turn(0.001)


def measure_requests(run: Run) -> list[Slope]:
    """Set-ups that play, each torn down half a second later."""
    used = Slope(
        "processor-time-by-request",
        ("set-ups a second", "1/s"),
        ("processor time a second", "seconds"),
        notes=[
            f"{CONNECTIONS} connections; each set-up plays and is torn down {VIEWING_NS / NS:g} s later, "
            "so that one end is in it",
            "every answer was 200 unless told otherwise",
        ],
    )
    late = Slope("p99-by-request", used.x, ("from set-up to its answer, p99", "seconds"), notes=[WAITS])
    for number in range(run.rounds):
        with place(run, MEDIAS) as (stands, node, crowd):
            crowd.connected(CONNECTIONS)
            viewers, scheduled_ends = list(crowd.viewers), deque()
            crowd.answered = lambda id, viewer, message: scheduled_ends.append((time.monotonic_ns() + VIEWING_NS, id))

            def tear_down(now: int) -> None:
                while scheduled_ends and scheduled_ends[0][0] <= now:
                    id = scheduled_ends.popleft()[1]
                    if id in crowd.playing:
                        crowd.tear_down(id)

            stands.loop.turn_callbacks.append(tear_down)
            for size in run.sizes:
                share = _paced(
                    stands, node, run.duration, 1.0, size, lambda: crowd.ask(stands.rng.choice(viewers)), crowd.answers.clear
                )
                done, answers = len(crowd.answers) / run.duration, list(crowd.answers)
                stands.loop.until(lambda: not crowd.asked and not crowd.playing, 30, "what was asked is answered and ended")
                refused = sum(status != 200 for _, status in answers)
                if abs(done - size) > MAX_SHORTFALL * size:
                    used.notes.append(f"round {number + 1}: at {size} a second asked, {done:.0f} were answered")
                if refused:
                    used.notes.append(
                        f"round {number + 1}: at {size} a second {refused} of {len(answers)} were refused or failed"
                    )
                wait = p99([waited for waited, _ in answers])
                used.points.append((size, share))
                late.points.append((size, wait))
                run.say(
                    f"requests, round {number + 1}: {size} a second asked, {done:.0f} answered: {100 * share:.1f}% of a "
                    f"core, p99 {1000 * wait:.1f} ms, {refused} not 200"
                )
    used.notes += _profiled(run, sorted(run.sizes)[len(run.sizes) // 2])
    return [used, late]


def _profiled(run: Run, rate: int) -> list[str]:
    """Profile lines on where the time of set-ups goes."""
    out = run.folder / "profile"
    with place(run, MEDIAS, profile=out) as (stands, node, crowd):
        crowd.connected(CONNECTIONS)
        viewers = list(crowd.viewers)
        pace = Pace(stands, rate, lambda: crowd.ask(stands.rng.choice(viewers)))
        _run_loop(stands, 1.0)
        lines = profile_of(run, stands, node, out, f"{rate} set-ups a second")
        pace.stop()
    return lines


def measure_notices(run: Run) -> list[Slope]:
    """Session ends announced by media servers, each passed on to its viewer by the node."""
    used = Slope(
        "processor-time-by-notice",
        ("notices passed on a second", "1/s"),
        ("processor time a second", "seconds"),
        notes=[
            f"{CONNECTIONS} connections; a notice is a media server's release that goes to the viewer as a "
            "TEARDOWN, and is confirmed to the server; the viewings that end were set up before"
        ],
    )
    late = Slope(
        "p99-by-notice", used.x, ("from a media server's release to its viewer's TEARDOWN, p99", "seconds"), notes=[WAITS]
    )
    for number in range(run.rounds):
        for size in run.sizes:
            with place(run, MEDIAS) as (stands, node, crowd):
                crowd.connected(CONNECTIONS)
                crowd.play(int(size * (run.duration + 1) * 1.2) + 50, list(crowd.viewers))
                stands.loop.run(0.5)
                out, waits = {}, []
                crowd.ended = lambda id: waits.append(time.monotonic_ns() - out.pop(id))
                unreleased = [(media, id) for media in stands.medias for id in media.sessions]
                stands.rng.shuffle(unreleased)

                def release() -> None:
                    if unreleased:
                        media, id = unreleased.pop()
                        out[id.hex()] = time.monotonic_ns()
                        media.release(id)

                share = _paced(stands, node, run.duration, 0.5, size, release, waits.clear)
                done = len(waits) / run.duration
                stands.loop.until(lambda: not out, 10, "each notice is passed on")
            used.points.append((size, share))
            late.points.append((size, p99(waits)))
            run.say(
                f"notices, round {number + 1}: {size} a second told, {done:.0f} passed on: {100 * share:.1f}% of a core, "
                f"p99 {1000 * p99(waits):.1f} ms"
            )
    return [used, late]


def measure_rungs(run: Run) -> list[Slope]:
    """Changes of rung: a media server reports short delivery, and the rules step viewings down in their next round."""
    used = Slope(
        "processor-time-by-change-of-rung",
        ("changes of rung told to media servers a second", "1/s"),
        ("processor time a second", "seconds"),
        notes=[
            f"{CHANGED_VIEWINGS} viewings; media servers tell once a second of short delivery, "
            "and the round of the rules answers it",
            "the node passes changes to media servers; viewers see them in the media and are told nothing",
        ],
    )
    for number in range(run.rounds):
        for size in run.sizes:
            with place(run, CHANGED_MEDIAS) as (stands, node, crowd):
                crowd.connected(CONNECTIONS)
                crowd.play(CHANGED_VIEWINGS, list(crowd.viewers))
                stands.loop.run(1.5)
                state = {"at": 0, "next": 0}

                def each_second(now: int) -> None:
                    if now - state["at"] < NS:
                        return
                    state["at"] = now
                    servers = -(-size // CHANGES_PER_SERVER)
                    for _ in range(servers):
                        media = stands.medias[state["next"] % len(stands.medias)]
                        state["next"] += 1
                        # a shortfall that `size / servers` changes by one rung make up for
                        shortfall = size / servers * (RUNGS[1] - RUNGS[0])
                        media.note(b"kept_up", b"%.4f" % max(0.01, 1 - shortfall / max(1.0, _requested_rate(media))))

                stands.loop.turn_callbacks.append(each_second)
                _run_loop(stands, 1.5)
                before = stands.rungs
                share = node.share(run.duration)
                done = (stands.rungs - before) / run.duration
            used.points.append((round(done, 1), share))
            run.say(f"rungs, round {number + 1}: {size} a second wanted, {done:.0f} told: {100 * share:.1f}% of a core")
    return [used]


def _requested_rate(media) -> float:
    """Rate that the viewings of a media server request, by the rung changes it received; all began on the highest rung (kB/s)."""
    return len(media.sessions) * RUNGS[-1] - media.rungs * (RUNGS[1] - RUNGS[0])
