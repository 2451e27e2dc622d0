"""Releases that media servers have to hear: unit stories, a walk over all orders, and random histories by seed."""

import itertools
import time
import unittest
from collections import Counter, deque
from random import Random

from curlewshift.model import Link, Rack, Server
from curlewshift.teardown import pending
from curlewshift.teardown.pending import PendingReleases, State

SECOND_NS = pending.SECOND_NS
ID, OVER = b"\0" * 8, 16


def server(name):
    return Server(name, 1, "z", 10, Rack(0, Link(1.0)), Link(1.0))


class Records(unittest.TestCase):
    def setUp(self):
        self.clock, self.counts = 100 * SECOND_NS, Counter()
        self.pending = PendingReleases(lambda: self.clock, self.counts)
        self.server, self.other = server("s"), server("t")

    def said(self, connection="c", number=2, at=None):
        record = self.pending.open(at or self.server, ID, OVER)
        return record, self.pending.said(record, connection, number)

    def test_neither_a_write_nor_the_clock_nor_a_close_closes_a_record_before_its_time(self):
        record, copy = self.said()
        copy.out()
        self.clock += 29 * SECOND_NS
        self.pending.expire()
        self.pending.connection_ended("c", by_peer=True)
        self.assertEqual((record.state, len(self.pending)), (State.DUE, 1))
        self.clock += 2 * SECOND_NS
        self.pending.expire()
        self.assertEqual((len(self.pending), self.counts), (0, {"release-given-up": 1}))

    def test_an_answer_confirms_what_was_written_before_its_request_on_that_connection_alone(self):
        record, _ = self.said("c", 2)
        self.pending.answered("d", 9)
        self.pending.answered("c", 2)
        self.assertEqual(len(self.pending), 1)
        self.pending.answered("c", 3)
        self.assertEqual((record.state, self.counts), (State.CLOSED, {"release-read": 1}))

    def test_a_further_set_up_waits_for_each_copy_at_its_server_also_once_the_record_is_closed(self):
        record, _ = self.said("c", 2)
        self.pending.said(record, "d", 1)
        self.pending.heard(self.server, ID, "d")
        self.assertEqual(record.state, State.CLOSED)
        self.assertIs(self.pending.before(self.server, ID).connection, "c")
        self.assertEqual(self.pending.servers_of(ID), {self.server})
        self.pending.connection_ended("c", by_peer=True)
        self.assertIsNone(self.pending.before(self.server, ID))
        self.assertEqual(self.pending.servers_of(ID), set())

    def test_at_another_server_a_set_up_waits_for_the_write_alone(self):
        _, copy = self.said()
        self.assertIs(self.pending.before(self.other, ID), copy)
        copy.out()
        self.assertIsNone(self.pending.before(self.other, ID))

    def test_a_release_that_may_have_overtaken_a_set_up_whose_connection_was_closed_here_does_not_end_the_care(self):
        record, _ = self.said("c", 1)
        self.pending.crossed(record)
        self.pending.connection_ended("c", by_peer=False)
        self.pending.said(record, "d", 1)
        self.pending.answered("d", 2)
        self.assertEqual((record.state, self.pending.due(self.server)), (State.DUE, []))
        self.clock += pending.CROSSES_CLOSE_NS
        self.assertEqual(self.pending.due(self.server), [record])
        self.pending.said(record, "d", 3)
        self.pending.answered("d", 4)
        self.assertEqual((record.state, len(self.pending)), (State.CLOSED, 0))

    def test_connections_that_end_one_after_the_other_are_followed_ever_more_slowly(self):
        record, times = self.pending.open(self.server, ID, OVER), []
        for number in range(40):
            while not self.pending.due(self.server):
                self.clock += SECOND_NS // 10
            times.append(self.clock)
            self.pending.said(record, number, 1)
            self.pending.connection_ended(number, by_peer=True)
        gaps = [after - before for before, after in itertools.pairwise(times)]
        self.assertEqual(gaps[0], 0)
        self.assertTrue(all(gap >= pending.PAUSE_NS for gap in gaps[5:]))

    def test_the_oldest_are_shed_and_counted_where_there_are_too_many(self):
        for number in range(pending.MOST_AT_SERVER + 3):
            self.pending.open(self.server, number.to_bytes(8, "big"), OVER)
        self.assertEqual((len(self.pending), self.counts["release-shed"]), (pending.MOST_AT_SERVER, 3))
        self.assertIsNone(self.pending.find(self.server, (2).to_bytes(8, "big")))

    def test_what_was_left_at_an_address_follows_it_to_the_server_that_stands_there_now(self):
        record, _ = self.said()
        self.pending.moved(self.server, self.other)
        self.assertEqual(record.state, State.CLOSED)
        self.assertEqual(self.pending.find(self.other, ID).opened_at, record.opened_at)

    def test_many_at_one_server_take_little_of_a_turn(self):
        for number in range(5000):
            self.pending.open(self.server, number.to_bytes(8, "big"), OVER)
        began = time.process_time()
        self.pending.due(self.server)
        self.assertLess(time.process_time() - began, 0.005)


