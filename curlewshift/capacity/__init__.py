"""Slopes and a size in, the tables of docs/CAPACITY.md out. No clock, no socket; the command and a test call it."""
