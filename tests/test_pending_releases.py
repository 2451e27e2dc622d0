"""Pending releases: unit tests, a search over all orders of events up to a depth, and random histories by seed."""

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


class ReleaseRecords(unittest.TestCase):
    def setUp(self):
        self.clock, self.counts = 100 * SECOND_NS, Counter()
        self.pending = PendingReleases(lambda: self.clock, self.counts)
        self.server, self.other = server("s"), server("t")

    def said(self, connection="c", number=2, at=None):
        record = self.pending.open(at or self.server, ID, OVER)
        return record, self.pending.sent(record, connection, number)

    def test_record_stays_open_after_write_and_close_until_it_expires(self):
        record, copy = self.said()
        copy.on_written()
        self.clock += 29 * SECOND_NS
        self.pending.expire()
        self.pending.connection_ended("c", by_peer=True)
        self.assertEqual((record.state, len(self.pending)), (State.DUE, 1))
        self.clock += 2 * SECOND_NS
        self.pending.expire()
        self.assertEqual((len(self.pending), self.counts), (0, {"release-given-up": 1}))

    def test_answer_confirms_only_earlier_messages_on_its_connection(self):
        record, _ = self.said("c", 2)
        self.pending.answered("d", 9)
        self.pending.answered("c", 2)
        self.assertEqual(len(self.pending), 1)
        self.pending.answered("c", 3)
        self.assertEqual((record.state, self.counts), (State.CLOSED, {"release-read": 1}))

    def test_further_set_up_waits_for_every_copy_even_if_the_record_is_closed(self):
        record, _ = self.said("c", 2)
        self.pending.sent(record, "d", 1)
        self.pending.confirmed(self.server, ID, "d")
        self.assertEqual(record.state, State.CLOSED)
        self.assertIs(self.pending.blocker(self.server, ID).connection, "c")
        self.assertEqual(self.pending.servers_of(ID), {self.server})
        self.pending.connection_ended("c", by_peer=True)
        self.assertIsNone(self.pending.blocker(self.server, ID))
        self.assertEqual(self.pending.servers_of(ID), set())

    def test_further_set_up_waits_for_a_release_that_follows_a_close_by_the_server(self):
        # the server reports the session that the release cuts, which was taken for the end of the set-up behind it
        record = self.pending.open(self.server, ID, OVER, closed_by_server=True)
        self.assertIs(self.pending.blocker(self.server, ID), record)
        copy = self.pending.sent(record, "c", 2)
        copy.on_written()
        self.pending.released_by_server(self.server, ID)
        self.assertIs(self.pending.blocker(self.server, ID), copy)
        self.pending.answered("c", 3)
        self.assertIsNone(self.pending.blocker(self.server, ID))

    def test_release_by_the_server_closes_only_the_record_of_an_id_that_was_not_released_before(self):
        # the report of an earlier session closed the record of a later one, whose own release had been lost
        record, _ = self.said("c", 2)
        self.pending.released_by_server(self.server, ID)
        self.assertEqual(record.state, State.CLOSED)
        self.pending.answered("c", 3)
        later, _ = self.said("d", 2)
        self.pending.released_by_server(self.server, ID)
        self.assertEqual((later.state, self.pending.is_reused(self.server, ID)), (State.SENT, True))
        self.assertFalse(self.pending.is_reused(self.other, ID))

    def test_release_heard_closes_the_record_of_the_copy_that_it_confirms_and_no_later_one(self):
        # a late confirmation of an earlier release closed the record of a later session, whose own release had been lost
        earlier, _ = self.said("c", 2)
        self.pending.released_by_server(self.server, ID)
        later, copy = self.said("d", 2)
        self.pending.confirmed(self.server, ID, "c")
        self.assertEqual((earlier.state, later.state, later.copies), (State.CLOSED, State.SENT, [copy]))
        self.pending.confirmed(self.server, ID, "d")
        self.assertEqual(later.state, State.CLOSED)

    def test_release_heard_on_another_connection_counts_only_if_one_copy_can_be_meant(self):
        record, _ = self.said("c", 2)
        self.pending.sent(record, "d", 1)
        self.pending.confirmed(self.server, ID, "e")
        self.assertEqual((record.state, len(record.copies)), (State.SENT, 2))
        self.pending.connection_ended("c", by_peer=True)
        self.pending.confirmed(self.server, ID, "e")
        self.assertEqual((record.state, record.copies), (State.CLOSED, []))

    def test_ids_are_remembered_as_reused_for_a_bounded_time_and_number(self):
        for number in range(pending.MAX_RECORDS + 2):
            id = number.to_bytes(8, "big")
            self.pending.open(self.server, id, OVER)
            self.pending.released_by_server(self.server, id)
        self.assertEqual(len(self.pending.closed_at), pending.MAX_RECORDS)
        self.assertFalse(self.pending.is_reused(self.server, (1).to_bytes(8, "big")))
        self.clock += pending.GIVE_UP_AFTER_NS + 1
        self.pending.expire()
        self.assertEqual(len(self.pending.closed_at), 0)

    def test_set_up_at_another_server_waits_only_for_the_write(self):
        _, copy = self.said()
        self.assertIs(self.pending.blocker(self.other, ID), copy)
        copy.on_written()
        self.assertIsNone(self.pending.blocker(self.other, ID))

    def test_release_that_may_have_overtaken_the_set_up_does_not_close_the_record(self):
        record, _ = self.said("c", 1)
        self.pending.closed_locally(record)
        self.pending.connection_ended("c", by_peer=False)
        self.pending.sent(record, "d", 1)
        self.pending.answered("d", 2)
        self.assertEqual((record.state, self.pending.due(self.server)), (State.DUE, []))
        self.clock += pending.MAX_TRANSIT_NS
        self.assertEqual(self.pending.due(self.server), [record])
        self.pending.sent(record, "d", 3)
        self.pending.answered("d", 4)
        self.assertEqual((record.state, len(self.pending)), (State.CLOSED, 0))

    def test_repeated_connection_ends_lengthen_the_pause(self):
        record, times = self.pending.open(self.server, ID, OVER), []
        for number in range(40):
            while not self.pending.due(self.server):
                self.clock += SECOND_NS // 10
            times.append(self.clock)
            self.pending.sent(record, number, 1)
            self.pending.connection_ended(number, by_peer=True)
        gaps = [after - before for before, after in itertools.pairwise(times)]
        self.assertEqual(gaps[0], 0)
        self.assertTrue(all(gap >= pending.RETRY_INTERVAL_NS for gap in gaps[5:]))

    def test_oldest_records_beyond_the_limit_are_dropped_and_counted(self):
        for number in range(pending.MAX_PER_SERVER + 3):
            self.pending.open(self.server, number.to_bytes(8, "big"), OVER)
        self.assertEqual((len(self.pending), self.counts["release-shed"]), (pending.MAX_PER_SERVER, 3))
        self.assertIsNone(self.pending.find(self.server, (2).to_bytes(8, "big")))

    def test_record_moves_to_the_server_that_now_has_the_address(self):
        record, _ = self.said()
        self.pending.moved(self.server, self.other)
        self.assertEqual(record.state, State.CLOSED)
        self.assertEqual(self.pending.find(self.other, ID).opened_at, record.opened_at)

    def test_due_is_fast_with_many_records_at_one_server(self):
        for number in range(5000):
            self.pending.open(self.server, number.to_bytes(8, "big"), OVER)
        began = time.process_time()
        self.pending.due(self.server)
        self.assertLess(time.process_time() - began, 0.005)


