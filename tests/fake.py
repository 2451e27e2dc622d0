"""One tiny fake host and the short hands that the stories share."""

from curlewshift.model import Link, Listed, Package, Rack, Server, Terms, Viewing
from curlewshift.rules import Rules

SECOND = 1_000_000_000
MS = 1_000_000


class FakeHost:
    def __init__(self):
        self.clock, self.did, self.wakes = 1000 * SECOND, [], []

    def now(self):
        return self.clock

    def wake(self, at):
        self.wakes.append(at)

    def __getattr__(self, name):
        return lambda *what: self.did.append((name, *what))

    def all(self, name):
        return [act[1:] for act in self.did if act[0] == name]


def package(**changed):
    facts = dict(
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
    return Package(**{**facts, **changed})


class Story:
    """A front on `count` servers in one rack, warm and heard of unless the story says otherwise."""

    def __init__(self, count=2, size=1000.0, uplink=1e6, warm=True, **changed):
        self.host = FakeHost()
        facts = dict(
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
        self.rules = Rules(self.host, Terms(**{**facts, **changed}))
        self.rack = Rack(0, Link(uplink))
        self.servers = [Server(f"s{n}", n + 1, "a", 20, self.rack, Link(size)) for n in range(count)]
        self.rack.servers = list(self.servers)
        self.list(*self.servers, stale=True)
        self.names = 0
        if warm:
            self.later(20 * SECOND)
            for server in self.servers:
                self.rules.link_told(server, 0.0)
            self.rules.uplink_told(self.servers[0], 0.0)

    def list(self, *servers, open=True, started=0, stale=False):
        self.rules.listed([Listed(server, open, started) for server in servers], stale=stale)

    def later(self, span):
        self.host.clock += span

    def ticks(self, count):
        for _ in range(count):
            self.later(SECOND)
            self.rules.tick()

    def viewing(self, pack=None, ceiling=2, title="t"):
        self.names += 1
        pack = pack or package()
        return Viewing(
            self.names, title, self.names, pack, ceiling, self.host.clock, self.host.clock + pack.patience, self.servers
        )

    def want(self, **how):
        viewing = self.viewing(**how)
        self.rules.wanted(viewing)
        return viewing

    def play(self, **how):
        viewing = self.want(**how)
        assert viewing.server is not None, "the story needs this one to be taken"
        self.later(50 * MS)
        self.rules.begun(viewing)
        return viewing
