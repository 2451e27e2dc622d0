"""A fake driver for the session core; it records what is sent and answered, and checks the invariants on it."""

from curlewshift.model import Outcome, Terms
from curlewshift.rules import NEVER_RAN
from curlewshift.session_core.front_session import AnswerKind
from curlewshift.session_core.server_list import ServerEntry, ServerList
from curlewshift.session_core.session_core import SessionCore
from tests.fake import MS, SECOND, package

PACKAGES = [
    package(name="clip", value=3.0, floor=1, seats=2),
    package(name="paid", value=2.0, paid_at_setup=True),
    package(name="lesson", value=1.0, join_target=SECOND * 3 // 2),
]
FREE_FURTHER, FURTHER_SHARE, LOOK_BACK = 2, 0.2, 10 * SECOND


class FakeDriver:
    """Stands in for sockets and clock. `out` has the outstanding tune-ins, `done` those that ended."""

    def __init__(self, servers=4, **overrides):
        self.clock, self.wake_at = 1000 * SECOND, None
        self.out, self.done, self.answers, self.torn_down, self.rungs, self.probes = [], [], {}, [], [], []
        self.commands, self.session_ends, self.wall_offset = [], [], 0
        self.full_list_requests = 0
        # records: set-ups sent and when, viewings that may have run, times of requests and further tune-ins, cold servers
        self.sent, self.may_have_run, self.request_times, self.further_times, self.cold_until = [], set(), [], [], {}
        self.violations = []
        defaults = dict(
            now=self.clock,
            seed=5,
            me=0,
            fronts=1,
            packages=PACKAGES,
            racks_told=True,
            told_late=500 * MS,
            max_tune_ins=3,
            probes=False,
            longest_wait=2 * SECOND,
            warm_within=10 * SECOND,
            start_capacity=0.5,
            fall_multiple=2.0,
            fall_within=SECOND,
            free_further=FREE_FURTHER,
            further_share=FURTHER_SHARE,
            look_back=LOOK_BACK,
        )
        core_options = {key: overrides.pop(key) for key in ("most_waiting", "most_keys", "calendar") if key in overrides}
        titles = {"t1": ("a", "b"), "t2": ("b", "c", "d"), "t3": ("a", "b", "c", "d")}
        self.session_core = SessionCore(self, Terms(**{**defaults, **overrides}), ServerList({"r": 1e6}, titles), **core_options)
        self.generation, self.rows = 0, {}
        for number in range(servers):
            row = self.row(f"s{number}", shelf="abcd"[number])
            self.rows[row.server] = row
        self.session_core.list_full("e", 0, list(self.rows.values()))

    @staticmethod
    def row(server, state="on", shelf="a", started=SECOND, link=4000.0):
        return ServerEntry(server, state, started, "z", "r", link, 20, shelf)

    def server(self, name):
        return self.session_core.server_list.servers[name]

    # ---- `Driver`, called by the session core

    def now(self):
        return self.clock

    def wall(self):
        return self.clock + self.wall_offset

    def wake(self, at):
        self.wake_at = at if self.wake_at is None else min(at, self.wake_at)

    def tune_in(self, tune_in):
        front_session, server = tune_in.front_session, tune_in.server
        if any(other.front_session is front_session for other in self.out):
            self.violations.append("two tune-ins of one viewing are outstanding")
        if front_session.viewing in self.may_have_run and front_session.viewing.package.paid_at_setup:
            self.violations.append("a paid viewing is sent again though it may have run")
        if not server.open:
            self.violations.append("sent to a server that the list has closed")
        if tune_in.rung < front_session.viewing.package.floor:
            self.violations.append("tuned in under the floor")
        if tune_in.number > 1:
            self.further_times.append(self.clock)
            further = sum(at > self.clock - LOOK_BACK for at in self.further_times)
            if further > FREE_FURTHER + FURTHER_SHARE * sum(at > self.clock - LOOK_BACK for at in self.request_times):
                self.violations.append("over the budget of further tune-ins")
        self.sent.append((self.clock, server.name))
        if self.clock < self.cold_until.get(server.name, 0):
            window = sum(at > self.clock - SECOND and name == server.name for at, name in self.sent)
            # 20 streams within 10 s, half of them at the start, twice that pace, in a window of 1 s
            if window > 2:
                self.violations.append("a cold server gets more set-ups than its pace")
        self.out.append(tune_in)

    def withdraw(self, tune_in):
        self.out.remove(tune_in)
        self.done.append(tune_in)
        self.may_have_run.add(tune_in.front_session.viewing)
        return True

    def tell(self, command):
        self.commands.append(command)
        if command.rung is not None:
            self.rungs.append((command.front_session, command.rung))
            if command.rung < command.front_session.viewing.package.floor:
                self.violations.append("stepped under the floor")
        if not command.front_session.viewing.playing:
            self.violations.append("sent a command for a viewing that has ended")

    def end_session(self, session_end):
        self.session_ends.append(session_end)
        self.torn_down.append(session_end.session)

    def probe(self, server):
        self.probes.append(server)

    def answer(self, request, answer):
        if request in self.answers:
            self.violations.append("answered twice")
        if request.gone:
            self.violations.append("answered a viewer who had left")
        if self.clock > request.expires:
            self.violations.append("answered too late")
        front_session = answer.front_session or request.front_session
        if (
            answer.kind is AnswerKind.REFUSED
            and front_session
            and front_session.viewing in self.may_have_run
            and front_session.viewing.package.paid_at_setup
        ):
            self.violations.append("a paid viewing is refused though it may have run")
        self.answers[request] = answer

    def whole_list(self):
        self.full_list_requests += 1

    # ---- actions of a test

    def ask(self, pack="lesson", title="t3", key=None, offer="offer", **options):
        self.request_times.append(self.clock)
        return self.session_core.asked(f"q{len(self.request_times)}", pack, title, None, key=key, offer=offer, **options)

    def ends(self, tune_in, outcome, session=None):
        """The outcome of a tune-in arrives; `session` is the one that was set up."""
        if tune_in in self.out:
            self.out.remove(tune_in)
            self.done.append(tune_in)
            if outcome not in NEVER_RAN:
                self.may_have_run.add(tune_in.front_session.viewing)
        if outcome is Outcome.PLAYED:
            self.session_core.played(tune_in, session or object(), {"link": 0.3})
        else:
            self.session_core.failed(tune_in, outcome)

    def advance(self, span):
        """Time passes; the session core is called at each moment it requested."""
        ends = self.clock + span
        while self.wake_at is not None and self.wake_at <= ends:
            self.clock, self.wake_at = max(self.clock, self.wake_at), None
            self.session_core.time()
        self.clock = ends

    def change(self, *rows, since=None, generation=None):
        """The list changes by these rows; a server that starts now is cold for its warm-up."""
        since = self.generation if since is None else since
        generation = self.generation + 1 if generation is None else generation
        if since == self.generation and generation > since:
            self.generation = generation
            for row in rows:
                if row.started > 999 * SECOND and row.state == "on":
                    self.cold_until[row.server] = max(self.cold_until.get(row.server, 0), row.started + 10 * SECOND)
        self.session_core.list_change("e", since, generation, list(rows))

    def play(self, **options):
        request = self.ask(**options)
        assert self.out, "the test needs this request to be sent"
        tune_in = self.out[-1]
        self.ends(tune_in, Outcome.PLAYED, f"session {len(self.request_times)}")
        return request.front_session
