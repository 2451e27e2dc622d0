"""Captures of a front: all input and all decisions of its session core in one ordered log, and the replay of that log."""
