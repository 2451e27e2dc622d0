"""Tests the check of each rule with a run that keeps the rule, the same run with the rule broken, and a run to which the rule
does not apply."""

import unittest

from curlewshift.verdict.verdict import Figures, judge

MS = 1_000_000
SECOND = 1000 * MS
FIGURES = Figures(
    grace=2 * SECOND,
    warm_within=10 * SECOND,
    start_capacity=0.5,
    fall_multiple=2.0,
    fall_within=SECOND,
    free_further=1,
    further_share=0.5,
    look_back=10 * SECOND,
    patience={"clip": 4 * SECOND, "paid": 4 * SECOND},
    join_target={"clip": SECOND, "paid": SECOND},
    value={"clip": 3.0, "paid": 1.0},
    paid={"paid"},
    floor={"clip": 1, "paid": 0},
    seats={"clip": 1, "paid": 0},
)


class RunBuilder:
    """Shorthand for building the events of a run; times are milliseconds."""

    def __init__(self):
        self.events = []
        self.add("front-up", 0, front="f", life="f.1")

    def add(self, ev, at, **facts):
        self.events.append({"ev": ev, "at": at * MS, **facts})
        return self

    def ask(self, at, request, package="clip", viewing=None):
        self.add("viewing", at, viewing=viewing or request, package=package, title="t")
        return self.add("ask", at, request=request, viewing=viewing or request, front="f", package=package, patience=4 * SECOND)

    def answer(self, at, request, status=201):
        return self.add("answer", at, request=request, status=status)

    def setup(self, at, request, number=1, package="clip", server="s", boot="b", rung=1, how="answered", over=None, title="t"):
        facts = dict(server=server, boot=boot, front="f.1", request=request, number=number)
        self.add("setup", at, package=package, title=title, rung=rung, **facts)
        if how:
            self.add("setup-over", over if over is not None else at + 5, how=how, **facts)
        if how == "answered":
            self.add("session", at + 5, session=f"{request}/{number}", package=package, title=title, rung=rung, **facts)
        return self

    def rule(self, number):
        result = judge(self.events, FIGURES)["rules"][number]
        return result["applied"], result["broken"]


