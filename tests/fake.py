"""A fake host for the rules, and a fixture with helpers that the tests share."""

from curlewshift.model import Link, ListedServer, Package, Rack, Server, Terms, Viewing
from curlewshift.rules import Rules

SECOND = 1_000_000_000
MS = 1_000_000


class FakeHost:
    """Records the calls of the rules; the test sets the clock."""

    def __init__(self):
        self.clock, self.calls, self.wakes = 1000 * SECOND, [], []

    def now(self):
        return self.clock

    def wake(self, at):
        self.wakes.append(at)

    def __getattr__(self, name):
        return lambda *args: self.calls.append((name, *args))

    def calls_of(self, name):
        return [call[1:] for call in self.calls if call[0] == name]


def package(**overrides):
    defaults = dict(
        name="clip",
        value=1.0,
        join_target=SECOND,
        patience=4 * SECOND,
        paid_at_setup=False,
        rates=(100.0, 200.0, 400.0),
        floor=0,
        top=2,
        seats=0,
    )
    return Package(**{**defaults, **overrides})


class RulesFixture:
    """The rules of a front with `count` servers in one rack, warm and with load reports unless `warm` is false."""

    def __init__(self, count=2, size=1000.0, uplink=1e6, warm=True, **overrides):
        self.host = FakeHost()
        defaults = dict(
            now=self.host.clock,
            seed=7,
            me=0,
            fronts=1,
            packages=[],
            racks_told=True,
            told_late=500 * MS,
            max_tune_ins=3,
            probes=False,
            longest_wait=2 * SECOND,
            warm_within=10 * SECOND,
            start_capacity=0.5,
            fall_multiple=2.0,
            fall_within=SECOND,
            free_further=None,
            further_share=0.0,
            look_back=0,
        )
        self.rules = Rules(self.host, Terms(**{**defaults, **overrides}))
        self.rack = Rack(0, Link(uplink))
        self.servers = [Server(f"s{n}", n + 1, "a", 20, self.rack, Link(size)) for n in range(count)]
        self.rack.servers = list(self.servers)
        self.list(*self.servers, stale=True)
        self.names = 0
        if warm:
            self.advance(20 * SECOND)
            for server in self.servers:
                self.rules.link_report_received(server, 0.0)
            self.rules.uplink_report_received(self.servers[0], 0.0)

    def list(self, *servers, open=True, started=0, stale=False):
        self.rules.listed([ListedServer(server, open, started) for server in servers], stale=stale)

    def advance(self, span):
        self.host.clock += span

    def ticks(self, count):
        for _ in range(count):
            self.advance(SECOND)
            self.rules.tick()

    def viewing(self, pack=None, ceiling=2, title="t"):
        self.names += 1
        pack = pack or package()
        return Viewing(
            self.names, title, self.names, pack, ceiling, self.host.clock, self.host.clock + pack.patience, self.servers
        )

    def want(self, **options):
        viewing = self.viewing(**options)
        self.rules.wanted(viewing)
        return viewing

    def play(self, **options):
        viewing = self.want(**options)
        assert viewing.server is not None, "the test needs this viewing to be placed"
        self.advance(50 * MS)
        self.rules.begun(viewing)
        return viewing
