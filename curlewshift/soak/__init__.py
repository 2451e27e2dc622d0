"""Soak runs: short seeded trials of a few node processes under combined faults, judged only from the traffic on their sockets."""