class SixRules(unittest.TestCase):
    def test_1_exactly_one_answer_in_time(self):
        self.assertEqual(RunBuilder().rule("1"), (0, 0))
        run = RunBuilder().ask(100, "a").answer(200, "a").ask(100, "b").answer(4100, "b", 503)
        self.assertEqual(run.rule("1"), (2, 0))
        self.assertEqual(run.answer(300, "a", 503).rule("1"), (2, 1))
        self.assertEqual(RunBuilder().ask(100, "a").rule("1"), (1, 1))
        self.assertEqual(RunBuilder().ask(100, "a").answer(4200, "a").rule("1"), (1, 1))

    def test_1_unanswered_request_is_excused_at_a_killed_front_but_not_at_an_ended_one(self):
        killed = RunBuilder().ask(100, "a").add("front-down", 900, front="f", life="f.1", how="killed")
        self.assertEqual(killed.rule("1"), (1, 0))
        ended = RunBuilder().ask(100, "a").add("front-down", 900, front="f", life="f.1", how="ended")
        self.assertEqual(ended.rule("1"), (1, 1))
        hung_up = RunBuilder().ask(100, "a").add("hung-up", 300, request="a")
        self.assertEqual(hung_up.rule("1"), (1, 0))

    def test_2_never_two_tune_ins_at_once(self):
        run = RunBuilder().setup(100, "a", over=300, how="turned-away").setup(310, "a", 2)
        self.assertEqual(run.rule("2"), (1, 0))
        run = RunBuilder().setup(100, "a", over=900, how="gone").setup(310, "a", 2)
        self.assertEqual(run.rule("2"), (1, 1))
        self.assertEqual(RunBuilder().setup(100, "a").rule("2"), (0, 0))

    def test_2_paid_request_is_repeated_only_after_proof_that_it_did_not_run(self):
        proof = RunBuilder().setup(100, "a", package="paid", how="turned-away").setup(200, "a", 2, "paid")
        self.assertEqual(proof.rule("2"), (1, 0))
        resent = RunBuilder().setup(100, "a", package="paid", how="gone").setup(200, "a", 2, "paid")
        self.assertEqual(resent.rule("2"), (1, 1))
        refused = RunBuilder().setup(100, "a", package="paid", how="gone").answer(300, "a", 503)
        self.assertEqual(refused.rule("2"), (1, 1))
        aborted = RunBuilder().setup(100, "a", package="paid", how="gone").answer(300, "a", 502)
        self.assertEqual(aborted.rule("2"), (1, 0))

    def test_3_no_set_up_after_the_grace_period_of_a_drain(self):
        notice = dict(front="f.1", server="s", started=0)
        self.assertEqual(RunBuilder().setup(100, "a").rule("3"), (0, 0))
        run = RunBuilder().add("told", 100, state="fading", **notice).setup(2000, "a")
        self.assertEqual(run.rule("3"), (1, 0))
        self.assertEqual(run.setup(2200, "b").rule("3"), (1, 1))
        run = RunBuilder().add("told", 100, state="fading", **notice).add("told", 900, state="on", **notice).setup(9000, "a")
        self.assertEqual(run.rule("3"), (1, 0))
        run = RunBuilder().add("told", 100, state="on", **notice).add("told-all", 200, front="f.1", servers=[])
        self.assertEqual(run.setup(5000, "a").rule("3"), (1, 1))

    def cold_start(self, count, notified=True, born=1000):
        run = RunBuilder().add("boot", born, server="s", boot="b", streams=20, born=born * MS)
        if notified:
            run.add("told", born + 50, front="f.1", server="s", state="on", started=0)
        for number in range(count):
            # 20 streams / 10 s, half warm, times 2, for 1 s: 2 set-ups in any second
            run.setup(born + 100 + number, f"q{number}")
        return run

    def test_4_set_ups_at_a_cold_server_are_limited(self):
        self.assertEqual(RunBuilder().rule("4"), (0, 0))
        self.assertEqual(self.cold_start(2).rule("4"), (1, 0))
        self.assertEqual(self.cold_start(4).rule("4"), (1, 1))
        # a boot that no front had to know of, and a warm server, have no limit
        self.assertEqual(self.cold_start(4, notified=False).rule("4"), (1, 0))
        warm = RunBuilder().add("boot", 1000, server="s", boot="b", streams=20, born=-(10**12))
        self.assertEqual(warm.setup(1100, "a").rule("4"), (0, 0))

    def test_4_front_that_saw_the_previous_boot_end_and_newer_front_have_to_know(self):
        witness = self.cold_start(4, notified=False)
        witness.add("boot", 0, server="s", boot="a", streams=20, born=-(10**12))
        witness.add("notes-end", 900, server="s", boot="a", front="f.1")
        self.assertEqual(witness.rule("4"), (1, 1))
        new = RunBuilder().add("boot", -500, server="s", boot="b", streams=20, born=-500 * MS)
        for number in range(4):
            new.setup(100 + number, f"q{number}")
        self.assertEqual(new.rule("4"), (1, 1))

    def test_5_floor_applies_to_set_ups_and_layer_changes(self):
        self.assertEqual(RunBuilder().setup(100, "a", package="paid", rung=0).rule("5"), (0, 0))
        self.assertEqual(RunBuilder().setup(100, "a", rung=0).rule("5")[1], 1)
        stepped = RunBuilder().setup(100, "a").add("layer", 200, session="a/1", rung=0, package="clip", server="s")
        self.assertEqual(stepped.rule("5")[1], 1)

    def test_5_seats_are_held_by_set_ups_and_viewings_until_they_end(self):
        run = RunBuilder().setup(100, "a").add("session-end", 500, session="a/1").setup(600, "b")
        self.assertEqual(run.rule("5")[1], 0)
        self.assertEqual(RunBuilder().setup(100, "a").setup(600, "b").rule("5")[1], 1)
        self.assertEqual(RunBuilder().setup(100, "a").setup(600, "b", title="other").rule("5")[1], 0)
        self.assertEqual(RunBuilder().setup(100, "a", how="gone", over=700).setup(600, "b").rule("5")[1], 1)
        ended = RunBuilder().setup(100, "a").add("closed", 500, requests=["a"]).setup(600, "b")
        self.assertEqual(ended.rule("5")[1], 0)

    def test_5_server_removed_from_the_list_holds_no_seat(self):
        notice = dict(front="f.1", server="s", started=0)
        run = RunBuilder().setup(100, "a").add("told", 500, state="off", **notice).setup(600, "b", server="other")
        self.assertEqual(run.rule("5")[1], 0)
        before = RunBuilder().add("told", 50, state="off", **notice).setup(100, "a").setup(600, "b", server="other")
        self.assertEqual(before.rule("5")[1], 1)
        fading = RunBuilder().setup(100, "a").add("told", 500, state="fading", **notice).setup(600, "b", server="other")
        self.assertEqual(fading.rule("5")[1], 1)

    def test_6_further_tune_ins_are_limited_by_the_budget(self):
        run = RunBuilder().ask(0, "a").ask(10, "b")
        self.assertEqual(run.setup(100, "a", 2).setup(300, "b", 2).rule("6"), (2, 0))
        self.assertEqual(run.setup(500, "a", 3).rule("6"), (3, 1))
        later = RunBuilder().ask(0, "a").setup(100, "a", 2).setup(20_000, "a", 3)
        self.assertEqual(later.rule("6"), (2, 0))

    def test_session_of_an_unanswered_request_has_to_be_torn_down(self):
        def ended(why, answered=False, **more):
            run = RunBuilder().ask(0, "a").setup(100, "a")
            run.add("session-end", 5000, session="a/1", why=why, server="s", boot="b")
            if answered:
                run.answer(150, "a")
            for ev, facts in more.items():
                run.add(ev, 120, **facts)
            verdict = judge(run.events, FIGURES)
            return verdict["torn_down"], verdict["left_standing"]

        self.assertEqual(ended("deleted"), (1, 0))
        self.assertEqual(ended("nobody watches"), (0, 1))
        self.assertEqual(ended("nobody watches", answered=True), (0, 0))
        self.assertEqual(ended("nobody watches", froze=dict(server="s", boot="b")), (0, 0))

    def test_service_is_weighted_by_value_and_counts_each_viewing_once(self):
        run = RunBuilder().ask(0, "a").answer(100, "a", 503).ask(500, "a2", viewing="a").answer(600, "a2")
        run.ask(0, "p", "paid").answer(1500, "p")
        self.assertEqual(judge(run.events, FIGURES)["service"], 0.75)


if __name__ == "__main__":
    unittest.main()
