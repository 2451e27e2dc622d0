"""Short seeded trials of a few front node processes under combined faults, judged from the sockets alone."""
