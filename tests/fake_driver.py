"""A fake outside for the desk, which keeps the books that the six rules are checked by."""

from curlewshift.model import Outcome, Terms
from curlewshift.rules import NEVER_RAN
from curlewshift.session_core.front_session import Kind
from curlewshift.session_core.server_list import ServerEntry, ServerList
from curlewshift.session_core.session_core import SessionCore
from tests.fake import MS, SECOND, package

PACKAGES = [
    package(name="clip", value=3.0, floor=1, seats=2),
    package(name="paid", value=2.0, paid_at_setup=True),
    package(name="lesson", value=1.0, join_target=SECOND * 3 // 2),
]
FREE, SHARE, SPAN = 2, 0.2, 10 * SECOND


class FakeDriver:
    """Plays sockets and clock. `out` are the tune-ins nobody has answered yet, `done` those that ended."""

    def __init__(self, servers=4, **changed):
        self.clock, self.wake_at = 1000 * SECOND, None
        self.out, self.done, self.answers, self.torn, self.rungs, self.probes = [], [], {}, [], [], []
        self.commands, self.session_end, self.wall_off = [], [], 0
        self.lists_wanted = 0
        # the books: what was sent when, by request; what may have run; who was told what
        self.sent, self.ran, self.taken, self.further, self.cold = [], set(), [], [], {}
        self.broken = []
        facts = dict(
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
            free_further=FREE,
            further_share=SHARE,
            look_back=SPAN,
        )
        how = {key: changed.pop(key) for key in ("most_waiting", "most_keys", "calendar") if key in changed}
        titles = {"t1": ("a", "b"), "t2": ("b", "c", "d"), "t3": ("a", "b", "c", "d")}
        self.session_core = SessionCore(self, Terms(**{**facts, **changed}), ServerList({"r": 1e6}, titles), **how)
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

    # ---- what the desk calls

    def now(self):
        return self.clock

    def wall(self):
        return self.clock + self.wall_off

    def wake(self, at):
        self.wake_at = at if self.wake_at is None else min(at, self.wake_at)

    def tune_in(self, tune_in):
        front_session, server = tune_in.front_session, tune_in.server
        if any(other.front_session is front_session for other in self.out):
            self.broken.append("two tune-ins of one viewing are out")
        if front_session.viewing in self.ran and front_session.viewing.package.paid_at_setup:
            self.broken.append("a paid viewing is sent again though it may have run")
        if not server.open:
            self.broken.append("sent to a server told closed")
        if tune_in.rung < front_session.viewing.package.floor:
            self.broken.append("under the floor")
        if tune_in.number > 1:
            self.further.append(self.clock)
            made = sum(at > self.clock - SPAN for at in self.further)
            if made > FREE + SHARE * sum(at > self.clock - SPAN for at in self.taken):
                self.broken.append("over the budget of further tune-ins")
        self.sent.append((self.clock, server.name))
        if self.clock < self.cold.get(server.name, 0):
            window = sum(at > self.clock - SECOND and name == server.name for at, name in self.sent)
            # 20 places over 10 s, at half, times 2 for 1 s
            if window > 2:
                self.broken.append("a cold server is pushed")
        self.out.append(tune_in)

    def withdraw(self, tune_in):
        self.out.remove(tune_in)
        self.done.append(tune_in)
        self.ran.add(tune_in.front_session.viewing)
        return True

    def tell(self, command):
        self.commands.append(command)
        if command.rung is not None:
            self.rungs.append((command.front_session, command.rung))
            if command.rung < command.front_session.viewing.package.floor:
                self.broken.append("stepped under the floor")
        if not command.front_session.viewing.playing:
            self.broken.append("told of a viewing that is over")

    def end_session(self, session_end):
        self.session_end.append(session_end)
        self.torn.append(session_end.session)

    def probe(self, server):
        self.probes.append(server)

    def answer(self, request, answer):
        if request in self.answers:
            self.broken.append("answered twice")
        if request.gone:
            self.broken.append("answered one who had left")
        if self.clock > request.expires:
            self.broken.append("answered too late")
        front_session = answer.front_session or request.front_session
        if (
            answer.kind is Kind.REFUSED
            and front_session
            and front_session.viewing in self.ran
            and front_session.viewing.package.paid_at_setup
        ):
            self.broken.append("a paid viewing is refused though it may have run")
        self.answers[request] = answer

    def whole_list(self):
        self.lists_wanted += 1

    # ---- what a story does

    def ask(self, pack="lesson", title="t3", key=None, offer="offer", **how):
        self.taken.append(self.clock)
        return self.session_core.asked(f"q{len(self.taken)}", pack, title, None, key=key, offer=offer, **how)

    def ends(self, tune_in, outcome, session=None):
        """Its outcome arrives; `session` names what was set up."""
        if tune_in in self.out:
            self.out.remove(tune_in)
            self.done.append(tune_in)
            if outcome not in NEVER_RAN:
                self.ran.add(tune_in.front_session.viewing)
        if outcome is Outcome.PLAYED:
            self.session_core.played(tune_in, session or object(), {"link": 0.3})
        else:
            self.session_core.failed(tune_in, outcome)

    def later(self, span):
        """Time passes; the desk is woken at each moment it asked for."""
        ends = self.clock + span
        while self.wake_at is not None and self.wake_at <= ends:
            self.clock, self.wake_at = max(self.clock, self.wake_at), None
            self.session_core.time()
        self.clock = ends

    def change(self, *rows, since=None, generation=None):
        """The list tells these rows; a start told now is cold for its warm-up."""
        since = self.generation if since is None else since
        generation = self.generation + 1 if generation is None else generation
        if since == self.generation and generation > since:
            self.generation = generation
            for row in rows:
                if row.started > 999 * SECOND and row.state == "on":
                    self.cold[row.server] = max(self.cold.get(row.server, 0), row.started + 10 * SECOND)
        self.session_core.list_change("e", since, generation, list(rows))

    def play(self, **how):
        request = self.ask(**how)
        assert self.out, "the story needs this one to be sent"
        tune_in = self.out[-1]
        self.ends(tune_in, Outcome.PLAYED, f"session {len(self.taken)}")
        return request.front_session
