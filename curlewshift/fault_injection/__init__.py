"""Fault injection runs: scripted faults against fronts and stand-in media servers that run as processes on loopback.

Verdicts are computed from the traffic that viewers and stand-ins record on their own sockets. The modules `*_cost.py`, `flood.py`
and `joins.py` are measurements for `curlewshift measure`.
"""