class World:
    """A model of one server and one id: attempts are given up and set up again in all ways in which the host may do it.

    A connection carries messages in order: ("set-up", attempt), ("release", attempt) and ("test", number). `held_attempt` is
    the attempt that the server has under the id. The violation searched for is a release that ends a newer attempt than its own.
    `silent` has the connections that are open but lose all messages.
    """

    CONNECTIONS, ATTEMPTS = 3, 3

    def __init__(self):
        self.clock, self.server = 100 * SECOND_NS, server("s")
        self.pending = PendingReleases(lambda: self.clock)
        self.in_transit = {}
        self.answers = {}
        self.sent = Counter()
        self.silent, self.opened = set(), 0
        self.attempt, self.setup_connection = 0, None
        self.held_attempt = None
        self.violation = ""

    # ---- the host, as in curlewshift/node/teardowns.py

    def send(self, connection, message):
        self.sent[connection] += 1
        if connection in self.in_transit and connection not in self.silent:
            self.in_transit[connection].append((self.sent[connection], message))
        return self.sent[connection]

    def say(self, connection, record, attempt=None):
        self.pending.sent(record, connection, self.sent[connection] + 1).on_written()
        self.send(connection, ("release", attempt or self.attempt))

    def test(self, connection):
        self.send(connection, ("test", None))
        self.pending.tested(connection)

    def open(self):
        name = f"c{self.opened}"
        self.opened += 1
        self.in_transit[name], self.answers[name] = deque(), deque()
        waiting = self.pending.unsent_on(self.server, name)
        for record in waiting:
            self.say(name, record)
        if waiting:
            self.test(name)

    def step_due(self):
        for record in self.pending.due(self.server):
            connection = record.copies[-1].connection if record.copies else None
            if record.state is State.SENT and connection in self.in_transit:
                self.test(connection)
                continue
            self.pending.delay([record])
            used = {copy.connection for copy in record.copies}
            unused = [name for name in self.in_transit if name not in used]
            if unused:
                self.say(unused[-1], record)
                self.test(unused[-1])

    # ---- events

    def actions(self):
        yield from (["open"] if self.opened < self.CONNECTIONS else [])
        for name in self.in_transit:
            if self.setup_connection is None and self.attempt < self.ATTEMPTS and self.pending.blocker(self.server, ID) is None:
                yield "set up", name
            if self.in_transit[name]:
                yield "arrive", name
            if self.answers[name]:
                yield "hear", name
            if name not in self.silent:
                yield "swallow", name
            yield "server closes", name
            yield "we close", name
        if self.setup_connection is not None:
            yield "give up", self.setup_connection
        if len(self.pending):
            yield "later", ""

    def do(self, action):
        if action == "open":
            self.open()
            return
        what, name = action
        getattr(self, what.replace(" ", "_"))(name)

    def set_up(self, name):
        self.attempt += 1
        self.setup_connection = name
        self.send(name, ("set-up", self.attempt))

    def give_up(self, name):
        self.setup_connection = None
        self.say(name, self.pending.open(self.server, ID, OVER))

    def arrive(self, name):
        number, (what, attempt) = self.in_transit[name].popleft()
        if what == "set-up":
            if self.held_attempt is not None and self.held_attempt != attempt:
                self.violation = f"attempt {attempt} came while {self.held_attempt} was out"
            self.held_attempt = attempt
        elif what == "release":
            if self.held_attempt is not None and self.held_attempt > attempt:
                self.violation = f"the release of attempt {attempt} ended attempt {self.held_attempt}"
            self.held_attempt = None
        elif what == "close" and self.held_attempt == attempt:
            self.held_attempt = None
        if what == "test" and name not in self.silent:
            self.answers[name].append(number)

    def hear(self, name):
        self.pending.answered(name, self.answers[name].popleft())

    def swallow(self, name):
        self.silent.add(name)
        self.in_transit[name].clear()
        self.answers[name].clear()

    def server_closes(self, name):
        """The server closes the connection: it gives up the set-up that it has read there, and messages in transit are lost."""
        if self.setup_connection == name:
            self.setup_connection, self.held_attempt = None, None
            self.pending.open(self.server, ID, OVER, closed_by_server=True)
        self.gone(name, by_peer=True)

    def we_close(self, name):
        """This side closes the connection: messages in transit may still arrive, followed by the close. They stay in a queue to
        which nothing is added."""
        if self.setup_connection == name:
            self.setup_connection = None
            self.send(name, ("close", self.attempt))
            self.pending.sent(self.pending.open(self.server, ID, OVER), name, self.sent[name])
        messages = self.in_transit[name]
        self.gone(name, by_peer=False)
        if messages:
            self.in_transit[f"{name}'"], self.answers[f"{name}'"] = messages, deque()
            self.silent.add(f"{name}'")

    def gone(self, name, by_peer):
        del self.in_transit[name], self.answers[name]
        self.silent.discard(name)
        self.pending.connection_ended(name, by_peer)

    def later(self, _):
        self.clock += pending.RETRY_INTERVAL_NS
        self.step_due()

    def fingerprint(self):
        records = [
            (record.state, record.reused, [(copy.connection, copy.number, copy.written) for copy in record.copies])
            for record in self.pending.by_id.get(ID, ())
        ]
        in_transit = sorted(
            (name, tuple(messages), tuple(self.answers[name]), name in self.silent) for name, messages in self.in_transit.items()
        )
        return repr(
            (in_transit, records, self.attempt, self.setup_connection, self.held_attempt, self.opened, sorted(self.sent.items()))
        )