class World:
    """One server and one id, with attempts given up and set up again in every way that the host may do it.

    A connection carries messages in order: ("set-up", attempt), ("release", attempt) and ("test", number). `holds` is the attempt
    that the server has under the id; a release that ends a newer attempt than its own is the break that is looked for.
    """

    CONNECTIONS, ATTEMPTS = 3, 3

    def __init__(self):
        self.clock, self.server = 100 * SECOND_NS, server("s")
        self.pending = PendingReleases(lambda: self.clock)
        self.wires = {}
        self.back = {}
        self.sent = Counter()
        self.swallows, self.opened = set(), 0
        self.attempt, self.out_on = 0, None
        self.holds = None
        self.wrong = ""

    # ---- the host's side, as curlewshift/node/teardowns.py does it

    def send(self, connection, message):
        self.sent[connection] += 1
        if connection in self.wires and connection not in self.swallows:
            self.wires[connection].append((self.sent[connection], message))
        return self.sent[connection]

    def say(self, connection, record, attempt=None):
        self.pending.said(record, connection, self.sent[connection] + 1).out()
        self.send(connection, ("release", attempt or self.attempt))

    def test(self, connection):
        self.send(connection, ("test", None))
        self.pending.tested(connection)

    def open(self):
        name = f"c{self.opened}"
        self.opened += 1
        self.wires[name], self.back[name] = deque(), deque()
        waiting = self.pending.unsaid_on(self.server, name)
        for record in waiting:
            self.say(name, record)
        if waiting:
            self.test(name)

    def step_due(self):
        for record in self.pending.due(self.server):
            connection = record.copies[-1].connection if record.copies else None
            if record.state is State.SAID and connection in self.wires:
                self.test(connection)
                continue
            self.pending.put_off([record])
            used = {copy.connection for copy in record.copies}
            unused = [name for name in self.wires if name not in used]
            if unused:
                self.say(unused[-1], record)
                self.test(unused[-1])

    # ---- what may happen

    def actions(self):
        yield from (["open"] if self.opened < self.CONNECTIONS else [])
        for name in self.wires:
            if self.out_on is None and self.attempt < self.ATTEMPTS and self.pending.before(self.server, ID) is None:
                yield "set up", name
            if self.wires[name]:
                yield "arrive", name
            if self.back[name]:
                yield "hear", name
            if name not in self.swallows:
                yield "swallow", name
            yield "server closes", name
            yield "we close", name
        if self.out_on is not None:
            yield "give up", self.out_on
        if len(self.pending):
            yield "later", ""

    def do(self, action):
        if action == "open":
            self.open()
            return
        what, name = action
        getattr(self, what.replace(" ", "_"))(name)

    def set_up(self, name):
        record = self.pending.find(self.server, ID)
        if record is not None:
            self.say(name, record)
            self.pending.superseded(record)
        self.attempt += 1
        self.out_on = name
        self.send(name, ("set-up", self.attempt))

    def give_up(self, name):
        self.out_on = None
        self.say(name, self.pending.open(self.server, ID, OVER))

    def arrive(self, name):
        number, (what, attempt) = self.wires[name].popleft()
        if what == "set-up":
            if self.holds is not None and self.holds != attempt:
                self.wrong = f"attempt {attempt} came while {self.holds} was out"
            self.holds = attempt
        elif what == "release":
            if self.holds is not None and self.holds > attempt:
                self.wrong = f"the release of attempt {attempt} ended attempt {self.holds}"
            self.holds = None
        elif what == "close" and self.holds == attempt:
            self.holds = None
        if what == "test" and name not in self.swallows:
            self.back[name].append(number)

    def hear(self, name):
        self.pending.answered(name, self.back[name].popleft())

    def swallow(self, name):
        self.swallows.add(name)
        self.wires[name].clear()
        self.back[name].clear()

    def server_closes(self, name):
        """It gives up the set-up that it read there, and what is on the way to it is lost."""
        if self.out_on == name:
            self.out_on, self.holds = None, None
            self.pending.open(self.server, ID, OVER, closed_by_server=True)
        self.gone(name, by_peer=True)

    def we_close(self, name):
        """What is on the way may still arrive, and the close behind it: they are left in a wire that nobody writes to."""
        if self.out_on == name:
            self.out_on = None
            self.send(name, ("close", self.attempt))
            self.pending.said(self.pending.open(self.server, ID, OVER), name, self.sent[name])
        wire = self.wires[name]
        self.gone(name, by_peer=False)
        if wire:
            self.wires[f"{name}'"], self.back[f"{name}'"] = wire, deque()
            self.swallows.add(f"{name}'")

    def gone(self, name, by_peer):
        del self.wires[name], self.back[name]
        self.swallows.discard(name)
        self.pending.connection_ended(name, by_peer)

    def later(self, _):
        self.clock += pending.PAUSE_NS
        self.step_due()

    def fingerprint(self):
        records = [
            (record.state, record.closed_by_server, [(copy.connection, copy.number, copy.written) for copy in record.copies])
            for record in self.pending.by_id.get(ID, ())
        ]
        wires = sorted((name, tuple(wire), tuple(self.back[name]), name in self.swallows) for name, wire in self.wires.items())
        return repr((wires, records, self.attempt, self.out_on, self.holds, self.opened, sorted(self.sent.items())))


