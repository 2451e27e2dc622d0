"""Scheduling: clocks, timers, a timing wheel and a background job scheduler."""
