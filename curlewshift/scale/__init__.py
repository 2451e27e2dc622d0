"""Hollow nodes on real sockets beside real ones, their load, faults and slopes. It drives, and decides nothing."""
