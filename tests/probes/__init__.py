"""Probes of the front node as a real process, run by hand: `.venv/bin/python -m tests.probes.NAME`. Each prints its figures."""
