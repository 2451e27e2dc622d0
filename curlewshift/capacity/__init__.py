"""Computes the tables of docs/CAPACITY.md from measured slopes and a target size, without clock or network access."""
