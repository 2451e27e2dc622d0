"""Versions of the configuration: one order whatever befalls who makes, keeps, carries and takes them."""

import unittest

from curlewshift.emulator.version_histories import histories


class Histories(unittest.TestCase):
    def test_random_histories_end_in_agreement_and_break_nothing(self):
        for seed, after, wrong in histories(range(12)):
            self.assertEqual(wrong, "", seed)
            self.assertIsNotNone(after, seed)
