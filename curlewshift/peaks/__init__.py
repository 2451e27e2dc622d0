"""Room for announced peaks: held ahead, used first by those it is held for, given back after. No I/O."""