def replay(actions):
    world = World()
    for action in actions:
        world.do(action)
    return world


class EventOrders(unittest.TestCase):
    def explore(self, depth, max_states):
        """Tries all sequences of events up to this depth, each state once. Returns the first sequence with a violation, the
        violation and the number of states."""
        seen, queue = {World().fingerprint()}, deque([()])
        while queue and len(seen) < max_states:
            actions = queue.popleft()
            for action in list(replay(actions).actions()):
                world = replay((*actions, action))
                if world.violation:
                    return (*actions, action), world.violation, len(seen)
                fingerprint = world.fingerprint()
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    if len(actions) + 1 < depth:
                        queue.append((*actions, action))
        return None, "", len(seen)

    def test_no_order_of_events_lets_a_release_end_a_newer_attempt(self):
        actions, violation, states = self.explore(depth=8, max_states=12_000)
        self.assertIsNone(actions, violation)
        self.assertGreater(states, 2_000)

    def test_search_finds_the_violation_if_set_ups_do_not_wait(self):
        before = PendingReleases.blocker
        PendingReleases.blocker = lambda self, server, id: None
        try:
            actions, violation, _ = self.explore(depth=8, max_states=12_000)
        finally:
            PendingReleases.blocker = before
        self.assertTrue(actions and violation)


