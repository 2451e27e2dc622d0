"""What a node uses by what is asked of it a second: set-ups, ends told on to viewers, and changes of rung, at steady paces.

Paces are open: what is asked does not wait for what was asked before, so that a node that cannot keep up shows it in its
p99 and does not slow its askers down. Processor time is the node's own; waits are seen from the viewers' sockets, on a machine
that others may use, and say so.
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
# A viewing that was asked for ends after this (ns), and media servers keep so many of their connections.
LASTS, MEDIAS = NS // 2, 8
# Viewings whose rungs are changed, on so many media servers; in a round each viewing of one goes down by a rung at the most,
# so that one of them is told short of so many changes.
CHANGED, CHANGED_ON, A_ROUND = 2000, 16, 60
# More than this part of a pace not done within its time is said.
LATE = 0.05
WAITS = "a p99 is of wall time, on loopback, and what else runs here lengthens it"


class Pace:
    """`call()` so often in each second, at times drawn over it: as Poisson's where the count is given. Called from the
    stand-ins' loop; what comes late is called late, and none is left out."""

    def __init__(self, stands: Stands, often: int, call: Callable[[], None]):
        self.stands, self.often, self.call = stands, often, call
        self.second, self.times = time.monotonic_ns(), []
        stands.loop.each_turn.append(self.turn)

    def turn(self, now: int) -> None:
        while self.times or self.second <= now:
            if not self.times:
                self.times = sorted((self.second + self.stands.rng.randrange(NS) for _ in range(self.often)), reverse=True)
                self.second += NS
            while self.times and self.times[-1] <= now:
                self.times.pop()
                self.call()
            if self.times:
                return

    def stop(self) -> None:
        self.stands.loop.each_turn.remove(self.turn)


def p99(waits: list[int]) -> float:
    """Of nanoseconds, in seconds."""
    return sorted(waits)[int(len(waits) * 0.99)] / NS


def _paced(
    stands: Stands, node, seconds: float, warm: float, often: float, call: Callable[[], None], begin: Callable[[], None]
) -> float:
    """Processor time a second at this pace, after a while in which it comes about."""
    pace = Pace(stands, often, call)
    try:
        _turns(stands, warm)
        begin()
        before, began, ends = node.processor_ns(), time.monotonic_ns(), time.monotonic() + seconds
        _turns(stands, ends - time.monotonic())
        return (node.processor_ns() - before) / (time.monotonic_ns() - began)
    finally:
        pace.stop()


def _turns(stands: Stands, seconds: float) -> None:
    """Short ones: a pace is only as even as they are."""
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        stands.loop.turn(0.001)


def measure_requests(run: Run) -> list[Slope]:
    """Set-ups that play, each torn down half a second later."""
    used = Slope(
        "processor-time-by-request",
        ("set-ups a second", "1/s"),
        ("processor time a second", "seconds"),
        notes=[
            f"{CONNECTIONS} connections; each set-up plays and is torn down {LASTS / NS:g} s later, so that one end is in it",
            "every answer was 200 unless told otherwise",
        ],
    )
    late = Slope("p99-by-request", used.x, ("from set-up to its answer, p99", "seconds"), notes=[WAITS])
    for number in range(run.rounds):
        with place(run, MEDIAS) as (stands, node, crowd):
            crowd.connected(CONNECTIONS)
            viewers, ends = list(crowd.viewers), deque()
            crowd.answered = lambda id, viewer, message: ends.append((time.monotonic_ns() + LASTS, id))

            def tear_down(now: int) -> None:
                while ends and ends[0][0] <= now:
                    id = ends.popleft()[1]
                    if id in crowd.playing:
                        crowd.tear_down(id)

            stands.loop.each_turn.append(tear_down)
            for size in run.sizes:
                share = _paced(
                    stands, node, run.lasts, 1.0, size, lambda: crowd.ask(stands.rng.choice(viewers)), crowd.answers.clear
                )
                done, answers = len(crowd.answers) / run.lasts, list(crowd.answers)
                stands.loop.until(lambda: not crowd.asked and not crowd.playing, 30, "what was asked is answered and ended")
                refused = sum(status != 200 for _, status in answers)
                if abs(done - size) > LATE * size:
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


