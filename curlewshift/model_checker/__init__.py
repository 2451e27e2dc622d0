"""Bounded model checkers: they run every order of events in a small model up to a depth, and check the rules after each step."""