class RandomHistories(unittest.TestCase):
    def play(self, seed, steps=120):
        """Runs random events; then the network recovers, and the server reads everything that arrives on a new connection."""
        rng, world = Random(seed), World()
        world.CONNECTIONS = world.ATTEMPTS = 1_000
        for _ in range(steps):
            world.do(rng.choice(list(world.actions())))
            if world.violation:
                return world, -1
        if world.setup_connection is not None:
            world.give_up(world.setup_connection)
        world.open()
        new_connection, rounds = f"c{world.opened - 1}", 0
        while len(world.pending) and rounds < 20:
            rounds += 1
            while new_connection in world.in_transit and (world.in_transit[new_connection] or world.answers[new_connection]):
                (world.arrive if world.in_transit[new_connection] else world.hear)(new_connection)
            world.later("")
        while any(world.in_transit.values()):
            world.arrive(next(name for name, messages in world.in_transit.items() if messages))
        return world, rounds

    def test_random_histories_keep_the_order_and_close_every_record(self):
        for seed in range(400):
            with self.subTest(seed=seed):
                world, rounds = self.play(seed)
                self.assertEqual(world.violation, "")
                self.assertEqual((len(world.pending), world.held_attempt), (0, None))
                self.assertLessEqual(rounds, 4)


if __name__ == "__main__":
    unittest.main()