def _profiled(run: Run, often: int) -> list[str]:
    """Where a set-up's time goes."""
    out = run.folder / "profile"
    with place(run, MEDIAS, profile=out) as (stands, node, crowd):
        crowd.connected(CONNECTIONS)
        viewers = list(crowd.viewers)
        pace = Pace(stands, often, lambda: crowd.ask(stands.rng.choice(viewers)))
        _turns(stands, 1.0)
        told = profile_of(run, stands, node, out, f"{often} set-ups a second")
        pace.stop()
    return told


def measure_notices(run: Run) -> list[Slope]:
    """Ends that media servers tell, each passed on to its viewer: the notices that a node passes on."""
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
                crowd.play(int(size * (run.lasts + 1) * 1.2) + 50, list(crowd.viewers))
                stands.loop.run(0.5)
                out, waits = {}, []
                crowd.ended = lambda id: waits.append(time.monotonic_ns() - out.pop(id))
                left = [(media, id) for media in stands.medias for id in media.sessions]
                stands.rng.shuffle(left)

                def release() -> None:
                    if left:
                        media, id = left.pop()
                        out[id.hex()] = time.monotonic_ns()
                        media.release(id)

                share = _paced(stands, node, run.lasts, 0.5, size, release, waits.clear)
                done = len(waits) / run.lasts
                stands.loop.until(lambda: not out, 10, "each notice is passed on")
            used.points.append((size, share))
            late.points.append((size, p99(waits)))
            run.say(
                f"notices, round {number + 1}: {size} a second told, {done:.0f} passed on: {100 * share:.1f}% of a core, "
                f"p99 {1000 * p99(waits):.1f} ms"
            )
    return [used, late]


def measure_rungs(run: Run) -> list[Slope]:
    """Changes of rung: a media server says that it delivers too little, and the rules step viewings down a round later."""
    used = Slope(
        "processor-time-by-change-of-rung",
        ("changes of rung told to media servers a second", "1/s"),
        ("processor time a second", "seconds"),
        notes=[
            f"{CHANGED} viewings; media servers tell once a second of short delivery, and the round of the rules answers it",
            "the node passes changes to media servers; viewers see them in the media and are told nothing",
        ],
    )
    for number in range(run.rounds):
        for size in run.sizes:
            with place(run, CHANGED_ON) as (stands, node, crowd):
                crowd.connected(CONNECTIONS)
                crowd.play(CHANGED, list(crowd.viewers))
                stands.loop.run(1.5)
                told = {"at": 0, "next": 0}

                def each_second(now: int) -> None:
                    if now - told["at"] < NS:
                        return
                    told["at"] = now
                    servers = -(-size // A_ROUND)
                    for _ in range(servers):
                        media = stands.medias[told["next"] % len(stands.medias)]
                        told["next"] += 1
                        # so much short that so many changes of one rung make it up
                        owed = size / servers * (RUNGS[1] - RUNGS[0])
                        media.note(b"kept_up", b"%.4f" % max(0.01, 1 - owed / max(1.0, _asks(media))))

                stands.loop.each_turn.append(each_second)
                _turns(stands, 1.5)
                before = stands.rungs
                share = node.share(run.lasts)
                done = (stands.rungs - before) / run.lasts
            used.points.append((round(done, 1), share))
            run.say(f"rungs, round {number + 1}: {size} a second wanted, {done:.0f} told: {100 * share:.1f}% of a core")
    return [used]


def _asks(media) -> float:
    """What the viewings there ask for now, as far as it was told: all began on the highest rung (kB/s)."""
    return len(media.sessions) * RUNGS[-1] - media.rungs * (RUNGS[1] - RUNGS[0])