def replay(actions):
    world = World()
    for action in actions:
        world.do(action)
    return world


class Orders(unittest.TestCase):
    def walk(self, depth, most):
        """All courses up to this depth, states once; the first that breaks a rule, and how many states there were."""
        seen, queue = {World().fingerprint()}, deque([()])
        while queue and len(seen) < most:
            course = queue.popleft()
            for action in list(replay(course).actions()):
                world = replay((*course, action))
                if world.wrong:
                    return (*course, action), world.wrong, len(seen)
                mark = world.fingerprint()
                if mark not in seen:
                    seen.add(mark)
                    if len(course) + 1 < depth:
                        queue.append((*course, action))
        return None, "", len(seen)

    def test_in_no_order_of_events_does_a_release_end_a_newer_attempt(self):
        course, wrong, states = self.walk(depth=8, most=12_000)
        self.assertIsNone(course, wrong)
        self.assertGreater(states, 2_000)

    def test_the_walk_finds_the_break_where_a_set_up_waits_for_nothing(self):
        before = PendingReleases.before
        PendingReleases.before = lambda self, server, id: None
        try:
            course, wrong, _ = self.walk(depth=8, most=12_000)
        finally:
            PendingReleases.before = before
        self.assertTrue(course and wrong)


class Histories(unittest.TestCase):
    def play(self, seed, steps=120):
        """A random course; then the network heals, and the server reads what comes on a connection that is new."""
        rng, world = Random(seed), World()
        world.CONNECTIONS = world.ATTEMPTS = 1_000
        for _ in range(steps):
            world.do(rng.choice(list(world.actions())))
            if world.wrong:
                return world, -1
        if world.out_on is not None:
            world.give_up(world.out_on)
        world.open()
        fresh, rounds = f"c{world.opened - 1}", 0
        while len(world.pending) and rounds < 20:
            rounds += 1
            while fresh in world.wires and (world.wires[fresh] or world.back[fresh]):
                (world.arrive if world.wires[fresh] else world.hear)(fresh)
            world.later("")
        while any(world.wires.values()):
            world.arrive(next(name for name, wire in world.wires.items() if wire))
        return world, rounds

    def test_no_history_breaks_the_order_and_each_record_is_closed_once_its_server_can_be_reached(self):
        for seed in range(400):
            with self.subTest(seed=seed):
                world, rounds = self.play(seed)
                self.assertEqual(world.wrong, "")
                self.assertEqual((len(world.pending), world.holds), (0, None))
                self.assertLessEqual(rounds, 4)


if __name__ == "__main__":
    unittest.main()
