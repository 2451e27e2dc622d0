"""Baseline policies, used for comparison only; no front in service runs one."""
