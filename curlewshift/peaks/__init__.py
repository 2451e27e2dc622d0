"""Capacity reservation for announced demand peaks: held ahead for a package and released afterwards. No I/O."""
