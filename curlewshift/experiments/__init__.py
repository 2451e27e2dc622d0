"""Experiments in the emulator: factors that are varied, seeds, measures, and comparison with a baseline."""
